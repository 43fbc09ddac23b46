"""Serve client connections, each in a greenlet of its own."""

import time
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

from gevent import socket

from persimmonyoke.errors import (
    ErrorKind,
    MalformedMetadata,
    RequestError,
)
from persimmonyoke.internal.dispatch.configuration_use import may_deny, may_serve
from persimmonyoke.internal.dispatch.routes import choose_service
from persimmonyoke.internal.fleet.model import RequestKind, Route
from persimmonyoke.internal.gateway import sockets
from persimmonyoke.internal.gateway.accepted_clients import accepted_client
from persimmonyoke.internal.gateway.client_connection import (
    ClientConnection,
    ClientGone,
    OutgoingHead,
)
from persimmonyoke.internal.gateway.client_listener import ClientListener
from persimmonyoke.internal.gateway.configuration_evidence import (
    configuration_evidence,
)
from persimmonyoke.internal.gateway.crash_watch import CrashDetector
from persimmonyoke.internal.gateway.exchange import (
    Exchange,
    HostStopping,
    StreamBroken,
)
from persimmonyoke.internal.gateway.memory_log import note_no_room
from persimmonyoke.internal.gateway.plain_relay import PlainRelay
from persimmonyoke.internal.gateway.request_log import RequestLog, request_id
from persimmonyoke.internal.gateway.requests import (
    RETRY_AFTER_NO_ROOM_S,
    ClientRequest,
    NoRoomForBody,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stopping import HostStop, StreamPaces
from persimmonyoke.internal.gateway.stream_relay import StreamRelay

BACKLOG = 1_024
REFUSED_SHARE = 0.125
"""Share of the limit of connections that may be open beyond it for a refusal.

Each client keeps its connection until it has read the refusal; others are just closed.
"""

RETRY_AFTER_NOT_READY_S = 0.5
_LIMIT_ERRORS = (ErrorKind.BODY_TOO_LARGE, ErrorKind.HEADER_TOO_LARGE)


@dataclass(frozen=True)
class _Refusal:
    """Represent the response to input that is rejected."""

    head: OutgoingHead
    body: bytes

    def send(self, connection: ClientConnection) -> None:
        """Release what was received, send the response and close the connection."""
        connection.release()
        connection.send_response(self.head, self.body)
        connection.lingering_close()


class FrontServer:
    """Accept client connections and serve their requests."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        crashes = CrashDetector(state)
        self._plain = PlainRelay(state, crashes)
        self.paces = StreamPaces()
        self._streams = StreamRelay(state, crashes)
        self._connections: set[ClientConnection] = set()
        self._requests_in_progress = 0
        self._connections_refused = 0
        self._exchanges: dict[int, Exchange] = {}
        self._stop: HostStop | None = None
        self._log = RequestLog(state)
        self._server: ClientListener | None = None

    @property
    def requests_in_progress(self) -> int:
        """Return the number of requests being served."""
        return self._requests_in_progress

    @property
    def connections(self) -> int:
        """Return the number of client connections."""
        return len(self._connections)

    def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        self._server = ClientListener((host, port), self._serve, backlog=BACKLOG)
        self._server.start()
        return self._server.server_port

    def stop(self) -> None:
        """Close the listener and all connections immediately."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def begin_drain(self, stop: HostStop) -> None:
        """Close each connection after its next response."""
        self._stop = stop
        for exchange in self._exchanges.values():
            # A response that has begun did not tell its client of a close.
            exchange.closing |= not exchange.client.response_started
            stop.bound(exchange)

    def answer_unfinished(self) -> None:
        """Answer the requests whose responses have not begun, as this host exits."""
        for exchange in list(self._exchanges.values()):
            if not exchange.client.response_started:
                exchange.cancel_scope.cancel(HostStopping("host exits"))

    def answer_for_others(self) -> None:
        """Answer the requests whose own tasks have not noticed the exit of this host.

        A task that opens a connection or reads the store is not interrupted.
        """
        for exchange in list(self._exchanges.values()):
            if exchange.client.response_started:
                continue
            try:
                self._answer_error(exchange, exchange.stopped())
            except ClientGone:
                # There is nobody to answer.
                continue

    def stop_accepting(self) -> None:
        """Close the listener; open connections continue."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Stop accepting and close the connections on which no request has arrived."""
        self.stop_accepting()
        for connection in list(self._connections):
            connection.close_if_idle()

    def _serve(self, sock: socket.socket, _address: object) -> None:
        sockets.enable_dead_peer_detection(sock, sockets.CLIENT_USER_TIMEOUT_MS)
        connection = accepted_client(sock, self._state)
        self._connections.add(connection)
        try:
            if self._state.clients.try_admit(connection):
                self._serve_requests(connection)
            else:
                self._refuse_connection(connection)
        except ClientGone:
            # The disconnection has been logged with the request that it ended.
            pass
        except Exception:
            self._state.journal.unexpected("connection_failed")
        finally:
            self._connections.discard(connection)
            self._state.clients.discard(connection)
            connection.close()

    def _serve_requests(self, connection: ClientConnection) -> None:
        while self._serve_next(connection):
            # No variable here may keep the last request, as its body may be large.
            pass

    def _serve_next(self, connection: ClientConnection) -> bool:
        """Serve a request; return whether the client may send another one."""
        try:
            request = connection.next_request()
        except RequestError as error:
            refusal = self._refusal_of_input(error)
        else:
            refusal = None
        if refusal is not None:
            # The error is gone, and so is what its traceback held of the request.
            refusal.send(connection)
            return False
        if request is None:
            return False
        self._requests_in_progress += 1
        try:
            keep_open = self._handle_request(connection, request)
        finally:
            self._requests_in_progress -= 1
        del request
        if not keep_open:
            connection.lingering_close()
        return keep_open

    def _refuse_connection(self, connection: ClientConnection) -> None:
        """Tell a client to come back, as long as there are few of those."""
        if self._connections_refused >= REFUSED_SHARE * self._state.clients.limit:
            return
        self._connections_refused += 1
        try:
            error = RequestError(
                ErrorKind.NOT_READY,
                "host has too many connections",
                retry_after_s=RETRY_AFTER_NOT_READY_S,
            )
            self._state.metrics.requests.add(kind="none", outcome="rejected")
            self._refusal(error).send(connection)
        finally:
            self._connections_refused -= 1

    def _refusal_of_input(self, error: RequestError) -> _Refusal:
        """Log input that is rejected, and return what its client is told."""
        if isinstance(error, NoRoomForBody):
            note_no_room(self._state, "body", error.request_id, error.body_bytes)
        if error.kind in _LIMIT_ERRORS and not self._may_deny():
            error = _outdated_configuration()
        self._state.journal.event(
            "input_refused", status=error.answer.status, reason=error.message
        )
        self._state.metrics.requests.add(kind="none", outcome="rejected")
        return self._refusal(error)

    @staticmethod
    def _refusal(error: RequestError) -> _Refusal:
        return _Refusal(_error_head(error, closing=True), _error_body(error))

    def _handle_request(
        self, connection: ClientConnection, request: ClientRequest
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        started_s = time.monotonic()
        closing = not request.keep_alive or self._stop is not None
        try:
            exchange = self._admit(connection, request, started_s)
        except RequestError as error:
            self._log.rejected(request, error, self._stop)
            connection.send_response(_error_head(error, closing), _error_body(error))
            return not closing
        except Exception as error:
            self._fail_unadmitted(connection, request, error)
            return False
        exchange.closing = closing
        connection.watch_for_disconnect(
            lambda: exchange.cancel_scope.cancel(
                ClientGone("client disconnected before the response")
            )
        )
        self._exchanges[id(exchange)] = exchange
        try:
            return self._relay(exchange) and not exchange.closing
        finally:
            del self._exchanges[id(exchange)]
            connection.stop_watching()

    def _relay(self, exchange: Exchange) -> bool:
        """Relay an accepted request; return whether its connection can be reused."""
        outcome, reason = "delivered", ""
        try:
            if exchange.route.kind is RequestKind.STREAMING:
                self._streams.relay(exchange)
                self.paces.note(exchange, now_s=time.monotonic())
            else:
                self._plain.relay(exchange)
            return True
        except RequestError as error:
            outcome = "refused" if error.answer.status in (429, 503) else "failed"
            reason = error.message
            if exchange.client.response_started:
                outcome = "failed"
            return self._answer_error(exchange, error)
        except StreamBroken as error:
            outcome, reason = "failed", str(error)
            return False
        except ClientGone as error:
            outcome, reason = "client_gone", str(error)
            raise
        except HostStopping:
            outcome, reason = "failed", "host exits"
            exchange.closing = True
            error = exchange.stopped()
            if error.answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
                outcome = "refused"
            return self._answer_error(exchange, error)
        except Exception as error:
            outcome, reason = "failed", f"{type(error).__name__}: {error}"
            self._state.journal.unexpected(
                "request_failed", request_id=exchange.metadata.request_id
            )
            exchange.closing = True
            return self._answer_error(exchange, exchange.failed("internal error"))
        finally:
            self._log.ended(exchange, outcome, reason, self._stop)

    @staticmethod
    def _answer_error(exchange: Exchange, error: RequestError) -> bool:
        """Send an error; return whether the connection can be reused.

        A response that has begun is broken off instead, as the error would become part
        of its body.
        """
        if exchange.client.response_started:
            return False
        exchange.status = error.answer.status
        head = _error_head(error, exchange.closing)
        exchange.client.send_response(head, _error_body(error))
        return True

    def _fail_unadmitted(
        self, connection: ClientConnection, request: ClientRequest, cause: Exception
    ) -> None:
        """Answer a request that an unexpected error kept from being admitted.

        No replica has been chosen for it, so it never runs.
        """
        self._state.journal.unexpected("request_failed", request_id=request_id(request))
        error = RequestError(
            ErrorKind.NOT_READY,
            "request could not be admitted",
            retry_after_s=RETRY_AFTER_NOT_READY_S,
        )
        reason = f"{type(cause).__name__}: {cause}"
        self._log.unadmitted(request, "failed", error.answer.status, reason, self._stop)
        connection.send_response(_error_head(error, closing=True), _error_body(error))

    def _admit(
        self, connection: ClientConnection, request: ClientRequest, started_s: float
    ) -> Exchange:
        state = self._state
        if state.configuration is None or not state.replicas_known:
            raise RequestError(
                ErrorKind.NOT_READY,
                "no configuration is known yet",
                retry_after_s=RETRY_AFTER_NOT_READY_S,
            )
        if state.memory.nearly_full:
            note_no_room(self._state, "request", request_id(request), len(request.body))
            raise RequestError(
                ErrorKind.NOT_READY,
                "host holds too much for other clients",
                retry_after_s=RETRY_AFTER_NO_ROOM_S,
            )
        route = self._find_route(request)
        try:
            metadata = state.wire.metadata(request.headers)
        except MalformedMetadata as error:
            raise RequestError(ErrorKind.INVALID_VALUE, str(error)) from error
        service_name = choose_service(route, metadata.stream_id)
        service = state.configuration.services.get(service_name)
        if service is None:
            raise RequestError(
                ErrorKind.UPSTREAM_UNAVAILABLE,
                f"service {service_name} is not configured",
                retry_after_s=RETRY_AFTER_NOT_READY_S,
            )
        timeout_s = started_s + route.timeout_s
        client_s = timeout_s
        if metadata.deadline_s is not None:
            client_s = started_s + metadata.deadline_s
        exchange = Exchange(
            request=request,
            client=connection,
            metadata=metadata,
            configuration=state.configuration,
            route=route,
            service=service,
            started_s=started_s,
            deadline_s=min(timeout_s, client_s),
            client_deadline_s=client_s,
        )
        if self._stop is not None:
            if not self._stop.accepts(exchange):
                raise exchange.stopped()
            self._stop.bound(exchange)
            exchange.may_begin = partial(self._stop.may_begin, exchange)
        return exchange

    def _find_route(self, request: ClientRequest) -> Route:
        """Return the route of a request; refuse it if there is none in force."""
        assert self._state.routes is not None
        host = (request.header(b"host") or b"").decode("latin-1")
        route = self._state.routes.find(host.rsplit(":", 1)[0], request.path)
        evidence = configuration_evidence(self._state, time.monotonic())
        if not may_serve(evidence) or (route is None and not may_deny(evidence)):
            raise _outdated_configuration()
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_PATH, "no route for this path")
        return route

    def _may_deny(self) -> bool:
        """Return whether a limit of the configuration is known to be in force."""
        return may_deny(configuration_evidence(self._state, time.monotonic()))


def _outdated_configuration() -> RequestError:
    return RequestError(
        ErrorKind.NOT_READY,
        "configuration may have been replaced",
        retry_after_s=RETRY_AFTER_NOT_READY_S,
    )


def _error_head(error: RequestError, closing: bool) -> OutgoingHead:
    status = error.answer.status
    headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if error.retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % error.retry_after_s))
    if closing:
        headers.append((b"Connection", b"close"))
    return OutgoingHead(status, HTTPStatus(status).phrase.encode(), headers)


def _error_body(error: RequestError) -> bytes:
    return f"{error.kind.value}: {error.message}\n".encode()
