"""Set options of the sockets to clients, replicas and the store."""

import socket as native
import struct
from collections.abc import Iterator
from contextlib import contextmanager

from gevent import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Without a user timeout, a dead peer on an idle connection is detected after 3 s.

With one, Linux ends the connection at the first probe after it, whatever this count.
"""

REPEATABLE_USER_TIMEOUT_MS = 1_500
"""Time for which data may stay unacknowledged if it can be sent elsewhere instead."""

CLIENT_USER_TIMEOUT_MS = 5_000
"""Time for which a client may leave data unacknowledged, or not read any."""

TUNNEL_USER_TIMEOUT_MS = 3_000
"""The same for both connections of a tunnel, whose calls are not known here."""

NO_USER_TIMEOUT_MS = 0
"""Leaves it to the deadline of a call how long data may stay unacknowledged."""


CLIENT_BUFFER_BYTES = 65_536
"""Size of each of the two buffers of a client's connection in the kernel.

By itself the kernel lets them grow to megabytes for clients that do not read, or whose
input is not read. At one buffer a round trip, a body of 4 MiB needs 6.4 s over a path
of 100 ms.
"""

KERNEL_OVERHEAD_FACTOR = 2
"""Factor by which Linux enlarges a buffer for its own records."""


class PeerUnresponsive(ConnectionAbortedError):
    """Signal that the kernel gave a connection up, as nothing was acknowledged."""


@contextmanager
def reporting_dead_peers() -> Iterator[None]:
    """Raise ``PeerUnresponsive`` if the kernel gave the connection up.

    Python raises ``TimeoutError`` for that, as it does at the time limit of a call,
    after which the connection may still work.
    """
    try:
        yield
    except TimeoutError as error:
        if error.errno is None:
            raise
        raise PeerUnresponsive(error.errno, error.strerror) from error


def connect(host: str, port: int, *, timeout_s: float) -> socket.socket:
    """Open a connection with dead-peer detection."""
    sock = socket.create_connection((host, port), timeout=timeout_s)
    enable_dead_peer_detection(sock, REPEATABLE_USER_TIMEOUT_MS)
    return sock


def enable_dead_peer_detection(sock: socket.socket, user_timeout_ms: int) -> None:
    """Make the kernel detect a peer that disappeared without closing."""
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_NODELAY, 1)
    sock.setsockopt(native.SOL_SOCKET, native.SO_KEEPALIVE, 1)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_user_timeout(sock, user_timeout_ms)


def limit_buffers(listener: socket.socket) -> None:
    """Limit the buffers of the connections that a listener accepts."""
    for option in (native.SO_RCVBUF, native.SO_SNDBUF):
        listener.setsockopt(native.SOL_SOCKET, option, CLIENT_BUFFER_BYTES)


def set_user_timeout(sock: socket.socket, user_timeout_ms: int) -> None:
    """Set for how long sent data may stay unacknowledged or unread by the peer."""
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_USER_TIMEOUT, user_timeout_ms)


def shut_down(sock: socket.socket) -> None:
    """Shut a connection down in both directions, which wakes its reader."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection is closed already.
        return


def reset_on_close(sock: socket.socket) -> None:
    """Make ``close`` reset the connection and discard unacknowledged data."""
    sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, struct.pack("ii", 1, 0))


def has_input(sock: socket.socket) -> bool:
    """Return whether data, end of file or an error is pending on a connection."""
    try:
        return peek(sock, 1) is not None
    except OSError:
        return True


def peek(sock: socket.socket, size_bytes: int) -> bytes | None:
    """Return pending data without taking it, or ``None`` if nothing is pending.

    It is empty at the end of file. Raises ``OSError`` for a pending error, which the
    kernel reports only once.
    """
    try:
        # Use the underlying socket, since gevent's recv would block.
        return sock._sock.recv(size_bytes, native.MSG_PEEK | native.MSG_DONTWAIT)
    except BlockingIOError:
        return None
