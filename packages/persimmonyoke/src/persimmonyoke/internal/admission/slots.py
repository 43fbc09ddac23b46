"""Track the slots of requests in flight and predict when slots become free."""

from dataclasses import dataclass

from persimmonyoke.internal.admission.fair_queue import ticket_cost
from persimmonyoke.internal.admission.tickets import Ticket

# Weight of a release in the moving averages, which span about the last 50 releases.
RELEASE_WEIGHT = 0.02


@dataclass(frozen=True)
class HeldSlot:
    """Hold a ticket in flight and the time of its dispatch."""

    ticket: Ticket
    since_s: float


class Slots:
    """Count requests in flight and predict how long a backlog waits for slots.

    The prediction uses the slot time for each unit of cost. Unlike the rate of
    releases, it does not fall when the host has little load.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._held: dict[str, HeldSlot] = {}
        # Weighted sums; the sum of the weights corrects their initial value of zero.
        self._weight = 0.0
        self._held_s = 0.0
        self._cost = 0.0

    def __len__(self) -> int:
        return len(self._held)

    @property
    def free(self) -> int:
        """Return the number of requests that may be dispatched now."""
        return max(0, self.limit - len(self._held))

    def holds(self, request_id: str) -> bool:
        """Return whether a request is in flight."""
        return request_id in self._held

    def acquire(self, ticket: Ticket, now_s: float) -> None:
        """Assign a slot to a ticket."""
        self._held[ticket.request_id] = HeldSlot(ticket, now_s)

    def release(self, ticket: Ticket, now_s: float) -> bool:
        """Free the slot of a ticket; return false if it held none."""
        slot = self._held.pop(ticket.request_id, None)
        if slot is None:
            return False
        held_s = max(0.0, now_s - slot.since_s)
        self._weight += RELEASE_WEIGHT * (1.0 - self._weight)
        self._held_s += RELEASE_WEIGHT * (held_s - self._held_s)
        self._cost += RELEASE_WEIGHT * (ticket_cost(ticket) - self._cost)
        return True

    def wait_s(self, cost: float) -> float:
        """Return the seconds until slots for a cost become free.

        Zero until the first release, because no measurement exists before.
        """
        if self._cost <= 0:
            return 0.0
        return cost * self._held_s / self._cost / max(1, self.limit)

    def next_free_s(self) -> float:
        """Return the mean time until the next slot becomes free."""
        if self.free or self._weight <= 0:
            return 0.0
        return self._held_s / self._weight / max(1, self.limit)
