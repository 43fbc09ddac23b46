"""Record of what a simulated engine ran, for the assertions of tests."""

from collections import Counter, deque
from dataclasses import dataclass, field

RECORD_LIMIT = 100_000


@dataclass(frozen=True)
class RequestRun:
    """Say that the engine began to run a request."""

    request_id: str
    phase: str
    incarnation: str
    prompt_tokens: int
    cached_tokens: int
    prefix_tokens: int


@dataclass(frozen=True)
class OrderRun:
    """Say how the engine answered an order.

    ``effect`` is ``taken``, ``repeated`` or ``refused``. ``stale`` says that its
    fencing number was lower than one seen before; ``conflicting`` that another order
    was open when it arrived.
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
    """Keep the runs of an engine over all its incarnations, oldest dropped first."""

    requests: deque[RequestRun] = field(
        default_factory=lambda: deque(maxlen=RECORD_LIMIT)
    )
    orders: deque[OrderRun] = field(default_factory=lambda: deque(maxlen=RECORD_LIMIT))
    cancelled: deque[str] = field(default_factory=lambda: deque(maxlen=RECORD_LIMIT))
    interrupted: deque[str] = field(default_factory=lambda: deque(maxlen=RECORD_LIMIT))
    """Request ids whose sequences a crash ended before their last token."""
    counts: Counter[str] = field(default_factory=Counter)
    """Totals: ``tokens``, ``events``, ``prefill_tokens``, ``cached_tokens``,
    ``crashes``, ``role_changes``."""

    def runs(self, request_id: str) -> int:
        """Return how often the engine began to run a request."""
        return sum(run.request_id == request_id for run in self.requests)

    def taken_orders(self) -> tuple[OrderRun, ...]:
        """Return the orders that took effect, in order."""
        return tuple(order for order in self.orders if order.effect == "taken")

    def stale_orders_taken(self) -> tuple[OrderRun, ...]:
        """Return orders that took effect despite a stale fencing number."""
        return tuple(order for order in self.taken_orders() if order.stale)

    def conflicting_orders(self) -> tuple[OrderRun, ...]:
        """Return orders that arrived while another was open."""
        return tuple(order for order in self.orders if order.conflicting)
