"""Keeping of one stream to the software version that began it."""

import time
from collections.abc import Sequence
from typing import NoReturn

import gevent

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.dispatch.stream_starts import StartBasis
from persimmonyoke.internal.dispatch.stream_versions import (
    VersionFinding,
    find_version,
)
from persimmonyoke.internal.dispatch.version_plan import (
    majority_version,
    writes_events,
)
from persimmonyoke.internal.fleet.model import Replica, ServiceVersions, Stage
from persimmonyoke.internal.fleet.store_revision import number_of
from persimmonyoke.internal.gateway.clocks import boot_time_s, logged_ms
from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.exchange import Exchange, StreamBroken
from persimmonyoke.internal.gateway.incarnation_check import IncarnationCheck
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_starts import StreamStarts

LOOKUP_PAUSES_S = (0.0, 0.15, 0.3)
"""Pauses before the reads of the store for the record of a stream.

The host that began the stream records it within 0.1 s of its first event.
"""

MAX_LOOKUP_S = 1.0
"""Time after which no further read is made; a silent store delays each of them."""

QUEUED_DATAGRAMS_S = 0.1
"""Time after a request in which datagrams may be read that were queued before it."""

PEERS_WAIT_S = 1.3
"""Time in which all peers are heard; in a large deployment this takes 0.9 s."""

PEERS_POLL_S = 0.05
RETRY_AFTER_SILENT_STORE_S = 0.5

UNKNOWN_VERSION = "software version of the stream is not known"
RECORD_OUTDATED = "software version of new streams is not known"
VERSION_LEFT = "no replica of the stream's software version is left"


