"""HTTP server for callers with limits that apply before authentication."""

import os
import socket
import time
import traceback
from collections.abc import Callable
from http.client import HTTPException, HTTPMessage
from types import TracebackType

import gevent
from gevent import pywsgi
from loguru import logger

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.callers.api import CallerLimits, CallerServices
from persimmonyoke.internal.callers.app import CallerApp, new_request_id
from persimmonyoke.internal.callers.body_input import body_input
from persimmonyoke.internal.callers.connection_places import (
    IDLE_GRACE_S,
    MAX_ACCEPT,
    Connection,
    ConnectionPlaces,
    available_places,
)
from persimmonyoke.internal.callers.error_answers import raw_response
from persimmonyoke.internal.callers.exchange import ReceiveTimedOut
from persimmonyoke.internal.callers.handler_connection import HandlerConnection
from persimmonyoke.internal.callers.lingering import linger

OVERLOADED_RETRY_S = 1.0
WAIT_POLL_S = 0.05
MAX_LINGERING_REFUSALS = 32
"""Refused connections, without a place, whose answer is waited for at once."""


class _HeaderTooLarge(ValueError):
    """Report a request line or header section over the limit."""


class _LimitedLineReader:
    """Limit the total size of the lines of one request head."""

    def __init__(self, readline: Callable[[int], bytes], limit: int) -> None:
        self._readline = readline
        self._remaining_bytes = limit

    def readline(self, size: int = -1) -> bytes:
        """Read one line; raises ``_HeaderTooLarge``."""
        line = self._readline(self._remaining_bytes + 1)
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise _HeaderTooLarge
        return line


class CallerHandler(pywsgi.WSGIHandler, HandlerConnection):
    """Serve one connection of a caller."""

    server: "_ConnectionServer"
    _receiving: gevent.Timeout | None = None
    _abandoned = False
    _descriptor = -1
    _line_reader: _LimitedLineReader | None = None
    busy = False
    has_received = False
    idle_since_s = 0.0

    def handle(self) -> None:
        """Serve the connection, or refuse it if there are too many."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._descriptor = self.socket.fileno()
        server = self.server
        self.idle_since_s = time.monotonic()
        if not server.places.take(self, self.idle_since_s):
            self._refuse_connection()
            return
        try:
            super().handle()
        finally:
            server.places.leave(self)

    def _refuse_connection(self) -> None:
        server = self.server
        error = RequestError(
            ErrorKind.OVERLOADED,
            "this host has too many connections",
            retry_after_s=OVERLOADED_RETRY_S,
        )
        server.refusals += 1
        try:
            self._refuse(error, lingers=server.refusals <= MAX_LINGERING_REFUSALS)
        finally:
            server.refusals -= 1
            self.socket.close()

    def handle_one_request(self) -> object:
        """Wait for a request and serve it within the limits."""
        limits = self.server.limits
        if not self._wait_for_request(limits.keep_alive_s):
            return None
        self.busy = True
        self.socket.settimeout(limits.send_s)
        self._receiving = ReceiveTimedOut(limits.receive_s)
        self._receiving.start()
        try:
            return super().handle_one_request()
        except ReceiveTimedOut:
            self._refuse(
                RequestError(
                    ErrorKind.REQUEST_TIMEOUT,
                    f"the request was not received within {limits.receive_s} s",
                )
            )
            return None
        finally:
            self._receiving.close()
            if self._abandoned:
                self._linger()
            self.idle_since_s = time.monotonic()
            self.busy = False

    def _wait_for_request(self, timeout_s: float) -> bool:
        self.idle_since_s = time.monotonic()
        self.socket.settimeout(timeout_s)
        try:
            self.has_received = bool(self.rfile.peek(1))
            # A request that came just before the shutdown could not be answered.
            return self.has_received and not self.is_shut_down
        except (OSError, ValueError):
            # Closed by either side, or idle for too long.
            return False

    def read_requestline(self) -> str:
        """Read the request line; it counts towards the limit of the head."""
        self._line_reader = _LimitedLineReader(
            self.rfile.readline, self.server.limits.header_bytes
        )
        try:
            return self._line_reader.readline().decode("latin-1")
        except _HeaderTooLarge:
            self._refuse(self._header_too_large())
            return ""

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the request line and headers; raises ``ValueError``."""
        # The base class reads the headers from ``rfile``.
        rfile, self.rfile = self.rfile, self._line_reader
        try:
            super().read_request(raw_requestline)
        finally:
            self.rfile = rfile
        if self.request_version == "HTTP/0.9":
            raise ValueError("the request line has no version")
        return True

    def MessageClass(self, *args: object) -> HTTPMessage:
        """Parse the headers and reject ambiguous body framing."""
        # The base class removes the length of a chunked body right after this call.
        headers = super().MessageClass(*args)
        _check_framing(headers)
        return headers

    def get_environ(self) -> dict:
        """Add the entries of the connection that the application uses."""
        environ = super().get_environ()
        self.wsgi_input = body_input(self.wsgi_input)
        environ["wsgi.input"] = self.wsgi_input
        environ["persimmonyoke.receiving"] = self._receiving
        environ["persimmonyoke.abandon_input"] = self._abandon_input
        environ["persimmonyoke.descriptor"] = self._descriptor
        environ["persimmonyoke.raw_path"] = self.path
        environ["persimmonyoke.send_part"] = self.send_part
        return environ

    def send_part(self, data: bytes) -> None:
        """Send a part of a started answer with one system call in the usual case.

        The base class copies the data, queries the size of the socket buffer and sends
        in a loop, which takes longer than the rest of the handling of an event.
        """
        if not self.headers_sent:
            self.write(data)
            return
        if self.response_use_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            # The descriptor is non-blocking; ``sendall`` below waits for buffer space.
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            sent = 0
        self.response_length += len(data)
        if sent < len(data):
            self.socket.sendall(data[sent:])

    def _abandon_input(self) -> None:
        self._abandoned = True
        self.close_connection = True
        self.wsgi_input = _DiscardedInput()

    def _handle_client_error(self, ex: Exception) -> None:
        if isinstance(ex, _HeaderTooLarge | HTTPException):
            self._refuse(self._header_too_large())
        elif isinstance(ex, ValueError):
            logger.debug("[callers] malformed request: {}", ex)
            self._refuse(
                RequestError(ErrorKind.INVALID_VALUE, "the HTTP request is malformed")
            )

    def _header_too_large(self) -> RequestError:
        limit = self.server.limits.header_bytes
        return RequestError(
            ErrorKind.HEADER_TOO_LARGE,
            f"the request line and headers are longer than {limit} bytes",
        )

    def _refuse(self, error: RequestError, *, lingers: bool = True) -> None:
        """Answer a request that never reaches the application."""
        request_id = new_request_id()
        logger.info(
            "[callers] request {}: refused with {}", request_id, error.kind.value
        )
        self.server.app.errors[error.kind] += 1
        try:
            self.socket.sendall(raw_response(error, request_id))
        except OSError:
            return
        if lingers:
            self._linger()

    def _linger(self) -> None:
        self._abandoned = False
        linger(self.socket)

    def _log_error(
        self, kind: type[BaseException], error: BaseException, trace: TracebackType
    ) -> None:
        if isinstance(error, OSError):
            logger.debug("[callers] connection error: {}", error)
            return
        lines = traceback.format_exception(kind, error, trace)
        logger.error("[callers] connection handler failed\n{}", "".join(lines))

    def log_request(self) -> None:
        """Log nothing; the application logs requests with their ids."""


