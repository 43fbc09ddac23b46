"""Datagrams between entry hosts: readiness, work at replicas, cached prompt parts.

Datagrams are used instead of connections because each one supersedes the one before,
so that lost ones need no retransmission. In a small deployment each host sends to all
others, more often to those of its own availability zone, which prefer the same engines.
In a large one a collector in each zone relays the reports (see ``relay``).
"""

import time
from collections.abc import Sequence
from functools import partial

import gevent
from gevent import socket
from gevent.socket import wait_read

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.retry_loans import Loan, LoanRequest
from persimmonyoke.internal.fleet.cache_duty import CollectorState
from persimmonyoke.internal.fleet.interfaces import ChangesRequest, RelayedChanges
from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.fleet.replica_links import LinkState
from persimmonyoke.internal.fleet.send_budget import SendBudget
from persimmonyoke.internal.gateway.change_parts import (
    ChangesAssembler,
    ChangesPart,
    encode_changes,
    encode_changes_request,
)
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.configuration_evidence import (
    note_peer_configuration,
    takes_callers,
)
from persimmonyoke.internal.gateway.datagram_inbox import (
    Address,
    DatagramInbox,
    ReceivedDatagram,
)
from persimmonyoke.internal.gateway.digest_messages import CollectorDatagram
from persimmonyoke.internal.gateway.paced_sender import PacedSender
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
from persimmonyoke.internal.gateway.retry_loan_link import RetryLoanLink
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.suspect_link import SuspectLink
from persimmonyoke.internal.gateway.suspect_messages import SuspectsMessage

MAX_NEAR_DATAGRAMS_PER_S = 250
MAX_FAR_DATAGRAMS_PER_S = 100
"""Limits per sending host; with many peers, each of them is sent datagrams less often.

At the first limit, 20 peers of a zone get a datagram every 80 ms, within the prefill
time of a prompt. Datagrams to other availability zones are billed.
"""

MAX_REPLICAS_PER_MESSAGE = 24

RECEIVE_PAUSE_SHARE = 0.1
"""Pause between reads of the socket, as a share of the interval of near peers.

A wake-up costs more than a datagram, and a host of a large deployment receives hundreds
of datagrams a second. On average the pause adds a twentieth of the interval to the age
of a report.
"""

BURST_S = 0.005
"""Time within which the datagrams of one burst from a collector arrive."""

MAX_RECEIVED_AT_ONCE = 64
"""Datagrams that are applied before yielding to other tasks."""


