"""Serve the HTTP endpoints for readiness, host addresses and metrics."""

import time
from collections.abc import Callable
from http import HTTPStatus

import orjson
from gevent import socket

from persimmonyoke.errors import RequestError
from persimmonyoke.internal.gateway.accepted_clients import accepted_client
from persimmonyoke.internal.gateway.client_connection import (
    ClientConnection,
    ClientGone,
    OutgoingHead,
)
from persimmonyoke.internal.gateway.client_listener import ClientListener
from persimmonyoke.internal.gateway.configuration_evidence import takes_callers
from persimmonyoke.internal.gateway.requests import ClientRequest
from persimmonyoke.internal.gateway.state import GatewayState

MAX_ADDRESSES = 64
ADDRESS_TTL_S = 1.5
"""Time for which callers cache addresses."""

LONGEST_CACHE_FACTOR = 3
"""Factor by which some callers exceed that time."""

JSON = (b"Content-Type", b"application/json")
TEXT = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")

Handler = Callable[[ClientRequest], tuple[int, bytes]]


class StatusServer:
    """Serve ``GET`` requests for a fixed set of paths."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._paths: dict[str, Handler] = {
            "/ready": self._ready,
            "/resolve": self._resolve,
            "/metrics": self._metrics,
        }
        self._servers: list[ClientListener] = []

    def start(self, host: str, port: int) -> int:
        """Listen on an additional port and return it."""
        server = ClientListener((host, port), self._serve, backlog=256)
        server.start()
        self._servers.append(server)
        return server.server_port

    def stop(self) -> None:
        """Close all listeners and connections immediately."""
        for server in self._servers:
            server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _address: object) -> None:
        connection = accepted_client(sock, self._state)
        try:
            # A client over the limit of connections is just closed.
            goes_on = self._state.clients.try_admit(connection)
            while goes_on:
                # No variable here may keep the last request and its body.
                goes_on = self._serve_next(connection)
        except (ClientGone, RequestError) as error:
            self._state.journal.failure("small_request_failed", error)
        except Exception:
            self._state.journal.unexpected("small_request_failed")
        finally:
            self._state.clients.discard(connection)
            connection.close()

    def _serve_next(self, connection: ClientConnection) -> bool:
        """Serve a request; return whether the client may send another one."""
        request = connection.next_request()
        if request is None:
            return False
        self._handle_request(connection, request)
        return request.keep_alive

    def _handle_request(
        self, connection: ClientConnection, request: ClientRequest
    ) -> None:
        handler = self._paths.get(request.path)
        status, body = 404, b""
        if handler is not None:
            status, body = self._result(handler, request)
        reason = HTTPStatus(status).phrase.encode()
        kind = TEXT if request.path == "/metrics" else JSON
        connection.send_response(OutgoingHead(status, reason, [kind]), body)

    def _result(self, handler: Handler, request: ClientRequest) -> tuple[int, bytes]:
        """Return the status and body of a handler, or 500 after an unexpected error."""
        try:
            return handler(request)
        except Exception:
            self._state.journal.unexpected("small_request_failed", path=request.path)
            return 500, b""

    def _ready(self, _request: ClientRequest) -> tuple[int, bytes]:
        is_ready = takes_callers(self._state, time.monotonic())
        return (200, b"{}") if is_ready else (503, b"{}")

    def _resolve(self, request: ClientRequest) -> tuple[int, bytes]:
        state = self._state
        addresses = state.hosts.addresses(
            own=state.own_entry(),
            own_ready=takes_callers(state, time.monotonic()),
            now_s=time.monotonic(),
            limit=MAX_ADDRESSES,
            caller_zone=request.query_value("zone"),
        )
        if not addresses:
            return 503, b"{}"
        ttl_s = min(ADDRESS_TTL_S, state.settings.address_ttl_max_s)
        return 200, orjson.dumps({"addresses": addresses, "ttl-s": ttl_s})

    def _metrics(self, _request: ClientRequest) -> tuple[int, bytes]:
        state, metrics = self._state, self._state.metrics
        now_s = time.monotonic()
        metrics.store_age.set(state.contact.silent_s(now_s))
        metrics.view_age.set(state.view.age_s(now_s))
        metrics.configuration_version.set(state.version)
        metrics.upstream_connections.set(state.pool.opened)
        metrics.links_failing.set(len(state.links.failing))
        metrics.partitioned.set(float(state.links.partitioned))
        metrics.queued.set(state.queued_s())
        metrics.held_bytes.set(state.memory.held_bytes)
        metrics.malformed_entries.set(state.journal.malformed_entries)
        engines = [r for r in state.replicas.all() if r.stage is not None]
        backlog_s = state.placement.mean_backlog_s(engines, now_s=now_s)
        metrics.prefill_backlog.set(backlog_s)
        return 200, metrics.render()
