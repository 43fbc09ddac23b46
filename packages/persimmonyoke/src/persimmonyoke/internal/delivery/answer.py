"""Assemble one answer from the events of several attempts without repeating tokens."""

import zlib
from collections import Counter
from enum import StrEnum

from persimmonyoke.internal.delivery.api import (
    CompletionSink,
    ResumePoint,
    TextProgress,
)
from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.upstreams.api import StreamEvent, Upstream

# Any other reason, such as a cancellation by another entry host, leaves the answer
# incomplete.
COMPLETE_FINISH_REASONS = frozenset({"stop", "length"})


class DeliveryCount(StrEnum):
    """Name the counters that delivery exports as metrics."""

    CROSSED_EVENTS = "crossed_events"
    DUPLICATE_EVENTS = "duplicate_events"
    TRIMMED_EVENTS = "trimmed_events"
    GAPS = "gaps"
    BREAKS = "breaks"
    SILENCES = "silences"
    CRASHES = "crashes"
    RESUMES = "resumes"
    CONTINUATIONS = "continuations"
    CANCELS = "cancels"
    GIVEN_UP = "given_up"


class StreamFault(Exception):
    """Report an event after which the connection must not be read further."""


class CrossedEvent(StreamFault):
    """Report an event of another request."""


class StreamEnded(StreamFault):
    """Report that the engine has ended the stream before its last token."""


class AnswerDiverged(Exception):
    """Report that a regenerated answer differs from what the caller already has."""


