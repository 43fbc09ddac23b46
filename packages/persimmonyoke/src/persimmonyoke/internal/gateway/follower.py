"""Following the store: configuration, replicas and hosts."""

import time
from collections.abc import Callable

import gevent

from persimmonyoke.errors import HistoryLost, LeaseEnded, StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import (
    ConfigurationRead,
    FleetStore,
    HolderSeen,
    HostRemoved,
    HostSeen,
    OrderRecorded,
    ReplicaRemoved,
    ReplicaSeen,
    StoreChanges,
    StoreEvent,
)
from persimmonyoke.internal.fleet.watch_pacing import WatchPacer
from persimmonyoke.internal.gateway.orders import OrderDuty
from persimmonyoke.internal.gateway.state import GatewayState

WATCH_WAIT_S = 2.5
"""Wait of one watch; a connection that became silent is noticed after it."""

WATCH_LAG_S = 0.4
"""Time by which a watch may be later than that of a peer, with a slow store."""

RETRY_S = 0.15
MAX_RETRY_S = 0.6
OUTAGE_S = 1.0
"""Time without an answer after which entries may have lapsed meanwhile."""

HOST_LEASE_S = 4.0
RENEW_S = 1.2
"""Two renewals may be lost before a host's entry ends."""

READY_POLL_S = 0.1
"""Interval at which a host that starts looks whether it can take callers."""


class StoreFollower:
    """Keep the state of this process in step with the store."""

    def __init__(
        self,
        state: GatewayState,
        store: FleetStore,
        orders: OrderDuty,
        on_configuration: Callable[[], None],
    ) -> None:
        self._state = state
        self._store = store
        self._orders = orders
        self._on_configuration = on_configuration
        self._revision: int | None = None
        self._connected = False
        self._catching_up = False
        self._pacer = WatchPacer()
        state.on_newer_version = self.note_newer_version

    def note_newer_version(self, version: int) -> None:
        """Read the store if the watch does not bring a version that a peer has."""
        if not self._catching_up:
            self._catching_up = True
            gevent.spawn(self._catch_up, version)

    def _catch_up(self, version: int) -> None:
        try:
            gevent.sleep(WATCH_LAG_S)
            if self._state.version >= version:
                return
            self._state.journal.event("watch_behind", version=version)
            self._apply_snapshot(self._store.snapshot())
        except StoreUnavailable as error:
            # The peer goes on to tell its version, so this is tried again.
            self._state.journal.failure("catch_up_failed", error)
        finally:
            self._catching_up = False

    def run(self) -> None:
        """Follow the store for as long as the process runs."""
        delay_s = RETRY_S
        while True:
            try:
                self._step()
                delay_s = RETRY_S
            except HistoryLost as error:
                self._state.journal.failure("store_history_lost", error)
                self._revision = None
            except StoreUnavailable as error:
                self._note_lost(error)
                gevent.sleep(delay_s * self._state.rng.uniform(0.7, 1.3))
                delay_s = min(MAX_RETRY_S, delay_s * 2)
            except Exception:
                self._state.journal.unexpected("store_following_failed")
                self._revision = None
                gevent.sleep(MAX_RETRY_S)

    def _step(self) -> None:
        if self._revision is None:
            changes = self._store.snapshot()
            self._note_answer()
            self._apply_snapshot(changes)
        else:
            gevent.sleep(self._pacer.next_call_delay_s(time.monotonic()))
            changes = self._store.changes(
                after_revision=self._revision, wait_s=WATCH_WAIT_S
            )
            self._note_answer()
            self._apply_events(changes.events)
        self._revision = changes.revision

    def _note_answer(self) -> None:
        state, now_s = self._state, time.monotonic()
        if not self._connected:
            self._connected = True
            silent_s = now_s - state.store_heard_s
            state.journal.event("store_regained", silent_ms=int(silent_s * 1_000))
        if now_s - state.store_heard_s > WATCH_WAIT_S + OUTAGE_S:
            state.replicas.note_outage_end(now_s)
        state.store_heard_s = now_s

    def _note_lost(self, error: StoreUnavailable) -> None:
        # Events may have been missed, and a short outage may have let entries lapse.
        self._revision = None
        if self._connected:
            self._connected = False
            self._state.journal.failure("store_lost", error)

    def _apply_snapshot(self, changes: StoreChanges) -> None:
        state, now_s = self._state, time.monotonic()
        events = changes.events
        replicas = [e.replica for e in events if isinstance(e, ReplicaSeen)]
        hosts = [e.host for e in events if isinstance(e, HostSeen)]
        state.apply_replica_changes(state.replicas.replace_all(replicas, now_s=now_s))
        state.hosts.replace_all(hosts, now_s=now_s)
        state.replicas_known = True
        for event in events:
            if isinstance(event, ConfigurationRead):
                self._apply_configuration(event, "snapshot")
            elif isinstance(event, OrderRecorded):
                self._orders.note_record(event.record)
        holders = [e.holder for e in events if isinstance(e, HolderSeen)]
        self._orders.note_holder(holders[0] if holders else None)

    def _apply_events(self, events: tuple[StoreEvent, ...]) -> None:
        state, now_s = self._state, time.monotonic()
        for event in events:
            match event:
                case ConfigurationRead():
                    self._apply_configuration(event, "watch")
                case ReplicaSeen(replica):
                    changes = state.replicas.put(replica, now_s=now_s)
                    state.apply_replica_changes(changes)
                case ReplicaRemoved(replica_id):
                    changes = state.replicas.remove(replica_id, now_s=now_s)
                    state.apply_replica_changes(changes)
                case HostSeen(host):
                    state.hosts.put(host, now_s=now_s)
                case HostRemoved(name):
                    state.hosts.remove(name)
                case HolderSeen(holder):
                    self._orders.note_holder(holder)
                case OrderRecorded(record):
                    self._orders.note_record(record)

    def _apply_configuration(self, event: ConfigurationRead, source: str) -> None:
        self._state.apply_configuration(event.configuration, source)
        self._on_configuration()


