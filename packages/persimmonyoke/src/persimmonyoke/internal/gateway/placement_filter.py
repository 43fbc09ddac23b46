"""Selection of the placements that a collector relays."""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, field

from persimmonyoke.internal.dispatch.prefixes import MAX_PARTS, PART_TTL_S
from persimmonyoke.internal.gateway.state import PartPlacement

REPEAT_S = PART_TTL_S / 4
"""Time within which a placement is not repeated, as its receivers still count on it."""


@dataclass
class SelectedPlacements:
    """Hold placements to relay; parts that are met again are likely to be shared."""

    shared: list[PartPlacement] = field(default_factory=list)
    first_seen: list[PartPlacement] = field(default_factory=list)


class PlacementFilter:
    """Drop placements that tell receivers nothing new.

    ``incarnation`` returns what changes when an engine loses its cache.
    """

    def __init__(self, incarnation: Callable[[str], Hashable]) -> None:
        self._incarnation = incarnation
        self._relayed_s: OrderedDict[Hashable, float] = OrderedDict()
        self._parts: OrderedDict[str, None] = OrderedDict()

    def select(
        self, placements: Sequence[PartPlacement], *, now_s: float
    ) -> SelectedPlacements:
        """Return the placements to relay now."""
        selected = SelectedPlacements()
        for item in placements:
            if self._was_relayed(item, now_s):
                continue
            is_known = item.part_id in self._parts
            _remember(self._parts, item.part_id, None)
            (selected.shared if is_known else selected.first_seen).append(item)
        return selected

    def _was_relayed(self, item: PartPlacement, now_s: float) -> bool:
        key = (item.part_id, item.replica_id, self._incarnation(item.replica_id))
        relayed_s = self._relayed_s.get(key)
        if relayed_s is not None and now_s - relayed_s < REPEAT_S:
            return True
        _remember(self._relayed_s, key, now_s)
        return False


def _remember(known: OrderedDict, key: Hashable, value: float | None) -> None:
    known[key] = value
    known.move_to_end(key)
    if len(known) > MAX_PARTS:
        known.popitem(last=False)
