"""Selection of the links over which a host receives relayed messages.

Each host keeps a few source links for each origin (a host's beats, an engine's reports)
and prunes the origin on the others, as epidemic broadcast trees do. Without pruning,
each report crosses each link: 183 reports/s cost a host with 6 links over 30 KB/s.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field

Grafts = dict[Hashable, list[str]]

# An origin that sent nothing new for this long is gone, or may come back over any link.
ORIGIN_RETENTION_S = 60.0


@dataclass
class Origin:
    """Hold the source links of an origin, and the links on which it is pruned."""

    last_new_s: float
    sources: list[Hashable] = field(default_factory=list)
    pruned: list[Hashable] = field(default_factory=list)


class SourceSelector:
    """Decide on which links to prune and graft each origin."""

    def __init__(self, *, copies: int, graft_after_s: float) -> None:
        if copies < 1:
            raise ValueError(f"copies is {copies}; accepted: 1 or more")
        self._copies = copies
        self._graft_after_s = graft_after_s
        self._origins: dict[str, Origin] = {}

    def note_copy(
        self, key: str, link: Hashable, *, is_new: bool, now_s: float
    ) -> bool:
        """Record a copy received on a link; return whether to prune the key there."""
        origin = self._origins.get(key)
        if origin is None:
            origin = self._origins[key] = Origin(now_s)
        if is_new:
            origin.last_new_s = now_s
        if link in origin.sources:
            return False
        if len(origin.sources) < self._copies:
            origin.sources.append(link)
            return False
        if link in origin.pruned:
            return False
        origin.pruned.append(link)
        return True

    def drop_link(self, link: Hashable) -> Grafts:
        """Remove a closed link; return the keys to graft on other links."""
        grafts: Grafts = {}
        for key, origin in self._origins.items():
            if link in origin.pruned:
                origin.pruned.remove(link)
            if link in origin.sources:
                origin.sources.remove(link)
                self._graft(key, origin, grafts)
        return grafts

    def overdue(self, now_s: float) -> Grafts:
        """Return the keys to graft since their sources brought nothing new in time."""
        grafts: Grafts = {}
        for key, origin in list(self._origins.items()):
            idle_s = now_s - origin.last_new_s
            if idle_s >= ORIGIN_RETENTION_S:
                del self._origins[key]
            elif idle_s >= self._graft_after_s and origin.pruned:
                origin.sources.clear()
                self._graft(key, origin, grafts)
        return grafts

    @staticmethod
    def _graft(key: str, origin: Origin, grafts: Grafts) -> None:
        for link in origin.pruned:
            grafts.setdefault(link, []).append(key)
        origin.pruned.clear()
