"""Open connections to replicas over this host's links or through peers.

A connection that is slow to open is also opened through a peer, and the first one wins,
as with the addresses of a host in RFC 8305. No request is sent before a connection is
chosen, so none can run twice by this.
"""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
from gevent.queue import Empty, Queue

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.fleet.replica_links import (
    MIN_REPLICAS,
    PARTITIONED,
    LinkState,
)
from persimmonyoke.internal.gateway.connections import (
    CONNECT_TIMEOUT_S,
    ConnectionRefused,
    Dialer,
    LinksDown,
    NotConnected,
    UpstreamConnection,
    connect,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.transports import Transport
from persimmonyoke.internal.gateway.tunnel_client import (
    NoTunnel,
    PeerCannotReach,
    TunnelClient,
)

PEER_DELAY_S = 0.1
"""Time after which a connection that is not open yet is also opened through a peer."""

PROBE_INTERVAL_S = 0.5
"""Interval at which a host that is cut off tries one of its links again."""

STALL_S = 0.2
"""Delay of a timeout beyond which this host stood still, and learnt nothing."""


@dataclass(frozen=True)
class _Opened:
    """Report a connection that was opened."""

    connection: UpstreamConnection


@dataclass(frozen=True)
class _NotOpened:
    """Report that a way to the replica failed."""

    error: NotConnected | NoTunnel | PeerCannotReach


class _Race:
    """Collect the outcomes of the ways to a replica; the first connection wins."""

    def __init__(self) -> None:
        self._outcomes: Queue = Queue()
        self.direct_error: NotConnected | None = None
        self.peer_error: NoTunnel | PeerCannotReach | None = None
        self._pending = 0
        self._won = False

    def add(self, attempt: gevent.Greenlet) -> None:
        """Add an attempt in progress, which returns its outcome."""
        self._pending += 1
        attempt.link(lambda ended: self._outcomes.put(ended.value))

    def winner(self, timeout_s: float) -> UpstreamConnection | None:
        """Return the first connection, or ``None`` if there is none in time."""
        deadline_s = time.monotonic() + timeout_s
        while self._pending:
            try:
                left_s = max(0.0, deadline_s - time.monotonic())
                outcome = self._outcomes.get(timeout=left_s)
            except Empty:
                return None
            self._pending -= 1
            if isinstance(outcome, _Opened):
                return outcome.connection
            self._note_error(outcome)
        return None

    @property
    def undecided(self) -> bool:
        """Return whether an attempt is still in progress."""
        return self._pending > 0

    def _note_error(self, outcome: _NotOpened | None) -> None:
        match outcome:
            case _NotOpened(NotConnected() as error):
                self.direct_error = error
            case _NotOpened(NoTunnel() | PeerCannotReach() as error):
                self.peer_error = error


class ReplicaDialer(Dialer):
    """Open connections to replicas, and find out whether the own links are cut."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self.tunnels = TunnelClient(state)
        self.connect: Callable[[Replica, float], Transport] = connect
        self._checked_s = float("-inf")

    def open(self, replica: Replica, timeout_s: float) -> UpstreamConnection:
        """Open a connection; raise ``NotConnected`` if no way is left."""
        if timeout_s <= 0:
            raise NotConnected(f"{replica.address}: no time is left")
        now_s = time.monotonic()
        links, known = self._state.links, self._state.known_replicas
        if links.prefers_peer(replica.replica_id, known=known, now_s=now_s):
            try:
                return self._open_by_peer(replica, timeout_s)
            except PeerCannotReach as error:
                raise _unreachable(error, error.refused) from error
            except NoTunnel as error:
                if links.state(known) in PARTITIONED:
                    raise LinksDown(str(error)) from error
        return self._open_either_way(replica, timeout_s)

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
                self._state.note_connect_failed(replica, begun_s=begun_s, now_s=now_s)
                self._check_another_link(replica)
            raise
        self._state.note_connected(replica, time.monotonic())
        return transport

    def trusts(self, connection: UpstreamConnection) -> bool:
        """Return whether an idle connection is likely to work."""
        state, now_s = self._state, time.monotonic()
        replica_id, known = connection.replica.replica_id, state.known_replicas
        if connection.peer is None:
            return state.links.trusts_idle(
                replica_id, idle_since_s=connection.idle_since_s, known=known
            )
        # Once the own links work again, requests return to them.
        cut = state.links.prefers_peer(replica_id, known=known, now_s=now_s)
        return cut and self.tunnels.usable(connection.peer, now_s)

    def note_silent(self, connection: UpstreamConnection, sent_s: float) -> None:
        """Record a call without an answer, and check the links if all are silent."""
        now_s = time.monotonic()
        if connection.peer is not None:
            self.tunnels.note_lost(connection.peer, now_s)
            return
        links = self._state.links
        links.note_silent(connection.replica.replica_id, sent_s=sent_s, now_s=now_s)
        if links.silent_since(sent_s):
            self._check_links(self._next_to_probe()[:MIN_REPLICAS])

    def probe(self) -> None:
        """Try the links again at intervals while they fail."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            if self._state.link_state is not LinkState.INTACT:
                for replica in self._next_to_probe()[:1]:
                    self._probe_directly(replica)

    def _check_another_link(self, failing: Replica) -> None:
        """Check a second link if only a peer reaches a replica.

        A host with little traffic would otherwise learn late that it is cut off.
        """
        if self._state.link_state is not LinkState.INTACT:
            return
        if self._state.links.confirmed(failing.replica_id):
            others = [r for r in self._next_to_probe() if r != failing]
            self._check_links(others[:1])

    def _check_links(self, replicas: Sequence[Replica]) -> None:
        """Try links in the background, at most once in ``PROBE_INTERVAL_S``."""
        now_s = time.monotonic()
        if now_s - self._checked_s < PROBE_INTERVAL_S:
            return
        self._checked_s = now_s
        for replica in replicas:
            gevent.spawn(self._check, replica)

    def _next_to_probe(self) -> list[Replica]:
        replicas = {
            r.replica_id: r for r in self._state.replicas.all() if not r.draining
        }
        return [replicas[r] for r in self._state.links.probe_order(replicas)]

    def links_work_since(self, time_s: float, *, but: Replica) -> bool:
        """Return whether a replica other than ``but`` accepts connections since then.

        One of them is tried unless a connection has been opened meanwhile.
        """
        if not self._state.links.connected_since(time_s):
            others = [r for r in self._next_to_probe() if r != but]
            for replica in others[:1]:
                self._probe_directly(replica)
        return self._state.links.connected_since(time_s)

    def _probe_directly(self, replica: Replica) -> None:
        try:
            connection = self.open_directly(replica, CONNECT_TIMEOUT_S)
        except NotConnected:
            # The failure is recorded with the link.
            return
        self._state.pool.put_new(connection, now_s=time.monotonic())

    def _check(self, replica: Replica) -> None:
        try:
            connection = self.open(replica, CONNECT_TIMEOUT_S)
        except NotConnected:
            # The failure is recorded with the link.
            return
        self._state.pool.put_new(connection, now_s=time.monotonic())

    def _open_either_way(
        self, replica: Replica, timeout_s: float
    ) -> UpstreamConnection:
        deadline_s = time.monotonic() + timeout_s
        if self._fails_anyway(replica):
            raise LinksDown(f"{replica.address}: no link and no peer reaches it")
        race = _Race()
        direct = gevent.spawn(self._try_directly, replica, timeout_s)
        race.add(direct)
        winner = race.winner(min(PEER_DELAY_S, timeout_s))
        if winner is not None:
            return winner
        by_peer = None
        if self._may_ask_peer(replica):
            by_peer = gevent.spawn(
                self._try_by_peer, replica, deadline_s - time.monotonic()
            )
            race.add(by_peer)
        winner = race.winner(deadline_s - time.monotonic())
        if winner is None:
            raise self._failure(replica, race)
        loser = by_peer if winner.peer is None else direct
        if loser is not None:
            loser.link(self._keep_or_close)
        return winner

    def _fails_anyway(self, replica: Replica) -> bool:
        """Return whether the link failed, like others, and no peer helps.

        The probes find out when links work again.
        """
        state = self._state
        return (
            state.links.state(state.known_replicas) is LinkState.UNCONFIRMED
            and state.links.fails(replica.replica_id)
            and not self._may_ask_peer(replica)
        )

    def _may_ask_peer(self, replica: Replica) -> bool:
        now_s = time.monotonic()
        may_ask = self._state.links.may_ask_peer(replica.replica_id, now_s)
        return may_ask and self.tunnels.has_peer(replica, now_s)

    def _try_directly(self, replica: Replica, timeout_s: float) -> object:
        try:
            return _Opened(self.open_directly(replica, timeout_s))
        except NotConnected as error:
            return _NotOpened(error)

    def _try_by_peer(self, replica: Replica, timeout_s: float) -> object:
        try:
            return _Opened(self._open_by_peer(replica, timeout_s))
        except (NoTunnel, PeerCannotReach) as error:
            return _NotOpened(error)

    def _open_by_peer(self, replica: Replica, timeout_s: float) -> UpstreamConnection:
        state = self._state
        try:
            transport = self.tunnels.open(replica, timeout_s=timeout_s)
        except PeerCannotReach:
            state.links.note_unreached_by_peer(replica.replica_id, time.monotonic())
            raise
        now_s = time.monotonic()
        state.links.note_reached_by_peer(replica.replica_id, now_s)
        state.review_links(now_s)
        self._check_another_link(replica)
        return UpstreamConnection(replica, transport=transport)

    def _keep_or_close(self, loser: gevent.Greenlet) -> None:
        """Keep a connection of this host that was opened late, or close a tunnel."""
        if not isinstance(loser.value, _Opened):
            return
        connection = loser.value.connection
        if connection.peer is None:
            self._state.pool.put_new(connection, now_s=time.monotonic())
        else:
            connection.close()

    def _failure(self, replica: Replica, race: _Race) -> NotConnected:
        """Return the error of a replica that was reached on neither way.

        Where there are peers, only the word of one of them shows that the replica
        itself refuses connections.
        """
        direct, by_peer = race.direct_error, race.peer_error
        if isinstance(by_peer, PeerCannotReach):
            refused = by_peer.refused and isinstance(direct, ConnectionRefused)
            return _unreachable(by_peer, refused)
        asked_before = not self._state.links.may_ask_peer(
            replica.replica_id, time.monotonic()
        )
        alone = not self._state.hosts.peers()
        if direct is not None and (asked_before or alone):
            return direct
        if self._state.link_state is not LinkState.INTACT:
            return LinksDown(f"{replica.address}: {direct}; {by_peer}")
        if direct is None or by_peer is not None:
            return NotConnected(f"{replica.address}: {direct}; {by_peer}")
        return direct


def _unreachable(error: Exception, refused: bool) -> NotConnected:
    kind = ConnectionRefused if refused else NotConnected
    return kind(str(error))
