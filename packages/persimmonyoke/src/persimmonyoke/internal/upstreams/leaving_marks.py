"""Leaving marks of upstreams, by name and incarnation."""

# Number of incarnations of one upstream whose marks are kept. Older incarnations cannot
# come back.
KEPT_INCARNATIONS = 8

UNKNOWN_INCARNATION = ""


class LeavingMarks:
    """Record when each incarnation was first observed leaving."""

    def __init__(self) -> None:
        self._since: dict[str, dict[str, float]] = {}

    def add(self, name: str, incarnation: str, observed_s: float) -> None:
        """Mark an incarnation as leaving; the earliest observation counts."""
        marks = self._since.setdefault(name, {})
        marks[incarnation] = min(observed_s, marks.get(incarnation, observed_s))
        if len(marks) > KEPT_INCARNATIONS:
            del marks[min(marks, key=marks.__getitem__)]

    def since(self, name: str, incarnation: str) -> float | None:
        """Return when an incarnation was first observed leaving, or ``None``.

        An upstream of unknown incarnation counts as leaving if any of its incarnations
        is leaving, since it may be that one.
        """
        marks = self._since.get(name)
        if not marks:
            return None
        if incarnation == UNKNOWN_INCARNATION:
            return min(marks.values())
        return marks.get(incarnation)

    def learn(self, name: str, incarnation: str) -> None:
        """Assign the mark of the unknown incarnation to the one that is now known."""
        observed_s = self._since.get(name, {}).pop(UNKNOWN_INCARNATION, None)
        if observed_s is not None:
            self.add(name, incarnation, observed_s)

    def clear_unknown(self, name: str) -> None:
        """Remove the mark of the unknown incarnation of a replaced upstream."""
        self._since.get(name, {}).pop(UNKNOWN_INCARNATION, None)

    def forget(self, name: str) -> None:
        """Remove the marks of an upstream."""
        self._since.pop(name, None)

    def evict_before(self, limit_s: float, *, kept: frozenset[str]) -> None:
        """Remove marks that are older than a time, except for the names in ``kept``."""
        for name, marks in list(self._since.items()):
            if name not in kept and max(marks.values(), default=limit_s) <= limit_s:
                del self._since[name]
