"""HTTP server of the operator interface with a receive timeout."""

import time
from collections.abc import Callable
from types import TracebackType

import gevent
from gevent import pywsgi
from gevent.pool import Pool

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.callers.body_input import body_input
from persimmonyoke.internal.callers.connection_places import (
    MAX_ACCEPT,
    ConnectionPlaces,
)
from persimmonyoke.internal.callers.error_answers import raw_response, status_line
from persimmonyoke.internal.callers.handler_connection import HandlerConnection
from persimmonyoke.internal.callers.lingering import LINGER_S, linger
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.operators.answers import error_body, new_request_id

MAX_CONNECTIONS = 64
MAX_LINGERING_REFUSALS = 16
OVERLOADED_RETRY_S = 1.0

SEND_S = 30.0
"""Time for each write to an operator who does not read."""

log = part_logger("operators")


class ReceiveTimeout(gevent.Timeout):
    """Signal that a request was not received in time."""


class OperatorHandler(pywsgi.WSGIHandler, HandlerConnection):
    """Bound the time from waiting for a request to the end of its body."""

    _receiving: gevent.Timeout | None = None
    _abandoned = False
    busy = False
    has_received = False
    idle_since_s = 0.0

    def handle(self) -> None:
        """Serve the connection, or refuse it if all places serve requests."""
        self.idle_since_s = time.monotonic()
        places = self.server.places
        if not places.take(self, self.idle_since_s):
            self._refuse_connection()
            return
        try:
            super().handle()
        finally:
            places.leave(self)

    def _refuse_connection(self) -> None:
        error = RequestError(
            ErrorKind.OVERLOADED,
            "this host has too many connections of operators",
            retry_after_s=OVERLOADED_RETRY_S,
        )
        self.server.refusals += 1
        try:
            self.socket.settimeout(LINGER_S)
            self.socket.sendall(raw_response(error, new_request_id()))
            if self.server.refusals <= MAX_LINGERING_REFUSALS:
                linger(self.socket)
        except OSError as caught:
            log.debug("connection error: {}", caught)
        finally:
            self.server.refusals -= 1
            self.socket.close()

    def handle_one_request(self) -> object:
        """Serve one request; close the connection if it is not received in time."""
        # The time to receive a request has its own limit.
        self.socket.settimeout(None)
        self._receiving = ReceiveTimeout(self.server.receive_s)
        self._receiving.start()
        try:
            return super().handle_one_request() if self._has_request() else None
        except ReceiveTimeout:
            return None
        finally:
            self._receiving.close()
            self.idle_since_s = time.monotonic()
            self.busy = False
            if self._abandoned:
                linger(self.socket)

    def _has_request(self) -> bool:
        try:
            self.has_received = bool(self.rfile.peek(1))
        except (OSError, ValueError):
            # Closed by the client or for another connection.
            return False
        self.busy = self.has_received and not self.is_shut_down
        return self.busy

    def get_environ(self) -> dict:
        """Add the functions that end the receiving to the environment."""
        environ = super().get_environ()
        environ["persimmonyoke.received"] = self._end_receiving
        self.wsgi_input = body_input(self.wsgi_input)
        environ["wsgi.input"] = self.wsgi_input
        environ["persimmonyoke.abandon_input"] = self._abandon_input
        return environ

    def handle_error(
        self, kind: type[BaseException], error: BaseException, trace: TracebackType
    ) -> None:
        """Log an error; close the connection of a client that does not read."""
        if isinstance(error, OSError):
            # An error answer could not be sent either.
            log.debug("connection error: {}", error)
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def _end_receiving(self) -> None:
        self._receiving.close()
        self.socket.settimeout(SEND_S)

    def _abandon_input(self) -> None:
        self._end_receiving()
        self._abandoned = True
        self.close_connection = True
        self.wsgi_input.abandon()


class _BufferBodyMiddleware:
    """Buffer a body of bounded size before the application runs."""

    def __init__(self, app: Callable, max_body_bytes: int) -> None:
        self._app = app
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ: dict, start_response: Callable) -> object:
        """Serve one request."""
        source = environ["wsgi.input"]
        try:
            body = source.receive(self._max_body_bytes + 1)
        except ReceiveTimeout:
            # The WSGI server would wait for the rest of the body without a limit.
            error = RequestError(
                ErrorKind.REQUEST_TIMEOUT, "the request was not received in time"
            )
            return _refuse(environ, start_response, error)
        except OSError as caught:
            log.debug("malformed body: {}", caught)
            error = RequestError(
                ErrorKind.MALFORMED_BODY, "the body does not follow its framing"
            )
            return _refuse(environ, start_response, error)
        environ["persimmonyoke.received"]()
        if len(body) > self._max_body_bytes:
            environ["persimmonyoke.abandon_input"]()
            start_response = _closing(start_response)
        environ["wsgi.input"] = _BufferedBody(body)
        try:
            return self._app(environ, start_response)
        finally:
            # The handler and the environment refer to each other, so that the body
            # would stay until the next collection of reference cycles.
            environ["wsgi.input"] = _BufferedBody(b"")


def _refuse(
    environ: dict, start_response: Callable, error: RequestError
) -> list[bytes]:
    environ["persimmonyoke.abandon_input"]()
    headers = [("Content-Type", "application/json")]
    _closing(start_response)(status_line(error.answer.status), headers)
    return [error_body(error, new_request_id()).encode()]


def _closing(start_response: Callable) -> Callable:
    """Return a ``start_response`` that announces the end of the connection."""

    def start(status: str, headers: list, *exc_info: object) -> Callable:
        return start_response(status, [*headers, ("Connection", "close")], *exc_info)

    return start


class _BufferedBody:
    """Serve a buffered body as the application's input stream."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes."""
        size = len(self._data) if size is None or size < 0 else size
        part, self._data = self._data[:size], self._data[size:]
        return part

    def _discard(self) -> None:
        return None


class _Server(pywsgi.WSGIServer):
    handler_class = OperatorHandler
    max_accept = MAX_ACCEPT

    def __init__(
        self, address: tuple[str, int], app: Callable, *, receive_s: float
    ) -> None:
        self.receive_s = receive_s
        self.places = ConnectionPlaces(MAX_CONNECTIONS)
        self.refusals = 0
        super().__init__(
            address,
            app,
            log=None,
            error_log=_ServerLog(),
            # The pool ends the handlers at a stop; the places limit them.
            spawn=Pool(),
            environ={"SERVER_NAME": address[0]},
        )


class _ServerLog:
    def write(self, message: str) -> None:
        log.debug("{}", message.strip())

    def flush(self) -> None:
        return None


class OperatorServer:
    """Serve the operator interface on one address."""

    def __init__(
        self,
        address: tuple[str, int],
        app: Callable,
        *,
        receive_s: float,
        max_body_bytes: int,
    ) -> None:
        reader = _BufferBodyMiddleware(app, max_body_bytes)
        self._server = _Server(address, reader, receive_s=receive_s)

    @property
    def address(self) -> tuple[str, int]:
        """Return the listening address."""
        return self._server.address

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Close the listener and abort open requests after a timeout."""
        self._server.stop(timeout=timeout_s)
