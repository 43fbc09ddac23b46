"""A stand-in of the platform's metadata store; each host has a port of its own."""

import asyncio
import base64
import contextlib
import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qs

from http11 import JSON_HEADERS, Listener, NoAnswer, Request, Response

PAGE_ITEMS = 500


@dataclass
class Item:
    """Hold one key's value."""

    key: str
    value: bytes
    revision: int
    create_rev: int
    lease: int = 0

    def row(self) -> dict:
        """Return the item as the store writes it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create-rev": self.create_rev,
            "lease": self.lease,
        }


class Store:
    """Keep items, leases and history; answer linearizable calls.

    ``turned_away`` holds the hosts that get 503, ``silent`` those without an answer.
    ``on_call`` is called with the host and each request before it is answered.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.events: list[tuple[int, dict]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.turned_away: set[str] = set()
        self.silent: set[str] = set()
        self.on_call = lambda host, request: None
        self.on_change = lambda event: None
        self._listeners: list[Listener] = []

    async def listen(self, host: str) -> int:
        """Listen for one host and return the port."""
        listener = Listener(lambda request, _writer: self._handle(host, request))
        self._listeners.append(listener)
        return await listener.start("127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        for listener in self._listeners:
            await listener.close()

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have run out, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self.leases.items()):
                if end_s <= now_s:
                    self.end_lease(lease)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item, as the operator and the replicas do."""
        self._apply([(key, value, lease)], [])

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._apply([], [key])

    def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        self.leases.pop(lease, None)
        keys = [item.key for item in self.items.values() if item.lease == lease]
        if keys:
            self._apply([], keys)

    def _apply(self, puts: list[tuple[str, bytes, int]], removals: list[str]) -> int:
        removals = [key for key in removals if key in self.items]
        if not puts and not removals:
            return self.revision
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            created = known.create_rev if known else self.revision
            self.items[key] = Item(key, value, self.revision, created, lease)
            self._note(self.items[key].row())
        for key in removals:
            del self.items[key]
            self._note({"key": key, "revision": self.revision, "removed": True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _note(self, event: dict) -> None:
        self.events.append((self.revision, event))
        self.on_change(event)

    async def _handle(self, host: str, request: Request) -> Response:
        self.on_call(host, request)
        if host in self.silent:
            raise NoAnswer
        if host in self.turned_away:
            return _answer(503, {})
        await asyncio.sleep(0.004)
        parameters = {k: v[0] for k, v in parse_qs(request.query).items()}
        body = json.loads(request.body) if request.body else {}
        match request.method, request.path.split("/")[1]:
            case "GET", "kv-key":
                item = self.items.get(parameters["key"])
                if item is None:
                    return _answer(404, {"current-rev": self.revision})
                return _answer(200, {**item.row(), "current-rev": self.revision})
            case "GET", "kv-range":
                return self._range(parameters)
            case "GET", "kv-watch":
                return await self._watch(host, parameters)
            case "POST", "kv-txn":
                return self._transact(body)
            case "POST", "kv-lease":
                return self._grant(body)
            case "POST", "kv-keep":
                return self._keep(int(request.path.split("/")[2]))
            case "DELETE", "kv-lease-end":
                lease = int(request.path.split("/")[2])
                known = lease in self.leases
                self.end_lease(lease)
                return _answer(200 if known else 404, {})
        return _answer(400, {})

    def _range(self, parameters: dict[str, str]) -> Response:
        prefix = parameters.get("path-prefix", "")
        after = parameters.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key].row() for key in keys[:PAGE_ITEMS]]
        return _answer(
            200,
            {
                "items": page,
                "has-more": len(keys) > PAGE_ITEMS,
                "current-rev": self.revision,
            },
        )

    async def _watch(self, host: str, parameters: dict[str, str]) -> Response:
        after, prefix = int(parameters["after"]), parameters.get("path-prefix", "")
        end_s = time.monotonic() + int(parameters["wait-ms"]) / 1_000
        while True:
            changed = self._changed
            found = [
                event
                for revision, event in self.events
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        if host in self.silent:
            raise NoAnswer
        if host in self.turned_away:
            return _answer(503, {})
        return _answer(200, {"events": found, "current-rev": self.revision})

    def _transact(self, body: dict) -> Response:
        failed = [
            row
            for row in body["precondition"]
            if self._revision_of(row["key"]) != row["revision"]
        ]
        if failed:
            rows = [
                self.items[row["key"]].row()
                for row in body["precondition"]
                if row["key"] in self.items
            ]
            return _answer(412, {"items": rows})
        puts = []
        for row in body["puts"]:
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return _answer(404, {})
            puts.append((row["key"], base64.b64decode(row["value"]), lease))
        return _answer(200, {"revision": self._apply(puts, body.get("remove", []))})

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return item.revision if item else 0

    def _grant(self, body: dict) -> Response:
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        ttl_s = body["ttl-ms"] / 1_000
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return _answer(200, {"lease": lease, "ttl-ms": body["ttl-ms"]})

    def _keep(self, lease: int) -> Response:
        if lease not in self.leases:
            return _answer(404, {})
        _, ttl_s = self.leases[lease]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return _answer(200, {"lease": lease, "ttl-ms": int(ttl_s * 1_000)})


def _answer(status: int, document: dict) -> Response:
    return Response(status, json.dumps(document).encode(), dict(JSON_HEADERS))
