"""Pooled connections to upstreams that record whether a call was written."""

import http.client
import socket
import struct
import time
from collections.abc import Mapping

from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform.response_heads import CheckedConnection

# An unreachable remote host is detected after 5 + 3 x 2 s if no data is in flight, and
# after 10 s if data is unacknowledged.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 10_000

LISTENING_TIMEOUT_S = 0.2
"""A running upstream accepts a connection within one round trip."""

log = part_logger("upstreams")

SocketOptions = list[tuple[int, int, int | bytes]]

POOLED_SOCKET_OPTIONS: SocketOptions = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


def discarding_socket_options(timeout_s: float) -> SocketOptions:
    """Return options with which the kernel discards unsent data on close or timeout."""
    timeout_ms = max(1, int(timeout_s * 1_000))
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms),
    ]


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host is in brackets."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"address must be host:port, got {address!r}")
    return host.strip("[]"), int(port)


class UpstreamConnection(CheckedConnection):
    """Connect to an upstream and record whether any byte of the call was written."""

    written = False
    idle_since_s = 0.0
    _unsent: list[bytes] | None = None

    def start(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        *,
        timeout_s: float,
    ) -> None:
        """Write one call; ``written`` is then true if any byte may have been sent."""
        self.written = False
        self.timeout = timeout_s
        # Headers and body are sent in one write, so that the upstream wakes up once.
        self._unsent = []
        try:
            self.request(method, path, body=body, headers=headers)
        finally:
            unsent, self._unsent = self._unsent, None
        self.send(b"".join(unsent))

    def send(self, data: object) -> None:
        """Write to the socket, connecting first if necessary."""
        if self._unsent is not None:
            self._unsent.append(data)
            return
        if self.sock is None:
            self.connect()
        # Set before the write: a failed write may have sent a part.
        self.written = True
        super().send(data)

    def enable_quickack(self) -> None:
        """Disable delayed acknowledgements for the response.

        An engine that writes its headers and the first event separately, without
        TCP_NODELAY, delays the event until the headers are acknowledged. On a reused
        connection that takes 40 ms. The kernel resets TCP_QUICKACK by itself, so it is
        set again for each call.
        """
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)

    def read_head(self) -> http.client.HTTPResponse:
        """Read a valid head and return the response without urllib3's wrapper.

        A malformed head raises ``HTTPException``, like a lost answer.
        The wrapper costs more for each event of a stream than parsing the event.
        """
        self._response_options = None
        self.sock.settimeout(self.timeout)
        return http.client.HTTPConnection.getresponse(self)

    def read_body(self, response: http.client.HTTPResponse) -> bytes:
        """Read the whole body; raise ``ConnectionError`` if it may be cut short.

        The kernel closes the connections of a process that is killed as the process
        would, so the end of a body without a length is its own only if the upstream
        still listens.
        """
        self_delimited = response.chunked or response.length is not None
        data = response.read()
        if not self_delimited:
            self._check_listening()
        return data

    def _check_listening(self) -> None:
        address = (self.host, self.port)
        try:
            socket.create_connection(address, LISTENING_TIMEOUT_S).close()
        except ConnectionRefusedError as error:
            raise ConnectionResetError("upstream ended before its answer") from error
        except OSError as error:
            # Only a refusal shows that the process has ended.
            log.debug("no new connection to {} after its answer: {}", address, error)


class ConnectionPool:
    """Keep idle connections to one upstream; the most recently used is reused first."""

    def __init__(
        self, address: str, *, max_idle: int = 32, max_idle_s: float = 30.0
    ) -> None:
        self.address = address
        self.max_idle = max_idle
        self.max_idle_s = max_idle_s
        self._host, self._port = split_address(address)
        self._idle: list[UpstreamConnection] = []

    def acquire(self, *, fresh: bool = False) -> UpstreamConnection:
        """Return an idle connection that is still open, or an unopened new one."""
        while self._idle and not fresh:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return self.new_connection()

    def new_connection(
        self, socket_options: SocketOptions = POOLED_SOCKET_OPTIONS
    ) -> UpstreamConnection:
        """Return a connection that opens at its first call."""
        return UpstreamConnection(self._host, self._port, socket_options=socket_options)

    def release(self, connection: UpstreamConnection) -> None:
        """Take back a connection whose response was read completely."""
        if connection.sock is None or len(self._idle) >= self.max_idle:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._idle.append(connection)

    def purge(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        idle_s = time.monotonic() - connection.idle_since_s
        return idle_s <= self.max_idle_s and is_open(connection.sock)


def is_open(sock: socket.socket | None) -> bool:
    """Return whether the peer has neither closed an idle connection nor sent data.

    Peeks at the native socket below gevent's. The poll in urllib3's ``is_connected``
    lets all ready tasks run first, which added milliseconds to the first token.
    """
    raw = getattr(sock, "_sock", sock)
    if raw is None:
        return False
    try:
        raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
