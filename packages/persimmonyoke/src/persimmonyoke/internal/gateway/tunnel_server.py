"""Tunnels through which peers that are cut off reach replicas over this host's links.

A tunnel is a connection of this host to a replica, so that it ends here and is never
passed on to a further host. Only hosts that read this host's key in the store get one,
and only to replicas that this host knows.
"""

import hmac
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import gevent
from gevent import socket
from gevent.server import StreamServer

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.fleet.model import Replica, RequestKind
from persimmonyoke.internal.fleet.replica_links import LinkState
from persimmonyoke.internal.gateway import sockets
from persimmonyoke.internal.gateway.client_listener import MAX_ACCEPT
from persimmonyoke.internal.gateway.client_table import ClientTable, TableEntry
from persimmonyoke.internal.gateway.connections import (
    CONNECT_TIMEOUT_S,
    ConnectionRefused,
    NotConnected,
)
from persimmonyoke.internal.gateway.dialer import MIN_SILENCE_S, ReplicaDialer
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.transports import (
    LAST_CHUNK,
    READ_BYTES,
    Transport,
    encode_chunk,
)
from persimmonyoke.internal.gateway.tunnel_requests import (
    NO_TUNNEL,
    REPLICA_REFUSES,
    REPLICA_SILENT,
    UNAUTHORIZED,
    UNKNOWN_REPLICA,
    TunnelRequest,
    TunnelRequestParser,
)
from persimmonyoke.internal.gateway.yielding import yield_to_io

BACKLOG = 256
HEAD_TIMEOUT_S = 1.0
MAX_WAITING = 64
"""Connections on which the request for a tunnel has not arrived.

A host sends it at once, so only others have more of them open.
"""

MAX_TUNNELS = 256
"""Open tunnels of one host, each of which takes two descriptors and some 30 KB."""

MIN_BUSY_S = 2.0
"""Least time without a byte after which a tunnel counts as idle."""

END_PROBE_TIMEOUT_S = 0.2
"""Time for a connection that shows whether a replica ended with its answer."""

MAX_SILENCE_S = 300.0
"""Time after which a tunnel without a byte in one direction is closed."""

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class TunnelRefused(Exception):
    """Signal that no tunnel is opened."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class _WaitingPeer(TableEntry):
    """A connection on which the request for a tunnel has not arrived."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    @property
    def has_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""
        return sockets.has_input(self._sock)

    def shut_down(self) -> None:
        """End the connection, which wakes the greenlet that owns it."""
        sockets.shut_down(self._sock)


@dataclass
class _Tunnel:
    """Hold the two connections of a tunnel and what they carried."""

    request: TunnelRequest
    replica: Replica
    peer_sock: socket.socket
    transport: Transport
    parser: TunnelRequestParser
    opened_s: float
    on_answer: Callable[[], None]
    is_refused: Callable[[], bool]
    """Return whether the replica refuses a new connection."""

    last_byte_s: float = 0.0
    sent_s: float = 0.0
    bytes_to_replica: int = 0
    bytes_to_peer: int = 0
    end: str = ""
    ended_by_replica: bool = False


