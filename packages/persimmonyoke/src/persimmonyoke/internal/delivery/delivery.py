"""Run the generations and service calls of one node."""

import time
from collections import Counter

import gevent
from gevent.pool import Group

from persimmonyoke.internal.awake_time import StallFreeClock
from persimmonyoke.internal.delivery.answer import DeliveryCount
from persimmonyoke.internal.delivery.api import (
    ClaimGate,
    Clock,
    CompletionRequest,
    CompletionResult,
    CompletionSink,
    EnginePool,
    Router,
    ServicePool,
)
from persimmonyoke.internal.delivery.completion import Generation
from persimmonyoke.internal.delivery.parts import DeliveryContext, DeliveryOptions
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.services import ServiceDelivery, ServiceRequest
from persimmonyoke.internal.delivery.suspects import SuspectRegister
from persimmonyoke.internal.upstreams.api import ServiceAnswer


class Delivery:
    """Deliver complete answers, each exactly once, to their own callers."""

    def __init__(
        self,
        *,
        router: Router,
        engines: EnginePool,
        services: ServicePool,
        gate: ClaimGate,
        budget: RetryBudget,
        suspects: SuspectRegister,
        options: DeliveryOptions | None = None,
        clock: Clock = time.monotonic,
    ) -> None:
        self.counts: Counter[DeliveryCount] = Counter()
        self.budget = budget
        self.suspects = suspects
        self._background = Group()
        self._context = DeliveryContext(
            router=router,
            engines=engines,
            budget=budget,
            suspects=suspects,
            clock=clock,
            awake=StallFreeClock(clock),
            options=options or DeliveryOptions(),
            counts=self.counts,
            spawn=self._background.spawn,
        )
        self._services = ServiceDelivery(
            services=services,
            gate=gate,
            budget=budget,
            clock=clock,
            spawn=self._background.spawn,
        )

    def complete(
        self, request: CompletionRequest, sink: CompletionSink
    ) -> CompletionResult:
        """Run one admitted generation to its end.

        Blocks the calling greenlet. Throw ``CallerGone`` into it to stop the
        generation. Raises ``RequestError``.
        """
        return Generation(self._context, request, sink).run()

    def call_service(self, request: ServiceRequest) -> ServiceAnswer:
        """Make one service call; raises ``RequestError``.

        A claimed call runs to its end even if the caller disconnects, so that its
        answer is stored.
        """
        return self._services.run(request)

    def wait_background(self, deadline_s: float) -> bool:
        """Wait for cancellations and claim releases; return whether all ended."""
        with gevent.Timeout(deadline_s, False):
            self._background.join()
        return not self._background
