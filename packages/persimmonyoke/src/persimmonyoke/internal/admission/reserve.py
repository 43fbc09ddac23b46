"""Slots kept back for workspaces that use little of the capacity."""

from collections import Counter, OrderedDict

# An eighth of the slots. Fair queueing alone lets a newcomer wait until a slot of the
# flood comes free, and requests that were admitted together end together.
RESERVE_SHARE = 1 / 8
# Without arrivals of others for this long, a workspace may use all slots.
ACTIVITY_WINDOW_S = 30.0


class SlotReserve:
    """Decide which workspaces may take the last free slots."""

    def __init__(self) -> None:
        self._held: Counter[str] = Counter()
        self._arrivals: OrderedDict[str, float] = OrderedDict()

    def note_arrival(self, workspace: str, now_s: float) -> None:
        """Record that a workspace is in use."""
        self._arrivals[workspace] = now_s
        self._arrivals.move_to_end(workspace)
        while next(iter(self._arrivals.values())) < now_s - ACTIVITY_WINDOW_S:
            self._arrivals.popitem(last=False)

    def note_dispatch(self, workspace: str) -> None:
        """Record a slot taken by a workspace."""
        self._held[workspace] += 1

    def note_release(self, workspace: str) -> None:
        """Record a slot given back by a workspace."""
        self._held[workspace] -= 1
        if self._held[workspace] <= 0:
            del self._held[workspace]

    def holds_any(self, workspace: str) -> bool:
        """Say whether a workspace has requests in flight."""
        return workspace in self._held

    def allows(self, workspace: str, *, free: int, limit: int) -> bool:
        """Say whether a workspace may take one of the free slots.

        A workspace that holds less than half of an equal share may take the last ones.
        """
        if free <= 0:
            return False
        if len(self._arrivals) < 2 or free > int(limit * RESERVE_SHARE):
            return True
        held = self._held.get(workspace, 0)
        return held < max(1.0, limit / (2 * max(1, len(self._held))))
