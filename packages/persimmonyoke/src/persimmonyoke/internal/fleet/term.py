"""Authority of one host over the stages of the engines.

One host holds a key under a lease. Before each order it writes a record under the
condition that it still holds the key, and sends the order at once or not at all.
A holder that the store does not answer keeps its term, since its next record tells
whether it still holds the key. Engines may not check fencing numbers, so a new holder
waits for a time since the last record that it saw; all hosts watch the record, so that
this wait is over in most cases before a holder is lost.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

ORDER_WINDOW_S = 0.3
"""Time from the writing of a record in which its order may be sent."""

ARRIVAL_SLACK_S = 0.6
"""Bound of the time from sending an order to its arrival, with its connection."""

YIELD_S = 1.0
"""Time in which another host has seen that the key is free and has taken it."""


ATTEMPT_SPREAD_S = 0.2
"""Time over which hosts spread their attempts at a key that became free.

The store of the deployment sheets answers in 4 ms, so the first attempt soon shows in
the watches of the others.
"""

CHECK_INTERVAL_S = 6.0
"""Interval of looks at a key that seems held; its removal may go unseen."""

FAILED_ATTEMPT_S = 1.0
"""Time to the next attempt after one that the store did not answer."""


class TermState(StrEnum):
    """Name how far a host has got with becoming the holder."""

    NONE = "none"
    HELD = "held"


@dataclass(frozen=True)
class ClockReading:
    """Hold both clocks; only ``boot_s`` counts time in which the host was suspended."""

    steady_s: float
    boot_s: float

    def elapsed_s(self, earlier: "ClockReading") -> float:
        """Return the time since an earlier reading, suspension included."""
        return max(self.steady_s - earlier.steady_s, self.boot_s - earlier.boot_s)


@dataclass(frozen=True)
class OrderRecord:
    """Hold the last order as it was announced in the store."""

    holder: str
    fencing_number: int
    replica_id: str
    stage: str
    revision: int = 0


class OrderTerm:
    """Decide when this host may announce and send orders.

    ``turn_s`` is the time within which engines may not get orders of two holders.
    """

    def __init__(self, holder: str, *, min_handover_s: float) -> None:
        self._holder = holder
        self._min_handover_s = min_handover_s
        self.state = TermState.NONE
        self.fencing_number = 0
        self.lease_id = 0
        self.record: OrderRecord | None = None
        self._record_seen_s = float("-inf")

    def note_record(self, record: OrderRecord, now_s: float) -> None:
        """Note the last order of any host as this host came to know it."""
        if self.record is not None and record.revision <= self.record.revision:
            return
        self.record = record
        self._record_seen_s = now_s

    def acquired(self, *, fencing_number: int, lease_id: int) -> None:
        """Note that the store accepted this host as the holder."""
        self.state = TermState.HELD
        self.fencing_number = fencing_number
        self.lease_id = lease_id

    def lost(self) -> None:
        """Give up authority."""
        self.state = TermState.NONE

    def may_announce(self, now_s: float) -> bool:
        """Return whether an order may be announced, by the last holder's record."""
        return self.state is TermState.HELD and not self._must_wait(now_s)

    def attempt_delay_s(self, now_s: float) -> float:
        """Return how long to leave a free key to hosts that may order sooner.

        A host that has just started does not know how old the last record is.
        """
        return YIELD_S if self._must_wait(now_s) else 0.0

    def _must_wait(self, now_s: float) -> bool:
        record = self.record
        if record is None or record.holder == self._holder:
            return False
        return now_s < self._record_seen_s + self.takeover_wait_s

    @property
    def takeover_wait_s(self) -> float:
        """Return how long after another host's record no order may follow it."""
        return self._min_handover_s + ORDER_WINDOW_S + ARRIVAL_SLACK_S

    def may_send(self, announced: ClockReading, clocks: ClockReading) -> bool:
        """Return whether an announced order is still fresh enough to be sent."""
        if self.state is not TermState.HELD:
            return False
        return clocks.elapsed_s(announced) < ORDER_WINDOW_S


class AttemptSchedule:
    """Decide when this host looks at the order key and tries to take it.

    Each attempt costs three calls to the store, so hosts do not make them at the same
    moment, and not at a key that another host is known to hold.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._seen_free = False
        self._due_s = 0.0

    @property
    def seen_free(self) -> bool:
        """Return whether the key was free when it was last heard of."""
        return self._seen_free

    def note_free(self, now_s: float, *, delay_s: float = 0.0) -> None:
        """Note that nobody holds the key; ``delay_s`` leaves it to other hosts."""
        self._seen_free = True
        spread_s = self._rng.uniform(0.0, ATTEMPT_SPREAD_S)
        self._due_s = now_s + delay_s + spread_s

    def note_held(self, now_s: float) -> None:
        """Note that a host holds the key."""
        self._seen_free = False
        self._due_s = now_s + CHECK_INTERVAL_S * self._rng.uniform(0.75, 1.25)

    def note_failed(self, now_s: float) -> None:
        """Note an attempt without an answer."""
        self._due_s = now_s + FAILED_ATTEMPT_S

    def due(self, now_s: float) -> bool:
        """Return whether to look at the key now."""
        return now_s >= self._due_s
