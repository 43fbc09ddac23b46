"""What peers tell of later configurations than this host's."""

from dataclasses import dataclass

MAX_VERSIONS = 16
"""Later versions remembered; the first ones tell since when this host is behind."""


@dataclass
class _LaterVersion:
    """Hold when a later version was heard, and a revision that includes it."""

    revision: int
    first_heard_s: float
    last_heard_s: float


class ConfigurationNews:
    """Track since when peers have a later configuration than this host."""

    def __init__(self) -> None:
        self._later: dict[int, _LaterVersion] = {}

    def note(self, version: int, revision: int, *, heard_s: float) -> bool:
        """Record a later version that a peer has; return whether it was unknown."""
        known = self._later.get(version)
        if known is not None:
            known.revision = min(known.revision, revision)
            known.last_heard_s = max(known.last_heard_s, heard_s)
            return False
        if len(self._later) < MAX_VERSIONS:
            self._later[version] = _LaterVersion(revision, heard_s, heard_s)
        return True

    def replaced_for_s(
        self, version: int, revision: int, *, heard_since_s: float, now_s: float
    ) -> float | None:
        """Return for how long this host has known that its version is replaced.

        ``None`` means that no peer that is heard has a later one. A host whose view is
        as new as that of such a peer has read all that the peer knows.
        """
        self._later = {
            number: later for number, later in self._later.items() if number > version
        }
        first_heard_s = [
            later.first_heard_s
            for later in self._later.values()
            if later.revision > revision and later.last_heard_s >= heard_since_s
        ]
        return now_s - min(first_heard_s) if first_heard_s else None
