"""Options of the sockets of clients, replicas and the store."""

import socket as native
import struct

from gevent import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""A peer that vanished is noticed after three seconds without data in flight."""

USER_TIMEOUT_MS = 1_500
"""Time for which sent bytes may stay unacknowledged; a round trip takes 2 ms."""


def connect(host: str, port: int, *, timeout_s: float) -> socket.socket:
    """Open a connection whose silent loss is noticed."""
    sock = socket.create_connection((host, port), timeout=timeout_s)
    enable_dead_peer_detection(sock)
    return sock


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel notice a peer that vanished without closing."""
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_NODELAY, 1)
    sock.setsockopt(native.SOL_SOCKET, native.SO_KEEPALIVE, 1)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_on_close(sock: socket.socket) -> None:
    """Have the next close drop what the peer has not acknowledged."""
    sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, struct.pack("ii", 1, 0))


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes, the end or an error wait on an idle connection."""
    try:
        # The plain socket below, since gevent's own recv would wait for input.
        sock._sock.recv(1, native.MSG_PEEK | native.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
