"""Read requests from a client, send responses and detect its disconnection."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
from gevent import socket

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.fleet.model import ClientLimits
from persimmonyoke.internal.gateway import sockets
from persimmonyoke.internal.gateway.body_buffer import Body
from persimmonyoke.internal.gateway.client_table import ClientPhase, TableEntry
from persimmonyoke.internal.gateway.held_memory import (
    LARGE_BYTES,
    HeldBytes,
    HeldMemory,
    NoRoom,
)
from persimmonyoke.internal.gateway.requests import ClientRequest, RequestParser
from persimmonyoke.internal.gateway.yielding import yield_to_io

READ_BYTES = 65_536
LINGER_S = 4.0
"""Time for which the rest of a refused request is read before the close."""

LINGER_SILENCE_S = 0.3
"""Time without a byte after which such a client is taken to have sent everything."""

READ_EVENT = 1
"""The libev event flag ``EV_READ``."""

BODY_TIMEOUT_S = 10.0
"""Time limit for receiving the body of a request."""

SEND_TIMEOUT_S = 5.0
"""Time limit for one send; a client that does not read is disconnected after it."""

MIN_TIMEOUT_S = 0.001

PROGRESS_BYTES = 16_384
"""Bytes of a body that count as progress of its client."""

MAX_PENDING_BYTES = 262_144
"""Limit of pipelined input that is buffered while a request is being served."""


class ClientGone(Exception):
    """Signal that a client closed its connection or stopped reading."""


@dataclass(frozen=True)
class OutgoingHead:
    """Represent the head of a response to a client."""

    status: int
    reason: bytes
    headers: Sequence[tuple[bytes, bytes]]


class _PendingInput:
    """Hold pipelined input that arrives while a request is being served."""

    def __init__(self, memory: HeldMemory) -> None:
        self._held = HeldBytes(memory)
        self._parts: list[bytes] = []

    def has_room(self) -> bool:
        """Return whether another block of input may be received."""
        if self._held.size_bytes > MAX_PENDING_BYTES:
            return False
        try:
            self._held.hold_body(READ_BYTES)
        except NoRoom:
            return False
        self._held.drop(READ_BYTES)
        return True

    def append(self, data: bytes) -> None:
        """Hold input for which there was room a moment ago."""
        self._held.hold_body(len(data))
        self._parts.append(data)

    def take(self) -> bytes:
        """Remove and return the input."""
        data = b"".join(self._parts)
        self._parts.clear()
        self._held.release()
        return data


class ClientConnection(TableEntry):
    """Read requests from a client and write responses to it.

    While a request is being served, a watcher detects that the client disconnects,
    although no task reads from the socket.

    ``limits`` returns the limits in force. They may change while a client is idle or
    sends a request; the widest limits since then apply, as a client may not yet know
    of narrower ones.

    What is held for a request is released when the next one is asked for, or when the
    connection is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: Callable[[], ClientLimits],
        memory: HeldMemory,
        on_progress: Callable[[ClientPhase], None] = lambda _phase: None,
    ) -> None:
        self._sock = sock
        self._on_progress = on_progress
        self._limits = limits
        self._parser = RequestParser(limits(), memory)
        self._held: HeldBytes | None = None
        self._pending = _PendingInput(memory)
        self._bytes_since_yield = 0
        self._bytes_since_progress = 0
        self._watcher = None
        self._on_disconnect: Callable[[], None] | None = None
        self.disconnected = False
        self.idle = True
        self.response_started = False
        self._has_served = False
        self.last_byte_s = 0.0

    def next_request(self) -> ClientRequest | None:
        """Return the next request, or ``None`` if the client sends no more.

        Raises ``RequestError`` for input that is rejected.
        """
        self._release_served()
        request = self._parser.next_request()
        started_s = time.monotonic()
        if not self._parser.reading:
            self._parser.limits = self._limits()
        if self._has_served:
            self._on_progress(ClientPhase.IDLE)
        while request is None:
            if not self._read_some(started_s):
                return None
            if self._bytes_since_yield >= READ_BYTES:
                # Receiving from a fast client would never let other requests run.
                self._bytes_since_yield = 0
                yield_to_io()
            if self.idle:
                started_s = time.monotonic()
            self.idle = False
            self._note_received()
            request = self._parser.next_request()
        self.idle = False
        self._has_served = True
        self._on_progress(ClientPhase.SERVING)
        self.response_started = False
        self.last_byte_s = time.monotonic()
        self._held = request.held
        return request

    def _note_received(self) -> None:
        """Tell of the progress of a body; a few bytes of it are none, nor is a head.

        A head that arrives in parts is no more use to its host than a new connection.
        """
        if not self._parser.head_complete:
            return
        begins = self.phase is not ClientPhase.RECEIVING
        if begins or self._bytes_since_progress >= PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self._on_progress(ClientPhase.RECEIVING)

    def release(self) -> None:
        """Release all that is held for the requests of this connection."""
        self._release_served()
        self._parser.release()
        self._pending.take()

    def _release_served(self) -> None:
        if self._held is not None:
            self._held.release()
            self._held = None

    def _read_some(self, started_s: float) -> bool:
        """Parse more bytes; return whether the client is still connected."""
        data = self._pending.take() or self._receive(started_s)
        if not data:
            return False
        self._bytes_since_yield += len(data)
        self._bytes_since_progress += len(data)
        self._widen_limits()
        self._parser.feed(data)
        if self._parser.wants_continue:
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _widen_limits(self) -> ClientLimits:
        self._parser.limits = self._parser.limits.widened(self._limits())
        return self._parser.limits

    def _receive(self, started_s: float) -> bytes:
        """Return received bytes, or none if the client is gone or idle for too long."""
        if self.disconnected:
            return b""
        self.idle = not self._parser.reading
        while True:
            left_s = started_s + self._limit_s() - time.monotonic()
            try:
                self._sock.settimeout(max(MIN_TIMEOUT_S, left_s))
                return self._sock.recv(READ_BYTES)
            except TimeoutError as error:
                raised = started_s + self._limit_s() > time.monotonic()
                if raised or sockets.has_input(self._sock):
                    # Input may have arrived since the timeout while others ran.
                    continue
                if self.idle:
                    return b""
                raise RequestError(
                    ErrorKind.REQUEST_TIMEOUT, "request did not arrive in time"
                ) from error
            except OSError:
                # There is no complete request to respond to, so a reset is no error.
                return b""

    def _limit_s(self) -> float:
        """Return how long the client may take for what it does now."""
        limits = self._widen_limits()
        if self.idle:
            return limits.idle_timeout_s
        if self._parser.head_complete:
            return BODY_TIMEOUT_S
        return limits.header_timeout_s

    def watch_for_disconnect(self, on_disconnect: Callable[[], None]) -> None:
        """Call ``on_disconnect`` if the client disconnects before ``stop_watching``."""
        self._on_disconnect = on_disconnect
        if self._watcher is None:
            self._watcher = gevent.get_hub().loop.io(self._sock.fileno(), READ_EVENT)
        self._watcher.start(self._on_readable)

    def stop_watching(self) -> None:
        """Stop watching for disconnection."""
        self._on_disconnect = None
        if self._watcher is not None:
            self._watcher.stop()

    def _on_readable(self) -> None:
        data = self._read_pipelined()
        if data is None:
            return
        if data:
            self._pending.append(data)
            return
        self.disconnected = True
        self._watcher.stop()
        if self._on_disconnect is not None:
            self._on_disconnect()

    def _read_pipelined(self) -> bytes | None:
        """Return input, none at the end of file, or ``None`` if it is left unread.

        Runs in the event loop, which must not block, so it reads the underlying
        non-blocking socket.
        """
        try:
            if self._pending.has_room():
                return self._sock._sock.recv(READ_BYTES)
            pending = sockets.peek(self._sock, 1)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        if not pending:
            return pending
        # What stays in the kernel keeps the client from sending on.
        self._watcher.stop()
        return None

    def send_response(self, head: OutgoingHead, body: Body) -> None:
        """Send a complete response."""
        framing = b"Content-Length: %d\r\n" % len(body)
        if head.status in (204, 304):
            framing = b""
        encoded = _encode_head(head, framing)
        if len(body) <= LARGE_BYTES:
            self._send(encoded + body)
            return
        self._send(encoded)
        self._send(body)

    def begin_chunked(self, head: OutgoingHead, first: bytes) -> None:
        """Send the head of a chunked response and its first chunk."""
        data = _encode_head(head, b"Transfer-Encoding: chunked\r\n")
        self._send(data + _chunk(first))

    def send_chunk(self, part: bytes) -> None:
        """Send a chunk; do nothing if it is empty."""
        if part:
            self._send(_chunk(part))

    def end_chunked(self) -> None:
        """End a chunked response."""
        self._send(b"0\r\n\r\n")

    @property
    def has_input(self) -> bool:
        """Return whether input or its end has arrived that was not read yet."""
        return sockets.has_input(self._sock)

    def shut_down(self) -> None:
        """End the connection from another greenlet."""
        sockets.shut_down(self._sock)

    def close(self) -> None:
        """Close the connection."""
        self.release()
        self._stop_watcher()
        self._sock.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or has arrived.

        Closing with unread input would reset the connection.
        """
        if self.idle and not self.has_input:
            self.close()

    def lingering_close(self) -> None:
        """Close the connection so that the client can still read the last response.

        Closing with unread input would reset the connection and discard the response.
        """
        self.release()
        self._stop_watcher()
        self._on_progress(ClientPhase.ENDING)
        end_s = time.monotonic() + LINGER_S
        try:
            self._sock.shutdown(socket.SHUT_WR)
            self._sock.settimeout(LINGER_SILENCE_S)
            while time.monotonic() < end_s and self._sock.recv(READ_BYTES):
                # Reading from a fast client would never let other requests run.
                yield_to_io()
        except OSError:
            # The client may reset the connection or send nothing; it is closed anyway.
            pass
        finally:
            self._sock.close()

    def _stop_watcher(self) -> None:
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _send(self, data: Body) -> None:
        self.response_started = True
        if self.disconnected:
            raise ClientGone("client closed the connection")
        try:
            self._send_all(data)
        except OSError as error:
            self.disconnected = True
            raise ClientGone(f"sending to the client failed: {error}") from error

    def _send_all(self, data: Body) -> None:
        """Send bytes, and tell of the progress while the client has to read."""
        left = memoryview(data)
        self._sock.settimeout(0.0)
        try:
            left = left[self._sock.send(left) :]
        except BlockingIOError:
            # The client has not read what was sent before.
            pass
        if not left:
            return
        end_s = time.monotonic() + SEND_TIMEOUT_S
        while left:
            self._on_progress(ClientPhase.SENDING)
            self._sock.settimeout(max(MIN_TIMEOUT_S, end_s - time.monotonic()))
            left = left[self._sock.send(left) :]
        self._on_progress(ClientPhase.SERVING)


def _encode_head(head: OutgoingHead, framing: bytes) -> bytes:
    lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, head.reason)]
    lines.extend(b"%b: %b\r\n" % header for header in head.headers)
    lines.append(framing)
    lines.append(b"\r\n")
    return b"".join(lines)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
