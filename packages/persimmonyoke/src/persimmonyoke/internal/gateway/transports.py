"""Byte streams to replicas: connections of this host, and tunnels through peers."""

import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent import socket

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.gateway import sockets
from persimmonyoke.internal.gateway.answers import (
    BodyPart,
    ResponseEnd,
    ResponseParser,
)

READ_BYTES = 65_536
CHUNK_BYTES = 131_072
"""Size of one chunk to a peer, above the size of a request without a large body."""

MIN_TIMEOUT_S = 0.001


class Transport(ABC):
    """Carry bytes to a replica and back; failures raise ``OSError``.

    ``TimeoutError`` is raised only at the time limit of a call, after which the
    connection may still work.
    """

    peer: str | None = None
    """Name of the peer in between, or ``None`` for a connection of this host."""

    tunnel_id: str | None = None

    @abstractmethod
    def send(self, data: bytes | bytearray, *, timeout_s: float) -> None:
        """Send bytes."""

    @abstractmethod
    def receive(self, *, timeout_s: float) -> bytes:
        """Return received bytes, or none if the replica ended the stream itself."""

    @abstractmethod
    def set_user_timeout(self, user_timeout_ms: int) -> None:
        """Set for how long the other side may leave bytes unacknowledged."""

    @abstractmethod
    def has_input(self) -> bool:
        """Return whether bytes, the end of the stream or an error are pending."""

    @abstractmethod
    def has_bytes(self) -> bool:
        """Return whether bytes of the replica are pending, not the end alone."""

    @abstractmethod
    def interrupt(self) -> None:
        """Wake the greenlet that receives."""

    @abstractmethod
    def close(self, *, discard: bool = False) -> None:
        """Close the stream, and with ``discard`` drop bytes that were not delivered."""


class SocketTransport(Transport):
    """Carry bytes over a connection of this host to the replica.

    The kernel reports the failure of a connection once, to whichever call comes first,
    and an end of file afterwards. So the failure is kept, and that end of file is not
    taken for the end of the stream.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._user_timeout_ms = sockets.REPEATABLE_USER_TIMEOUT_MS
        self._failure: OSError | None = None

    def send(self, data: bytes | bytearray, *, timeout_s: float) -> None:
        """Send bytes."""
        self._sock.settimeout(max(MIN_TIMEOUT_S, timeout_s))
        with self._keeping_failure():
            self._sock.sendall(data)

    def receive(self, *, timeout_s: float) -> bytes:
        """Return received bytes, or none if the replica closed the connection."""
        self._sock.settimeout(max(MIN_TIMEOUT_S, timeout_s))
        with self._keeping_failure():
            data = self._sock.recv(READ_BYTES)
        if not data and self._failure is not None:
            raise type(self._failure)(*self._failure.args) from self._failure
        return data

    def set_user_timeout(self, user_timeout_ms: int) -> None:
        """Set for how long the replica may leave bytes unacknowledged."""
        if user_timeout_ms != self._user_timeout_ms:
            self._user_timeout_ms = user_timeout_ms
            sockets.set_user_timeout(self._sock, user_timeout_ms)

    def has_input(self) -> bool:
        """Return whether bytes, end of file or an error are pending."""
        return self._peek() is not None

    def has_bytes(self) -> bool:
        """Return whether bytes are pending, not the end of file or an error alone."""
        return bool(self._peek())

    def interrupt(self) -> None:
        """Shut the connection down, which wakes its reader."""
        self._keep(ConnectionAbortedError("interrupted"))
        sockets.shut_down(self._sock)

    def close(self, *, discard: bool = False) -> None:
        """Close the connection."""
        if discard:
            sockets.reset_on_close(self._sock)
        self._sock.close()

    def _peek(self) -> bytes | None:
        """Return pending bytes, none at the end of file or after an error."""
        try:
            with self._keeping_failure():
                return sockets.peek(self._sock, 1)
        except OSError:
            return b""

    @contextmanager
    def _keeping_failure(self) -> Iterator[None]:
        """Keep the failure of the connection; the time limit of a call is none."""
        try:
            with sockets.reporting_dead_peers():
                yield
        except TimeoutError:
            raise
        except OSError as error:
            self._keep(error)
            raise

    def _keep(self, failure: OSError) -> None:
        # EPIPE comes first only if the replica had ended its stream before it reset
        # the connection. What was received until that end is whole.
        if self._failure is None and not isinstance(failure, BrokenPipeError):
            self._failure = failure


class TunnelTransport(Transport):
    """Carry bytes in the chunks of an HTTP exchange with a peer.

    The last chunk tells that the replica closed its connection. A tunnel that ends
    without it was broken off, perhaps because the peer failed.
    """

    def __init__(
        self,
        sock: socket.socket,
        parser: ResponseParser,
        *,
        peer: str,
        tunnel_id: str,
        on_close: Callable[[], None],
    ) -> None:
        self.peer = peer
        self.tunnel_id = tunnel_id
        self._sock = sock
        self._parser = parser
        self._on_close: Callable[[], None] | None = on_close

    def send(self, data: bytes | bytearray, *, timeout_s: float) -> None:
        """Send bytes in chunks, of which one at a time is copied."""
        deadline_s = time.monotonic() + timeout_s
        for start in range(0, len(data), CHUNK_BYTES):
            left_s = deadline_s - time.monotonic()
            self._sock.settimeout(max(MIN_TIMEOUT_S, left_s))
            with sockets.reporting_dead_peers():
                self._sock.sendall(encode_chunk(data[start : start + CHUNK_BYTES]))

    def receive(self, *, timeout_s: float) -> bytes:
        """Return the bytes of the next chunks, or none after the last one."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            event = self._parser.take()
            if isinstance(event, BodyPart):
                return event.data
            if isinstance(event, ResponseEnd):
                return b""
            self._feed(deadline_s - time.monotonic())

    def set_user_timeout(self, user_timeout_ms: int) -> None:
        """Keep that of tunnels, as the peer has its own for the replica."""

    def has_input(self) -> bool:
        """Return whether bytes, the end of the tunnel or an error are pending."""
        return self._parser.has_events or sockets.has_input(self._sock)

    def has_bytes(self) -> bool:
        """Return whether bytes are pending, not the end of the tunnel alone."""
        if self._parser.has_events:
            return True
        try:
            pending = sockets.peek(self._sock, len(LAST_CHUNK))
        except OSError:
            # An end without the last chunk is read as a broken tunnel in any case.
            return False
        return bool(pending) and pending != LAST_CHUNK

    def interrupt(self) -> None:
        """Shut the tunnel down, which wakes its reader."""
        sockets.shut_down(self._sock)

    def close(self, *, discard: bool = False) -> None:
        """Close the tunnel, so that the peer closes its connection to the replica."""
        if discard:
            sockets.reset_on_close(self._sock)
        self._sock.close()
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()

    def _feed(self, timeout_s: float) -> None:
        self._sock.settimeout(max(MIN_TIMEOUT_S, timeout_s))
        with sockets.reporting_dead_peers():
            data = self._sock.recv(READ_BYTES)
        if not data:
            raise ConnectionResetError(f"{self.peer} broke the tunnel off")
        try:
            self._parser.feed(data)
        except ProtocolError as error:
            if not self._parser.has_events:
                raise ConnectionAbortedError(f"malformed tunnel: {error}") from error


def encode_chunk(data: bytes) -> bytes:
    """Return bytes as one HTTP chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
