"""Loopback port that stays reserved while its server is down."""

import socket
import weakref

LOOPBACK = "127.0.0.1"


class HeldPort:
    """Reserve a port with a bound socket that does not listen.

    The kernel does not assign a bound port to another connection, so a simulator can
    restart on the same port; until then connections are refused.
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
