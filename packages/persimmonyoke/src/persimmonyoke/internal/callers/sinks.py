"""Sinks that turn generation events into a response body or an event stream."""

from collections.abc import Callable

import orjson

from persimmonyoke.errors import RequestError
from persimmonyoke.internal.callers.error_answers import (
    error_object,
    retry_after_with_jitter,
)
from persimmonyoke.internal.callers.exchange import Exchange
from persimmonyoke.internal.callers.frames import ResponseEncoder, Usage, encode_text
from persimmonyoke.internal.delivery.api import (
    Clock,
    CompletionSink,
    TextProgress,
)
from persimmonyoke.internal.delivery.stream_token import TokenIssuer
from persimmonyoke.internal.upstreams.api import StreamEvent, Upstream


class BodySink(CompletionSink):
    """Collect the text of an answer that is not streamed."""

    def __init__(self) -> None:
        self._texts: list[str] = []

    @property
    def text(self) -> str:
        """Return the text so far."""
        return "".join(self._texts)

    def begin_stream(self, upstream: Upstream, stream_id: str) -> None:
        """Do nothing; the body doesn't depend on the upstream."""

    def deliver(self, event: StreamEvent, progress: TextProgress) -> None:
        """Keep the text of the event."""
        self._texts.append(event.text)


class StreamSink(CompletionSink):
    """Write each event as a server-sent event with a signed token as its id.

    The response starts with the first event, so that a request that fails before it
    gets an HTTP error status.
    """

    def __init__(
        self,
        exchange: Exchange,
        encoder: ResponseEncoder,
        make_issuer: Callable[[Upstream, str], TokenIssuer],
        *,
        unix_clock: Clock,
    ) -> None:
        self._exchange = exchange
        self._encoder = encoder
        self._make_issuer = make_issuer
        self._unix_clock = unix_clock
        self._chunk_prefix, self._chunk_suffix = encoder.chunk_affixes()
        self._issue = None
        self._first_chunk = encoder.first_chunk()

    def begin_stream(self, upstream: Upstream, stream_id: str) -> None:
        """Issue the following resume tokens for this upstream stream."""
        self._issue = self._make_issuer(upstream, stream_id).issue

    def deliver(self, event: StreamEvent, progress: TextProgress) -> None:
        """Write the event; its token marks the position after it."""
        text = event.text
        if not text:
            return
        token = self._issue(progress, now_unix_s=self._unix_clock())
        chunk = b"".join(
            (b"id: ", token, self._chunk_prefix, encode_text(text), self._chunk_suffix)
        )
        if self._first_chunk:
            chunk, self._first_chunk = self._first_chunk + chunk, b""
        if not self._exchange.started:
            self._exchange.start_stream()
        self._exchange.write(chunk)

    def finish(self, finish_reason: str, usage: Usage) -> None:
        """End the stream of a complete answer."""
        if not self._exchange.started:
            self._exchange.start_stream()
        final_chunks = self._encoder.final_chunks(finish_reason, usage)
        self._exchange.write(self._first_chunk + final_chunks)

    def fail(self, error: RequestError) -> None:
        """End a started, incomplete stream with an error event."""
        retry_after_s = error.retry_after_s
        if retry_after_s is not None:
            retry_after_s = retry_after_with_jitter(retry_after_s)
        content = error_object(error, self._exchange.request_id, retry_after_s)
        self._exchange.write(b"data: " + orjson.dumps(content) + b"\n\n")
