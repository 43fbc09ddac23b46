"""What a process knows of the upstreams: directory, loads and cached prefixes."""

import time
from collections.abc import Callable
from random import Random

from persimmonyoke.internal.membership.hosts import HostView
from persimmonyoke.internal.membership.messages import Leaving
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.node.host_list_loop import HostListLoop, peer_addresses
from persimmonyoke.internal.platform import (
    HostEntry,
    HostList,
    HostRole,
    HostState,
)
from persimmonyoke.internal.presets import Preset, Revision
from persimmonyoke.internal.routing import PrefixIndex
from persimmonyoke.internal.upstreams.api import (
    CacheEventBatch,
    EngineState,
    LoadReport,
    Upstream,
)
from persimmonyoke.internal.upstreams.clients import UpstreamClients
from persimmonyoke.internal.upstreams.directory import Directory
from persimmonyoke.internal.upstreams.load_view import LoadView
from persimmonyoke.internal.upstreams.pollers import PollerGroup, PollHandlers

UPSTREAM_KIND = "upstream"


class FleetView:
    """Keep directory, load view and prefix index up to date from their sources."""

    def __init__(
        self,
        hosts: HostList,
        host_view: HostView,
        *,
        port_offset: int,
        poll_interval_s: float,
        rng: Random,
    ) -> None:
        self.directory = Directory()
        self.load = LoadView()
        self.prefixes = PrefixIndex()
        self.clients = UpstreamClients()
        self.entries: tuple[HostEntry, ...] = ()
        self.adapters: dict[str, tuple[str, ...]] = {}
        self._host_view = host_view
        self._port_offset = port_offset
        self._peers: PeerService | None = None
        self._listed_leaving: set[str] = set()
        self._on_list: Callable[[], None] = lambda: None
        self._loop = HostListLoop(hosts, self._take_list, rng=rng)
        self._pollers = PollerGroup(
            PollHandlers(
                on_load=self._take_load,
                on_cache_events=self._take_cache_events,
                on_state=self._take_state,
            ),
            self.clients.engine,
            interval_s=poll_interval_s,
        )

    def start(self, peers: PeerService, *, on_list: Callable[[], None]) -> None:
        """Read the host list and the engines; ``on_list`` runs after each list."""
        self._peers = peers
        self._on_list = on_list
        self._loop.start()

    def stop(self) -> None:
        """End the readings."""
        self._loop.stop()
        self._pollers.stop()
        self.clients.keep_only(())

    def take_preset(self, revision: Revision, preset: Preset) -> None:
        """Take over the availability zones under maintenance."""
        zones = preset.maintenance_zones
        self.directory.set_maintenance_zones(zones, time.monotonic())

    def take_mark(self, host: str, mark: Leaving) -> None:
        """Take a leaving mark that a peer observed."""
        if mark.kind == UPSTREAM_KIND:
            self.directory.note_leaving(mark.name, mark.incarnation, time.monotonic())

    def engines(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the engines of all pools."""
        pools = {e.pool for e in self.entries if e.role is HostRole.ENGINE}
        return tuple(
            engine
            for pool in sorted(pools)
            for engine in self.directory.engines(pool, now_s)
        )

    def _take_list(self, entries: tuple[HostEntry, ...], now_s: float) -> None:
        self.entries = entries
        self._host_view.merge_host_list(entries, now_s)
        self.directory.set_hosts(entries, now_s)
        members = peer_addresses(
            entries, self._host_view, port_offset=self._port_offset
        )
        if self._peers is not None:
            self._peers.set_members(members)
        self._announce_leaving(now_s)
        engines = self.engines(now_s)
        self._pollers.sync(engines)
        names = {engine.name for engine in engines}
        for name in self.adapters.keys() - names:
            del self.adapters[name]
        self._on_list()

    def _announce_leaving(self, now_s: float) -> None:
        """Tell peers of each upstream that the list newly shows as leaving.

        Their copies of the list may be older.
        """
        leaving = {
            entry.name
            for entry in self.entries
            if entry.role is not HostRole.ENTRY and entry.state is HostState.LEAVING
        }
        for name in sorted(leaving - self._listed_leaving):
            upstream = self.directory.find(name, now_s)
            if self._peers is not None and upstream is not None:
                mark = Leaving(name, upstream.incarnation, UPSTREAM_KIND)
                self._peers.broadcast(mark)
        self._listed_leaving = leaving

    def _take_load(self, report: LoadReport, now_s: float) -> None:
        self.load.note_report(report, now_s)
        self.directory.note_report(report)

    def _take_state(self, state: EngineState, now_s: float) -> None:
        self.directory.note_state(state)
        self.adapters[state.name] = state.adapters

    def _take_cache_events(
        self, engine: Upstream, batch: CacheEventBatch, now_s: float
    ) -> None:
        self.prefixes.note_events(engine.name, batch, now_s)
