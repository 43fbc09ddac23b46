"""Open connections to replicas over this host's links or through peers.

A connection that is slow to open is also opened through a peer, and the first one wins,
as with the addresses of a host in RFC 8305. No request is sent before a connection is
chosen, so none can run twice by this.
"""

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial

import gevent

from persimmonyoke.internal.fleet.model import HostEntry, Replica
from persimmonyoke.internal.fleet.replica_links import (
    MIN_REPLICAS,
    LinkState,
)
from persimmonyoke.internal.gateway.connection_pool import Dialer
from persimmonyoke.internal.gateway.connection_race import ConnectionRace
from persimmonyoke.internal.gateway.connections import (
    CONNECT_TIMEOUT_S,
    AnswerLost,
    AnswerTimeout,
    ConnectionEnded,
    ConnectionRefused,
    ConnectionTimedOut,
    LinksDown,
    LostCall,
    NotConnected,
    UpstreamConnection,
    connect,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.transports import Transport
from persimmonyoke.internal.gateway.tunnel_client import (
    PeerCannotReach,
    TunnelClient,
)

NEXT_WAY_DELAY_S = 0.1
"""Time after which a connection that is not open yet is tried on the next way too."""

DOUBTED_LINK_DELAY_S = 0.4
"""Time that peers have before a call that must not be repeated uses a link in doubt.

Such a link may accept connections and answer nothing, and would win the race.
"""

MAX_PEERS_ASKED = 3

PROBE_INTERVAL_S = 0.5
"""Interval at which a host that is cut off tries one of its links again."""

STALL_S = 0.2
"""Delay of a timeout beyond which this host stood still, and learnt nothing."""


MIN_SILENCE_S = 0.2
"""A call that ends sooner without an answer says nothing of the link."""

Attempt = Callable[[], UpstreamConnection]


@dataclass(frozen=True)
class Way:
    """Describe a way to a replica, tried if earlier ones take ``delay_s`` longer."""

    attempt: Attempt
    delay_s: float = NEXT_WAY_DELAY_S


class ReplicaDialer(Dialer):
    """Open connections to replicas, and find out whether the own links are cut."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self.tunnels = TunnelClient(state)
        self.connect: Callable[[Replica, float], Transport] = connect
        self._checked_s = float("-inf")

    def open(
        self, replica: Replica, timeout_s: float, *, repeatable: bool = False
    ) -> UpstreamConnection:
        """Open a connection; raise ``NotConnected`` if no way is left."""
        if timeout_s <= 0:
            raise NotConnected(f"{replica.address}: no time is left")
        deadline_s = time.monotonic() + timeout_s
        race = ConnectionRace(self._keep_or_close)
        try:
            for way in self._ways(replica, deadline_s, repeatable=repeatable):
                left_s = deadline_s - time.monotonic()
                winner = race.winner(min(way.delay_s, left_s))
                if winner is not None:
                    return winner
                if isinstance(race.peer_error, PeerCannotReach):
                    break
                race.start(way.attempt)
            winner = race.winner(deadline_s - time.monotonic())
        finally:
            race.end()
        if winner is None:
            raise self._failure(replica, race)
        return winner

    def open_directly(self, replica: Replica, timeout_s: float) -> UpstreamConnection:
        """Open a connection over this host's links; raise ``NotConnected``."""
        transport = self.connect_directly(replica, timeout_s)
        return UpstreamConnection(replica, transport=transport)

    def connect_directly(self, replica: Replica, timeout_s: float) -> Transport:
        """Connect over this host's links, and record whether that succeeds."""
        begun_s = time.monotonic()
        limit_s = min(CONNECT_TIMEOUT_S, timeout_s)
        try:
            transport = self.connect(replica, timeout_s)
        except NotConnected:
            now_s = time.monotonic()
            if now_s - begun_s < limit_s + STALL_S:
                self._state.links.note_connect_failed(
                    replica, begun_s=begun_s, now_s=now_s
                )
                self._check_another_link(replica)
            raise
        self._state.links.note_connected(replica, time.monotonic())
        return transport

    def trusts(self, connection: UpstreamConnection) -> bool:
        """Return whether an idle connection is likely to work."""
        links, replica = self._state.links, connection.replica
        if connection.peer is None:
            return not links.unanswered and links.trusts_idle(
                replica, connection.idle_since_s
            )
        # Once the own links work again, requests return to them.
        now_s = time.monotonic()
        in_doubt = links.unanswered and not links.trial_due(now_s)
        cut = in_doubt or links.prefers_peer(replica, now_s)
        return cut and self.tunnels.usable(connection.peer, now_s)

    def note_call_lost(self, call: LostCall) -> None:
        """Record a call that ended before the head of its answer."""
        now_s, connection = time.monotonic(), call.connection
        if _is_silence(call.error):
            self._note_silent(connection, call.sent_s, now_s)
        is_new_link = connection.peer is None and not connection.answered
        if is_new_link and _shows_no_answer(call, now_s):
            self._state.links.note_unanswered(
                connection.replica, sent_s=call.sent_s, now_s=now_s
            )

    def _note_silent(
        self, connection: UpstreamConnection, sent_s: float, now_s: float
    ) -> None:
        """Record a call without an answer, and check the links if all are silent."""
        if connection.peer is not None:
            self.tunnels.note_lost(connection.peer, now_s)
            return
        links = self._state.links
        links.note_silent(connection.replica, sent_s=sent_s, now_s=now_s)
        if links.silent_since(sent_s):
            self._check_links(self._next_to_probe()[:MIN_REPLICAS])

    def probe(self) -> None:
        """Try the links again at intervals while they fail."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            try:
                self._probe_next()
            except Exception:
                self._state.journal.unexpected("probe_failed")

    def _probe_next(self) -> None:
        """Try the link that was tried least recently, if links fail.

        Peers are asked too while none has shown that it reaches a replica.
        """
        if self._state.links.state is LinkState.INTACT:
            return
        for replica in self._next_to_probe()[:1]:
            self._try_link(replica, self.open_directly)
            if self._state.links.state is LinkState.UNCONFIRMED:
                self._try_link(replica, self.open)

    def _check_another_link(self, failing: Replica) -> None:
        """Check a second link if only a peer reaches a replica.

        A host with little traffic would otherwise learn late that it is cut off.
        """
        if self._state.links.state is not LinkState.INTACT:
            return
        if self._state.links.confirmed(failing):
            others = [r for r in self._next_to_probe() if r != failing]
            self._check_links(others[:1])

    def _check_links(self, replicas: Sequence[Replica]) -> None:
        """Try links in the background, at most once in ``PROBE_INTERVAL_S``."""
        now_s = time.monotonic()
        if now_s - self._checked_s < PROBE_INTERVAL_S:
            return
        self._checked_s = now_s
        for replica in replicas:
            gevent.spawn(self._try_link, replica, self.open)

    def _next_to_probe(self) -> list[Replica]:
        replicas = {
            r.replica_id: r for r in self._state.replicas.all() if not r.draining
        }
        return [replicas[r] for r in self._state.links.probe_order(list(replicas))]

    def links_work_since(self, time_s: float, *, but: Replica) -> bool:
        """Return whether a replica other than ``but`` accepts connections since then.

        One of them is tried unless a connection has been opened meanwhile.
        """
        if not self._state.links.connected_since(time_s):
            others = [r for r in self._next_to_probe() if r != but]
            for replica in others[:1]:
                self._try_link(replica, self.open_directly)
        return self._state.links.connected_since(time_s)

    def _try_link(
        self,
        replica: Replica,
        open_link: Callable[[Replica, float], UpstreamConnection],
    ) -> None:
        """Open a connection for later use, which shows whether a link works."""
        try:
            connection = open_link(replica, CONNECT_TIMEOUT_S)
        except NotConnected:
            # The failure is recorded with the link.
            return
        self._state.pool.put_new(connection, now_s=time.monotonic())

    def _ways(
        self, replica: Replica, deadline_s: float, *, repeatable: bool
    ) -> Iterator[Way]:
        """Return the ways to a replica, the most promising one first."""
        own = partial(self._open_own, replica, deadline_s)
        needs_peer = self._needs_peer(replica)
        in_doubt = self._links_in_doubt(repeatable=repeatable)
        if not needs_peer and not in_doubt:
            yield Way(own)
        if self._state.links.may_ask_peer(replica, time.monotonic()):
            yield from self._ways_by_peers(replica, deadline_s)
        if in_doubt and not needs_peer:
            delay_s = NEXT_WAY_DELAY_S if repeatable else DOUBTED_LINK_DELAY_S
            yield Way(own, delay_s)

    def _ways_by_peers(self, replica: Replica, deadline_s: float) -> Iterator[Way]:
        for peer in self.tunnels.candidates(replica)[:MAX_PEERS_ASKED]:
            yield Way(partial(self._open_by_peer, replica, peer, deadline_s))

    def _links_in_doubt(self, *, repeatable: bool) -> bool:
        """Return whether the own link is tried last, as no replica answers on any.

        At intervals a call that may be repeated tries it first.
        """
        links = self._state.links
        if not links.unanswered:
            return False
        return not (repeatable and links.claim_trial(time.monotonic()))

    def _open_own(self, replica: Replica, deadline_s: float) -> UpstreamConnection:
        return self.open_directly(replica, deadline_s - time.monotonic())

    def _needs_peer(self, replica: Replica) -> bool:
        """Return whether the own link is not worth trying; probes tell when it is."""
        links = self._state.links
        if links.prefers_peer(replica, time.monotonic()):
            return True
        return links.state is LinkState.UNCONFIRMED and links.fails(replica)

    def _open_by_peer(
        self, replica: Replica, peer: HostEntry, deadline_s: float
    ) -> UpstreamConnection:
        links, left_s = self._state.links, deadline_s - time.monotonic()
        try:
            transport = self.tunnels.open(replica, peer, timeout_s=left_s)
        except PeerCannotReach:
            links.note_unreached_by_peer(replica, time.monotonic())
            raise
        links.note_reached_by_peer(replica, time.monotonic())
        self._check_another_link(replica)
        return UpstreamConnection(replica, transport=transport)

    def _keep_or_close(self, late: UpstreamConnection) -> None:
        """Keep a connection of this host that was opened late, or close a tunnel."""
        if late.peer is None:
            self._state.pool.put_new(late, now_s=time.monotonic())
        else:
            late.close()

    def _failure(self, replica: Replica, race: ConnectionRace) -> NotConnected:
        """Return the error of a replica that was reached on neither way.

        Where there are peers, only the word of one of them shows that the replica
        itself refuses connections.
        """
        direct, by_peer = race.direct_error, race.peer_error
        if isinstance(by_peer, PeerCannotReach):
            refused = by_peer.refused and not _timed_out(direct)
            return _unreachable(by_peer, refused)
        asked_before = not self._state.links.may_ask_peer(replica, time.monotonic())
        alone = not self._state.hosts.peers()
        if direct is not None and (asked_before or alone):
            return direct
        reason = f"{replica.address}: {direct or 'not tried'}; {by_peer or 'no peer'}"
        if self._state.links.state is not LinkState.INTACT:
            return LinksDown(reason)
        return NotConnected(reason)


def _shows_no_answer(call: LostCall, now_s: float) -> bool:
    """Return whether a call ended by itself, or was silent for long enough."""
    if not _is_silence(call.error):
        return isinstance(call.error, ConnectionEnded)
    waited = now_s - call.sent_s >= MIN_SILENCE_S
    stood_still = now_s >= call.deadline_s + STALL_S
    return waited and not stood_still


def _is_silence(error: AnswerLost) -> bool:
    """Return whether a call was lost as nothing came back from its replica."""
    return isinstance(error, AnswerTimeout | ConnectionTimedOut)


def _timed_out(direct: NotConnected | None) -> bool:
    """Return whether a link was tried and the replica did not refuse."""
    return direct is not None and not isinstance(direct, ConnectionRefused)


def _unreachable(error: Exception, refused: bool) -> NotConnected:
    kind = ConnectionRefused if refused else NotConnected
    return kind(str(error))
