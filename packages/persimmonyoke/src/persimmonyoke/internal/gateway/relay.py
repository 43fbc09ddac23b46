"""Relay of host reports, which one collector in each zone aggregates.

A host reports its work to the collectors of its zone. The active collector sends the
aggregate to all hosts of the zone and to the collectors of other zones, and sends the
aggregate of their zones to its own. A host therefore sends and receives some tens of
datagrams a second, regardless of the number of hosts.
"""

from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import replace

from persimmonyoke.internal.dispatch.digests import (
    NO_SEQUENCE,
    DigestAggregator,
    WorkDigest,
    subtract_report,
)
from persimmonyoke.internal.dispatch.loads import ReplicaWork
from persimmonyoke.internal.fleet.collectors import WARM_UP_S, CollectorElection
from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.fleet.send_budget import SendBudget
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.configuration_evidence import (
    note_peer_configuration,
)
from persimmonyoke.internal.gateway.digest_messages import (
    PREFIX_BYTES,
    CachedPartsMessage,
    CollectorDatagram,
    DigestMessage,
    HostState,
    StatesMessage,
    UpdatesMessage,
    encode_digest,
    encode_states,
    pack,
    with_sequence,
)
from persimmonyoke.internal.gateway.peer_messages import PeerMessage, peer_state
from persimmonyoke.internal.gateway.relay_cached_parts import CachedPartsRelay
from persimmonyoke.internal.gateway.relay_queues import Outgoing, Rotation, Schedule
from persimmonyoke.internal.gateway.relay_updates import SendRoom, UpdateRelay
from persimmonyoke.internal.gateway.state import GatewayState, PartPlacement

QUIET_REPORT_S = 0.3
"""Interval of the reports of a host while its work does not change."""

DIGEST_INTERVAL_S = 0.1
FAR_INTERVAL_S = 0.2
"""Intervals of the aggregates of this host's zone and of the others."""

STATES_INTERVAL_S = 0.4
FAR_STATES_INTERVAL_S = 0.8
"""Intervals of the states of hosts of this host's zone and of the others."""

STATE_TTL_S = 2.0
"""Age after which the state of a host is no longer relayed."""

STATES_PER_MESSAGE = 10

DEBT_STRETCH = 2.0
"""Factor on the interval of states while datagrams take more than their share."""

STARTUP_REPORTS = 3
"""Highest sequence number of a report that indicates a host has just started."""

REPORTS_KEPT = 64
"""Own reports that an aggregate may still include; at most 20 a second are sent."""

FAR_COLLECTORS = 2
"""Hosts sent to in each other zone, since one of them may have failed."""

SendTo = Callable[[HostEntry, bytes], None]


