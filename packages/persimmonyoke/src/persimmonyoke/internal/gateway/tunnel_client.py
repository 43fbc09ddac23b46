"""Open tunnels to replicas through peers."""

import itertools
import time

from gevent import socket

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.fleet.model import HostEntry, Replica
from persimmonyoke.internal.fleet.tunnel_peers import TunnelPeers
from persimmonyoke.internal.gateway import sockets
from persimmonyoke.internal.gateway.answers import ResponseHead, ResponseParser
from persimmonyoke.internal.gateway.connections import CONNECT_TIMEOUT_S
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.transports import READ_BYTES, TunnelTransport
from persimmonyoke.internal.gateway.tunnel_requests import (
    OPENED,
    REPLICA_REFUSES,
    REPLICA_SILENT,
    UNKNOWN_REPLICA,
    TunnelRequest,
    encode_tunnel_request,
)

PEER_TIMEOUT_S = 0.3
"""Time in which a peer accepts a connection; it then connects to the replica."""


class NoTunnel(Exception):
    """Signal that no peer opens a tunnel, which says nothing of the replica."""


class UnknownReplica(NoTunnel):
    """Signal that a peer does not know the replica, which may be new."""


class PeerCannotReach(Exception):
    """Signal that a peer, too, could not connect to the replica."""

    def __init__(self, reason: str, *, refused: bool) -> None:
        super().__init__(reason)
        self.refused = refused


class TunnelClient:
    """Open tunnels, through the most suitable peer first."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._peers = TunnelPeers(state.settings.availability_zone)
        self._numbers = itertools.count(1)

    def usable(self, peer: str, now_s: float) -> bool:
        """Return whether tunnels through a peer are likely to work."""
        entry = self._state.hosts.entry(peer)
        if entry is None or not self._state.hosts.takes_callers(peer, now_s):
            return False
        return not (
            self._peers.doubted(peer, now_s) or self._peers.paused(entry, now_s)
        )

    def note_lost(self, peer: str, now_s: float) -> None:
        """Record that an answer was lost on a tunnel through a peer."""
        self._peers.note_lost(peer, now_s)

    def candidates(self, replica: Replica) -> list[HostEntry]:
        """Return the peers to ask for a tunnel to a replica, the best one first."""
        state, now_s = self._state, time.monotonic()
        alive = [
            peer
            for peer in state.hosts.peers()
            if state.hosts.takes_callers(peer.name, now_s)
        ]
        return self._peers.ranked(
            alive,
            replica=replica,
            now_s=now_s,
            rng=state.rng,
        )

    def open(
        self, replica: Replica, peer: HostEntry, *, timeout_s: float
    ) -> TunnelTransport:
        """Open a tunnel; raise ``NoTunnel`` or ``PeerCannotReach``."""
        if timeout_s <= 0:
            raise NoTunnel("no time is left")
        try:
            return self._open(replica, peer, timeout_s)
        except UnknownReplica as error:
            self._peers.note_unknown(peer, replica.address, time.monotonic())
            self._log_failure(peer, replica, error)
            raise
        except (OSError, ProtocolError, NoTunnel) as error:
            self._peers.note_failed(peer, time.monotonic())
            self._log_failure(peer, replica, error)
            raise NoTunnel(f"{peer.name}: {error}") from error

    def _open(
        self, replica: Replica, peer: HostEntry, timeout_s: float
    ) -> TunnelTransport:
        begun_s = time.monotonic()
        tunnel_id = f"{self._state.settings.host_name}/{next(self._numbers)}"
        sock = sockets.connect(
            peer.peer_host, peer.peer_port, timeout_s=min(PEER_TIMEOUT_S, timeout_s)
        )
        sockets.set_user_timeout(sock, sockets.TUNNEL_USER_TIMEOUT_MS)
        try:
            request = TunnelRequest(replica.address, peer.tunnel_key, tunnel_id)
            sock.sendall(encode_tunnel_request(request))
            deadline_s = begun_s + min(timeout_s, PEER_TIMEOUT_S + CONNECT_TIMEOUT_S)
            parser = ResponseParser()
            head = _read_head(sock, parser, deadline_s)
            self._check_status(peer, replica, head.status)
        except BaseException:
            sock.close()
            raise
        self._peers.note_opened(peer.name)
        self._state.metrics.tunnels.add(result="opened")
        self._state.journal.event(
            "tunnel_opened",
            tunnel=tunnel_id,
            peer=peer.name,
            replica=replica.replica_id,
            links=self._state.links.state,
            ms=int((time.monotonic() - begun_s) * 1_000),
        )
        return TunnelTransport(
            sock,
            parser,
            peer=peer.name,
            tunnel_id=tunnel_id,
            on_close=lambda: self._peers.note_closed(peer.name),
        )

    @staticmethod
    def _check_status(peer: HostEntry, replica: Replica, status: int) -> None:
        if status == OPENED:
            return
        reason = f"{peer.name} answered {status} for {replica.address}"
        if status in (REPLICA_REFUSES, REPLICA_SILENT):
            raise PeerCannotReach(reason, refused=status == REPLICA_REFUSES)
        if status == UNKNOWN_REPLICA:
            raise UnknownReplica(reason)
        raise NoTunnel(reason)

    def _log_failure(self, peer: HostEntry, replica: Replica, error: Exception) -> None:
        self._state.metrics.tunnels.add(result="not_opened")
        self._state.journal.failure(
            "tunnel_not_opened", error, peer=peer.name, replica=replica.replica_id
        )


def _read_head(
    sock: socket.socket, parser: ResponseParser, deadline_s: float
) -> ResponseHead:
    """Return the head of the peer's response; raise ``OSError`` without one."""
    while True:
        event = parser.take()
        if isinstance(event, ResponseHead):
            return event
        sock.settimeout(max(0.001, deadline_s - time.monotonic()))
        data = sock.recv(READ_BYTES)
        if not data:
            raise ConnectionResetError("peer closed the connection")
        parser.feed(data)
