"""Records in the store of the software versions that began streams.

One host changes the record of a service, in the order of the host names, unless only
another one knows the reason. Each host records its own streams, in batches, while
streams of several versions may exist.
"""

import secrets
import time
from collections import defaultdict
from collections.abc import Iterable

import gevent

from persimmonyoke.errors import LeaseEnded, StoreUnavailable
from persimmonyoke.internal.dispatch.stream_versions import (
    BegunStream,
    StreamLife,
    record_interval_s,
    stream_life_s,
)
from persimmonyoke.internal.dispatch.version_plan import VersionInputs, VersionPlanner
from persimmonyoke.internal.fleet.interfaces import FleetStore
from persimmonyoke.internal.fleet.model import RecordedStreams, ServiceVersions
from persimmonyoke.internal.fleet.store_lease import StoreLease
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_records import note_versions

IDLE_STEP_S = 0.25
"""Interval of the checks while only one version began streams."""

RANK_DELAY_S = 0.1
MAX_RANK_DELAY_S = 1.5
"""Delays of the hosts after the first, so that one of them changes a record."""

CONFLICT_PAUSE_S = 0.5
"""Pause after another host has changed the record first."""

FAILED_WRITE_PAUSE_S = 0.4
"""Pause after the store has not answered, which may last for seconds."""

BATCH_S = 2.0
"""Time for which a batch grows; each write repeats the whole batch."""

MAX_BATCH_STREAMS = 2_000


class _Batch:
    """Hold the streams that are written under one key."""

    def __init__(self, name: str, begun_s: float) -> None:
        self.name = name
        self.begun_s = begun_s
        self.streams: list[BegunStream] = []

    def is_full(self, now_s: float) -> bool:
        """Return whether further streams go to another batch."""
        return now_s - self.begun_s > BATCH_S or len(self.streams) >= MAX_BATCH_STREAMS

    def grouped(self) -> list[RecordedStreams]:
        """Return the keys of the streams by version."""
        keys = defaultdict(list)
        for stream in self.streams:
            keys[stream.version].append(stream.key)
        return [RecordedStreams(version, tuple(keys[version])) for version in keys]


