"""Builders of engine readings, and of nodes that divide the polling among them."""

import random
import time
from collections.abc import Iterable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest import mock

from persimmonyoke.internal.membership.hosts import HostView
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.node.fleet_view import FleetView
from persimmonyoke.internal.platform import HostEntry, HostList, HostRole
from persimmonyoke.internal.upstreams.api import (
    CacheEvent,
    CacheEventBatch,
    EngineState,
    LoadReport,
    Role,
)
from persimmonyoke_testing.builders_membership import beat

STATE = EngineState(
    "e1", "i1", Role.DECODE, ("m",), ("a",), "v", 0, None, None, None, 0
)
UNIX_S = 1_800_000_000.0


def report(**replaced: Any) -> LoadReport:
    """Return a report that matches ``STATE``."""
    base = LoadReport("e1", "i1", UNIX_S - 2.5, 70_000, 9, 3, 1000.0, 50.0, 64, "x")
    return replace(base, role=Role.DECODE, **replaced)


def event_batch(first: int, count: int) -> CacheEventBatch:
    """Return events with consecutive numbers."""
    events = (
        CacheEvent(n, n % 2 == 0, n.to_bytes(16, "big"))
        for n in range(first, first + count)
    )
    return CacheEventBatch(tuple(events), first + count, gap=False)


class PollingFleets:
    """Hold the fleet views of three entry hosts and a controller, not connected."""

    def __init__(self) -> None:
        self._fleets = {f"host-{n}": _fleet(f"host-{n}") for n in range(3)}
        self._fleets["controller"] = _fleet("controller", callers_address="")

    def stop(self) -> None:
        """Stop the pollers."""
        for fleet in self._fleets.values():
            fleet.stop()

    def receive_heartbeats(
        self, names: Iterable[str], *, sequence: int, now_s: float | None = None
    ) -> None:
        """Deliver heartbeats of some hosts to all views."""
        heard_s = time.monotonic() if now_s is None else now_s
        for fleet in self._fleets.values():
            for name in names:
                fleet._host_view.note_heartbeat(beat(name, sequence=sequence), heard_s)

    def receive_reports(self, count: int, now_s: float) -> None:
        """Mark the first engines as reported by a peer in all views."""
        for fleet in self._fleets.values():
            fleet._exchange._last_report_s = {f"e{n}": now_s for n in range(count)}

    def apply_host_list(self, count: int, now_s: float) -> None:
        """Apply a host list with the three hosts and some engines to all views."""
        entries = [
            HostEntry(f"host-{n}", HostRole.ENTRY, "", f"127.0.0.1:{n + 1}", "z", "r")
            for n in range(3)
        ]
        entries += [
            HostEntry(f"e{n}", HostRole.ENGINE, "p", "127.0.0.1:9", "z", "r")
            for n in range(count)
        ]
        for fleet in self._fleets.values():
            fleet._apply_host_list(tuple(entries), now_s)

    def polled_engines(self) -> dict[str, frozenset[str]]:
        """Return the engines that each view polls itself."""
        return {name: fleet._pollers.names() for name, fleet in self._fleets.items()}


def _fleet(name: str, callers_address: str = "127.0.0.1:1") -> FleetView:
    hosts = mock.create_autospec(HostList, instance=True)
    rng = random.Random(1)
    fleet = FleetView(hosts, HostView(), port_offset=1, poll_interval_s=60.0, rng=rng)
    fleet._loop = mock.Mock()
    peers = mock.create_autospec(PeerService, instance=True)
    peers.identity = SimpleNamespace(host=name, callers_address=callers_address)
    fleet.start(peers, on_list=lambda: None)
    return fleet