class PeerLink:
    """Send this host's state to all peers and apply theirs."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._socket: socket.socket | None = None
        self._inbox: DatagramInbox | None = None
        self._near = PeerGroup(MAX_NEAR_DATAGRAMS_PER_S)
        self._far = PeerGroup(MAX_FAR_DATAGRAMS_PER_S)
        self._budget = SendBudget(state.settings.link_mbit_per_s)
        self._changes = PacedSender(self._send_to, self._budget)
        self._relay = HostRelay(
            state, self._send_to, self._budget, now_s=time.monotonic()
        )
        self._suspects = SuspectLink(state, self._send_raw)
        self._loans = RetryLoanLink(state, self._send_raw)
        state.on_cached = self._queue_cached_parts
        self._reported_changes = -1
        self._assembler = ChangesAssembler()
        self._tasks: list[gevent.Greenlet] = []
        self.malformed = 0

    def start(self, host: str, port: int) -> int:
        """Open the socket, start the tasks and return the port."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._inbox = DatagramInbox(self._socket)
        self._tasks = [
            gevent.spawn(self._receive_loop),
            gevent.spawn(self._send_loop),
            gevent.spawn(self._suspects.gossip),
        ]
        return self._socket.getsockname()[1]

    def stop(self) -> None:
        """Stop the tasks and close the socket."""
        gevent.killall(self._tasks)
        if self._socket is not None:
            self._socket.close()

    def send_now(self) -> None:
        """Send the current state to all peers.

        In a large deployment the collectors relay it. A draining host sends it to all
        peers directly, so that callers are no longer directed to it.
        """
        if self._uses_relay() and not self._state.draining:
            self._report(time.monotonic())
            return
        message, now_s = self._collect_state(), time.monotonic()
        near, far = self._peers()
        self._send(near, self._near.message(message, now_s=now_s))
        self._send(far, self._far.message(message, now_s=now_s))

    def forward_changes(self, changes: RelayedChanges) -> None:
        """Forward changes returned by the store to the peers of this host's zone."""
        near, _far = self._peers()
        zone = self._state.settings.availability_zone
        first = self._state.hosts.forwarding_start(zone, len(near))
        self._changes.send(near[first:] + near[:first], encode_changes(changes))

    def request_changes(self, peer: HostEntry, after_revision: int) -> None:
        """Ask a peer for the changes after a revision."""
        request = ChangesRequest(
            self._state.settings.host_name, after_revision, peer.tunnel_key
        )
        self._send_to(peer, encode_changes_request(request))

    def _send_changes(self, receiver: Address, changes: RelayedChanges) -> int:
        """Send changes to the host that asked for them; return the datagrams sent."""
        assert self._socket is not None
        datagrams = encode_changes(changes)
        try:
            for data in datagrams:
                self._socket.sendto(data, receiver)
        except OSError as error:
            # The host asks again.
            self._state.journal.failure("changes_not_sent", error)
        return len(datagrams)

    def _send_loop(self) -> None:
        while True:
            gevent.sleep(CHANGED_INTERVAL_S)
            try:
                self._send_round()
            except Exception:
                self._state.journal.unexpected("datagrams_not_sent")

    def _send_round(self) -> None:
        """Send the messages that are due."""
        if self._uses_relay():
            self._run_relay_round(time.monotonic())
            return
        near, far = self._peers()
        self._set_sizes(len(near), len(far))
        self._send_due([(self._near, near), (self._far, far)], time.monotonic())

    def collecting_view(self) -> CollectorState:
        """Return what this host knows about the collectors of reports."""
        return CollectorState(
            relays=self._uses_relay(),
            collecting=self._relay.collecting or self._relay.is_first,
            collector_heard=self._relay.hears_collector(now_s=time.monotonic()),
        )

    def _queue_cached_parts(self, replica_id: str, part_ids: list[str]) -> None:
        """Queue an engine's cached parts for the hosts that do not query engines."""
        if self._uses_relay():
            self._relay.add_cached_parts(replica_id, part_ids)

    def _uses_relay(self) -> bool:
        """Return whether there are too many hosts for a full mesh of datagrams."""
        return self._state.hosts.needs_relay(time.monotonic())

    def _run_relay_round(self, now_s: float) -> None:
        """Report this host's state if due, and relay if this host is a collector."""
        state = self._state
        state.hosts.set_datagram_interval(
            FAR_STATES_INTERVAL_S, near_interval_s=STATES_INTERVAL_S
        )
        state.placement.set_remote_report_age(FAR_INTERVAL_S)
        changed = (
            state.ledger.own_changes != self._reported_changes
            or bool(state.new_placements)
            or state.recent_refusals.has_unshared
            or self._near.has_unsent
        )
        if self._relay.report_is_due(changed, now_s=now_s):
            self._report(now_s)
        self._relay.collect(now_s=now_s)

    def _report(self, now_s: float) -> None:
        """Send this host's state to the collectors of its zone."""
        self._reported_changes = self._state.ledger.own_changes
        state = self._collect_state()
        if self._relay.collecting:
            unsent = self._near.take_unsent()
            self._relay.add_updates(unsent.placements, unsent.refused, now_s=now_s)
        message = self._near.message(state, now_s=now_s)
        message = self._relay.report(message, now_s=now_s)
        self._send(self._relay.report_to(now_s=now_s), message)

    def _send_due(
        self, groups: Sequence[tuple[PeerGroup, list[HostEntry]]], now_s: float
    ) -> None:
        """Send the state to each group whose message is due."""
        with_peers = [(group, peers) for group, peers in groups if peers]
        if with_peers and not any(group.may_send(now_s) for group, _ in with_peers):
            return
        # Also without peers, so that pending placements do not accumulate.
        message = self._collect_state()
        for group, peers in with_peers:
            due = group.due_message(message, now_s=now_s)
            if due is not None:
                self._send(peers, due)

    def _peers(self) -> tuple[list[HostEntry], list[HostEntry]]:
        """Return the peers of this host's availability zone and those of others."""
        own_zone, hosts = self._state.settings.availability_zone, self._state.hosts
        peers = [*hosts.peers(), *hosts.unregistered(time.monotonic())]
        near = [peer for peer in peers if peer.availability_zone == own_zone]
        far = [peer for peer in peers if peer.availability_zone != own_zone]
        return near, far

    def _set_sizes(self, near_count: int, far_count: int) -> None:
        self._near.set_size(near_count)
        self._far.set_size(far_count)
        far_s, near_s = self._far.interval_s, self._near.interval_s
        self._state.hosts.set_datagram_interval(max(far_s, near_s))
        self._state.placement.set_remote_report_age(max(0.0, far_s - near_s))

    def _collect_state(self) -> PeerMessage:
        """Return the current state, and queue new updates for both groups."""
        state = self._state
        placements = state.take_placements()
        refused = state.recent_refusals.take_unshared(MAX_REFUSED)
        self._near.add(placements, refused)
        self._far.add(placements, refused)
        return self.state_message()

    def state_message(self) -> PeerMessage:
        """Return the state of this host, without updates that are sent once."""
        state, now_s = self._state, time.monotonic()
        work = state.ledger.own_work(now_s=now_s)
        contact_s = state.contact.continuous_contact_s(now_s)
        if len(work) > MAX_REPLICAS_PER_MESSAGE:
            busiest = sorted(work, key=lambda r: work[r].prefill_s, reverse=True)
            work = {
                replica_id: work[replica_id]
                for replica_id in busiest[:MAX_REPLICAS_PER_MESSAGE]
            }
        return PeerMessage(
            host=state.settings.host_name,
            ready=takes_callers(state, now_s),
            config_version=state.version,
            work=work,
            placements=(),
            queued_ms=int(state.queued_s() * 1_000),
            store_connected=state.store_connected,
            store_revision=state.view.revision,
            store_contact_ms=_to_ms(contact_s),
            view_age_ms=_to_ms(state.view.store_confirmed_age_s(boot_time_s())),
            suspects=self._paused_replicas(now_s),
        )

    def _paused_replicas(self, now_s: float) -> tuple[str, ...]:
        """Return the replicas that fail, unless it may be this host's links."""
        links = self._state.links
        if links.unanswered or links.state is not LinkState.INTACT:
            return ()
        paused = self._state.health.all_paused(now_s)
        return tuple(paused[:MAX_REPLICAS_PER_MESSAGE])

    def _send(self, peers: Sequence[HostEntry], message: PeerMessage) -> None:
        self._send_raw(peers, encode_message(message))

    def _send_raw(self, peers: Sequence[HostEntry], data: bytes) -> None:
        for peer in peers:
            self._send_to(peer, data)

    def _send_to(self, peer: HostEntry, data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(data, (peer.peer_host, peer.peer_port))
            self._state.metrics.datagram_bytes.add(len(data))
        except OSError as error:
            # The next datagram supersedes this one; the silence of a peer is detected.
            self._state.journal.failure("datagram_not_sent", error, peer=peer.name)

    def _receive_loop(self) -> None:
        assert self._socket is not None
        while True:
            wait_read(self._socket.fileno())
            if self._uses_relay():
                self._receive_burst()
            else:
                self._receive_until_idle()

    def _receive_burst(self) -> None:
        """Apply a burst of datagrams from a collector."""
        gevent.sleep(BURST_S)
        while self._receive_pending() == MAX_RECEIVED_AT_ONCE:
            gevent.sleep(0)

    def _receive_until_idle(self) -> None:
        while self._receive_pending():
            gevent.sleep(RECEIVE_PAUSE_SHARE * self._near.interval_s)

    def _receive_pending(self) -> int:
        """Apply the datagrams that have arrived; return their number."""
        assert self._inbox is not None
        heard_peer, received = False, 0
        while received < MAX_RECEIVED_AT_ONCE:
            datagram = self._inbox.next()
            if datagram is None:
                break
            received += 1
            heard_peer |= self._handle_or_log(datagram)
        if heard_peer:
            self._state.on_peer_work()
        return received

    def _handle_or_log(self, datagram: ReceivedDatagram) -> bool:
        """Apply one datagram; an unexpected error must not end the receiving task."""
        try:
            return self._handle(datagram)
        except Exception:
            self._state.journal.unexpected("datagram_failed")
            return False

    def _handle(self, datagram: ReceivedDatagram) -> bool:
        """Apply one datagram; return whether it changed the known work of peers."""
        now_s, after_boot_s = time.monotonic(), datagram.after_boot_s
        try:
            message = decode_datagram(
                datagram.raw, now_s=now_s, after_boot_s=after_boot_s
            )
        except ProtocolError as error:
            self.malformed += 1
            if self.malformed == 1:
                self._state.journal.failure("datagram_ignored", error)
            return False
        match message:
            case PeerMessage():
                return self._apply_peer_message(message, now_s, after_boot_s)
            case CollectorDatagram():
                return self._uses_relay() and self._relay.handle(message, now_s=now_s)
            case ChangesPart():
                self._handle_changes(message, after_boot_s)
            case ChangesRequest():
                self._state.on_changes_requested(
                    message, partial(self._send_changes, datagram.sender)
                )
            case SuspectsMessage():
                self._suspects.handle(message, now_s=now_s)
            case LoanRequest():
                self._loans.handle_request(message, now_s=now_s)
            case Loan():
                self._loans.handle_loan(message, now_s=now_s)
        return False

    def _handle_changes(self, part: ChangesPart, after_boot_s: float) -> None:
        """Apply changes that a peer received from the store, once complete."""
        try:
            changes = self._assembler.add(part, after_boot_s=after_boot_s)
        except ProtocolError as error:
            self._state.journal.failure("relayed_changes_malformed", error)
            return
        if changes is not None:
            self._state.on_store_changes(changes)

    def _apply_peer_message(
        self, message: PeerMessage, now_s: float, after_boot_s: float
    ) -> bool:
        """Apply a peer's state; return whether its work was recorded individually."""
        state = self._state
        if message.host == state.settings.host_name:
            return False
        peer = peer_state(message, now_s, after_boot_s=after_boot_s)
        state.note_peer(message.host, peer, now_s)
        note_peer_configuration(state, message.host, peer, now_s)
        state.health.note_suspected(message.suspects, now_s)
        state.note_updates(message.placements, message.refused, now_s=now_s)
        if message.config_version > state.version:
            state.on_newer_version(message.config_version)
        if self._uses_relay():
            # The collector's aggregate includes this work.
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