class StreamVersionRecorder:
    """Keep the records of versions and of this host's streams in the store."""

    def __init__(self, state: GatewayState, store: FleetStore) -> None:
        self._state = state
        self._store = store
        self._life = StreamLife()
        self._planners: dict[str, VersionPlanner] = defaultdict(VersionPlanner)
        self._wanted_since_s: dict[str, float] = {}
        self._pause_until_s = 0.0
        self._boot_id = secrets.token_hex(3)
        self._batch_number = 0
        self._batches: list[_Batch] = []
        self._recorded_count = 0
        self._lease: StoreLease | None = None
        self._renewed_s = 0.0

    def run(self) -> None:
        """Write the records that are due, for the lifetime of the process."""
        while True:
            gevent.sleep(self._interval_s() * self._state.rng.uniform(0.8, 1.2))
            try:
                self._step(time.monotonic())
            except LeaseEnded as error:
                self._state.journal.failure("stream_lease_ended", error)
                self._begin_again()
            except StoreUnavailable as error:
                self._state.journal.failure("streams_not_recorded", error)
                gevent.sleep(FAILED_WRITE_PAUSE_S)
            except Exception:
                self._state.journal.unexpected("stream_recording_failed")

    def _interval_s(self) -> float:
        if not self._state.stream_versions.any_mixed:
            return IDLE_STEP_S
        return record_interval_s(
            hosts=1 + len(self._state.hosts.peers()),
            writes_per_s=self._state.settings.store_writes_per_s,
        )

    def _step(self, now_s: float) -> None:
        state = self._state
        life_s = self._life.note(stream_life_s(state.configuration), now_s=now_s)
        state.stream_versions.forget_before(now_s - life_s)
        if state.ready and now_s >= self._pause_until_s:
            for service in self._resumable_services():
                self._plan(service, life_s, now_s)
        if state.stream_versions.any_mixed:
            self._record_streams(life_s, now_s)
        else:
            self._begin_again()

    def _resumable_services(self) -> list[str]:
        configuration = self._state.configuration
        routes = configuration.routes if configuration else ()
        names = (s.name for r in routes if r.resumable for s in r.services)
        return list(dict.fromkeys(names))

    def _plan(self, service: str, life_s: float, now_s: float) -> None:
        """Change the record of a service if that is due and this host's turn."""
        register = self._state.stream_versions
        record = register.service(service)
        begun = register.own_versions(service, not_before_s=now_s - life_s)
        replicas = [r for r in self._state.replicas.all() if r.service == service]
        changing = [
            replica.replica_id
            for replica in replicas
            if self._state.stage_changes.is_pending(replica, now_s)
        ]
        inputs = VersionInputs(
            replicas=replicas,
            unreachable={*self._state.health.all_paused(now_s), *changing},
            begun_here=begun,
            life_s=life_s,
        )
        planned = self._planners[service].plan(record, inputs, now_s=now_s)
        if planned is None:
            self._wanted_since_s.pop(service, None)
            return
        since_s = self._wanted_since_s.setdefault(service, now_s)
        if now_s - since_s >= self._turn_delay_s(record, begun):
            self._write_versions(record, planned, now_s)

    def _turn_delay_s(
        self, record: ServiceVersions | None, begun: Iterable[str]
    ) -> float:
        named = {record.active, *record.earlier} if record else set()
        if set(begun) - named:
            # Only this host knows of these streams.
            return 0.0
        own = self._state.settings.host_name
        rank = sum(peer.name < own for peer in self._state.hosts.peers())
        return min(MAX_RANK_DELAY_S, rank * RANK_DELAY_S)

    def _write_versions(
        self, record: ServiceVersions | None, planned: ServiceVersions, now_s: float
    ) -> None:
        written = self._store.write_versions(planned)
        if written is None:
            self._pause_until_s = now_s + CONFLICT_PAUSE_S
            return
        self._wanted_since_s.pop(planned.service, None)
        note_versions(self._state, written, source="own write")

    def _record_streams(self, life_s: float, now_s: float) -> None:
        """Write the streams that have begun here since the last write."""
        register = self._state.stream_versions
        count = register.own_count
        begun = register.own_since(self._recorded_count, not_before_s=now_s - life_s)
        if not begun:
            self._recorded_count = count
            return
        lease = self._keep_lease(life_s, now_s)
        expired = [b for b in self._batches if now_s - b.begun_s > life_s + BATCH_S]
        batch = self._open_batch(now_s)
        former_count = len(batch.streams)
        batch.streams.extend(begun)
        try:
            self._store.record_streams(
                self._state.settings.host_name,
                batch.name,
                batch.grouped(),
                lease,
                expired_batches=[b.name for b in expired],
            )
        except BaseException:
            del batch.streams[former_count:]
            raise
        self._recorded_count = count
        self._batches = [b for b in self._batches if b not in expired]

    def _open_batch(self, now_s: float) -> _Batch:
        if not self._batches or self._batches[-1].is_full(now_s):
            self._batch_number += 1
            name = f"{self._boot_id}-{self._batch_number}"
            self._batches.append(_Batch(name, now_s))
        return self._batches[-1]

    def _keep_lease(self, life_s: float, now_s: float) -> StoreLease:
        """Return a lease that lasts for the life of a stream that begins now."""
        ttl_s = 1.5 * life_s
        if self._lease is None:
            self._lease = self._store.grant_lease(ttl_s)
            self._renewed_s = now_s
        elif now_s - self._renewed_s > ttl_s - life_s:
            self._store.renew_lease(self._lease)
            self._renewed_s = now_s
        return self._lease

    def _begin_again(self) -> None:
        """Forget what was recorded, so that the next write holds all streams."""
        self._lease = None
        self._batches = []
        self._recorded_count = 0
