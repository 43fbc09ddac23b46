"""Reports of many hosts, summed up by one host of each zone and passed on.

A host reports its work to the hosts that collect for its zone. The collecting host
sends the sum to all hosts of the zone and to those that collect for other zones, and
the sum of what it hears from these to its zone. So a host sends and receives some tens
of datagrams a second, however many hosts there are.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from persimmonyoke.internal.dispatch.digests import (
    NO_SEQUENCE,
    DigestAggregator,
    WorkDigest,
    subtract_report,
)
from persimmonyoke.internal.dispatch.loads import ReplicaWork
from persimmonyoke.internal.fleet.collectors import CollectorElection
from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.gateway.digest_messages import (
    CollectorDatagram,
    DigestMessage,
    HoldingsMessage,
    HostState,
    NewsMessage,
    StatesMessage,
    address,
    encode_digest,
    encode_holdings,
    encode_news,
    encode_states,
    pack,
)
from persimmonyoke.internal.gateway.peer_messages import PeerMessage, peer_state
from persimmonyoke.internal.gateway.relay_queues import (
    NewsQueue,
    Outgoing,
    Schedule,
    take,
)
from persimmonyoke.internal.gateway.state import GatewayState, PartPlacement

QUIET_REPORT_S = 0.3
"""Interval of the reports of a host whose work does not change."""

DIGEST_INTERVAL_S = 0.1
FAR_INTERVAL_S = 0.2
"""Intervals of the sums over the own zone and over the others."""

STATES_INTERVAL_S = 0.4
FAR_STATES_INTERVAL_S = 0.8
"""Intervals of the states of the hosts of the own zone and of the others."""

STATE_KEEP_S = 2.0
"""Age at which a host's state is no longer passed on."""

STATES_PER_MESSAGE = 10
NEWS_MESSAGES_PER_TURN = 4

PARTS_PER_MESSAGE = 130
HOLDINGS_PER_TURN = 4
"""Messages on what engines hold, for each receiver at each turn.

After a restart of all hosts thousands of parts are told within two seconds.
"""

FIRST_REPORTS = 3
"""Reports by whose numbers a host counts as just started."""

REPORTS_KEPT = 64
"""Own reports that a sum may still hold; they are at most 20 a second."""

FAR_COLLECTORS = 2
"""Hosts of each other zone that are told, since one of them may be lost."""

SendTo = Callable[[HostEntry, bytes], None]


