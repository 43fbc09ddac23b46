"""Measurement of the time from the dispatch of a request to its first token."""

from collections.abc import Callable

from persimmonyoke.internal.delivery.api import (
    CompletionRequest,
    CompletionResult,
    CompletionSink,
    TextProgress,
)
from persimmonyoke.internal.delivery.delivery import Delivery
from persimmonyoke.internal.delivery.services import ServiceRequest
from persimmonyoke.internal.upstreams.api import ServiceAnswer, StreamEvent, Upstream

FirstTokenCallback = Callable[[str, float], None]


class TimedDelivery:
    """Run generations and report the time to first token, except of resumed ones."""

    def __init__(
        self,
        delivery: Delivery,
        on_first_token: FirstTokenCallback,
        clock: Callable[[], float],
    ) -> None:
        self._delivery = delivery
        self._on_first_token = on_first_token
        self._clock = clock

    def complete(
        self, request: CompletionRequest, sink: CompletionSink
    ) -> CompletionResult:
        """Run one generation to completion."""
        if request.resume is not None:
            return self._delivery.complete(request, sink)
        started_s = self._clock()

        def on_first() -> None:
            self._on_first_token(request.request_id, self._clock() - started_s)

        return self._delivery.complete(request, _FirstTokenSink(sink, on_first))

    def call_service(self, request: ServiceRequest) -> ServiceAnswer:
        """Make one service call."""
        return self._delivery.call_service(request)


class _FirstTokenSink(CompletionSink):
    """Forward events; after the first one, callers reach the wrapped sink directly."""

    def __init__(self, sink: CompletionSink, on_first: Callable[[], None]) -> None:
        self._sink = sink
        self._on_first = on_first

    def begin_stream(self, upstream: Upstream, stream_id: str) -> None:
        self._sink.begin_stream(upstream, stream_id)

    def deliver(self, event: StreamEvent, progress: TextProgress) -> None:
        self._on_first()
        self.deliver = self._sink.deliver
        self._sink.deliver(event, progress)
