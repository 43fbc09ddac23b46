"""Leadership of one host for ordering stage changes of engines.

The leader holds a key under a lease. Before each order it writes a record on condition
that it still holds the key, and then sends the order at once or not at all. A holder
without contact to the store keeps its term, since its next write shows whether it still
holds the key. Engines may not check fencing numbers, so a new holder waits until enough
time has passed since it saw the last record. All hosts watch the record, so this wait
has usually passed before a holder is lost. When the store returns from an older copy,
records may be missing, so a new holder then waits as long since it learned of the new
era.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from persimmonyoke.internal.fleet.store_lease import StoreLease
from persimmonyoke.internal.fleet.store_revision import era_of

ORDER_WINDOW_S = 0.3
"""Time after writing a record within which its order may be sent."""

ARRIVAL_SLACK_S = 0.6
"""Upper bound of the delivery time of an order, including the connection setup."""

YIELD_S = 1.0
"""Time in which another host sees that the key is free and acquires it."""


ATTEMPT_SPREAD_S = 0.2
"""Time over which hosts spread their attempts to acquire a free key.

The store of the deployment sheets responds in 4 ms, so the other hosts soon see the
first attempt in their watches.
"""

CHECK_INTERVAL_S = 6.0
"""Interval of checks of a held key, as a watch may miss its removal."""

FAILED_ATTEMPT_S = 1.0
"""Delay of the next attempt after one without a response from the store."""


class TermState(StrEnum):
    """Say whether this host is the holder."""

    NONE = "none"
    HELD = "held"


@dataclass(frozen=True)
class ClockReading:
    """Hold both clocks; only ``boot_s`` advances while the host is suspended."""

    steady_s: float
    boot_s: float

    def elapsed_s(self, earlier: "ClockReading") -> float:
        """Return the time since an earlier reading, including suspension."""
        return max(self.steady_s - earlier.steady_s, self.boot_s - earlier.boot_s)


@dataclass(frozen=True)
class OrderRecord:
    """Hold the record that announces an order in the store."""

    holder: str
    fencing_number: int
    replica_id: str
    stage: str
    revision: int = 0


class OrderTerm:
    """Decide when this host may announce and send orders.

    ``min_handover_s`` is the minimum time between the orders of two holders.
    """

    def __init__(self, holder: str, *, min_handover_s: float) -> None:
        self._holder = holder
        self._min_handover_s = min_handover_s
        self.state = TermState.NONE
        self.fencing_number = 0
        self.lease: StoreLease | None = None
        self.record: OrderRecord | None = None
        self._record_seen_s = float("-inf")
        self._era = 0
        self._era_seen_s = float("-inf")

    def note_era(self, era: int, now_s: float) -> None:
        """Record that the store has entered an era, and when this host learned of it.

        Orders of earlier eras may have left no record.
        """
        self._era = era
        self._era_seen_s = now_s

    def note_record(self, record: OrderRecord, now_s: float) -> None:
        """Record the last order of any host and when this host learnt of it."""
        if self.record is not None and record.revision <= self.record.revision:
            return
        self.record = record
        self._record_seen_s = now_s

    def acquired(self, *, fencing_number: int, lease: StoreLease) -> None:
        """Start a term after this host acquired the key."""
        self.state = TermState.HELD
        self.fencing_number = fencing_number
        self.lease = lease

    def lost(self) -> None:
        """End the term."""
        self.state = TermState.NONE

    def may_announce(self, now_s: float, *, view_revision: int) -> bool:
        """Return whether this host holds the key and the handover wait has passed.

        A view older than the key may lack the last record of the holder before.
        """
        knows_records = view_revision >= self.fencing_number
        held = self.state is TermState.HELD
        return held and knows_records and not self._must_wait(now_s)

    def attempt_delay_s(self, now_s: float) -> float:
        """Return how long to yield a free key to hosts that could send orders sooner.

        A host that has just started does not know the age of the last record.
        """
        return YIELD_S if self._must_wait(now_s) else 0.0

    def _must_wait(self, now_s: float) -> bool:
        return now_s < self._last_order_s() + self.takeover_wait_s

    def _last_order_s(self) -> float:
        """Return the latest time at which another host may have recorded an order."""
        record = self.record
        if record is None or era_of(record.fencing_number) < self._era:
            known_since_s = self._era_seen_s
        else:
            known_since_s = float("-inf")
        if record is None or record.holder == self._holder:
            return known_since_s
        return max(known_since_s, self._record_seen_s)

    @property
    def takeover_wait_s(self) -> float:
        """Return the wait after another holder's record before this host may order."""
        return self._min_handover_s + ORDER_WINDOW_S + ARRIVAL_SLACK_S

    def may_send(self, announced: ClockReading, clocks: ClockReading) -> bool:
        """Return whether an announced order is recent enough to be sent."""
        if self.state is not TermState.HELD:
            return False
        return clocks.elapsed_s(announced) < ORDER_WINDOW_S


class AttemptSchedule:
    """Schedule this host's checks of the order key and attempts to acquire it.

    Each attempt costs three calls to the store, so hosts spread their attempts and
    make none while another host is known to hold the key.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._seen_free = False
        self._due_s = 0.0

    @property
    def seen_free(self) -> bool:
        """Return whether the key was free according to the latest information."""
        return self._seen_free

    def note_free(self, now_s: float, *, delay_s: float = 0.0) -> None:
        """Schedule an attempt at a free key, ``delay_s`` later than other hosts."""
        self._seen_free = True
        spread_s = self._rng.uniform(0.0, ATTEMPT_SPREAD_S)
        self._due_s = now_s + delay_s + spread_s

    def note_held(self, now_s: float) -> None:
        """Schedule the next check of a held key."""
        self._seen_free = False
        self._due_s = now_s + CHECK_INTERVAL_S * self._rng.uniform(0.75, 1.25)

    def note_failed(self, now_s: float) -> None:
        """Schedule the next attempt after one without a response."""
        self._due_s = now_s + FAILED_ATTEMPT_S

    def due(self, now_s: float) -> bool:
        """Return whether the next check or attempt is due."""
        return now_s >= self._due_s