class TunnelServer:
    """Open connections to replicas for peers, and pass the bytes on."""

    def __init__(self, state: GatewayState, dialer: ReplicaDialer) -> None:
        self._state = state
        self._dialer = dialer
        self._server: StreamServer | None = None
        self._open: dict[int, _Tunnel] = {}
        self._waiting = ClientTable(MAX_WAITING)

    def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        self._server = StreamServer((host, port), self._serve, backlog=BACKLOG)
        self._server.max_accept = MAX_ACCEPT
        self._server.start()
        return self._server.server_port

    def stop(self) -> None:
        """Close the listener and break off all tunnels immediately."""
        if self._server is not None:
            self._server.stop(timeout=0)
        self.break_off()

    def break_off(self) -> None:
        """Close all tunnels without telling that the replicas closed them."""
        for tunnel in list(self._open.values()):
            tunnel.peer_sock.close()

    @property
    def bytes_to_peers(self) -> int:
        """Return the bytes of replicas that the open tunnels have passed on."""
        return sum(tunnel.bytes_to_peer for tunnel in self._open.values())

    def busy(self, now_s: float) -> bool:
        """Return whether a tunnel may carry an answer that is not complete."""
        busy_s = self._busy_s
        return any(now_s - t.last_byte_s < busy_s for t in self._open.values())

    @property
    def _busy_s(self) -> float:
        """Return the longest silence of an engine that the caller of a stream allows.

        What a tunnel carries is not read here, so a silent stream can't be told from
        an idle connection before.
        """
        configuration = self._state.configuration
        routes = configuration.routes if configuration else ()
        waits_s = [
            r.caller_timeout_s for r in routes if r.kind is RequestKind.STREAMING
        ]
        return max([MIN_BUSY_S, *waits_s])

    def _serve(self, sock: socket.socket, _address: object) -> None:
        sockets.enable_dead_peer_detection(sock, sockets.TUNNEL_USER_TIMEOUT_MS)
        try:
            self._open_and_run(sock)
        except (OSError, ProtocolError) as error:
            self._state.journal.failure("tunnel_failed", error)
        except Exception:
            self._state.journal.unexpected("tunnel_failed")
        finally:
            sock.close()

    def _open_and_run(self, sock: socket.socket) -> None:
        parser = TunnelRequestParser()
        request = self._await_request(sock, parser)
        if request is None:
            return
        begun_s = time.monotonic()
        try:
            replica = self._accept(request)
            transport = self._connect(replica)
            transport.set_user_timeout(sockets.TUNNEL_USER_TIMEOUT_MS)
        except TunnelRefused as refusal:
            self._refuse(sock, request, refusal)
            return
        tunnel = _Tunnel(
            request,
            replica,
            sock,
            transport,
            parser,
            begun_s,
            on_answer=partial(self._note_answer, replica),
            is_refused=partial(self._is_refused, replica),
        )
        tunnel.last_byte_s = time.monotonic()
        self._open[id(tunnel)] = tunnel
        try:
            sock.sendall(RESPONSE_HEAD)
            _run(tunnel)
        finally:
            del self._open[id(tunnel)]
            transport.close()
            self._note_end(tunnel)
            self._log(tunnel)

    def _await_request(
        self, sock: socket.socket, parser: TunnelRequestParser
    ) -> TunnelRequest | None:
        """Return the request of a peer, or ``None`` if its connection ends before."""
        peer = _WaitingPeer(sock)
        if not self._try_wait(peer):
            self._state.metrics.tunnels.add(result="refused")
            return None
        try:
            return _read_head(sock, parser)
        finally:
            self._waiting.discard(peer)

    def _try_wait(self, peer: _WaitingPeer) -> bool:
        """Let a connection wait for its request, in place of another if need be."""
        now_s = time.monotonic()
        if self._waiting.is_full:
            other = self._waiting.least_useful(now_s=now_s)
            if other is None:
                return False
            self._state.metrics.tunnels.add(result="refused")
            self._waiting.discard(other)
            other.shut_down()
        self._waiting.add(peer, now_s=now_s)
        return True

    def _accept(self, request: TunnelRequest) -> Replica:
        """Return the replica to connect to; raise ``TunnelRefused``."""
        state = self._state
        if not hmac.compare_digest(request.key.encode(), state.tunnel_key.encode()):
            raise TunnelRefused(UNAUTHORIZED, "the key is not that of this host")
        if state.draining:
            raise TunnelRefused(NO_TUNNEL, "host is stopping")
        if state.links.state is not LinkState.INTACT:
            raise TunnelRefused(NO_TUNNEL, "host is cut off as well")
        if state.links.unanswered:
            raise TunnelRefused(NO_TUNNEL, "no replica answers this host")
        if len(self._open) >= MAX_TUNNELS:
            raise TunnelRefused(NO_TUNNEL, "host has too many tunnels")
        for replica in state.replicas.all():
            if replica.address == request.address:
                return replica
        raise TunnelRefused(UNKNOWN_REPLICA, "no replica has this address")

    def _connect(self, replica: Replica) -> Transport:
        begun_s = time.monotonic()
        try:
            return self._dialer.connect_directly(replica, CONNECT_TIMEOUT_S)
        except NotConnected as error:
            refused = isinstance(error, ConnectionRefused)
            status = REPLICA_REFUSES if refused else REPLICA_SILENT
            if not self._dialer.links_work_since(begun_s, but=replica):
                # This host may have been cut off a moment ago.
                status = NO_TUNNEL
            raise TunnelRefused(status, str(error)) from error

    def _is_refused(self, replica: Replica) -> bool:
        """Return whether a replica that has closed a connection refuses a new one."""
        try:
            self._dialer.connect_directly(replica, END_PROBE_TIMEOUT_S).close()
        except NotConnected as error:
            return isinstance(error, ConnectionRefused)
        return False

    def _refuse(
        self, sock: socket.socket, request: TunnelRequest, refusal: TunnelRefused
    ) -> None:
        self._state.metrics.tunnels.add(result="refused")
        self._state.journal.event(
            "tunnel_refused",
            tunnel=request.tunnel_id,
            address=request.address,
            status=refusal.status,
            reason=str(refusal),
            links=self._state.links.state,
            open=len(self._open),
        )
        sock.sendall(
            b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % refusal.status
        )

    def _note_answer(self, replica: Replica) -> None:
        self._state.links.note_answer(replica, time.monotonic())

    def _note_end(self, tunnel: _Tunnel) -> None:
        """Record a call that ended without an answer on this host's link."""
        now_s = time.monotonic()
        if not tunnel.bytes_to_replica or tunnel.bytes_to_peer:
            return
        if tunnel.ended_by_replica or now_s - tunnel.sent_s >= MIN_SILENCE_S:
            self._state.links.note_unanswered(
                tunnel.replica, sent_s=tunnel.sent_s, now_s=now_s
            )

    def _log(self, tunnel: _Tunnel) -> None:
        self._state.metrics.tunnels.add(result="served")
        self._state.journal.event(
            "tunnel",
            tunnel=tunnel.request.tunnel_id,
            replica=tunnel.replica.replica_id,
            end=tunnel.end,
            ms=int((time.monotonic() - tunnel.opened_s) * 1_000),
            bytes_to_replica=tunnel.bytes_to_replica,
            bytes_to_peer=tunnel.bytes_to_peer,
            open=len(self._open),
        )


