"""Reading of the events of one open stream."""

import http.client
import math
import os
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams import wire
from persimmonyoke.internal.upstreams.api import StreamEvent
from persimmonyoke.internal.upstreams.readiness import StreamReadiness
from persimmonyoke.internal.upstreams.sse import (
    ChunkDecoder,
    EventDecoder,
    parse_single_event_chunk,
)

READ_BYTES = 65_536
# The end of the body follows the last event immediately. If it does not arrive within
# this time, the connection is closed instead of reused.
DRAIN_TIMEOUT_S = 0.5


def socket_timeout(timeout_s: float) -> float | None:
    """Return the timeout in the form of sockets, where ``None`` means no timeout."""
    return None if math.isinf(timeout_s) else timeout_s


@dataclass
class StreamExpectation:
    """Hold the expected fields of the next event; ``None`` accepts any value."""

    request_id: str | None = None
    stream_id: str | None = None
    offset: int | None = None

    def check(self, event: StreamEvent) -> None:
        """Raise ``ProtocolError`` unless the event is the next one of this stream."""
        if self.request_id is None:
            self.request_id = event.request_id
        if self.stream_id is None:
            self.stream_id = event.stream_id
        if self.offset is None:
            self.offset = event.offset
        if event.request_id != self.request_id or event.stream_id != self.stream_id:
            raise ProtocolError(
                f"event of request {event.request_id!r}, stream {event.stream_id!r}, "
                f"arrived on stream {self.stream_id!r} of request {self.request_id!r}"
            )
        if event.offset != self.offset:
            raise ProtocolError(
                f"event of request {event.request_id!r} has offset {event.offset} "
                f"instead of {self.offset}"
            )
        self.offset += event.tokens


class EventStream:
    """Read the events of a response until the one with a finish reason."""

    def __init__(
        self,
        response: http.client.HTTPResponse,
        sock: socket.socket,
        expectation: StreamExpectation,
    ) -> None:
        self.drained = False
        self._response = response
        # The first read returns what was buffered after the headers.
        self._receive: Callable[[int], bytes] = response.fp.read1
        self._sock = sock
        self._expectation = expectation
        self._chunks = ChunkDecoder() if response.chunked else None
        self._events = EventDecoder()
        self._between_chunks = response.chunked
        self._readiness: StreamReadiness | None = None

    def events(self, *, idle_timeout_s: float) -> Iterator[StreamEvent]:
        """Yield the events; raise ``ConnectionError`` if the stream ends early.

        A wait longer than ``idle_timeout_s`` raises ``TimeoutError``. The wait for the
        first event is bounded by the timeout that the socket has on entry.
        """
        try:
            yield from self._events_until_last(idle_timeout_s)
        finally:
            self._close_readiness()

    def _events_until_last(self, idle_timeout_s: float) -> Iterator[StreamEvent]:
        check = self._expectation.check
        waiting_for_first = True
        while True:
            for data in self._read():
                event = wire.decode_event(data)
                check(event)
                yield event
                if event.finish_reason is not None:
                    self._drain()
                    return
                if waiting_for_first:
                    self._set_idle_timeout(idle_timeout_s)
                    waiting_for_first = False

    def _set_idle_timeout(self, idle_timeout_s: float) -> None:
        timeout_s = socket_timeout(idle_timeout_s)
        self._sock.settimeout(timeout_s)
        if timeout_s is None:
            self._readiness = StreamReadiness(self._sock.fileno())
            self._receive = self._receive_when_ready

    def _receive_when_ready(self, size: int) -> bytes:
        """Read after waiting, since the next event is rarely available immediately."""
        readiness = self._readiness
        descriptor = self._sock.fileno()
        while True:
            readiness.wait()
            try:
                return os.read(descriptor, size)
            except BlockingIOError:
                continue

    def _close_readiness(self) -> None:
        readiness, self._readiness = self._readiness, None
        if readiness is not None:
            readiness.close()

    def _read(self) -> list[bytes]:
        data = self._receive(READ_BYTES)
        if self._readiness is None:
            # A read of this size leaves nothing in the buffer of the response, and
            # reading from the socket directly saves time for each event.
            self._receive = self._sock.recv
        if not data:
            raise ConnectionResetError("stream ended before its last event")
        if self._between_chunks:
            event = parse_single_event_chunk(data)
            if event is not None:
                return [event]
        if self._chunks is None:
            return self._events.feed(data)
        data = self._chunks.feed(data)
        if self._chunks.ended and not data.strip():
            raise ConnectionResetError("stream ended before its last event")
        events = self._events.feed(data)
        self._between_chunks = self._chunks.between_chunks and self._events.complete
        return events

    def _drain(self) -> None:
        """Read the end of the body, so that the connection can be reused."""
        self._close_readiness()
        if self._chunks is None:
            return
        self._receive = self._sock.recv
        try:
            self._sock.settimeout(DRAIN_TIMEOUT_S)
            while not self._chunks.ended:
                data = self._receive(READ_BYTES)
                if not data:
                    return
                if self._chunks.feed(data):
                    return
        except (OSError, ProtocolError):
            return
        self._response.close()
        self.drained = self._events.complete