class HostRelay:
    """Report to the collecting hosts, and collect where this host is one of them."""

    def __init__(self, state: GatewayState, send_to: SendTo, *, now_s: float) -> None:
        self._state = state
        self._send_to = send_to
        self._name = state.settings.host_name
        self._zone = state.settings.availability_zone
        self._election = CollectorElection(self._name, now_s=now_s)
        self._far_sources: dict[str, str] = {}
        self._board = DigestAggregator()
        self._near_news = NewsQueue()
        self._far_news = NewsQueue()
        self._catch_up: dict[str, deque[bytes]] = {}
        self._cached: deque[bytes] = deque()
        self._sequence = 0
        self._reported: dict[int, Mapping[str, ReplicaWork]] = {}
        self._reported_queued_s: dict[int, float] = {}
        self._reported_s = float("-inf")
        self._own_state: PeerState | None = None
        self._collecting = False
        self._digests = Schedule(DIGEST_INTERVAL_S)
        self._far_digests = Schedule(FAR_INTERVAL_S)
        self._states = Schedule(STATES_INTERVAL_S)
        self._far_states = Schedule(FAR_STATES_INTERVAL_S)

    @property
    def is_first(self) -> bool:
        """Return whether no registered host of the zone comes before this one."""
        return self._zone_names()[:1] == [self._name]

    def hears_collector(self, *, now_s: float) -> bool:
        """Return whether another host was heard collecting for this zone lately."""
        return self._election.hears_other_collector(self._zone_names(), now_s=now_s)

    @property
    def collecting(self) -> bool:
        """Return whether this host collected at its last turn."""
        return self._collecting

    def report_is_due(self, changed: bool, *, now_s: float) -> bool:
        """Return whether the own state is to be reported now."""
        return changed or now_s - self._reported_s >= QUIET_REPORT_S

    def report(self, message: PeerMessage, *, now_s: float) -> PeerMessage:
        """Number a report, keep what it says, and return it for the collectors."""
        self._reported_s = now_s
        self._own_state = peer_state(message, now_s)
        self._sequence += 1
        self._reported[self._sequence] = message.work
        self._reported_queued_s[self._sequence] = message.queued_ms / 1_000
        self._reported.pop(self._sequence - REPORTS_KEPT, None)
        self._reported_queued_s.pop(self._sequence - REPORTS_KEPT, None)
        numbered = replace(message, sequence=self._sequence)
        self.note_report(numbered, now_s=now_s)
        return numbered

    def add_news(
        self, placements: Sequence[PartPlacement], refused: Sequence[int]
    ) -> None:
        """Pass on what this host has placed, learnt and refused, or others told."""
        self._near_news.add(placements, refused)
        self._far_news.add(placements, refused)

    def report_to(self, *, now_s: float) -> list[HostEntry]:
        """Return the hosts that get the reports of this one."""
        entries = {e.name: e for e in self._zone_entries()}
        names = self._election.report_to(list(entries), now_s=now_s)
        return [entries[name] for name in names]

    def note_report(self, message: PeerMessage, *, now_s: float) -> None:
        """Take a report of a host of the own zone, or of this host itself."""
        if message.host != self._name and message.host not in self._zone_names():
            # A host of another zone that stops, or has heard of few hosts yet.
            return
        if self._collecting and self._is_fresh(message):
            self._bring_up_to_date(message.host, now_s)
        self._board.note_report(
            message.host,
            message.work,
            queued_s=message.queued_ms / 1_000,
            sequence=message.sequence,
            now_s=now_s,
        )
        self._board.note_suspects(message.suspects, now_s=now_s)
        self.add_news(message.placements, message.refused)

    def collect(self, *, now_s: float) -> None:
        """Send what is due if this host collects for its zone."""
        names = self._zone_names()
        collects = not self._state.draining and self._election.collects(
            names, now_s=now_s
        )
        if collects != self._collecting:
            self._collecting = collects
            self._state.journal.event("collecting", collecting=collects)
        if not collects:
            self._drop_what_others_tell()
            return
        self._election.note_heard(self._name, now_s=now_s)
        if not self._digests.take(now_s):
            return
        digests, states = self._digest_messages(now_s), self._state_messages(now_s)
        near = [*digests.near, *self._news_messages(self._near_news), *states.near]
        near += take(self._cached, HOLDINGS_PER_TURN)
        far = [*digests.far, *self._news_messages(self._far_news), *states.far]
        self._send(self._members(), near)
        self._send(self._far_collectors(), far)
        self._send_catch_up()

    def _drop_what_others_tell(self) -> None:
        self._near_news.clear()
        self._far_news.clear()
        self._catch_up.clear()
        if not self.is_first:
            # The first host asks engines before it is known to all and collects.
            self._cached.clear()

    def take(self, datagram: CollectorDatagram, *, now_s: float) -> bool:
        """Apply what a collecting host sent; return whether it tells of work."""
        tells_of_work = False
        for message in datagram.messages:
            match message:
                case DigestMessage():
                    tells_of_work |= self._take_digest(message, now_s)
                case NewsMessage():
                    self._take_news(message, now_s)
                case StatesMessage():
                    self._take_states(message, now_s)
                case HoldingsMessage():
                    self._state.note_held(
                        message.replica_id, message.parts, now_s=now_s
                    )
        return tells_of_work

    def _is_fresh(self, message: PeerMessage) -> bool:
        """Return whether a report is from a host that has just started."""
        known = self._board.sequence_of(message.host)
        if message.host == self._name or message.sequence > FIRST_REPORTS:
            return False
        return known == NO_SEQUENCE or message.sequence < known

    def add_cached(self, replica_id: str, part_ids: Sequence[str]) -> None:
        """Tell the hosts of the own zone what an engine says that it holds."""
        self._cached.extend(self._holdings(replica_id, part_ids))

    def _bring_up_to_date(self, host: str, now_s: float) -> None:
        """Tell a host that has just started which engines hold which parts."""
        by_replica: dict[str, list[str]] = {}
        for holding in self._state.prefixes.holdings(now_s):
            by_replica.setdefault(holding.replica_id, []).append(holding.part_id)
        queue = self._catch_up.setdefault(host, deque())
        for replica_id, part_ids in by_replica.items():
            queue.extend(self._holdings(replica_id, part_ids))

    def _holdings(self, replica_id: str, part_ids: Sequence[str]) -> list[bytes]:
        chunks = (
            tuple(part_ids[first : first + PARTS_PER_MESSAGE])
            for first in range(0, len(part_ids), PARTS_PER_MESSAGE)
        )
        return [
            encode_holdings(HoldingsMessage(self._name, replica_id, chunk))
            for chunk in chunks
        ]

    def _zone_names(self) -> list[str]:
        return [entry.name for entry in self._zone_entries()]

    def _zone_entries(self) -> Sequence[HostEntry]:
        return self._state.hosts.registered(self._zone)

    def _members(self) -> list[HostEntry]:
        return [entry for entry in self._zone_entries() if entry.name != self._name]

    def _far_collectors(self) -> list[HostEntry]:
        """Return hosts of other zones that collect there, or would next."""
        found = []
        for zone in self._state.hosts.zones():
            if zone == self._zone:
                continue
            entries = self._state.hosts.registered(zone)
            found.extend(entries[:FAR_COLLECTORS])
            source = self._far_sources.get(zone)
            found.extend(e for e in entries[FAR_COLLECTORS:] if e.name == source)
        return found

    def _digest_messages(self, now_s: float) -> Outgoing:
        """Return the sums that are due, and apply them here."""
        out = Outgoing()
        replica_count = len(self._state.replicas.all())
        for digest in self._board.own_zone_digests(replica_count, now_s=now_s):
            encoded = self._encode_and_apply(self._zone, digest, now_s)
            out.near.append(encoded)
            out.far.append(encoded)
        if not self._far_digests.take(now_s):
            out.far.clear()
            return out
        for digest in self._board.remote_digests(replica_count, now_s=now_s):
            out.near.append(self._encode_and_apply(None, digest, now_s))
        return out

    def _encode_and_apply(
        self, zone: str | None, digest: WorkDigest, now_s: float
    ) -> bytes:
        message = DigestMessage(self._name, zone, digest, self._sequence)
        self._apply_digest(message, now_s)
        return encode_digest(message)

    def _state_messages(self, now_s: float) -> Outgoing:
        """Return the states of hosts that are due."""
        out, hosts = Outgoing(), self._state.hosts
        if not self._states.take(now_s):
            return out
        near = hosts.states(self._zone, newer_than_s=now_s - STATE_KEEP_S)
        if self._own_state is not None:
            near[self._name] = self._own_state
        out.near.extend(self._encode_states(near, now_s))
        if not self._far_states.take(now_s):
            return out
        out.far.extend(out.near)
        for zone in hosts.zones():
            if zone != self._zone:
                far = hosts.states(zone, newer_than_s=now_s - STATE_KEEP_S)
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
            encode_states(StatesMessage(self._name, chunk), now_s=now_s)
            for chunk in chunks
        ]

    def _news_messages(self, news: NewsQueue) -> list[bytes]:
        """Return the next news, so much that none piles up."""
        messages = (
            news.take(self._name, self._zone) for _ in range(NEWS_MESSAGES_PER_TURN)
        )
        return [encode_news(message) for message in messages if message is not None]

    def _send_catch_up(self) -> None:
        """Send hosts that have just started what they missed."""
        members = {entry.name: entry for entry in self._members()}
        for name, queue in list(self._catch_up.items()):
            if name in members:
                self._send([members[name]], take(queue, HOLDINGS_PER_TURN))
            if not queue or name not in members:
                del self._catch_up[name]

    def _send(self, receivers: Sequence[HostEntry], messages: Sequence[bytes]) -> None:
        for packed in pack(messages):
            for entry in receivers:
                sequence = self._board.sequence_of(entry.name)
                self._send_to(entry, address(packed, sequence))

    def _take_digest(self, message: DigestMessage, now_s: float) -> bool:
        if message.zone is not None and message.zone != self._zone:
            self._far_sources[message.zone] = message.sender
            self._board.note_zone_digest(message.zone, message.digest, now_s=now_s)
            return False
        names = self._zone_names()
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
            work = subtract_report(work, self._reported_at(message))
            own_queued_s = self._reported_queued_s.get(message.sequence, 0.0)
            queued_s = max(0.0, queued_s - own_queued_s)
        state.ledger.note_peer(
            f"{scope}/{digest.part}", work, queued_s=queued_s, now_s=now_s
        )
        state.health.note_suspected(digest.suspects, now_s)

    def _reported_at(self, message: DigestMessage) -> dict[str, ReplicaWork]:
        """Return the own report that a sum holds, of the replicas that it tells of."""
        reported = self._reported.get(message.sequence, {})
        return {r: work for r, work in reported.items() if r in message.digest.work}

    def _take_news(self, message: NewsMessage, now_s: float) -> None:
        self._state.note_news(message.placements, message.refused, now_s=now_s)
        if message.zone != self._zone:
            # The collecting host of this zone passes them on to its hosts.
            self._near_news.add(message.placements, message.refused)

    def _take_states(self, message: StatesMessage, now_s: float) -> None:
        newest_version = 0
        for item in message.hosts:
            if item.name != self._name:
                self._state.note_peer(item.name, item.state, now_s)
                newest_version = max(newest_version, item.state.config_version)
        if newest_version > self._state.version:
            self._state.on_newer_version(newest_version)
