"""Pace at which the streams of a service have lately gone on."""

from collections import deque
from dataclasses import dataclass

WINDOW_S = 10.0
"""Time for which a stream that has ended tells of the pace."""

MAX_SAMPLES = 512


@dataclass(frozen=True)
class EndedStream:
    """Hold the length of a stream after its first event."""

    max_tokens: int
    events: int
    duration_s: float
    ended_s: float


@dataclass(frozen=True)
class Pace:
    """Hold the time that the rest of a stream takes after its first event."""

    max_token_s: float
    """Mean time for each token that a request may have; most have fewer."""

    slowest_event_s: float
    """Time for each event of the slowest stream."""


class StreamPace:
    """Track the pace of recent streams."""

    def __init__(self) -> None:
        self._streams: deque[EndedStream] = deque(maxlen=MAX_SAMPLES)

    def note(self, stream: EndedStream) -> None:
        """Record a stream that has ended; one with a single event has no pace."""
        if stream.events > 0 and stream.max_tokens > 0:
            self._streams.append(stream)

    def pace(self, now_s: float) -> Pace | None:
        """Return the pace of recent streams, if there are any."""
        while self._streams and now_s - self._streams[0].ended_s > WINDOW_S:
            self._streams.popleft()
        if not self._streams:
            return None
        tokens = sum(stream.max_tokens for stream in self._streams)
        return Pace(
            max_token_s=sum(s.duration_s for s in self._streams) / tokens,
            slowest_event_s=max(s.duration_s / s.events for s in self._streams),
        )
