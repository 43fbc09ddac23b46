"""Builders for tests of the authority over engines."""

import itertools
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from types import TracebackType

import gevent

from persimmonyoke.internal.authority.controller import (
    OrderPlanner,
    PlannedOrder,
    PoolController,
)
from persimmonyoke.internal.authority.lease import AuthorityLease
from persimmonyoke.internal.authority.orders import IssueOutcome, OrderIssuer
from persimmonyoke.internal.authority.timer import LeaseTimer
from persimmonyoke.internal.upstreams.api import (
    CacheEventBatch,
    EngineClient,
    EngineFailure,
    EngineState,
    GenerateCall,
    LoadReport,
    Order,
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    OrderUnknown,
    Role,
    StreamEvent,
)
from persimmonyoke_testing.key_value_state import KeyValueState
from persimmonyoke_testing.memory_store import MemoryStore

POOL = "llm-pool"
LEASE_S = 4.0
ORDER_DEADLINE_S = 2.0
REAL_LEASE_S = 1.0
LEASE_KEY = "/persimmonyoke/kente/authority/llm-pool"
RECORD_KEY = "/persimmonyoke/kente/orders/llm-pool"


@dataclass
class ManualClock:
    """Return a fixed time until a test advances it."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Advance the time."""
        self.now_s += seconds


class RecordingTimer(LeaseTimer):
    """Record the deadline at which the kernel would end the process."""

    def __init__(self) -> None:
        self.deadline_s: float | None = None

    def arm(self, pool: str, deadline_s: float) -> None:
        """Record the deadline."""
        self.deadline_s = deadline_s

    def disarm(self, pool: str) -> None:
        """Clear the deadline."""
        self.deadline_s = None


class FakeEngine(EngineClient):
    """Accept orders in memory and record each one with its fencing number.

    ``delay_next`` delays the next order until ``deliver_delayed`` is called, like a
    packet in flight; ``lose_next_answer`` accepts the order but loses the answer.
    """

    def __init__(self, name: str, *, checks_fencing: bool = True) -> None:
        self.checks_fencing = checks_fencing
        self.delay_next = False
        self.lose_next_answer = False
        self.unreachable = False
        self.accepted: list[Order] = []
        self.conflicts: list[tuple[str, str]] = []
        self._delayed: list[Order] = []
        self.reported = EngineState(
            name, "run-1", Role.MIXED, ("m",), (), "1", 0, None, None, None, 0
        )

    def state(self) -> EngineState:
        """Return the state."""
        if self.unreachable:
            raise EngineFailure("unreachable", sent=False)
        return self.reported

    def order(self, order: Order, *, timeout_s: float) -> OrderOutcome:
        """Accept an order, unless a fault is set."""
        if self.unreachable:
            return OrderUnknown(order.order_id, "unreachable")
        if self.delay_next:
            self.delay_next = False
            self._delayed.append(order)
            return OrderUnknown(order.order_id, "timed out")
        outcome = self._accept(order)
        if self.lose_next_answer:
            self.lose_next_answer = False
            return OrderUnknown(order.order_id, "answer lost")
        return outcome

    @property
    def delayed(self) -> bool:
        """Return whether an order is delayed."""
        return bool(self._delayed)

    def deliver_delayed(self) -> list[OrderOutcome]:
        """Deliver the delayed orders."""
        late, self._delayed = self._delayed, []
        return [self._accept(order) for order in late]

    def drop_delayed(self) -> None:
        """Drop the delayed orders."""
        self._delayed.clear()

    def finish(self, status: str = "done") -> None:
        """Finish the open order."""
        self.reported = replace(
            self.reported,
            open_order_id=None,
            last_order_id=self.reported.open_order_id,
            last_order_status=status,
        )

    def restart(self) -> None:
        """Restart without any state of orders."""
        self.reported = replace(
            self.reported,
            incarnation="run-2",
            fencing=0,
            open_order_id=None,
            last_order_id=None,
            last_order_status=None,
        )

    def _accept(self, order: Order) -> OrderOutcome:
        state = self.reported
        if order.order_id in (state.open_order_id, state.last_order_id):
            return OrderAccepted(order.order_id)
        if self.checks_fencing and order.fencing < state.fencing:
            return OrderRefused(order.order_id, "old fencing number")
        if state.open_order_id is not None:
            self.conflicts.append((state.open_order_id, order.order_id))
            if self.checks_fencing:
                return OrderRefused(order.order_id, "another order is open")
        self.accepted.append(order)
        fencing = max(state.fencing, order.fencing)
        self.reported = replace(state, open_order_id=order.order_id, fencing=fencing)
        return OrderAccepted(order.order_id)

    def generate(self, call: GenerateCall) -> Iterator[StreamEvent]:
        """Fail, since these tests send no work."""
        raise EngineFailure("not an inference test", sent=False)

    def resume(self, stream_id: str, *, offset: int) -> Iterator[StreamEvent]:
        """Fail, since these tests send no work."""
        raise EngineFailure("not an inference test", sent=False)

    def cancel(self, request_id: str) -> None:
        """Ignore the call."""

    def load(self) -> LoadReport:
        """Fail, since these tests send no work."""
        raise EngineFailure("not an inference test", sent=False)

    def cache_events(self, *, since: int) -> CacheEventBatch:
        """Return no events."""
        return CacheEventBatch((), since, False)

    def export_kv(self, request_id: str) -> bytes:
        """Fail, since these tests send no work."""
        raise EngineFailure("not an inference test", sent=False)

    def import_kv(self, blob: bytes) -> str:
        """Fail, since these tests send no work."""
        raise EngineFailure("not an inference test", sent=False)


