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
    """Hold one accepted connection and whether a fault has silenced it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.silenced = False

    def wait_if_silenced(self) -> None:
        """Block for ever on a silenced connection."""
        if self.silenced:
            Event().wait()

    def drop(self, *, reset: bool = False) -> None:
        """Abort the current call without an answer; raises ``BrokenPipeError``."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        raise BrokenPipeError(errno.EPIPE, "connection dropped by a fault switch")


class DroppingHandler(WSGIHandler):
    """Close a connection without an answer when its task is ended by a fault."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.connection = Connection(self.socket)
        self.server.connections.add(self.connection)

    def handle(self) -> None:
        """Serve the connection and forget it afterwards."""
        try:
            super().handle()
        finally:
            self.server.connections.discard(self.connection)

    def get_environ(self) -> dict[str, Any]:
        """Add the connection to the environment of the call."""
        return super().get_environ() | {CONNECTION_KEY: self.connection}

    def handle_error(self, kind: type, value: BaseException, trace: Any) -> None:
        """Send no 500 for a task that a crash ended: a dead process sends nothing."""
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
            # Without a name the server looks its own address up by DNS.
            environ={"SERVER_NAME": LOOPBACK},
        )

    def silence(self) -> None:
        """Stop answering on all open connections; new ones work."""
        for connection in self.connections:
            connection.silenced = True

    def drop_all(self) -> None:
        """Refuse new connections and drop the open ones."""
        self.close()
        self.stop(timeout=0)
