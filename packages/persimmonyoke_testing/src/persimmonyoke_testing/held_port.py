"""Loopback port that stays with one stand-in while it is down."""

import socket
import weakref

LOOPBACK = "127.0.0.1"


class HeldPort:
    """Keep a port bound by a socket that doesn't listen.

    The kernel gives a port that is bound to no other connection, so that a stand-in
    can start again; until then connections are refused.
    """

    def __init__(self, port: int = 0) -> None:
        holder = socket.socket()
        weakref.finalize(self, holder.close)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((LOOPBACK, port))
        self.number: int = holder.getsockname()[1]

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return f"{LOOPBACK}:{self.number}"