def _check_framing(headers: HTTPMessage) -> None:
    # Each of these lets two parsers disagree on where a request ends, which allows
    # request smuggling.
    if headers.defects:
        raise ValueError("malformed header line")
    lengths = headers.get_all("content-length", [])
    encodings = headers.get_all("transfer-encoding", [])
    if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
        raise ValueError("ambiguous body length")
    if encodings and encodings[0].strip().lower() != "chunked":
        raise ValueError("unknown transfer encoding")
    if lengths and not lengths[0].strip().isdecimal():
        raise ValueError("malformed body length")


class _DiscardedInput:
    """Replace an input that is not read to its end."""

    def _discard(self) -> None:
        pass


class _ServerLog:
    """Forward messages of the WSGI server to the log."""

    def write(self, message: str) -> None:
        logger.debug("[callers] {}", message.strip())

    def flush(self) -> None:
        pass


class _ConnectionServer(pywsgi.WSGIServer):
    """Accept connections and hold the state that their handlers share."""

    handler_class = CallerHandler
    max_accept = MAX_ACCEPT

    def __init__(
        self, address: tuple[str, int], app: CallerApp, limits: CallerLimits
    ) -> None:
        self.app = app
        self.limits = limits
        self.places = ConnectionPlaces(available_places(limits.max_connections))
        self.refusals = 0
        super().__init__(
            address,
            app,
            log=None,
            error_log=_ServerLog(),
            # Without a name, the server resolves its own address by DNS.
            environ={"SERVER_NAME": address[0]},
        )


class CallerServer:
    """Serve callers on one address and support a graceful shutdown."""

    def __init__(
        self,
        address: tuple[str, int],
        services: CallerServices,
        *,
        limits: CallerLimits | None = None,
    ) -> None:
        limits = limits or CallerLimits()
        self._draining = False
        self.app = CallerApp(services, limits, is_draining=lambda: self._draining)
        self._wsgi = _ConnectionServer(address, self.app, limits)

    @property
    def address(self) -> tuple[str, int]:
        """Return the address that is listened on."""
        return self._wsgi.address

    @property
    def connections(self) -> set[Connection]:
        """Return the open connections."""
        return self._wsgi.places.taken

    @property
    def requests_in_progress(self) -> int:
        """Return how many requests are being received or answered."""
        return sum(handler.busy for handler in self.connections)

    def start(self) -> None:
        """Start to accept connections."""
        self._wsgi.start()

    def drain(self) -> None:
        """Send ``Connection: close`` with each response, so that callers leave."""
        self._draining = True

    def close_listener(self) -> None:
        """Stop accepting connections; open ones stay open."""
        self._wsgi.stop_accepting()
        self._wsgi.socket.close()

    def wait_idle(self, deadline_s: float) -> bool:
        """Wait until all requests have ended; return whether they did in time.

        ``deadline_s`` is a duration. Connections without a request are closed.
        """
        end_s = time.monotonic() + deadline_s
        while time.monotonic() < end_s:
            self._close_idle_connections()
            if not self.connections:
                return True
            gevent.sleep(WAIT_POLL_S)
        return not self.connections

    def stop(self) -> None:
        """Close the listener and all open connections."""
        self._wsgi.stop(timeout=0)
        for handler in list(self.connections):
            handler.shut_down()

    def _close_idle_connections(self) -> None:
        now_s = time.monotonic()
        for handler in list(self.connections):
            if not handler.busy and now_s - handler.idle_since_s >= IDLE_GRACE_S:
                handler.shut_down()
