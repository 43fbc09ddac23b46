"""Reserve slots for workspaces that use little of the capacity."""

from collections import Counter, OrderedDict

# Share of the slots. With fair queueing alone, a workspace that becomes active waits
# until a flood frees a slot, and requests that were admitted together end together.
RESERVE_SHARE = 1 / 8
# Without arrivals of other workspaces for this long, a workspace may use all slots.
ACTIVITY_WINDOW_S = 30.0


class SlotReserve:
    """Decide which workspaces may take the last free slots."""

    def __init__(self) -> None:
        self._held: Counter[str] = Counter()
        self._arrivals: OrderedDict[str, float] = OrderedDict()

    def note_arrival(self, workspace: str, now_s: float) -> None:
        """Record the arrival of a request of a workspace."""
        self._arrivals[workspace] = now_s
        self._arrivals.move_to_end(workspace)
        while next(iter(self._arrivals.values())) < now_s - ACTIVITY_WINDOW_S:
            self._arrivals.popitem(last=False)

    def note_dispatch(self, workspace: str) -> None:
        """Record a slot taken by a workspace."""
        self._held[workspace] += 1

    def note_release(self, workspace: str) -> None:
        """Record a slot released by a workspace."""
        self._held[workspace] -= 1
        if self._held[workspace] <= 0:
            del self._held[workspace]

    def holds_any(self, workspace: str) -> bool:
        """Return whether a workspace has requests in flight."""
        return workspace in self._held

    def allows(self, workspace: str, *, free: int, limit: int) -> bool:
        """Return whether a workspace may take one of the free slots.

        A workspace that holds no slot, or less than half of an equal share, may take
        the reserved ones.
        """
        if free <= 0:
            return False
        if len(self._arrivals) < 2 or free > int(limit * RESERVE_SHARE):
            return True
        held = self._held.get(workspace, 0)
        return held < max(1.0, limit / (2 * max(1, len(self._held))))
