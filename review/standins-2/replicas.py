"""Stand-ins of model replicas with stages, and of replicas of a plain service."""

import asyncio
import json
import secrets
import time
from collections.abc import Callable

from http11 import JSON_HEADERS, Listener, NoAnswer, Request, Response
from store import Store

SWITCH_S = 3.0
"""Time of a stage change, as on the small sites."""

HANDLE_S = 5.0
TOKEN_S = 0.02
LATE_S = 6.0
"""Time after which an order without an answer is carried out, of 2 to 12 s."""


class Replica:
    """Serve requests, register in the store and record what was run."""

    def __init__(self, name: str, service: str, zone: str, store: Store) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.stage: str | None = None
        self.version = "v1"
        """Version of the software, also part of each event."""

        self.born_ms = int(time.time() * 1_000)
        self.port = 0
        self.draining = False
        self.record: Callable[..., None] = lambda kind, **fields: None
        self._listener = Listener(self.handle)

    @property
    def address(self) -> str:
        """Return the address of the replica."""
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        """Listen on a free port."""
        self._listener = Listener(self.handle)
        self.port = await self._listener.start("127.0.0.1", self.port)

    async def close(self) -> None:
        """Stop listening and end all connections, as the end of the process does."""
        await self._listener.close()

    def register(self) -> None:
        """Write the replica's entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64 if self.stage else 6,
            "state": "draining" if self.draining else "ready",
            "cold-ms": 0,
            "sequence": 0,
            "born": self.born_ms,
        }
        if self.stage:
            entry["stage"] = self.stage
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Answer one request."""
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            return Response(421, headers={"Not-Executed": "1"})
        return await self.run(request, writer)

    async def run(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Run a plain request."""
        request_id = request.headers.get("request-id", "")
        self.record("run", replica=self.name, id=request_id)
        await asyncio.sleep(0.02)
        return Response(
            200,
            f"answer to {request_id} by {self.name}".encode(),
            {"Request-Id": request_id, "Server-Stamp": f"s.{self.name}.{request_id}"},
        )


class Engine(Replica):
    """Prefill prompts or write streams, and change the stage by order."""

    def __init__(
        self, name: str, service: str, zone: str, store: Store, stage: str
    ) -> None:
        super().__init__(name, service, zone, store)
        self.stage = stage
        self.sequence = 0
        self.busy_until_s = 0.0
        self.answers_order: Callable[[dict], bool] = lambda order: True
        """Returns whether an order is answered now, or else carried out late."""

        self.handles: dict[str, str] = {}
        self.token_s = TOKEN_S
        self._streams: set[asyncio.StreamWriter] = set()

    @property
    def busy(self) -> bool:
        """Return whether an order is being carried out."""
        return time.monotonic() < self.busy_until_s

    async def run(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Answer a call of the system or run a request."""
        match request.method, request.path.split("/")[1]:
            case "GET", "report":
                return self._json(200, self._report())
            case "POST", "order":
                return self._order(json.loads(request.body))
            case "GET", "kv-list":
                return self._json(200, {"epoch": 1, "next": 1, "held": []})
            case "DELETE", "kv-handle":
                self.handles.pop(request.path.split("/")[2], None)
                return self._json(200, {})
        request_id = request.headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if self.busy:
            return Response(503, headers={**echo, "Not-Executed": "1"})
        if request.headers.get("stage") == "prefill":
            if self.stage != "prefill":
                return Response(421, headers={**echo, "Not-Executed": "1"})
            await asyncio.sleep(0.01)
            handle = secrets.token_hex(6)
            self.handles[handle] = request_id
            tokens = int(request.headers["token-count"].split(",")[0])
            answer = {"kv-handle": handle, "tokens": tokens, "version": 1}
            return self._json(200, answer, echo)
        if self.stage != "decode":
            return Response(421, headers={**echo, "Not-Executed": "1"})
        await self._stream(request, writer)
        return None

    async def _stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("request-id", "")
        tokens = int(request.headers["token-count"].split(",")[1])
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.record(
            "run", replica=self.name, version=self.version, id=request_id, first=first
        )
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Request-Id: {request_id}\r\nServer-Stamp: s.{self.name}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        self._streams.add(writer)
        for number in range(first, tokens + 1):
            await asyncio.sleep(self.token_s)
            event = f"id: {number}\ndata: {self.version}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self._streams.discard(writer)
        await writer.drain()

    def reset_streams(self) -> None:
        """Reset the connections on which streams are being written."""
        for writer in self._streams:
            writer.transport.abort()
        self._streams.clear()

    async def start_again(self, version: str) -> None:
        """Start again under the same id and address; the entry is written later."""
        self.version, self.born_ms = version, int(time.time() * 1_000)
        self.sequence, self.busy_until_s = 0, 0.0
        self.handles.clear()
        await self.listen()

    def _report(self) -> dict:
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 90_000,
            "kv-handles": len(self.handles),
            "born": self.born_ms,
        }

    def _order(self, order: dict) -> Response:
        self.record("order", replica=self.name, **order)
        if not self.answers_order(order):
            asyncio.get_running_loop().call_later(LATE_S, self._carry_out, order)
            raise NoAnswer
        return self._json(self._carry_out(order), {})

    def _carry_out(self, order: dict) -> int:
        precondition = order.get("precondition")
        if self.busy or precondition not in (None, self.sequence):
            return 409
        if order["stage"] == self.stage:
            return 200
        self.sequence += 1
        self.busy_until_s = time.monotonic() + SWITCH_S
        loop = asyncio.get_running_loop()
        loop.call_later(SWITCH_S, self._change_stage, order["stage"])
        return 202

    def _change_stage(self, stage: str) -> None:
        self.stage = stage
        self.register()

    def _json(
        self, status: int, document: dict, headers: dict[str, str] | None = None
    ) -> Response:
        body = json.dumps(document).encode()
        return Response(status, body, {**JSON_HEADERS, **(headers or {})})