class HostRegistration:
    """Keep this host's entry in the store."""

    def __init__(self, state: GatewayState, store: FleetStore) -> None:
        self._state = state
        self._store = store
        self._lease_id: int | None = None
        self._registered = False

    def run(self) -> None:
        """Register and renew for as long as the process runs."""
        while True:
            try:
                self._step()
                delay_s = RENEW_S if self._lease_id is not None else READY_POLL_S
            except LeaseEnded as error:
                self._state.journal.failure("host_lease_ended", error)
                self._lease_id = None
                delay_s = 0.05
            except StoreUnavailable as error:
                self._state.journal.failure("host_not_registered", error)
                delay_s = RENEW_S / 2
            except Exception:
                self._state.journal.unexpected("host_registration_failed")
                delay_s = RENEW_S
            gevent.sleep(delay_s * self._state.rng.uniform(0.85, 1.0))

    def withdraw(self) -> None:
        """Remove this host's entry, so that callers are sent elsewhere."""
        lease_id, self._lease_id = self._lease_id, None
        if lease_id is None:
            return
        try:
            self._store.end_lease(lease_id)
        except StoreUnavailable as error:
            # The lease ends by itself, and peers know from datagrams.
            self._state.journal.failure("host_not_withdrawn", error)

    def _step(self) -> None:
        # An entry that is written before would wake the watches of all hosts twice.
        if self._state.draining or not self._state.ready:
            return
        if self._lease_id is None:
            self._lease_id = self._store.grant_lease(HOST_LEASE_S)
            self._registered = False
        elif self._registered:
            self._store.renew_lease(self._lease_id)
        if not self._registered:
            self._store.register_host(self._state.own_entry(), self._lease_id)
            self._registered = True
