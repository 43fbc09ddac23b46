"""Client for the HTTP protocol of engines."""

from collections.abc import Iterator
from http.client import HTTPException
from urllib.parse import quote

import orjson
from gevent import Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams import wire
from persimmonyoke.internal.upstreams.api import (
    CacheEventBatch,
    EngineClient,
    EngineFailure,
    EngineState,
    GenerateCall,
    LoadReport,
    Order,
    OrderOutcome,
    StreamEvent,
)
from persimmonyoke.internal.upstreams.connections import (
    ConnectionPool,
    UpstreamConnection,
)
from persimmonyoke.internal.upstreams.order_sender import send_order
from persimmonyoke.internal.upstreams.stream import (
    EventStream,
    StreamExpectation,
    socket_timeout,
)

NETWORK_ERRORS = (OSError, HTTPException, HTTPError)
JSON_HEADERS = {"Content-Type": "application/json"}
STREAM_HEADERS = JSON_HEADERS | {"Accept": "text/event-stream"}
NOT_RUN_HEADER = "X-Not-Run"
INCARNATION_HEADER = "X-Engine-Incarnation"
ERROR_BODY_BYTES = 512
MAX_IDLE = 32


class HttpEngineClient(EngineClient):
    """Call one engine over pooled connections.

    Safe to share between tasks. ``first_event_timeout_s`` and ``idle_timeout_s`` are
    defaults for streams that do not set their own. With ``pooled`` false each call
    opens a new connection, for use while open connections may be stalled.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        call_timeout_s: float = 5.0,
        first_event_timeout_s: float = 30.0,
        idle_timeout_s: float = 5.0,
        probe_timeout_s: float = 0.5,
        pooled: bool = True,
    ) -> None:
        limits = {
            "connect_timeout_s": connect_timeout_s,
            "call_timeout_s": call_timeout_s,
            "first_event_timeout_s": first_event_timeout_s,
            "idle_timeout_s": idle_timeout_s,
            "probe_timeout_s": probe_timeout_s,
        }
        for name, value in limits.items():
            if value <= 0:
                raise ValueError(f"{name} must be positive, got {value}")
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.call_timeout_s = call_timeout_s
        self.first_event_timeout_s = first_event_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.probe_timeout_s = probe_timeout_s
        self.incarnation = ""
        self._pool = ConnectionPool(address, max_idle=MAX_IDLE if pooled else 0)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.purge()

    def generate(
        self,
        call: GenerateCall,
        *,
        first_event_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
    ) -> Iterator[StreamEvent]:
        """Start a stream and yield its events; closing the iterator disconnects."""
        # If the caller gives no token count for the prefix, the engine's first offset
        # is accepted.
        counted = bool(call.prefix_tokens) or not call.prefix_text
        expectation = StreamExpectation(
            request_id=call.request_id,
            offset=call.prefix_tokens if counted else None,
        )
        return self._stream(
            "POST",
            "/generate",
            wire.encode_generate(call),
            expectation,
            first_event_timeout_s or self.first_event_timeout_s,
            idle_timeout_s or self.idle_timeout_s,
        )

    def resume(
        self,
        stream_id: str,
        *,
        offset: int,
        request_id: str | None = None,
        first_event_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
    ) -> Iterator[StreamEvent]:
        """Yield the events of a running or finished stream from a token offset."""
        expectation = StreamExpectation(
            request_id=request_id, stream_id=stream_id, offset=offset
        )
        return self._stream(
            "GET",
            f"/streams/{quote(stream_id, safe='')}?offset={offset}",
            None,
            expectation,
            first_event_timeout_s or self.first_event_timeout_s,
            idle_timeout_s or self.idle_timeout_s,
        )

    def cancel(self, request_id: str) -> None:
        """Stop the work of a request."""
        self._call("POST", "/cancel", orjson.dumps({"request_id": request_id}))

    def state(self) -> EngineState:
        """Return the current state of the engine."""
        state = wire.decode_state(self._call("GET", "/state"))
        self.incarnation = state.incarnation
        return state

    def load(self) -> LoadReport:
        """Return the latest load report of the engine, which lags."""
        report = wire.decode_load(self._call("GET", "/load"))
        self.incarnation = report.incarnation
        return report

    def cache_events(self, *, since: int) -> CacheEventBatch:
        """Return the cache events from the event number ``since`` on."""
        data = self._call("GET", f"/cache-events?since={since}")
        return wire.decode_cache_events(data, since=since)

    def export_kv(self, request_id: str) -> bytes:
        """Return the KV cache that a prefill-only call left for a request."""
        body = orjson.dumps({"request_id": request_id})
        return self._call("POST", "/kv/export", body)

    def import_kv(self, blob: bytes) -> str:
        """Upload a KV cache and return its handle for ``GenerateCall``."""
        body = wire.decode_object(self._call("POST", "/kv/import", blob))
        handle = body.get("kv_handle")
        if not isinstance(handle, str):
            raise ProtocolError("answer of /kv/import has no kv_handle")
        return handle

    def order(self, order: Order, *, timeout_s: float) -> OrderOutcome:
        """Send an order over a dedicated connection; never raises."""
        return send_order(self.address, order, timeout_s=timeout_s)

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        connection = self._pool.acquire()
        try:
            with Timeout(self.call_timeout_s, TimeoutError("call timed out")):
                self._start(connection, method, path, body, JSON_HEADERS)
                response = connection.read_head()
                data = connection.read_body(response)
        except NETWORK_ERRORS as error:
            connection.close()
            raise self._failure(connection, error, f"{method} {path}") from error
        except BaseException:
            connection.close()
            raise
        if response.will_close:
            connection.close()
        else:
            self._pool.release(connection)
        if response.status != 200:
            raise self._rejection(response.status, response.headers, data)
        return data

    def _stream(
        self,
        method: str,
        path: str,
        body: bytes | None,
        expectation: StreamExpectation,
        first_event_timeout_s: float,
        idle_timeout_s: float,
    ) -> Iterator[StreamEvent]:
        connection = self._pool.acquire()
        incarnation = self.incarnation
        reusable = False
        try:
            self._start(connection, method, path, body, STREAM_HEADERS)
            connection.enable_quickack()
            connection.timeout = socket_timeout(first_event_timeout_s)
            sock = connection.sock
            response = connection.read_head()
            if response.status != 200:
                data = response.read()
                reusable = not response.will_close
                raise self._rejection(response.status, response.headers, data)
            incarnation = response.headers.get(INCARNATION_HEADER) or incarnation
            stream = EventStream(response, sock, expectation)
            yield from stream.events(idle_timeout_s=idle_timeout_s)
            reusable = stream.drained and not response.will_close
        except NETWORK_ERRORS as error:
            connection.close()
            what = f"{method} {path.partition('?')[0]}"
            raise self._failure(connection, error, what, incarnation) from error
        except GeneratorExit:
            raise
        except BaseException:
            # Usually a timeout set by the caller. The idle connections may be stalled
            # as well.
            self._pool.purge()
            raise
        finally:
            if reusable:
                self._pool.release(connection)
            else:
                connection.close()

    def _start(
        self,
        connection: UpstreamConnection,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> None:
        timeout_s = self.connect_timeout_s
        connection.start(method, path, body, headers, timeout_s=timeout_s)
        connection.timeout = self.call_timeout_s

    def _failure(
        self,
        connection: UpstreamConnection,
        error: Exception,
        what: str,
        incarnation: str | None = None,
    ) -> EngineFailure:
        """Classify a network error of a call."""
        message = f"{what} at {self.address} failed: {error!r}"
        if not connection.written:
            return EngineFailure(message, sent=False, crashed=is_refused(error))
        silent = isinstance(error, TimeoutError)
        if silent:
            # The idle connections may be stalled as well.
            self._pool.purge()
            return EngineFailure(message, silent=True)
        crashed = self._has_crashed(
            self.incarnation if incarnation is None else incarnation
        )
        return EngineFailure(message, crashed=crashed)

    def _has_crashed(self, incarnation: str) -> bool:
        """Return whether the process of this incarnation has ended.

        Reads the state over a new connection: a connection can break while the engine
        keeps running, and a crashed engine may already have restarted.
        """
        connection = self._pool.new_connection()
        try:
            with Timeout(self.probe_timeout_s, TimeoutError("probe timed out")):
                connection.start(
                    "GET", "/state", None, {}, timeout_s=self.probe_timeout_s
                )
                response = connection.read_head()
                state = wire.decode_state(response.read())
        except NETWORK_ERRORS as error:
            return is_refused(error)
        except ProtocolError:
            return False
        finally:
            connection.close()
        return bool(incarnation) and state.incarnation != incarnation

    def _rejection(self, status: int, headers: object, data: bytes) -> EngineFailure:
        refused = headers.get(NOT_RUN_HEADER, "").lower() == "true"
        text = data[:ERROR_BODY_BYTES].decode("utf-8", "replace")
        message = f"engine at {self.address} answered {status}: {text}"
        return EngineFailure(message, refused=refused, status=status)


def is_refused(error: BaseException) -> bool:
    """Return whether the connection was refused because no process listens."""
    if isinstance(error, NewConnectionError):
        return isinstance(error.__cause__, ConnectionRefusedError)
    return isinstance(error, ConnectionRefusedError)
