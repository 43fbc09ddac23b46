"""Simulated host list and weight store."""

import hashlib
import itertools
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, replace
from typing import Any

import bottle

from persimmonyoke.internal.platform import HostEntry, HostState
from persimmonyoke_testing.loopback_server import LoopbackServer


class HostListStandIn:
    """Serve ``GET /hosts``; changes become visible after ``lag_s`` seconds."""

    def __init__(
        self, hosts: Iterable[HostEntry] = (), *, lag_s: float = 0.0, port: int = 0
    ) -> None:
        self.lag_s = lag_s
        self.reads = 0
        self.lists_sent = 0
        self._hosts = {host.name: host for host in hosts}
        self._snapshots = [(float("-inf"), tuple(self._hosts.values()))]
        app = bottle.Bottle()
        app.route("/hosts", "GET", self._serve)
        self._server = LoopbackServer(app, port=port)

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
        """Refuse connections, or accept them again."""
        if down:
            self._server.stop()
        else:
            self._server.start()

    def put(self, host: HostEntry) -> None:
        """Add or replace a host."""
        self._hosts[host.name] = host
        self._take_snapshot()

    def address_of(self, name: str) -> str:
        """Return the address of a host; raise ``KeyError`` if it is not listed."""
        return self._hosts[name].address

    def remove(self, name: str) -> None:
        """Remove a host."""
        self._hosts.pop(name, None)
        self._take_snapshot()

    def mark_leaving(self, name: str) -> None:
        """Mark a host as leaving; raise ``KeyError`` if it is not listed."""
        self.put(replace(self._hosts[name], state=HostState.LEAVING))

    def _take_snapshot(self) -> None:
        now_s = time.monotonic()
        self._snapshots.append((now_s, tuple(self._hosts.values())))
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now_s - self.lag_s:
            del self._snapshots[0]

    def _serve(self) -> dict[str, Any] | bottle.HTTPResponse:
        self.reads += 1
        horizon_s = time.monotonic() - self.lag_s
        visible = [hosts for taken_s, hosts in self._snapshots if taken_s <= horizon_s]
        hosts = (visible or [()])[-1]
        tag = f'"{hashlib.sha256(repr(hosts).encode()).hexdigest()[:16]}"'
        if bottle.request.headers.get("If-None-Match") == tag:
            return bottle.HTTPResponse(status=304, headers={"ETag": tag})
        self.lists_sent += 1
        bottle.response.set_header("ETag", tag)
        return {"hosts": [asdict(host) for host in hosts]}


class WeightStoreStandIn:
    """Serve weight sizes, and grant download slots at a limited rate."""

    def __init__(
        self,
        *,
        slots_per_s: float = 1.0,
        size_bytes: int = 1_000_000,
        versions: Iterable[tuple[str, str]] | None = None,
        port: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.slots_per_s = slots_per_s
        self.size_bytes = size_bytes
        self.slots_granted = 0
        self._versions = None if versions is None else set(versions)
        self._clock = clock
        self._next_slot_s = clock()
        self._numbers = itertools.count(1)
        app = bottle.Bottle()
        app.route("/weights/<model>/<version>", "GET", self._describe)
        app.route("/slots", "POST", self._grant_slot)
        self._server = LoopbackServer(app, port=port)

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

    def _describe(self, model: str, version: str) -> dict[str, Any]:
        if self._versions is not None and (model, version) not in self._versions:
            bottle.response.status = 404
            return {"message": "no such version"}
        return {"model": model, "version": version, "size_bytes": self.size_bytes}

    def _grant_slot(self) -> dict[str, Any]:
        now_s = self._clock()
        if now_s < self._next_slot_s:
            return {"retry_after_s": self._next_slot_s - now_s}
        self._next_slot_s = now_s + 1.0 / self.slots_per_s
        self.slots_granted += 1
        return {"slot_id": f"slot-{next(self._numbers)}", "valid_s": 60.0}
