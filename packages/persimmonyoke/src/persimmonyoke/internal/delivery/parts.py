"""Hold the options and dependencies that all generations of a node share."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from persimmonyoke.internal.awake_time import StallFreeClock
from persimmonyoke.internal.delivery.answer import DeliveryCount
from persimmonyoke.internal.delivery.api import Clock, EnginePool, Router
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.suspects import SuspectRegister


@dataclass(frozen=True)
class DeliveryOptions:
    """Bound the attempts; the idle timeouts are multiples of the expected times.

    The multiples allow for load reports that are seconds late. A timeout that is too
    short costs a probe and a retry; one that is too long delays the recovery.
    """

    min_first_idle_s: float = 2.0
    first_idle_factor: float = 4.0
    min_inter_idle_s: float = 0.5
    inter_idle_factor: float = 20.0
    probe_timeout_s: float = 1.0
    cancel_timeout_s: float = 5.0
    drain_timeout_s: float = 1.0
    max_resumes_on_engine: int = 2
    max_attempts: int = 8


@dataclass(frozen=True)
class DeliveryContext:
    """Hold the dependencies that all generations of a node share."""

    router: Router
    engines: EnginePool
    budget: RetryBudget
    suspects: SuspectRegister
    clock: Clock
    awake: StallFreeClock
    options: DeliveryOptions
    counts: Counter[DeliveryCount]
    spawn: Callable[..., object]