class HostRelay:
    """Report to the collectors, and relay reports if this host is a collector."""

    def __init__(
        self, state: GatewayState, send_to: SendTo, budget: SendBudget, *, now_s: float
    ) -> None:
        self._state = state
        self._send_to = send_to
        self._budget = budget
        self._name = state.settings.host_name
        self._zone = state.settings.availability_zone
        self._election = CollectorElection(self._name, now_s=now_s)
        self._far_sources: dict[str, str] = {}
        self._board = DigestAggregator()
        self._updates = UpdateRelay(self._name, self._zone, self._incarnation)
        self._cached_parts = CachedPartsRelay(self._name)
        self._sequence = 0
        self._reported_work: dict[int, Mapping[str, ReplicaWork]] = {}
        self._reported_queued_s: dict[int, float] = {}
        self._reported_s = float("-inf")
        self._own_state: PeerState | None = None
        self._collecting = False
        self._collecting_since_s = now_s
        self._sent_bytes = 0
        self._round_s = now_s
        self._near_parts, self._remote_parts = Rotation(), Rotation()
        self._digests = Schedule(DIGEST_INTERVAL_S)
        self._far_digests = Schedule(FAR_INTERVAL_S)
        self._states = Schedule(STATES_INTERVAL_S)
        self._far_states = Schedule(FAR_STATES_INTERVAL_S)

    @property
    def is_first(self) -> bool:
        """Return whether this host is the first registered host of its zone."""
        registered = self._state.hosts.registered(self._zone)
        return [entry.name for entry in registered[:1]] == [self._name]

    def hears_collector(self, *, now_s: float) -> bool:
        """Return whether another collector of this zone was heard recently."""
        names = self._zone_names(now_s)
        return self._election.hears_other_collector(names, now_s=now_s)

    @property
    def collecting(self) -> bool:
        """Return whether this host was a collector in its last round."""
        return self._collecting

    def report_is_due(self, changed: bool, *, now_s: float) -> bool:
        """Return whether this host's state is to be reported now."""
        return changed or now_s - self._reported_s >= QUIET_REPORT_S

    def report(self, message: PeerMessage, *, now_s: float) -> PeerMessage:
        """Number and remember a report, and return it to be sent to the collectors."""
        self._reported_s = now_s
        self._own_state = peer_state(message, now_s, after_boot_s=boot_time_s())
        self._sequence += 1
        self._reported_work[self._sequence] = message.work
        self._reported_queued_s[self._sequence] = message.queued_ms / 1_000
        self._reported_work.pop(self._sequence - REPORTS_KEPT, None)
        self._reported_queued_s.pop(self._sequence - REPORTS_KEPT, None)
        numbered = replace(message, sequence=self._sequence)
        self.note_report(numbered, now_s=now_s)
        return numbered

    def add_updates(
        self,
        placements: Sequence[PartPlacement],
        refused: Sequence[int],
        *,
        now_s: float,
    ) -> None:
        """Queue updates of this host or of others to be relayed."""
        self._updates.add_near(placements, refused, now_s=now_s)

    def report_to(self, *, now_s: float) -> list[HostEntry]:
        """Return the hosts to which this one sends its reports."""
        entries = {e.name: e for e in self._zone_entries(now_s)}
        names = self._election.report_to(list(entries), now_s=now_s)
        return [entries[name] for name in names]

    def note_report(self, message: PeerMessage, *, now_s: float) -> None:
        """Record a report of a host of this zone, or of this host itself."""
        names = self._zone_names(now_s)
        if message.host != self._name and message.host not in names:
            # Sent by a host of another zone that is draining or knows few hosts yet.
            return
        if self._collecting and self._has_just_started(message):
            holdings = self._state.prefixes.holdings(now_s)
            self._cached_parts.add_for(message.host, holdings)
        self._board.note_report(
            message.host,
            message.work,
            queued_s=message.queued_ms / 1_000,
            sequence=message.sequence,
            now_s=now_s,
        )
        self._board.note_suspects(message.suspects, now_s=now_s)
        self.add_updates(message.placements, message.refused, now_s=now_s)

    def collect(self, *, now_s: float) -> None:
        """Send the messages that are due if this host is its zone's collector."""
        if now_s - self._round_s > WARM_UP_S:
            # It stood still, or there were too few hosts for collectors.
            self._election.restart(now_s)
        self._round_s = now_s
        names = self._zone_names(now_s)
        collects = not self._state.draining and self._election.collects(
            names, now_s=now_s
        )
        if collects != self._collecting:
            self._note_collecting(collects, names, now_s)
        if not collects:
            self._clear_queues()
            return
        self._election.note_heard(self._name, now_s=now_s)
        if self._digests.take_due(now_s):
            self._send_round(now_s)

    def _send_round(self, now_s: float) -> None:
        """Send what is due; what is sent once waits until there is room for it.

        A part of the digest is always sent, since others replace a silent collector.
        """
        has_room = self._budget.room_bytes(now_s) > 0.0
        members, far_collectors = self._members(now_s), self._far_collectors()
        out = self._digest_messages(now_s, has_room=has_room)
        out.extend(self._state_messages(now_s, 1.0 if has_room else DEBT_STRETCH))
        room = SendRoom(self._budget.room_bytes(now_s))
        room.take(len(members) * sum(map(len, out.near)))
        room.take(len(far_collectors) * sum(map(len, out.far)))
        out.far += self._updates.far_messages(len(far_collectors), room)
        out.near += self._updates.near_messages(len(members), room)
        out.near += self._cached_parts.next_messages(len(members), room)
        self._send(members, out.near, now_s)
        self._send(far_collectors, out.far, now_s)
        self._send_to_started(members, room, now_s)

    def _note_collecting(
        self, collects: bool, names: Sequence[str], now_s: float
    ) -> None:
        """Log that this host begins or ends to collect, why, and what it has sent."""
        standing = self._election.standing(names, now_s=now_s)
        lasted_s = 0.0 if collects else now_s - self._collecting_since_s
        self._state.journal.event(
            "collecting",
            collecting=collects,
            rank=standing.rank,
            candidates=standing.candidates,
            silent_ms=int(standing.silent_s * 1_000),
            lasted_ms=int(lasted_s * 1_000),
            sent_bytes=self._sent_bytes,
        )
        self._collecting, self._collecting_since_s = collects, now_s
        self._sent_bytes = 0

    def _clear_queues(self) -> None:
        self._updates.clear()
        self._cached_parts.clear_for_started()
        if not self.is_first:
            # The first host queries engines already before all hosts know it and it
            # begins to collect.
            self._cached_parts.clear_for_all()

    def handle(self, datagram: CollectorDatagram, *, now_s: float) -> bool:
        """Apply a datagram of a collector; return whether the known work changed."""
        tells_of_work = False
        for message in datagram.messages:
            match message:
                case DigestMessage():
                    tells_of_work |= self._handle_digest(message, now_s)
                case UpdatesMessage():
                    self._handle_updates(message, now_s)
                case StatesMessage():
                    self._handle_states(message, now_s)
                case CachedPartsMessage():
                    self._state.note_held(
                        message.replica_id, message.parts, now_s=now_s
                    )
        return tells_of_work

    def _has_just_started(self, message: PeerMessage) -> bool:
        """Return whether a report comes from a host that has just started."""
        known = self._board.sequence_of(message.host)
        if message.host == self._name or message.sequence > STARTUP_REPORTS:
            return False
        return known == NO_SEQUENCE or message.sequence < known

    def add_cached_parts(self, replica_id: str, part_ids: Sequence[str]) -> None:
        """Queue an engine's cached parts for the hosts of this zone."""
        self._cached_parts.add(replica_id, part_ids)

    def _zone_names(self, now_s: float) -> list[str]:
        return [entry.name for entry in self._zone_entries(now_s)]

    def _zone_entries(self, now_s: float) -> Sequence[HostEntry]:
        return self._state.hosts.members(self._zone, now_s)

    def _members(self, now_s: float) -> list[HostEntry]:
        """Return the other hosts of this zone."""
        return [e for e in self._zone_entries(now_s) if e.name != self._name]

    def _far_collectors(self) -> list[HostEntry]:
        """Return the collectors of other zones and the hosts next in line."""
        found = []
        for zone in self._state.hosts.zones():
            if zone == self._zone:
                continue
            entries = self._state.hosts.registered(zone)
            found.extend(entries[:FAR_COLLECTORS])
            source = self._far_sources.get(zone)
            found.extend(e for e in entries[FAR_COLLECTORS:] if e.name == source)
        return found

    def _digest_messages(self, now_s: float, *, has_room: bool) -> Outgoing:
        """Return the aggregates that are due, and apply them on this host."""
        replica_count = len(self._state.replicas.all())
        own_zone = [
            self._encode_and_apply(self._zone, digest, now_s)
            for digest in self._board.own_zone_digests(replica_count, now_s=now_s)
        ]
        out = Outgoing(near=self._near_parts.take(own_zone, has_room=has_room))
        if not self._far_digests.take_due(now_s):
            return out
        out.far.extend(own_zone)
        remote = [
            self._encode_and_apply(None, digest, now_s)
            for digest in self._board.remote_digests(replica_count, now_s=now_s)
        ]
        out.near += self._remote_parts.take(remote, has_room=has_room)
        return out

    def _encode_and_apply(
        self, zone: str | None, digest: WorkDigest, now_s: float
    ) -> bytes:
        message = DigestMessage(self._name, zone, digest, self._sequence)
        self._apply_digest(message, now_s)
        return encode_digest(message)

    def _state_messages(self, now_s: float, stretch: float) -> Outgoing:
        """Return the messages with host states that are due."""
        out, hosts = Outgoing(), self._state.hosts
        if not self._states.take_due(now_s, stretch=stretch):
            return out
        near = hosts.states(self._zone, newer_than_s=now_s - STATE_TTL_S)
        if self._own_state is not None:
            near[self._name] = self._own_state
        out.near.extend(self._encode_states(near, now_s))
        if not self._far_states.take_due(now_s):
            return out
        out.far.extend(out.near)
        for zone in hosts.zones():
            if zone != self._zone:
                far = hosts.states(zone, newer_than_s=now_s - STATE_TTL_S)
                out.near.extend(self._encode_states(far, now_s))
        return out

    def _encode_states(
        self, states: Mapping[str, PeerState], now_s: float
    ) -> list[bytes]:
        rows = [HostState(name, state) for name, state in states.items()]
        chunks = (
            tuple(rows[first : first + STATES_PER_MESSAGE])
            for first in range(0, len(rows), STATES_PER_MESSAGE)
        )
        return [
            encode_states(
                StatesMessage(self._name, chunk),
                now_s=now_s,
                now_boot_s=boot_time_s(),
            )
            for chunk in chunks
        ]

    def _incarnation(self, replica_id: str) -> Hashable:
        """Return what changes when an engine loses its cache."""
        replica = self._state.replicas.get(replica_id)
        return replica and (replica.born_unix_ms, replica.stage)

    def _send_to_started(
        self, members: Sequence[HostEntry], room: SendRoom, now_s: float
    ) -> None:
        """Send cached parts to the hosts that have just started."""
        entries = {entry.name: entry for entry in members}
        for name, messages in self._cached_parts.next_messages_for(
            list(entries), room
        ).items():
            self._send([entries[name]], messages, now_s)

    def _send(
        self,
        receivers: Sequence[HostEntry],
        messages: Sequence[bytes],
        now_s: float,
    ) -> None:
        for packed in pack(messages):
            for entry in receivers:
                sequence = self._board.sequence_of(entry.name)
                self._send_to(entry, with_sequence(packed, sequence))
            size_bytes = len(receivers) * (PREFIX_BYTES + len(packed))
            self._budget.take(size_bytes, now_s)
            self._sent_bytes += size_bytes

    def _handle_digest(self, message: DigestMessage, now_s: float) -> bool:
        if message.zone is not None and message.zone != self._zone:
            self._far_sources[message.zone] = message.sender
            self._board.note_zone_digest(message.zone, message.digest, now_s=now_s)
            return False
        names = self._zone_names(now_s)
        if not self._election.accepts(message.sender, names, now_s=now_s):
            return False
        self._election.note_heard(message.sender, now_s=now_s)
        self._apply_digest(message, now_s)
        return True

    def _apply_digest(self, message: DigestMessage, now_s: float) -> None:
        digest, state = message.digest, self._state
        work, queued_s, scope = dict(digest.work), digest.queued_s, "far"
        if message.zone is not None:
            scope = "near"
            work = subtract_report(work, self._own_reported_work(message))
            own_queued_s = self._reported_queued_s.get(message.sequence, 0.0)
            queued_s = max(0.0, queued_s - own_queued_s)
        state.ledger.note_peer(
            f"{scope}/{digest.part}", work, queued_s=queued_s, now_s=now_s
        )
        state.health.note_suspected(digest.suspects, now_s)

    def _own_reported_work(self, message: DigestMessage) -> dict[str, ReplicaWork]:
        """Return this host's own work in an aggregate, for the replicas in it."""
        reported = self._reported_work.get(message.sequence, {})
        return {r: work for r, work in reported.items() if r in message.digest.work}

    def _handle_updates(self, message: UpdatesMessage, now_s: float) -> None:
        self._state.note_updates(message.placements, message.refused, now_s=now_s)
        if message.zone != self._zone:
            # The collector of this zone relays them to its hosts.
            self._updates.add_far(message.placements, message.refused, now_s=now_s)

    def _handle_states(self, message: StatesMessage, now_s: float) -> None:
        newest_version = 0
        for item in message.hosts:
            if item.name != self._name:
                self._state.note_peer(item.name, item.state, now_s)
                note_peer_configuration(self._state, item.name, item.state, now_s)
                newest_version = max(newest_version, item.state.config_version)
        if newest_version > self._state.version:
            self._state.on_newer_version(newest_version)
