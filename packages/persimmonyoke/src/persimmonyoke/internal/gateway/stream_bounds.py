"""Limits of what the streams of one request may hold."""

from collections.abc import Sequence

from persimmonyoke.internal.fleet.model import Prompt
from persimmonyoke.internal.gateway.connections import AnswerLost
from persimmonyoke.internal.gateway.events import EventSplitter, StreamEvent

MAX_EXTRA_EVENTS = 16
"""Events allowed beyond one per token, such as a final event that marks the end."""


class StreamBounds:
    """Count the events of one request over all of its runs."""

    def __init__(self, prompt: Prompt | None) -> None:
        self._limit = prompt.max_output_tokens + MAX_EXTRA_EVENTS if prompt else None
        self._events_read = 0

    def check(
        self, splitter: EventSplitter, events: Sequence[StreamEvent], last_id: int
    ) -> None:
        """Raise ``AnswerLost`` if a stream is malformed or too long."""
        self._events_read += sum((e.event_id or 0) > last_id for e in events)
        if splitter.malformed:
            raise AnswerLost("stream holds bytes that are no events")
        if self._limit is not None and self._events_read > self._limit:
            raise AnswerLost("stream has more events than tokens were asked for")
