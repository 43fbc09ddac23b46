"""Listeners for the connections of clients."""

from gevent import socket
from gevent.server import StreamServer

from persimmonyoke.internal.gateway import sockets

MAX_ACCEPT = 16
"""Connections accepted at once, before others are closed in their favour."""


class ClientListener(StreamServer):
    """Accept connections of clients, whose buffers in the kernel are limited."""

    max_accept = MAX_ACCEPT

    @classmethod
    def get_listener(
        cls,
        address: tuple[str, int],
        backlog: int | None = None,
        family: int | None = None,
    ) -> socket.socket:
        """Return a listener whose connections inherit its buffers."""
        listener = super().get_listener(address, backlog, family)
        sockets.limit_buffers(listener)
        return listener
