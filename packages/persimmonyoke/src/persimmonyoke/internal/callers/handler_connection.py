"""Connection of a WSGI handler that can be ended from another greenlet."""

import socket

from persimmonyoke.internal.callers.connection_places import Connection


class HandlerConnection(Connection):
    """End the connection through the ``socket`` of the handler."""

    socket: socket.socket
    is_shut_down = False

    def shut_down(self) -> None:
        """End the connection; its greenlet closes the socket soon afterwards."""
        self.is_shut_down = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except (OSError, AttributeError):
            # The handler has closed its socket concurrently.
            pass