class StreamVersionGuard:
    """Find the version of one stream, and allow only replicas of that version."""

    def __init__(self, state: GatewayState, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._service = exchange.service.name
        self._applies = exchange.route.resumable
        self._required: str | None = None
        self._noted = False
        self._store_answered = False
        self._incarnations = IncarnationCheck(state, exchange)
        self._starts = StreamStarts(state, self._service)

    @property
    def compatible_engines(self) -> set[str] | None:
        """Return the ids of the engines of the stream's version, if it is bound."""
        if self._required is None:
            return None
        return {
            replica.replica_id
            for replica in self._state.replicas.all()
            if replica.service == self._service
            and replica.software_version == self._required
        }

    def resolve(self) -> None:
        """Find the version at which a stream may go on or begin, or refuse it."""
        if not self._applies:
            return
        if self._exchange.metadata.last_event_id is None:
            self._confirm_record()
        else:
            self._find_resumed()

    def _find_resumed(self) -> None:
        """Find the version of a stream that a client resumes; refuse it if unknown."""
        metadata, started_s = self._exchange.metadata, time.monotonic()
        finding = self._find(metadata.resumed_id or "")
        self._log(finding, started_s)
        if finding.version is None:
            # The version of a stream that is missing in the store stays unknown.
            retry_after_s = None if self._store_answered else RETRY_AFTER_SILENT_STORE_S
            self._refuse(UNKNOWN_VERSION, retry_after_s)
        self._required = finding.version

    def _confirm_record(self) -> None:
        """Wait until new streams may begin by the record of versions, or refuse."""
        if self._starts.basis() is StartBasis.CURRENT:
            return
        started_s = time.monotonic()
        former_age_s = self._starts.record_age_s
        if self._starts.basis() is StartBasis.NONE:
            self._await_start(started_s)
        basis = self._starts.basis()
        state, now_s = self._state, time.monotonic()
        state.journal.event(
            "stream_start",
            request_id=self._exchange.metadata.request_id,
            basis=basis,
            outdated_ms=logged_ms(former_age_s),
            waited_ms=int((now_s - started_s) * 1_000),
            awake_ms=int(state.awake.duration_s(boot_time_s()) * 1_000),
            store_connected=state.store_connected,
            store_answers_a_peer=state.hosts.store_answers_a_peer(now_s),
            revision=number_of(state.view.revision),
            newest=number_of(state.hosts.newest_revision(now_s)),
        )
        if basis is StartBasis.NONE:
            self._refuse(RECORD_OUTDATED, RETRY_AFTER_SILENT_STORE_S)

    def _await_start(self, started_s: float) -> None:
        """Read the record, or wait for what peers confirm of it meanwhile."""
        reading = gevent.spawn(self._state.read_stream_records)
        while time.monotonic() <= started_s + MAX_LOOKUP_S:
            self._state.want_confirmation()
            reading.join(PEERS_POLL_S)
            if self._starts.basis() is not StartBasis.NONE:
                return
            if reading.ready():
                gevent.sleep(PEERS_POLL_S)
                reading = gevent.spawn(self._state.read_stream_records)
            self._exchange.cancel_scope.raise_if_cancelled()

    def allows(self, replica: Replica) -> bool:
        """Return whether a replica may prefill for or write the stream."""
        if not self._applies or not writes_events(replica):
            return True
        if self._required is not None:
            is_compatible = replica.software_version == self._required
            return is_compatible and not self._incarnations.is_excluded(replica)
        return self._may_begin(replica)

    @property
    def is_bound(self) -> bool:
        """Return whether the stream may go on only at one version."""
        return self._required is not None

    def may_go_on_at(self, replica: Replica) -> bool:
        """Return whether a replica is known to have the stream's version now.

        Replicas without a stage tell their start in their entry only.
        """
        if self._required is None or replica.stage is None:
            return True
        return self._incarnations.confirm(replica)

    def ask_writer(self, replica: Replica, connection: UpstreamConnection) -> None:
        """Ask a replica that was sent a run, and is silent, for its incarnation.

        A peer may reach the replica for a connection later than the question does.
        """
        is_known = self._required is None or replica.stage is None
        if not is_known and connection.peer is None:
            self._incarnations.ask_beside(replica, connection)

    def end_question(self) -> None:
        """Ask the replica of a run that has ended no more."""
        self._incarnations.end_question()

    def wrote_events(self, replica: Replica, connection: UpstreamConnection) -> bool:
        """Return whether the events of a run are from the entry's incarnation."""
        if replica.stage is None:
            return True
        return self._incarnations.confirm_writer(replica, connection)

    def awaits_entry(self) -> bool:
        """Return whether a new entry may let the stream go on in time."""
        now_s, restarts = time.monotonic(), self._state.engine_restarts
        if self._required is None or self._exchange.event_wait_left_s(now_s) <= 0:
            return False
        return any(
            restarts.awaits_entry(replica, now_s=now_s)
            for replica in self._state.replicas.usable(self._service, now_s=now_s)
        )

    def check_replica_left(self) -> None:
        """Refuse the request if no replica that could go on with it is left."""
        if self._required is None:
            return
        state, now_s = self._state, time.monotonic()
        known = state.replicas.usable(self._service, now_s=now_s)
        known += state.replicas.leaving(self._service, now_s=now_s)
        left = [r for r in known if r.software_version == self._required]
        if not self._decoder_is_ordered_from(left, known):
            left = [r for r in left if writes_events(r) or self._will_write(r, now_s)]
        if not left:
            self._refuse(VERSION_LEFT, None)

    def _decoder_is_ordered_from(
        self, left: Sequence[Replica], known: Sequence[Replica]
    ) -> bool:
        """Return whether a missing decode engine is replaced by one of some engines.

        The engine that is ordered to decode next has the version of most engines.
        """
        record = self._state.stream_versions.service(self._service)
        majority = majority_version(known, record.active if record else None)
        return any(r.software_version == majority and not r.draining for r in left)

    def _will_write(self, replica: Replica, now_s: float) -> bool:
        """Return whether an engine has been ordered to decode."""
        return self._state.stage_changes.is_pending_to(replica, Stage.DECODE, now_s)

    def note_event(self, replica: Replica) -> None:
        """Bind the stream to the version of the replica that wrote its first event."""
        if self._noted or not self._applies:
            return
        self._noted = True
        self._required = replica.software_version
        now_s, metadata = time.monotonic(), self._exchange.metadata
        register = self._state.stream_versions
        for request_id in {metadata.request_id, metadata.stream_id}:
            register.note_begun(
                request_id, replica, version=replica.software_version, now_s=now_s
            )
        known = self._state.replicas.get(replica.replica_id)
        if known is not None and known.born_unix_ms > replica.born_unix_ms:
            register.note_restarted(known, now_s=now_s)

    def check_version(self) -> None:
        """Break the stream off if two versions may have written it."""
        if not self._noted:
            return
        known = self._state.stream_versions.find(
            self._service, self._exchange.metadata.request_id
        )
        if known is not None and known.version is None:
            self._refuse(UNKNOWN_VERSION, None)

    def _may_begin(self, replica: Replica) -> bool:
        """Return whether streams may begin at the version of a replica now."""
        if self._starts.basis() is StartBasis.NONE:
            return False
        state = self._state
        record = state.stream_versions.service(self._service)
        if record is None or replica.software_version == record.active:
            return True
        if state.store_connected or state.hosts.store_answers_a_peer(time.monotonic()):
            return False
        # No other version can be recorded as the active one while the store is away.
        return record.active not in self._able_versions()

    def _able_versions(self) -> set[str]:
        """Return the versions of the replicas that stay and can write events."""
        usable = self._state.replicas.usable(self._service, now_s=time.monotonic())
        return {r.software_version for r in usable if writes_events(r)}

    def _find(self, resumed_id: str) -> VersionFinding:
        started_s, started_boot_s = time.monotonic(), boot_time_s()
        # No age of the view shows that it is current: the steady clock does not count a
        # suspension, and an answer of the store may be read late. Only a read that
        # begins after the request shows it.
        finding = self._find_in_view(resumed_id, is_current=False)
        for pause_s in LOOKUP_PAUSES_S:
            late = time.monotonic() > started_s + MAX_LOOKUP_S
            if not finding.may_change or late:
                break
            gevent.sleep(pause_s)
            self._exchange.cancel_scope.raise_if_cancelled()
            self._store_answered = self._state.read_stream_records()
            is_current = self._store_answered or self._no_host_knows_more(started_s)
            finding = self._find_in_view(resumed_id, is_current=is_current)
        if finding.may_change and not self._store_answered:
            self._await_confirmation(started_s, started_boot_s)
            is_current = (
                self._state.record_current_boot_s >= started_boot_s
                or self._no_host_knows_more(started_s)
            )
            finding = self._find_in_view(resumed_id, is_current=is_current)
        return finding

    def _await_confirmation(self, started_s: float, started_boot_s: float) -> None:
        """Wait until a peer that reaches the store has told of all changes."""
        state, until_s = self._state, started_s + PEERS_WAIT_S
        while state.hosts.store_answers_a_peer(time.monotonic()):
            confirmed = state.record_current_boot_s >= started_boot_s
            if confirmed or time.monotonic() > until_s:
                return
            state.want_confirmation()
            gevent.sleep(PEERS_POLL_S)
            self._exchange.cancel_scope.raise_if_cancelled()
        self._await_peers(started_s)

    def _await_peers(self, started_s: float) -> None:
        """Wait until all peers were heard, if they may show that nothing changed."""
        while self._starts.sees_one_version():
            if self._no_host_knows_more(started_s):
                return
            now_s = time.monotonic()
            silent = not self._state.hosts.hears_majority(now_s)
            if silent or now_s > started_s + PEERS_WAIT_S:
                return
            if self._state.hosts.store_answers_a_peer(now_s):
                return
            gevent.sleep(PEERS_POLL_S)
            self._exchange.cancel_scope.raise_if_cancelled()

    def _find_in_view(self, resumed_id: str, *, is_current: bool) -> VersionFinding:
        register = self._state.stream_versions
        record = register.service(self._service)
        return find_version(
            register.find(self._service, resumed_id),
            record,
            record_is_current=is_current and not self._change_is_due(record),
            now_s=time.monotonic(),
        )

    def _change_is_due(self, record: ServiceVersions | None) -> bool:
        """Return whether the record is to name another version.

        A host that reaches nobody may have begun streams at that version already.
        """
        able = self._able_versions()
        return record is not None and bool(able) and record.active not in able

    def _no_host_knows_more(self, started_s: float) -> bool:
        """Return whether, with a silent store, no host can know another version.

        No record can change then, and streams begin at another version only if its
        replicas are known. What peers said before the request proves nothing.
        """
        return self._starts.sees_one_version() and self._state.hosts.no_peer_knows_more(
            self._state.view.revision, since_s=started_s + QUEUED_DATAGRAMS_S
        )

    def _log(self, finding: VersionFinding, started_s: float) -> None:
        state, metadata, now_s = self._state, self._exchange.metadata, time.monotonic()
        record = state.stream_versions.service(self._service)
        state.metrics.resumptions.add(
            result="unknown" if finding.version is None else "known"
        )
        state.journal.event(
            "stream_resumed",
            request_id=metadata.request_id,
            resumes=metadata.resumed_id,
            last_event_id=metadata.last_event_id,
            software_version=finding.version,
            source=finding.source,
            known_ms=int(finding.age_s * 1_000),
            lookup_ms=int((now_s - started_s) * 1_000),
            active=record.active if record else None,
            earlier=list(record.earlier) if record else None,
            view_age_ms=int(state.view.age_s(now_s) * 1_000),
        )

    def _refuse(self, reason: str, retry_after_s: float | None) -> NoReturn:
        """Break the answer off if it has begun, else refuse the request as not run."""
        exchange = self._exchange
        if exchange.response_started:
            raise StreamBroken(reason)
        if exchange.may_have_run:
            raise exchange.failed(reason)
        raise RequestError(
            ErrorKind.UPSTREAM_UNAVAILABLE, reason, retry_after_s=retry_after_s
        )
