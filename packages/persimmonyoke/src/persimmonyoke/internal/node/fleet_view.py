"""A process's view of the upstreams: directory, loads and cached prefixes."""

import time
from collections.abc import Callable
from random import Random

import gevent

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.hosts import HostView
from persimmonyoke.internal.membership.messages import Leaving, Load
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.node.host_list_loop import (
    HostListLoop,
    entry_hosts,
    peer_addresses,
)
from persimmonyoke.internal.node.reading_exchange import (
    CacheReading,
    ReadingExchange,
)
from persimmonyoke.internal.observability import part_logger
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
from persimmonyoke.internal.upstreams.pollers import (
    PollerGroup,
    PollHandlers,
    assign_polling_hosts,
)

UPSTREAM_KIND = "upstream"
# With at most this many engines each entry node polls all of them. This avoids the
# 0.5 s for which peer links batch reports; polling 6 engines takes 1.0% of a core and
# 6 KB/s, of a host's budget of 2.1% and 11 KB/s.
POLL_ALL_MAX_ENGINES = 6
# Each node polls an engine itself after this time without a peer's report: the polling
# host may have died, may not reach the engine, or may have another view of the live
# hosts.
STALE_REPORT_S = 3.5
POLLING_UPDATE_INTERVAL_S = 1.0

log = part_logger("node")


class FleetView:
    """Update directory, load view and prefix index from the platform and from peers."""

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
        self._exchange = ReadingExchange(self._broadcast)
        self._assigned: frozenset[str] = frozenset()
        # Engines and live hosts for which ``_assigned`` was computed.
        self._share_inputs: tuple[frozenset[str], frozenset[str]] = (
            frozenset(),
            frozenset(),
        )
        self._polling_task: gevent.Greenlet | None = None
        self._listed_leaving: set[str] = set()
        self._on_list: Callable[[], None] = lambda: None
        self._loop = HostListLoop(hosts, self._apply_host_list, rng=rng)
        self._pollers = PollerGroup(
            PollHandlers(
                on_load=self._handle_load_report,
                on_cache_events=self._handle_cache_events,
                on_state=self._handle_state,
            ),
            self.clients.engine,
            interval_s=poll_interval_s,
        )

    def start(self, peers: PeerService, *, on_list: Callable[[], None]) -> None:
        """Poll the host list and the engines; ``on_list`` is called after each list."""
        self._peers = peers
        self._on_list = on_list
        self._loop.start()
        self._polling_task = gevent.spawn(self._update_polling_periodically)

    def stop(self) -> None:
        """Stop polling."""
        self._loop.stop()
        if self._polling_task is not None:
            self._polling_task.kill(block=False)
        self._pollers.stop()
        self.clients.keep_only(())

    def apply_preset(self, revision: Revision, preset: Preset) -> None:
        """Apply the availability zones under maintenance."""
        zones = preset.maintenance_zones
        self.directory.set_maintenance_zones(zones, time.monotonic())

    def receive_leaving(self, host: str, mark: Leaving) -> None:
        """Apply the leaving mark of an upstream that a peer observed."""
        if mark.kind == UPSTREAM_KIND:
            self.directory.note_leaving(mark.name, mark.incarnation, time.monotonic())

    def receive_reading(self, host: str, message: Load) -> None:
        """Apply a reading of an engine by a peer."""
        now_s = time.monotonic()
        try:
            reading = self._exchange.receive(message, now_s)
        except ProtocolError as error:
            log.warning("invalid engine reading from {}: {}", host, error)
            return
        own = self._pollers.names()
        match reading:
            # Readings of engines that this process polls itself are newer.
            case LoadReport(engine=name) if name not in own:
                self.load.note_report(reading, now_s)
                self.directory.note_report(reading)
            case EngineState(name=name) if name not in own:
                self._note_state(reading)
            case CacheReading(engine=name) if name not in own:
                self.prefixes.note_events(name, reading.batch, now_s)

    def engines(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the engines of all pools."""
        pools = {e.pool for e in self.entries if e.role is HostRole.ENGINE}
        return tuple(
            engine
            for pool in sorted(pools)
            for engine in self.directory.engines(pool, now_s)
        )

    def _apply_host_list(self, entries: tuple[HostEntry, ...], now_s: float) -> None:
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
        self._update_polling(engines, now_s)
        names = {engine.name for engine in engines}
        self._exchange.keep_only(names)
        for name in self.adapters.keys() - names:
            del self.adapters[name]
        self._on_list()

    # Assignment of engines to polling hosts

    def _update_polling_periodically(self) -> None:
        while True:
            gevent.sleep(POLLING_UPDATE_INTERVAL_S)
            now_s = time.monotonic()
            self._update_polling(self.engines(now_s), now_s)

    def _update_polling(self, engines: tuple[Upstream, ...], now_s: float) -> None:
        """Poll the engines assigned to this host and those with stale peer reports."""
        if self._peers is None:
            self._pollers.sync(engines)
            return
        identity = self._peers.identity
        is_entry = bool(identity.callers_address)
        view = self._host_view
        live = (h.name for h in entry_hosts(view, now_s))
        hosts = {name for name in live if not view.is_silent(name, now_s)}
        hosts.discard(identity.host)
        if is_entry and not view.is_leaving(identity.host):
            hosts.add(identity.host)
        names = frozenset(engine.name for engine in engines)
        # Recompute only on a change: 183 engines and 53 hosts take about 10,000 hashes.
        if (names, hosts) != self._share_inputs:
            self._share_inputs = (names, frozenset(hosts))
            shares = assign_polling_hosts(names, hosts)
            self._assigned = frozenset(
                n for n, h in shares.items() if h == identity.host
            )
        reads_all = is_entry and len(engines) <= POLL_ALL_MAX_ENGINES
        self._pollers.sync(
            engine
            for engine in engines
            if reads_all
            or engine.name in self._assigned
            or now_s - self._exchange.last_report_s(engine.name) >= STALE_REPORT_S
        )

    def _broadcast(self, message: Load) -> None:
        if self._peers is not None:
            self._peers.broadcast(message)

    def _announce_leaving(self, now_s: float) -> None:
        """Tell peers which upstreams the list newly shows as leaving.

        The peers' copies of the list may be older.
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

    def _handle_load_report(self, report: LoadReport, now_s: float) -> None:
        self.load.note_report(report, now_s)
        self.directory.note_report(report)
        if report.engine in self._assigned:
            self._exchange.send_load(report, now_s)

    def _handle_state(self, state: EngineState, now_s: float) -> None:
        self._exchange.note_state(state)
        self._note_state(state)

    def _note_state(self, state: EngineState) -> None:
        self.directory.note_state(state)
        self.adapters[state.name] = state.adapters

    def _handle_cache_events(
        self, engine: Upstream, batch: CacheEventBatch, now_s: float
    ) -> None:
        self.prefixes.note_events(engine.name, batch, now_s)
        # In a small fleet each entry node reads the events itself.
        is_shared = len(self.engines(now_s)) > POLL_ALL_MAX_ENGINES
        if is_shared and engine.name in self._assigned:
            hosts = len(self._share_inputs[1])
            self._exchange.send_events(engine.name, batch, now_s, hosts=hosts)
