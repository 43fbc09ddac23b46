"""Records of the requests and orders of a simulated engine, for test assertions."""

from collections import Counter, deque
from dataclasses import dataclass, field

RECORD_LIMIT = 100_000


@dataclass(frozen=True)
class RequestRun:
    """Record that the engine started a request."""

    request_id: str
    phase: str
    incarnation: str
    prompt_tokens: int
    cached_tokens: int
    prefix_tokens: int


@dataclass(frozen=True)
class OrderRun:
    """Record how the engine answered an order.

    ``effect`` is ``taken``, ``repeated`` or ``refused``. ``stale`` is set if its
    fencing number was lower than an earlier one, ``conflicting`` if another order was
    open when it arrived.
    """

    order_id: str
    action: str
    fencing: int
    incarnation: str
    effect: str
    stale: bool
    conflicting: bool
    reason: str = ""


@dataclass
class EngineRecord:
    """Record the activity of an engine across restarts, dropping the oldest entries."""

    requests: deque[RequestRun] = field(
        default_factory=lambda: deque(maxlen=RECORD_LIMIT)
    )
    orders: deque[OrderRun] = field(default_factory=lambda: deque(maxlen=RECORD_LIMIT))
    cancelled: deque[str] = field(default_factory=lambda: deque(maxlen=RECORD_LIMIT))
    interrupted: deque[str] = field(default_factory=lambda: deque(maxlen=RECORD_LIMIT))
    """Ids of requests with sequences that a stop or crash left unfinished."""
    counts: Counter[str] = field(default_factory=Counter)
    """Totals: ``tokens``, ``events``, ``prefill_tokens``, ``cached_tokens``,
    ``crashes``, ``role_changes``."""

    def runs(self, request_id: str) -> int:
        """Return how many times the engine started a request."""
        return sum(run.request_id == request_id for run in self.requests)

    def taken_orders(self) -> tuple[OrderRun, ...]:
        """Return the accepted orders, oldest first."""
        return tuple(order for order in self.orders if order.effect == "taken")

    def stale_orders_taken(self) -> tuple[OrderRun, ...]:
        """Return the orders that were accepted despite a stale fencing number."""
        return tuple(order for order in self.taken_orders() if order.stale)

    def conflicting_orders(self) -> tuple[OrderRun, ...]:
        """Return the orders that arrived while another was open."""
        return tuple(order for order in self.orders if order.conflicting)
