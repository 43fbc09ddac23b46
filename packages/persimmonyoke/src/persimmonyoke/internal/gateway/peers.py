"""Datagrams between entry hosts: readiness, work at replicas, read prompt parts.

Each datagram replaces the one before it, so a lost one needs no repeat; that is why
datagrams are used here and not a connection.
"""

import time
from dataclasses import dataclass

import cbor2
import gevent
from gevent import socket

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.dispatch.loads import ReplicaWork
from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.gateway.state import GatewayState, PartPlacement

FORMAT = 1
CHANGED_INTERVAL_S = 0.05
"""Interval while work changes: half of the time that an average prompt takes."""

QUIET_INTERVAL_S = 0.25
MAX_DATAGRAMS_PER_S = 150
"""Bound for one host: with many peers each of them is told less often."""

MAX_DATAGRAM_BYTES = 1_400
"""Datagrams below the usual MTU are not fragmented."""

MAX_PLACEMENTS = 24
MAX_REPLICAS = 24
MAX_REFUSED = 16


@dataclass(frozen=True)
class PeerMessage:
    """Hold what a host tells its peers."""

    host: str
    ready: bool
    config_version: int
    work: dict[str, ReplicaWork]
    placements: tuple[PartPlacement, ...]
    queued_ms: int = 0
    suspects: tuple[str, ...] = ()
    refused: tuple[int, ...] = ()


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as one datagram."""
    work = {
        replica_id: [int(item.read_s * 1_000), item.running, item.tokens]
        for replica_id, item in message.work.items()
    }
    placements = [
        [item.part_id, item.replica_id, item.ready_in_ms] for item in message.placements
    ]
    return cbor2.dumps(
        [
            FORMAT,
            message.host,
            message.ready,
            message.config_version,
            work,
            placements,
            message.queued_ms,
            list(message.suspects),
            list(message.refused),
        ]
    )


def decode_message(raw: bytes) -> PeerMessage:
    """Return the message of a datagram; raise ``ProtocolError``."""
    try:
        version, host, ready, config_version, *rest = cbor2.loads(raw)
        work, placements, queued_ms, suspects, refused = rest
        if version != FORMAT:
            raise ProtocolError(f"format {version!r} is not known")
        return PeerMessage(
            host=str(host),
            ready=ready is True,
            config_version=int(config_version),
            work={
                str(replica_id): ReplicaWork(ms / 1_000, int(running), int(tokens))
                for replica_id, (ms, running, tokens) in work.items()
            },
            placements=tuple(
                PartPlacement(str(part), str(engine), int(ready_in_ms))
                for part, engine, ready_in_ms in placements
            ),
            queued_ms=int(queued_ms),
            suspects=tuple(str(replica_id) for replica_id in suspects),
            refused=tuple(int(key) for key in refused),
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
        raise ProtocolError(f"malformed datagram: {error}") from error


def send_interval_s(peer_count: int) -> float:
    """Return the time between two rounds of datagrams."""
    return max(CHANGED_INTERVAL_S, peer_count / MAX_DATAGRAMS_PER_S)


class PeerLink:
    """Send this host's state to all peers and apply theirs."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._socket: socket.socket | None = None
        self._last_sent: PeerMessage | None = None
        self._last_sent_s = 0.0
        self._tasks: list[gevent.Greenlet] = []
        self.malformed = 0

    def start(self, host: str, port: int) -> int:
        """Open the socket, start both tasks and return the port."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._tasks = [
            gevent.spawn(self._receive_loop),
            gevent.spawn(self._send_loop),
        ]
        return self._socket.getsockname()[1]

    def stop(self) -> None:
        """End both tasks and close the socket."""
        gevent.killall(self._tasks)
        if self._socket is not None:
            self._socket.close()

    def send_now(self) -> None:
        """Tell all peers the present state."""
        self._send(self._message(), time.monotonic())

    def _send_loop(self) -> None:
        while True:
            interval_s = send_interval_s(len(self._state.hosts.peers()))
            self._state.hosts.set_datagram_interval(interval_s)
            gevent.sleep(interval_s)
            now_s = time.monotonic()
            message = self._message()
            quiet = message == self._last_sent
            if quiet and now_s - self._last_sent_s < QUIET_INTERVAL_S:
                continue
            self._send(message, now_s)

    def _message(self) -> PeerMessage:
        state = self._state
        work = state.ledger.own(now_s=time.monotonic())
        if len(work) > MAX_REPLICAS:
            busiest = sorted(work, key=lambda r: work[r].read_s, reverse=True)
            work = {
                replica_id: work[replica_id] for replica_id in busiest[:MAX_REPLICAS]
            }
        return PeerMessage(
            host=state.settings.host_name,
            ready=state.ready,
            config_version=state.version,
            work=work,
            placements=tuple(state.new_placements[:MAX_PLACEMENTS]),
            queued_ms=int(state.queued_s() * 1_000),
            suspects=tuple(state.health.all_paused(time.monotonic())[:MAX_REPLICAS]),
            refused=state.returns.take_untold(MAX_REFUSED),
        )

    def _send(self, message: PeerMessage, now_s: float) -> None:
        assert self._socket is not None
        del self._state.new_placements[: len(message.placements)]
        data = encode_message(message)
        for peer in self._state.hosts.peers():
            try:
                self._socket.sendto(data, (peer.peer_host, peer.peer_port))
            except OSError as error:
                # The next datagram replaces this one; the peer's silence is noticed.
                self._state.journal.failure("datagram_not_sent", error, peer=peer.name)
        self._last_sent = message
        self._last_sent_s = now_s

    def _receive_loop(self) -> None:
        assert self._socket is not None
        while True:
            raw, _ = self._socket.recvfrom(65_536)
            try:
                message = decode_message(raw)
            except ProtocolError as error:
                self.malformed += 1
                if self.malformed == 1:
                    self._state.journal.failure("datagram_ignored", error)
                continue
            self._apply(message, time.monotonic())

    def _apply(self, message: PeerMessage, now_s: float) -> None:
        state = self._state
        if message.host == state.settings.host_name:
            return
        peer = PeerState(now_s, message.ready, message.config_version)
        state.hosts.note_peer(message.host, peer)
        state.ledger.note_peer(
            message.host,
            message.work,
            queued_s=message.queued_ms / 1_000,
            now_s=now_s,
        )
        state.health.note_suspected(message.suspects, now_s)
        state.returns.note_peer(message.refused, now_s=now_s)
        for item in message.placements:
            state.prefixes.note_part(
                item.replica_id,
                item.part_id,
                now_s=now_s,
                ready_in_s=item.ready_in_ms / 1_000,
            )
        state.on_peer_work()
        if message.config_version > state.version:
            state.on_newer_version(message.config_version)
