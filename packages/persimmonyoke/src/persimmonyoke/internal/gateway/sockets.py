"""Set options of the sockets to clients, replicas and the store."""

import socket as native
import struct

from gevent import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""With these values, a dead peer on an idle connection is detected after 3 s."""

USER_TIMEOUT_MS = 1_500
"""Time for which sent data may stay unacknowledged; a round trip takes 2 ms."""


def connect(host: str, port: int, *, timeout_s: float) -> socket.socket:
    """Open a connection with dead-peer detection."""
    sock = socket.create_connection((host, port), timeout=timeout_s)
    enable_dead_peer_detection(sock)
    return sock


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Make the kernel detect a peer that disappeared without closing."""
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_NODELAY, 1)
    sock.setsockopt(native.SOL_SOCKET, native.SO_KEEPALIVE, 1)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_on_close(sock: socket.socket) -> None:
    """Make ``close`` reset the connection and discard unacknowledged data."""
    sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, struct.pack("ii", 1, 0))


def has_input(sock: socket.socket) -> bool:
    """Return whether data, end of file or an error is pending on a connection."""
    try:
        # Use the underlying socket, since gevent's recv would block.
        sock._sock.recv(1, native.MSG_PEEK | native.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
