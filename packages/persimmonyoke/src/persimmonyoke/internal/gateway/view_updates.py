"""Application of store entries to the state of this process."""

import time
from collections.abc import Callable

from persimmonyoke.internal.fleet.interfaces import (
    ConfigurationUpdated,
    HolderChanged,
    HostRemoved,
    HostUpdated,
    OrderRecorded,
    ReplicaRemoved,
    ReplicaUpdated,
    StoreEvent,
    StreamsRecorded,
    VersionsRecorded,
    WithheldRecorded,
)
from persimmonyoke.internal.fleet.model import WithheldRequest
from persimmonyoke.internal.gateway.orders import StageOrderController
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_records import apply_stream_records
from persimmonyoke.internal.gateway.withheld_record import merge_withheld


class ViewUpdater:
    """Apply snapshots and changes of the store in the order of their revisions."""

    def __init__(
        self,
        state: GatewayState,
        orders: StageOrderController,
        on_configuration: Callable[[], None],
    ) -> None:
        self._state = state
        self._orders = orders
        self._on_configuration = on_configuration

    def apply_snapshot(self, events: tuple[StoreEvent, ...]) -> None:
        """Replace the view by a snapshot of all entries."""
        state, now_s = self._state, time.monotonic()
        replicas = [e.replica for e in events if isinstance(e, ReplicaUpdated)]
        hosts = [e.host for e in events if isinstance(e, HostUpdated)]
        changed = state.replicas.replace_all(replicas, now_s=now_s)
        state.apply_replica_changes(changed, now_s=now_s)
        state.hosts.replace_all(hosts, now_s=now_s)
        state.replicas_known = True
        for event in events:
            if isinstance(event, ConfigurationUpdated):
                self._apply_configuration(event, "snapshot")
            elif isinstance(event, OrderRecorded):
                self._orders.note_record(event.record)
            elif isinstance(event, WithheldRecorded):
                self._merge_withheld(event.withheld)
        versions = [e.versions for e in events if isinstance(e, VersionsRecorded)]
        state.stream_versions.keep_services(record.service for record in versions)
        apply_stream_records(state, events, now_s=now_s)
        holders = [e.holder for e in events if isinstance(e, HolderChanged)]
        self._orders.note_holder(holders[0] if holders else None)

    def apply_events(self, events: tuple[StoreEvent, ...], *, watched: bool) -> None:
        """Apply changes; ``watched`` means that they have only just been made."""
        state, now_s = self._state, time.monotonic()
        for event in events:
            match event:
                case ConfigurationUpdated():
                    self._apply_configuration(event, "watch")
                case ReplicaUpdated(replica):
                    changes = state.replicas.put(replica, now_s=now_s, watched=watched)
                    state.apply_replica_changes(changes, now_s=now_s)
                case ReplicaRemoved(replica_id):
                    changes = state.replicas.remove(replica_id, now_s=now_s)
                    state.apply_replica_changes(changes, now_s=now_s)
                case HostUpdated(host):
                    state.hosts.put(host, now_s=now_s)
                case HostRemoved(name):
                    state.hosts.remove(name, now_s=now_s)
                    state.suspects.forget_host(name)
                case HolderChanged(holder):
                    self._orders.note_holder(holder)
                case OrderRecorded(record):
                    self._orders.note_record(record)
                case WithheldRecorded(withheld):
                    self._merge_withheld(withheld)
                case VersionsRecorded() | StreamsRecorded():
                    apply_stream_records(state, [event], now_s=now_s)

    def _merge_withheld(self, withheld: WithheldRequest) -> None:
        merge_withheld(
            self._state, withheld, unix_s=time.time(), now_s=time.monotonic()
        )

    def _apply_configuration(self, event: ConfigurationUpdated, source: str) -> None:
        self._state.apply_configuration(event.configuration, source)
        self._on_configuration()
