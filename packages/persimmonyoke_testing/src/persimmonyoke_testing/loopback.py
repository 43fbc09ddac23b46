"""Loopback server whose connections can be silenced, dropped and reset."""

import errno
import socket
import struct
from typing import Any

from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from persimmonyoke_testing.held_port import LOOPBACK

CONNECTION_KEY = "persimmonyoke.connection"
LINGER_RESET = struct.pack("ii", 1, 0)
MAX_CONNECTIONS = 4_096
LISTEN_BACKLOG = 512


class Connection:
    """Track an accepted connection and whether a fault suppresses its answers."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.silenced = False

    def wait_if_silenced(self) -> None:
        """Block indefinitely if the connection is silenced."""
        if self.silenced:
            Event().wait()

    def drop(self, *, reset: bool = False) -> None:
        """Abort the current call without an answer; raises ``BrokenPipeError``."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        raise BrokenPipeError(errno.EPIPE, "connection dropped by an injected fault")


class DroppingHandler(WSGIHandler):
    """Close a connection without an answer when a fault kills its greenlet."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.connection = Connection(self.socket)
        self.server.connections.add(self.connection)

    def handle(self) -> None:
        """Serve the connection and unregister it afterwards."""
        try:
            super().handle()
        finally:
            self.server.connections.discard(self.connection)

    def get_environ(self) -> dict[str, Any]:
        """Add the connection to the WSGI environment."""
        return super().get_environ() | {CONNECTION_KEY: self.connection}

    def handle_error(self, kind: type, value: BaseException, trace: Any) -> None:
        """Send no 500 from a crashed greenlet, since a dead process sends nothing."""
        if issubclass(kind, Exception):
            super().handle_error(kind, value, trace)
        else:
            self.close_connection = True


class LoopbackServer(WSGIServer):
    """Serve one application on loopback and keep track of its connections."""

    handler_class = DroppingHandler

    def __init__(self, port: int, application: object) -> None:
        self.connections: set[Connection] = set()
        super().__init__(
            (LOOPBACK, port),
            application,
            spawn=Pool(MAX_CONNECTIONS),
            backlog=LISTEN_BACKLOG,
            log=None,
            # Without SERVER_NAME the server resolves its own address through DNS.
            environ={"SERVER_NAME": LOOPBACK},
        )

    def silence(self) -> None:
        """Stop responding on all open connections; new connections work normally."""
        for connection in self.connections:
            connection.silenced = True

    def drop_all(self) -> None:
        """Refuse new connections and close the open ones."""
        self.close()
        self.stop(timeout=0)
