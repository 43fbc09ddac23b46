"""Progress of a host that was told to stop."""

import time
from collections import defaultdict

from persimmonyoke.internal.dispatch.stop_schedule import (
    RequestTime,
    StopSchedule,
    plain_time,
    stream_time,
)
from persimmonyoke.internal.dispatch.stream_pace import EndedStream, StreamPace
from persimmonyoke.internal.fleet.model import RequestKind
from persimmonyoke.internal.gateway.clocks import read_clocks
from persimmonyoke.internal.gateway.exchange import Exchange


class StreamPaces:
    """Track the pace of the streams that this host relays, by service."""

    def __init__(self) -> None:
        self._by_service: defaultdict[str, StreamPace] = defaultdict(StreamPace)

    def note(self, exchange: Exchange, *, now_s: float) -> None:
        """Record a stream that one engine generated without a break."""
        if exchange.first_event_s is None or exchange.sends != 1:
            return
        stream = EndedStream(
            max_tokens=_max_tokens(exchange),
            events=exchange.events - 1,
            duration_s=now_s - exchange.first_event_s,
            ended_s=now_s,
        )
        self._by_service[exchange.service.name].note(stream)

    def request_time(self, exchange: Exchange, *, now_s: float) -> RequestTime:
        """Return how long a request may take."""
        route = exchange.route
        longest_s = exchange.deadline_s - now_s
        if route.kind is not RequestKind.STREAMING:
            return plain_time(longest_s=longest_s, answer_s=route.target_latency_s)
        return stream_time(
            _max_tokens(exchange),
            self._by_service[exchange.service.name].pace(now_s),
            longest_s=longest_s,
            first_event_s=route.target_latency_s,
        )


class HostStop:
    """Measure the time since the signal, in which a suspension counts as well."""

    def __init__(self, schedule: StopSchedule, paces: StreamPaces) -> None:
        self._schedule = schedule
        self._paces = paces
        self._signalled = read_clocks()

    @property
    def elapsed_s(self) -> float:
        """Return the time since the signal."""
        return read_clocks().elapsed_s(self._signalled)

    @property
    def left_s(self) -> float:
        """Return the time until the answers end."""
        return self._schedule.answers_end_s - self.elapsed_s

    def accepts(self, exchange: Exchange) -> bool:
        """Return whether a new request is still to be served here."""
        elapsed_s = self.elapsed_s
        exchange.must_complete = self._schedule.must_complete(elapsed_s)
        return self._schedule.accepts(self._time(exchange), elapsed_s=elapsed_s)

    def may_begin(self, exchange: Exchange) -> bool:
        """Return whether the answer of an accepted request may begin now."""
        if not exchange.must_complete:
            return True
        return self._schedule.may_begin(self._time(exchange), elapsed_s=self.elapsed_s)

    def bound(self, exchange: Exchange) -> None:
        """Let no request wait for an event that would come after the answers end."""
        exchange.answers_end_s = time.monotonic() + self.left_s

    def _time(self, exchange: Exchange) -> RequestTime:
        return self._paces.request_time(exchange, now_s=time.monotonic())


def _max_tokens(exchange: Exchange) -> int:
    prompt = exchange.metadata.prompt
    return prompt.max_output_tokens if prompt else 0