def _read_head(
    sock: socket.socket, parser: TunnelRequestParser
) -> TunnelRequest | None:
    """Return the request of a peer, or ``None`` if it closes the connection."""
    deadline_s = time.monotonic() + HEAD_TIMEOUT_S
    while parser.request is None:
        sock.settimeout(max(0.001, deadline_s - time.monotonic()))
        data = sock.recv(READ_BYTES)
        if not data:
            return None
        parser.feed(data)
    return parser.request


def _run(tunnel: _Tunnel) -> None:
    """Pass bytes on in both directions until one side ends."""
    tunnel.peer_sock.settimeout(None)
    tasks = [
        gevent.spawn(_pass_to_replica, tunnel),
        gevent.spawn(_pass_to_peer, tunnel),
    ]
    try:
        gevent.joinall(tasks, count=1)
    finally:
        gevent.killall(tasks)


def _pass_to_replica(tunnel: _Tunnel) -> None:
    try:
        while True:
            data = tunnel.parser.take_body()
            if data:
                tunnel.bytes_to_replica += len(data)
                tunnel.last_byte_s = tunnel.sent_s = time.monotonic()
                tunnel.transport.send(data, timeout_s=MAX_SILENCE_S)
            received = tunnel.peer_sock.recv(READ_BYTES)
            if not received:
                tunnel.end = tunnel.end or "peer closed"
                return
            tunnel.parser.feed(received)
    except (OSError, ProtocolError) as error:
        tunnel.end = tunnel.end or f"to replica: {error}"
        # Bytes that the kernel still holds must not reach the replica later.
        tunnel.transport.close(discard=True)


def _pass_to_peer(tunnel: _Tunnel) -> None:
    try:
        while True:
            data = tunnel.transport.receive(timeout_s=MAX_SILENCE_S)
            tunnel.last_byte_s = time.monotonic()
            if not data:
                _end_for_peer(tunnel)
                return
            tunnel.bytes_to_peer += len(data)
            tunnel.on_answer()
            tunnel.peer_sock.sendall(encode_chunk(data))
            # Neither call waits while the replica sends and the peer reads.
            yield_to_io()
    except OSError as error:
        # Without the last chunk the peer knows that the answer is not complete.
        tunnel.ended_by_replica = not tunnel.end
        tunnel.end = tunnel.end or f"to peer: {error}"


def _end_for_peer(tunnel: _Tunnel) -> None:
    """Tell the peer that the replica closed, unless that may be the end of its process.

    The peer can't tell a killed replica from one that ended its answer, and may reach
    no other host that tells. Without the last chunk it takes the answer for broken off.
    """
    if tunnel.end:
        return
    tunnel.ended_by_replica = True
    if tunnel.is_refused():
        tunnel.end = "replica ended"
        return
    tunnel.end = "replica closed"
    tunnel.peer_sock.sendall(LAST_CHUNK)
