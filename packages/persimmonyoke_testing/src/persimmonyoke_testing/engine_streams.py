"""Server-sent events of the simulated engine."""

import time
from collections.abc import Iterator

import orjson

from persimmonyoke_testing.engine_core import EngineCore
from persimmonyoke_testing.engine_scheduler import Sequence
from persimmonyoke_testing.engine_text import token_text

# Bounds each event sent to a reader that resumes far behind.
MAX_EVENT_TOKENS = 256


class StreamReader:
    """Yield the events of one sequence, starting at an offset."""

    def __init__(self, core: EngineCore, sequence: Sequence, *, offset: int) -> None:
        self.core = core
        self.sequence = sequence
        self.offset = offset
        self._sent_events = 0
        self._cut_after = core.faults.cut_streams_after
        self._event_prefix = self._encode_event_prefix(
            sequence.request_id, sequence.stream_id
        )

    def events(self) -> Iterator[bytes]:
        """Yield encoded events until the sequence is finished."""
        sequence = self.sequence
        sequence.readers += 1
        try:
            while True:
                sequence.changed.clear()
                end = self._ready_end()
                if end > self.offset:
                    yield self._replace_by_crossed_event(self._event(end, None))
                    self._record_sent(end)
                elif sequence.finish_reason is not None:
                    yield self._event(end, sequence.finish_reason)
                    return
                else:
                    sequence.changed.wait()
        finally:
            sequence.readers -= 1
            sequence.last_read_s = time.monotonic()

    def _ready_end(self) -> int:
        """Return the end of the next event, or the current offset if none is due."""
        sequence = self.sequence
        # The last token is sent in the same event as the finish reason.
        last = sequence.produced - (1 if sequence.finish_reason else 0)
        ready = last - self.offset
        if ready <= 0:
            return self.offset
        first = self.offset == sequence.prefix_tokens
        if sequence.finish_reason or first:
            return min(last, self.offset + MAX_EVENT_TOKENS)
        per_event = self.core.settings.tokens_per_event
        sent = last - sequence.prefix_tokens
        boundary = sequence.prefix_tokens + sent - sent % per_event
        return max(self.offset, min(boundary, self.offset + MAX_EVENT_TOKENS))

    def _event(self, end: int, reason: str | None) -> bytes:
        if reason is not None:
            end = self.sequence.produced
        text = token_text(self.sequence.tag, self.offset, end)
        body = b'%b,"offset":%d,"text":"%b","tokens":%d' % (
            self._event_prefix,
            self.offset,
            text.encode(),
            max(0, end - self.offset),
        )
        if reason is not None:
            body += b',"finish_reason":"%b"' % reason.encode()
        return body + b"}\n\n"

    def _record_sent(self, end: int) -> None:
        self.offset = end
        self._sent_events += 1
        self.core.record.counts["events"] += 1
        if self._cut_after is not None and self._sent_events >= self._cut_after:
            raise BrokenPipeError(32, "stream cut by an injected fault")

    def _replace_by_crossed_event(self, event: bytes) -> bytes:
        faults = self.core.faults
        if faults.crossed_events <= 0:
            return event
        faults.crossed_events -= 1
        others = (
            s
            for s in self.core.streams.values()
            if s.request_id != self.sequence.request_id
        )
        other = next(others, None)
        request_id = other.request_id if other else "request-of-another-caller"
        stream_id = other.stream_id if other else "stream-of-another-caller"
        crossed = self._encode_event_prefix(request_id, stream_id)
        return event.replace(self._event_prefix, crossed, 1)

    @staticmethod
    def _encode_event_prefix(request_id: str, stream_id: str) -> bytes:
        ids = orjson.dumps({"request_id": request_id, "stream_id": stream_id})
        return b"data: " + ids[:-1]
