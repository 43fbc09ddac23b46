"""Datagrams between entry hosts: readiness, work at replicas, read prompt parts.

Each datagram replaces the one before it, so a lost one needs no repeat; that is why
datagrams are used here and not a connection. In a small deployment each host tells
each other one; hosts of the own availability zone, which use the same engines first,
are told more often. In a large one a host of each zone collects and passes on (relay).
"""

import time
from collections.abc import Sequence

import gevent
from gevent import socket
from gevent.socket import wait_read

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.fleet.cache_duty import CollectorState
from persimmonyoke.internal.fleet.interfaces import RelayedChanges
from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.gateway.change_parts import (
    ChangesAssembler,
    ChangesPart,
    encode_changes,
)
from persimmonyoke.internal.gateway.peer_group import (
    CHANGED_INTERVAL_S,
    MAX_REFUSED,
    PeerGroup,
)
from persimmonyoke.internal.gateway.peer_messages import (
    PeerMessage,
    decode_datagram,
    encode_message,
    peer_state,
)
from persimmonyoke.internal.gateway.relay import (
    FAR_INTERVAL_S,
    FAR_STATES_INTERVAL_S,
    STATES_INTERVAL_S,
    HostRelay,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.suspect_link import SuspectLink
from persimmonyoke.internal.gateway.suspect_messages import SuspectsMessage

MAX_NEAR_DATAGRAMS_PER_S = 250
MAX_FAR_DATAGRAMS_PER_S = 100
"""Bounds for one host: with many peers each of them is told less often.

At the first bound 20 peers of a zone are told each 80 ms, within the time that a prompt
takes. Datagrams to other availability zones are charged for.
"""

MAX_REPLICAS = 24

RECEIVE_PAUSE_SHARE = 0.1
"""Pause between reads of what has arrived, as a share of the interval of near peers.

A wake-up costs more than a datagram, and a host of a large deployment gets hundreds of
them a second. Reports get older by a twentieth of the time for which they are the
newest.
"""

BURST_S = 0.005
"""Time in which the datagrams that a collecting host sends at once arrive."""

MAX_RECEIVED_AT_ONCE = 64
"""Datagrams that are applied before other tasks have their turn."""

DATAGRAM_BUFFER_BYTES = 8_192


class PeerLink:
    """Send this host's state to all peers and apply theirs."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._socket: socket.socket | None = None
        self._near = PeerGroup(MAX_NEAR_DATAGRAMS_PER_S)
        self._far = PeerGroup(MAX_FAR_DATAGRAMS_PER_S)
        self._relay = HostRelay(state, self._send_to, now_s=time.monotonic())
        self._suspects = SuspectLink(state, self._send_raw)
        state.on_cached = self._pass_on_cached
        self._reported_changes = -1
        self._changes = ChangesAssembler()
        self._tasks: list[gevent.Greenlet] = []
        self.malformed = 0

    def start(self, host: str, port: int) -> int:
        """Open the socket, start both tasks and return the port."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._tasks = [
            gevent.spawn(self._receive_loop),
            gevent.spawn(self._send_loop),
            gevent.spawn(self._suspects.gossip),
        ]
        return self._socket.getsockname()[1]

    def stop(self) -> None:
        """End both tasks and close the socket."""
        gevent.killall(self._tasks)
        if self._socket is not None:
            self._socket.close()

    def send_now(self) -> None:
        """Tell all peers the present state.

        In a large deployment the collecting hosts pass it on, unless this host stops:
        callers must not be sent to it any more.
        """
        if self._relays() and not self._state.draining:
            self._report(time.monotonic())
            return
        message, now_s = self._collect(), time.monotonic()
        near, far = self._peers()
        self._send(near, self._near.message(message, now_s=now_s))
        self._send(far, self._far.message(message, now_s=now_s))

    def pass_on(self, changes: RelayedChanges) -> None:
        """Tell the peers of the own zone what the store told this host."""
        near, _far = self._peers()
        for data in encode_changes(changes):
            self._send_raw(near, data)

    def _send_loop(self) -> None:
        while True:
            gevent.sleep(CHANGED_INTERVAL_S)
            if self._relays():
                self._relay_turn(time.monotonic())
                continue
            near, far = self._peers()
            self._set_sizes(len(near), len(far))
            self._send_due([(self._near, near), (self._far, far)], time.monotonic())

    def collecting_view(self) -> CollectorState:
        """Return who collects reports, as far as this host knows."""
        return CollectorState(
            relays=self._relays(),
            collecting=self._relay.collecting or self._relay.is_first,
            collector_heard=self._relay.hears_collector(now_s=time.monotonic()),
        )

    def _pass_on_cached(self, replica_id: str, part_ids: list[str]) -> None:
        """Tell hosts that don't ask engines what one of them holds."""
        if self._relays():
            self._relay.add_cached(replica_id, part_ids)

    def _relays(self) -> bool:
        """Return whether there are too many hosts for datagrams of each to each."""
        return self._state.hosts.needs_relay

    def _relay_turn(self, now_s: float) -> None:
        """Report the own state if it has changed, and collect if that is the duty."""
        state = self._state
        state.hosts.set_datagram_interval(
            FAR_STATES_INTERVAL_S, near_interval_s=STATES_INTERVAL_S
        )
        state.placement.set_remote_report_age(FAR_INTERVAL_S)
        changed = (
            state.ledger.own_changes != self._reported_changes
            or bool(state.new_placements)
            or state.returns.has_unshared
            or self._near.has_untold
        )
        if self._relay.report_is_due(changed, now_s=now_s):
            self._report(now_s)
        self._relay.collect(now_s=now_s)

    def _report(self, now_s: float) -> None:
        """Send the own state to the hosts that collect for this zone."""
        self._reported_changes = self._state.ledger.own_changes
        state = self._collect()
        if self._relay.collecting:
            untold = self._near.take_all()
            self._relay.add_news(untold.placements, untold.refused)
        message = self._near.message(state, now_s=now_s)
        message = self._relay.report(message, now_s=now_s)
        self._send(self._relay.report_to(now_s=now_s), message)

    def _send_due(
        self, groups: Sequence[tuple[PeerGroup, list[HostEntry]]], now_s: float
    ) -> None:
        """Send the state to each group for which it is time."""
        told = [(group, peers) for group, peers in groups if peers]
        if told and not any(group.may_send(now_s) for group, _ in told):
            return
        # A host without peers collects, too, so that nothing piles up.
        message = self._collect()
        for group, peers in told:
            due = group.due_message(message, now_s=now_s)
            if due is not None:
                self._send(peers, due)

    def _peers(self) -> tuple[list[HostEntry], list[HostEntry]]:
        """Return the peers of the own availability zone and the others."""
        own_zone = self._state.settings.availability_zone
        peers = self._state.hosts.peers()
        near = [peer for peer in peers if peer.availability_zone == own_zone]
        far = [peer for peer in peers if peer.availability_zone != own_zone]
        return near, far

    def _set_sizes(self, near_count: int, far_count: int) -> None:
        self._near.set_size(near_count)
        self._far.set_size(far_count)
        far_s, near_s = self._far.interval_s, self._near.interval_s
        self._state.hosts.set_datagram_interval(max(far_s, near_s))
        self._state.placement.set_remote_report_age(max(0.0, far_s - near_s))

    def _collect(self) -> PeerMessage:
        """Return the present state, and hand what is new to both groups."""
        state = self._state
        placements = state.take_placements()
        refused = state.returns.take_unshared(MAX_REFUSED)
        self._near.add(placements, refused)
        self._far.add(placements, refused)
        return self._message()

    def _message(self) -> PeerMessage:
        state, now_s = self._state, time.monotonic()
        work = state.ledger.own_work(now_s=now_s)
        contact_s = state.contact.continuous_contact_s(now_s)
        if len(work) > MAX_REPLICAS:
            busiest = sorted(work, key=lambda r: work[r].prefill_s, reverse=True)
            work = {
                replica_id: work[replica_id] for replica_id in busiest[:MAX_REPLICAS]
            }
        return PeerMessage(
            host=state.settings.host_name,
            ready=state.ready,
            config_version=state.version,
            work=work,
            placements=(),
            queued_ms=int(state.queued_s() * 1_000),
            store_connected=state.store_connected,
            store_revision=state.view.revision,
            store_contact_ms=_to_ms(contact_s),
            view_age_ms=_to_ms(state.view.store_confirmed_age_s(now_s)),
            suspects=tuple(state.health.all_paused(now_s)[:MAX_REPLICAS]),
        )

    def _send(self, peers: Sequence[HostEntry], message: PeerMessage) -> None:
        self._send_raw(peers, encode_message(message))

    def _send_raw(self, peers: Sequence[HostEntry], data: bytes) -> None:
        for peer in peers:
            self._send_to(peer, data)

    def _send_to(self, peer: HostEntry, data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(data, (peer.peer_host, peer.peer_port))
        except OSError as error:
            # The next datagram replaces this one; the peer's silence is noticed.
            self._state.journal.failure("datagram_not_sent", error, peer=peer.name)

    def _receive_loop(self) -> None:
        assert self._socket is not None
        while True:
            wait_read(self._socket.fileno())
            if self._relays():
                self._receive_burst()
            else:
                self._receive_while_any_come()

    def _receive_burst(self) -> None:
        """Apply what a collecting host sends at once."""
        gevent.sleep(BURST_S)
        while self._receive_pending() == MAX_RECEIVED_AT_ONCE:
            gevent.sleep(0)

    def _receive_while_any_come(self) -> None:
        while self._receive_pending():
            gevent.sleep(RECEIVE_PAUSE_SHARE * self._near.interval_s)

    def _receive_pending(self) -> int:
        """Apply the datagrams that have arrived; return how many there were."""
        heard_peer, received = False, 0
        while received < MAX_RECEIVED_AT_ONCE:
            raw = self._next_datagram()
            if raw is None:
                break
            received += 1
            heard_peer |= self._take(raw)
        if heard_peer:
            self._state.on_peer_work()
        return received

    def _next_datagram(self) -> bytes | None:
        """Return a datagram that has arrived, or ``None``."""
        assert self._socket is not None
        try:
            # The plain socket returns at once, gevent's would wait.
            return self._socket._sock.recv(DATAGRAM_BUFFER_BYTES)
        except BlockingIOError:
            return None

    def _take(self, raw: bytes) -> bool:
        """Apply one datagram; return whether it tells of a peer's work."""
        now_s = time.monotonic()
        try:
            message = decode_datagram(raw, now_s=now_s)
        except ProtocolError as error:
            self.malformed += 1
            if self.malformed == 1:
                self._state.journal.failure("datagram_ignored", error)
            return False
        if isinstance(message, ChangesPart):
            self._take_changes(message)
            return False
        if isinstance(message, SuspectsMessage):
            self._suspects.take(message, now_s=now_s)
            return False
        if not isinstance(message, PeerMessage):
            return self._relays() and self._relay.take(message, now_s=now_s)
        return self._apply(message, now_s)

    def _take_changes(self, part: ChangesPart) -> None:
        """Apply what the store told a peer, once all of it is here."""
        try:
            changes = self._changes.add(part)
        except ProtocolError as error:
            self._state.journal.failure("relayed_changes_malformed", error)
            return
        if changes is not None:
            self._state.on_store_changes(changes)

    def _apply(self, message: PeerMessage, now_s: float) -> bool:
        """Apply a peer's state; return whether its work counts by itself."""
        state = self._state
        if message.host == state.settings.host_name:
            return False
        state.note_peer(message.host, peer_state(message, now_s), now_s)
        state.health.note_suspected(message.suspects, now_s)
        state.note_news(message.placements, message.refused, now_s=now_s)
        if message.config_version > state.version:
            state.on_newer_version(message.config_version)
        if self._relays():
            # Its work is part of the sum that the collecting host sends.
            self._relay.note_report(message, now_s=now_s)
            return False
        state.ledger.note_peer(
            message.host,
            message.work,
            queued_s=message.queued_ms / 1_000,
            now_s=now_s,
        )
        return True


def _to_ms(duration_s: float | None) -> int | None:
    return None if duration_s is None else int(duration_s * 1_000)
