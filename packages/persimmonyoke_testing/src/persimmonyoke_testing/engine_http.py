"""HTTP interface of the simulated engine."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs

import orjson

from persimmonyoke_testing.engine_core import EngineCore, Rejection
from persimmonyoke_testing.engine_scheduler import Sequence
from persimmonyoke_testing.engine_streams import StreamReader
from persimmonyoke_testing.loopback import CONNECTION_KEY, Connection

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    503: "Service Unavailable",
}

StartResponse = Callable[..., Any]
Environ = Mapping[str, Any]


class EngineApp:
    """Serve the engine protocol as a WSGI application."""

    def __init__(self, core: EngineCore) -> None:
        self.core = core
        self._routes: dict[tuple[str, str], Callable[..., Iterable[bytes]]] = {
            ("POST", "/generate"): self._generate,
            ("POST", "/cancel"): self._cancel,
            ("GET", "/state"): self._state,
            ("GET", "/load"): self._load,
            ("GET", "/cache-events"): self._cache_events,
            ("POST", "/kv/export"): self._export,
            ("POST", "/kv/import"): self._import,
            ("POST", "/orders"): self._orders,
        }

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        environ[CONNECTION_KEY].wait_if_silenced()
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        handler = self._routes.get((method, path))
        if handler is None and method == "GET" and path.startswith("/streams/"):
            handler = self._resume
        if handler is None:
            return self._json(start_response, 404, {"error": "unknown path"})
        try:
            return handler(environ, start_response)
        except Rejection as rejection:
            return self._refuse(start_response, rejection)

    def _generate(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        body = self._body(environ)
        connection = environ[CONNECTION_KEY]
        faults = self.core.faults
        if faults.reset_generates > 0:
            faults.reset_generates -= 1
            connection.drop(reset=True)
        sequence = self.core.generate(body)
        return self._stream(start, connection, sequence, sequence.prefix_tokens)

    def _resume(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        stream_id = environ["PATH_INFO"].removeprefix("/streams/")
        offset = self._number(environ, "offset")
        sequence = self.core.streams.get(stream_id)
        if sequence is None:
            raise Rejection(404, "unknown stream")
        if not sequence.prefix_tokens <= offset <= sequence.produced:
            raise Rejection(409, "offset is outside the stream")
        return self._stream(start, environ[CONNECTION_KEY], sequence, offset)

    def _stream(
        self,
        start: StartResponse,
        connection: Connection,
        sequence: Sequence,
        offset: int,
    ) -> Iterable[bytes]:
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Engine-Incarnation", self.core.incarnation),
        ]
        start("200 OK", headers)
        for event in StreamReader(self.core, sequence, offset=offset).events():
            connection.wait_if_silenced()
            yield event

    def _cancel(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        request_id = str(self._body(environ).get("request_id"))
        cancelled = self.core.cancel(request_id)
        return self._json(start, 200, {"cancelled": cancelled})

    def _state(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        return self._json(start, 200, self.core.state())

    def _load(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        return self._json(start, 200, self.core.load())

    def _cache_events(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        since = self._number(environ, "since")
        return self._json(start, 200, self.core.read_cache_events(since))

    def _export(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        blob = self.core.export_kv(str(self._body(environ).get("request_id")))
        start("200 OK", [("Content-Type", "application/octet-stream")])
        return [blob]

    def _import(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        handle = self.core.import_kv(environ["wsgi.input"].read())
        return self._json(start, 200, {"kv_handle": handle})

    def _orders(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        status, answer = self.core.orders.take(self._body(environ))
        faults = self.core.faults
        if status == 200 and faults.lose_order_answers > 0:
            faults.lose_order_answers -= 1
            environ[CONNECTION_KEY].drop()
        return self._json(start, status, answer)

    @staticmethod
    def _body(environ: Environ) -> dict[str, Any]:
        try:
            body = orjson.loads(environ["wsgi.input"].read())
        except orjson.JSONDecodeError as error:
            raise Rejection(400, "body is not JSON") from error
        if not isinstance(body, dict):
            raise Rejection(400, "body is not a JSON object")
        return body

    @staticmethod
    def _number(environ: Environ, name: str) -> int:
        values = parse_qs(environ.get("QUERY_STRING", "")).get(name, ["0"])
        if not values[0].isdecimal():
            raise Rejection(400, f"{name} is not a number")
        return int(values[0])

    @staticmethod
    def _json(
        start: StartResponse, status: int, body: object, *, not_run: bool = False
    ) -> Iterable[bytes]:
        headers = [("Content-Type", "application/json")]
        if not_run:
            headers.append(("X-Not-Run", "true"))
        start(f"{status} {REASONS[status]}", headers)
        return [orjson.dumps(body)]

    def _refuse(self, start: StartResponse, rejection: Rejection) -> Iterable[bytes]:
        body = {"error": rejection.error, "ran": "not_run"}
        return self._json(start, rejection.status, body, not_run=True)