class Answer:
    """Pass each token of one answer to the sink once, in order and without gaps.

    ``delivered`` is the position of the caller, ``generated`` that of the current
    attempts. They are the same object, except while an answer is regenerated from its
    start because this host lacks the text that another host delivered.
    """

    def __init__(
        self,
        request_id: str,
        sink: CompletionSink,
        counts: Counter[DeliveryCount],
        *,
        resume: ResumePoint | None = None,
    ) -> None:
        self._request_id = request_id
        self._sink = sink
        self._counts = counts
        self._upstream: Upstream | None = None
        self.stream_id: str | None = None
        self.delivered = TextProgress()
        if resume is not None:
            self.delivered = TextProgress(
                resume.offset, resume.text_bytes, resume.text_crc
            )
        self.generated = self.delivered
        self._prefix_known = resume is None or resume.text_bytes == 0
        self._chunks: list[bytes] = []
        # Byte position of each event by its token offset. An overlapping event can be
        # cut at these positions without the tokeniser.
        self._byte_offsets: dict[int, int] = {}
        self.received_any = False

    @property
    def prefix_text(self) -> str:
        """Return the text after which another engine has to continue."""
        return b"".join(self._chunks).decode("utf-8", "surrogatepass")

    def begin_attempt(self, upstream: Upstream, *, stream_id: str | None) -> None:
        """Expect events of an engine; a new stream gets its id from its first event."""
        self._upstream = upstream
        self.stream_id = stream_id
        if stream_id is not None:
            self._sink.begin_stream(upstream, stream_id)

    def restart_if_prefix_unknown(self) -> None:
        """Regenerate from the start if the text before the resume point is unknown."""
        if self._prefix_known:
            return
        self._prefix_known = True
        self.generated = TextProgress()
        self._chunks = []
        self._byte_offsets = {}

    def process_event(self, event: StreamEvent) -> str | None:
        """Deliver the new part of an event; return the finish reason, if any.

        Raises ``StreamFault`` if the connection must be closed, and
        ``AnswerDiverged`` if the answer no longer matches what the caller has.
        """
        if event.request_id != self._request_id or event.stream_id != self.stream_id:
            self._check_stream(event)
        generated = self.generated
        if event.offset != generated.offset:
            aligned = self._align(event)
            if aligned is None:
                return None
            event = aligned
        reason = event.finish_reason
        if reason is not None and reason not in COMPLETE_FINISH_REASONS:
            raise StreamEnded(f"the engine ended the stream early: {reason!r}")
        self.received_any = True
        data = event.text.encode("utf-8", "surrogatepass")
        if generated is not self.delivered:
            replayed = self._replay(event, data)
            if replayed is None:
                return None
            event = replayed
        else:
            self._append(data, event.offset, event.tokens)
        self._sink.deliver(event, self.delivered)
        if reason is not None:
            self._check_complete(event)
        return reason

    def _append(self, data: bytes, offset: int, tokens: int) -> None:
        generated = self.generated
        self._byte_offsets[offset] = generated.text_bytes
        self._chunks.append(data)
        generated.advance(data, tokens)

    def _check_complete(self, last: StreamEvent) -> None:
        check_invariant(
            last.request_id == self._request_id
            and last.offset + last.tokens == self.delivered.offset,
            Invariant.WHOLE_ANSWER_TO_OWN_CALLER,
            f"request {self._request_id} ended at token {self.delivered.offset}",
        )

    def _check_stream(self, event: StreamEvent) -> None:
        own_request = event.request_id == self._request_id
        if own_request and self.stream_id is None and self._upstream is not None:
            self.stream_id = event.stream_id
            self._sink.begin_stream(self._upstream, event.stream_id)
            return
        self._counts[DeliveryCount.CROSSED_EVENTS] += 1
        raise CrossedEvent("the stream carried an event of another request")

    def _align(self, event: StreamEvent) -> StreamEvent | None:
        """Remove the part already received; return ``None`` if nothing remains."""
        position = self.generated.offset
        end = event.offset + event.tokens
        if event.offset > position:
            self._counts[DeliveryCount.GAPS] += 1
            raise StreamFault(f"tokens {position} to {event.offset} are missing")
        if end == position and event.finish_reason is not None:
            return event._replace(offset=position, text="", tokens=0)
        if end <= position:
            if event.finish_reason is not None:
                raise StreamFault("the stream ended before what was delivered")
            self._counts[DeliveryCount.DUPLICATE_EVENTS] += 1
            return None
        return self._trim(event, end - position)

    def _trim(self, event: StreamEvent, new_tokens: int) -> StreamEvent:
        start = self._byte_offsets.get(event.offset)
        if start is None:
            raise StreamFault(f"an event at token {event.offset} can't be cut")
        overlap_bytes = self.generated.text_bytes - start
        data = event.text.encode("utf-8", "surrogatepass")
        known = b"".join(self._chunks)
        if known[len(known) - overlap_bytes :] != data[:overlap_bytes]:
            raise StreamFault("an event contradicts what was delivered")
        self._counts[DeliveryCount.TRIMMED_EVENTS] += 1
        text = data[overlap_bytes:].decode("utf-8", "surrogatepass")
        return event._replace(
            offset=self.generated.offset, text=text, tokens=new_tokens
        )

    def _replay(self, event: StreamEvent, data: bytes) -> StreamEvent | None:
        """Skip text that the caller already has; return the rest of the event.

        Raises ``AnswerDiverged`` if the skipped text differs from the caller's text.
        """
        target = self.delivered
        missing_bytes = target.text_bytes - self.generated.text_bytes
        if len(data) < missing_bytes:
            if event.finish_reason is not None:
                raise AnswerDiverged("the regenerated answer is shorter")
            self._append(data, event.offset, event.tokens)
            return None
        crc = zlib.crc32(data[:missing_bytes], self.generated.crc)
        if crc != target.crc:
            raise AnswerDiverged("the regenerated answer differs")
        self._append(data, event.offset, event.tokens)
        self.delivered = self.generated
        rest = data[missing_bytes:]
        if not rest and event.finish_reason is None:
            return None
        # Tokens that end within the skipped text have already been delivered.
        end = event.offset + event.tokens
        new_tokens = max(0, min(event.tokens, end - target.offset))
        return event._replace(
            offset=end - new_tokens,
            text=rest.decode("utf-8", "surrogatepass"),
            tokens=new_tokens,
        )