class ListPlanner(OrderPlanner):
    """Plan a fixed list of orders, one at a time."""

    def __init__(self, planned: list[PlannedOrder]) -> None:
        self.planned = planned
        self.outcomes: list[IssueOutcome] = []

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the next order."""
        return self.planned[0] if self.planned else None

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Record the outcome and advance to the next order."""
        self.outcomes.append(outcome)
        self.planned.pop(0)


_numbers = itertools.count(1)


def build_planned_order(engine: str = "e1", role: str = "prefill") -> PlannedOrder:
    """Return an order that changes a role."""
    reason = f"test {next(_numbers)}"
    return PlannedOrder(engine, "run-1", "change_role", {"role": role}, reason)


@dataclass
class AuthorityFixture:
    """Hold one controller with its fakes; several may share a state and a clock."""

    clock: ManualClock
    state: KeyValueState
    engines: dict[str, FakeEngine]
    holder: str = "c1"
    checks_fencing: bool = True
    timer: RecordingTimer = field(default_factory=RecordingTimer)

    def __post_init__(self) -> None:
        self.store = MemoryStore(
            state=self.state, clock=self.clock, sleep=self.clock.advance
        )
        self.lease = AuthorityLease(
            self.store,
            LEASE_KEY,
            pool=POOL,
            holder=self.holder,
            lease_s=LEASE_S,
            timer=self.timer,
            clock_s=self.clock,
        )
        self.issuer = OrderIssuer(
            self.store,
            RECORD_KEY,
            holder=self.holder,
            authority=lambda now_s: self.lease.check(now_s=now_s),
            client_of=self.engines.get,
            order_deadline_s=ORDER_DEADLINE_S,
            lease_s=LEASE_S,
            checks_fencing=self.checks_fencing,
            clock_s=self.clock,
        )
        self.planner = ListPlanner([])
        self.controller = PoolController(
            pool=POOL, lease=self.lease, issuer=self.issuer, planner=self.planner
        )

    def acquire(self) -> bool:
        """Try once to acquire the lease."""
        return self.lease.try_acquire(now_s=self.clock()) is not None

    def step(self) -> IssueOutcome | None:
        """Run one iteration of the control loop."""
        return self.controller.step(now_s=self.clock(), now_unix_s=self.clock())


def build_pair(
    *, checks_fencing: bool = True
) -> tuple[AuthorityFixture, AuthorityFixture, FakeEngine]:
    """Return two controllers over one store and one engine ``e1``."""
    clock = ManualClock()
    state = KeyValueState(clock=clock)
    engine = FakeEngine("e1", checks_fencing=checks_fencing)
    first, second = (
        AuthorityFixture(clock, state, {"e1": engine}, holder, checks_fencing)
        for holder in ("c1", "c2")
    )
    return first, second, engine


def wait_until(holds: Callable[[], bool], *, timeout_s: float = 5.0) -> None:
    """Wait for a condition; raise ``AssertionError`` if it does not become true."""
    end_s = time.monotonic() + timeout_s
    while not holds():
        if time.monotonic() > end_s:
            raise AssertionError(f"no change within {timeout_s} s")
        gevent.sleep(0.005)


class SlowRenewals:
    """Run the lease tasks of a controller in real time over a store that stalls.

    The acquisition is answered at once, each renewal only after two lease periods.
    """

    def __init__(self, fixture: AuthorityFixture) -> None:
        store = MemoryStore(sleep=gevent.sleep)
        keep_alive = store.keep_alive

        def stalled(lease_id: int) -> float:
            gevent.sleep(2 * REAL_LEASE_S)
            return keep_alive(lease_id)

        store.keep_alive = stalled
        self.timer = RecordingTimer()
        self.lease = AuthorityLease(
            store,
            LEASE_KEY,
            pool=POOL,
            holder="c1",
            lease_s=REAL_LEASE_S,
            timer=self.timer,
        )
        self._controller = PoolController(
            pool=POOL, lease=self.lease, issuer=fixture.issuer, planner=fixture.planner
        )
        self._stop = threading.Event()
        self._tasks: list[gevent.Greenlet] = []

    def __enter__(self) -> tuple[AuthorityLease, RecordingTimer, threading.Event]:
        self._tasks = [
            gevent.spawn(self._controller.hold_lease, self._stop),
            gevent.spawn(self._controller.enforce_lease_expiry, self._stop),
        ]
        return self.lease, self.timer, self._stop

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop.set()
        gevent.killall(self._tasks)
