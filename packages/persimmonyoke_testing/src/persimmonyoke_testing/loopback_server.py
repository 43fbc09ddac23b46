"""HTTP servers of the simulators on loopback sockets."""

import socket
from collections.abc import Callable
from typing import Any

from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.select import select

from persimmonyoke_testing.held_port import LOOPBACK, HeldPort

SOCKET_KEY = "persimmonyoke.socket"


class ConnectionAborted(Exception):
    """Signal that a request ends without an answer."""


class _Handler(WSGIHandler):
    """Pass the socket to the application, so that it can abort the connection."""

    def handle(self) -> None:
        # Headers and body are written separately; with Nagle's algorithm the body
        # waits up to 40 ms for the delayed acknowledgement of the headers.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, error_type: Any, value: Any, trace: Any) -> None:
        if not isinstance(value, ConnectionAborted):
            super().handle_error(error_type, value, trace)
        self.close_connection = True


def abort_connection(environ: dict[str, Any]) -> None:
    """Close the request's connection without an answer; never returns."""
    close_quietly(environ[SOCKET_KEY])
    raise ConnectionAborted


def close_quietly(connection: socket.socket) -> None:
    """Shut a socket down in both directions."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer has already closed the connection.
        pass


def peer_has_closed(connection: socket.socket) -> bool:
    """Return whether the peer has closed its side, without blocking."""
    try:
        # A gevent socket blocks even with MSG_DONTWAIT, so read it only if readable.
        readable, _, _ = select([connection], [], [], 0)
        return bool(readable) and connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


class LoopbackServer:
    """Serve a WSGI application on a loopback port that is stable across restarts."""

    def __init__(self, application: Callable[..., Any], *, port: int = 0) -> None:
        self._application = application
        self._server: WSGIServer | None = None
        self._port = HeldPort(port)

    @property
    def port(self) -> int:
        """Return the port."""
        return self._port.number

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return self._port.address

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    @property
    def listening(self) -> bool:
        """Return whether connections are accepted."""
        return self._server is not None

    def start(self) -> None:
        """Accept connections."""
        if self._server is not None:
            return
        self._server = WSGIServer(
            (LOOPBACK, self.port),
            self._application,
            log=None,
            # Without SERVER_NAME the server resolves its own address through DNS.
            environ={"SERVER_NAME": LOOPBACK},
            # The server can only close connections that it spawned in a pool.
            spawn=Pool(),
            handler_class=_Handler,
        )
        self._server.start()

    def stop(self) -> None:
        """Refuse new connections and close the open ones."""
        server, self._server = self._server, None
        if server is not None:
            server.stop(timeout=0)
