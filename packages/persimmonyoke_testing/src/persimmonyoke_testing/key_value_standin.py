"""Simulated key-value service that speaks the etcd v3 JSON gateway format."""

import json
import time
from collections.abc import Callable, Iterator
from typing import Any
from weakref import WeakSet

import bottle

from persimmonyoke.internal.platform import KeyValue, WatchEvent
from persimmonyoke.internal.platform.etcd_json import decode_bytes, encode_bytes
from persimmonyoke_testing.key_value_state import (
    Compacted,
    KeyValueState,
    LeaseNotFound,
    StoreCounts,
    StoreFaults,
)
from persimmonyoke_testing.loopback_server import (
    SOCKET_KEY,
    LoopbackServer,
    abort_connection,
    peer_has_closed,
)

Json = dict[str, Any]
STALL_CHECK_S = 0.05


class KeyValueStandIn:
    """Serve the key-value service on a loopback port, with fault injection.

    ``faults`` holds the injected faults and ``counts`` the numbers of calls.
    ``set_down`` refuses connections; ``stall_open_connections`` keeps the open
    connections but sends nothing more on them; ``compact`` discards the event history.
    """

    def __init__(self, *, port: int = 0) -> None:
        self.state = KeyValueState()
        self.faults = StoreFaults()
        self.counts = StoreCounts()
        self._connections: WeakSet[Any] = WeakSet()
        self._stalled: WeakSet[Any] = WeakSet()
        self._server = LoopbackServer(self._application(), port=port)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    def start(self) -> None:
        """Accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop the service."""
        self._server.stop()

    def set_down(self, down: bool) -> None:
        """Close all connections and refuse new ones, or accept connections again."""
        self.faults.down = down
        if down:
            self._server.stop()
        else:
            self._server.start()

    def compact(self) -> None:
        """Compact the event history at the current revision."""
        self.state.compact()

    def stall_open_connections(self) -> None:
        """Stop sending on the currently open connections, without closing them."""
        self._stalled |= self._connections

    def _application(self) -> bottle.Bottle:
        app = bottle.Bottle()
        routes: dict[str, Callable[[Json], Any]] = {
            "/v3/kv/range": self._read,
            "/v3/kv/txn": self._write,
            "/v3/lease/grant": self._lease_call(self._grant),
            "/v3/lease/keepalive": self._lease_call(self._keep_alive),
            "/v3/lease/revoke": self._lease_call(self._revoke),
            "/v3/watch": self._open_watch,
        }
        for path, handler in routes.items():
            app.route(path, "POST", self._endpoint(handler))
        # Exceptions propagate to the server, which closes the connection on an abort.
        app.catchall = False
        return app

    def _endpoint(self, handler: Callable[[Json], Any]) -> Callable[[], Any]:
        def serve() -> Any:
            connection = bottle.request.environ[SOCKET_KEY]
            self._connections.add(connection)
            while connection in self._stalled:
                time.sleep(STALL_CHECK_S)
            body = json.loads(bottle.request.environ["wsgi.input"].read())
            if self.faults.slow_s:
                time.sleep(self.faults.slow_s)
            return handler(body)

        return serve

    def _lease_call(self, handler: Callable[[Json], Json]) -> Callable[[Json], Json]:
        def serve(body: Json) -> Json:
            self.counts.lease_calls += 1
            return handler(body)

        return serve

    def _header(self) -> Json:
        return {"revision": str(self.state.revision)}

    def _read(self, body: Json) -> Json:
        self.counts.reads += 1
        return self._range(body)

    def _range(self, body: Json) -> Json:
        found = self.state.select(
            _key_filter(body),
            limit=int(body.get("limit", 0)),
            newest_first=body.get("sort_order") == "DESCEND",
        )
        answer: Json = {"header": self._header()}
        if found:
            answer["kvs"] = [_kv_json(item) for item in found]
            answer["count"] = str(len(found))
        return answer

    def _write(self, body: Json) -> Json:
        self.counts.writes += 1
        if self.faults.take_lost_request():
            abort_connection(bottle.request.environ)
        try:
            answer = self._txn(body)
        except LeaseNotFound:
            bottle.response.status = 404
            return {"code": 5, "message": "etcdserver: requested lease not found"}
        if self.faults.take_lost_answer():
            abort_connection(bottle.request.environ)
        return answer

    def _txn(self, body: Json) -> Json:
        succeeded = all(self._compare(item) for item in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        responses = [self._operate(operation) for operation in operations]
        answer: Json = {"header": self._header(), "responses": responses}
        if succeeded:
            answer["succeeded"] = True
        return answer

    def _compare(self, item: Json) -> bool:
        if item.get("target") != "MOD" or item.get("result") != "EQUAL":
            bottle.abort(400, "the simulator compares only mod_revision")
        key = decode_bytes(item["key"]).decode()
        return self.state.mod_revision(key) == int(item.get("mod_revision", 0))

    def _operate(self, operation: Json) -> Json:
        if put := operation.get("request_put"):
            self.state.put(
                decode_bytes(put["key"]).decode(),
                decode_bytes(put.get("value", "")),
                lease_id=int(put.get("lease", 0)),
            )
            return {"response_put": {"header": self._header()}}
        if deletion := operation.get("request_delete_range"):
            self.state.delete(decode_bytes(deletion["key"]).decode())
            return {"response_delete_range": {"header": self._header()}}
        return {"response_range": self._range(operation["request_range"])}

    def _grant(self, body: Json) -> Json:
        ttl_s = int(body["TTL"])
        lease_id = self.state.grant_lease(ttl_s)
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl_s)}

    def _keep_alive(self, body: Json) -> Json:
        remaining_s = self.state.keep_alive(int(body["ID"]))
        result: Json = {"header": self._header(), "ID": body["ID"]}
        if remaining_s:
            result["TTL"] = str(int(remaining_s))
        return {"result": result}

    def _revoke(self, body: Json) -> Json:
        self.state.revoke(int(body["ID"]))
        return {"header": self._header()}

    def _open_watch(self, body: Json) -> Iterator[bytes]:
        self.counts.watches += 1
        request = body["create_request"]
        revision = int(request.get("start_revision", 0)) or self.state.revision + 1
        accept = _key_filter(request)
        return self._watch_lines(bottle.request.environ, revision, accept)

    def _watch_lines(
        self, environ: Json, revision: int, accept: Callable[[str], bool]
    ) -> Iterator[bytes]:
        connection = environ[SOCKET_KEY]
        self.counts.waiting_watches += 1
        try:
            yield _json_line({"header": self._header(), "created": True})
            while not peer_has_closed(connection):
                stalled = connection in self._stalled
                events = [] if stalled else self.state.events_from(revision, accept)
                if events:
                    yield _json_line(
                        {"header": self._header(), "events": _events_json(events)}
                    )
                    revision = events[-1].revision + 1
                else:
                    self.state.wait_for_change()
        except Compacted as error:
            compacted = str(error.compact_revision)
            yield _json_line({"canceled": True, "compact_revision": compacted})
        finally:
            self.counts.waiting_watches -= 1


def _key_filter(body: Json) -> Callable[[str], bool]:
    """Return a predicate for the keys in the range of a request."""
    start = decode_bytes(body["key"])
    if "range_end" not in body:
        return lambda key: key.encode() == start
    end = decode_bytes(body["range_end"])
    if end == b"\x00":
        return lambda key: key.encode() >= start
    return lambda key: start <= key.encode() < end


def _kv_json(item: KeyValue) -> Json:
    fields: Json = {
        "key": encode_bytes(item.key.encode()),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": "1",
    }
    # proto3 JSON omits fields that have their default value.
    if item.value:
        fields["value"] = encode_bytes(item.value)
    if item.lease_id:
        fields["lease"] = str(item.lease_id)
    return fields


def _events_json(events: list[WatchEvent]) -> list[Json]:
    return [
        {"kv": _kv_json(event.key_value)}
        if event.key_value is not None
        else {
            "type": "DELETE",
            "kv": {
                "key": encode_bytes(event.key.encode()),
                "mod_revision": str(event.revision),
            },
        }
        for event in events
    ]


def _json_line(result: Json) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"
