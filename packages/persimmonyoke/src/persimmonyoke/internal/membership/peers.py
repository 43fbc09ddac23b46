"""Peer service: listener, one task for each peer, and requests between hosts."""

import random
import secrets
import socket
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import gevent
from gevent.event import AsyncResult, Event
from gevent.pool import Pool
from loguru import logger
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import serve

from persimmonyoke.errors import PersimmonyokeError, ProtocolError
from persimmonyoke.internal.membership.dissemination import Dissemination, PeerHandlers
from persimmonyoke.internal.membership.handshake import Authenticator, NodeIdentity
from persimmonyoke.internal.membership.hosts import HostView
from persimmonyoke.internal.membership.link import (
    CONNECTION_OPTIONS,
    Link,
    abort_connection,
    accept_peer,
    connect_to_peer,
)
from persimmonyoke.internal.membership.messages import Claim, ClaimReply, Message
from persimmonyoke.internal.membership.topology import SizeBasedTopology, Topology

HEARTBEAT_INTERVAL_S = 1.0
DIGEST_INTERVAL_S = 2.0
# Load reports are collected for this long, so that one message carries those of many
# engines.
FLUSH_INTERVAL_S = 0.5
# Two hosts that connect to each other at the same time would open two links, so the
# host with the greater name first waits this long for a connection from the other.
CONNECT_DELAY_S = 1.0
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 2.0
# The backoff is reset after the loss of a link that lasted at least this long.
STABLE_LINK_S = 1.0
DEFAULT_MAX_LINKS = 256
MAX_LINKS_PER_PEER = 2
MAX_CLAIMS_IN_PROGRESS = 1_024
# A link to a host outside the topology, opened for a request, is kept up for this long
# after its last use.
ON_DEMAND_IDLE_TIMEOUT_S = 30.0
# Interval at which the task of each peer checks whether its link is up.
LINK_CHECK_INTERVAL_S = 0.25
REQUEST_POLL_INTERVAL_S = 0.01


class PeerUnanswered(PersimmonyokeError):
    """Report that a request got no answer.

    If ``sent`` is true, the peer may have executed it or may still do so.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True)
class PeerAddress:
    """Hold the address on which a member listens (``ip:port``), and its zone."""

    address: str
    availability_zone: str = ""


@dataclass(frozen=True)
class PeerSettings:
    """Hold the identity of this host and the limits of its links.

    ``listen_port`` 0 picks a free port.
    """

    identity: NodeIdentity
    shared_key: bytes = field(repr=False)
    listen_host: str = "127.0.0.1"
    listen_port: int = 0
    max_links: int = DEFAULT_MAX_LINKS

    def __post_init__(self) -> None:
        if self.max_links < 1:
            raise ValueError(f"max_links must be at least 1, is {self.max_links}")


class PeerService:
    """Maintain links to peers; spread revisions, loads, suspects and leaving marks."""

    def __init__(
        self,
        settings: PeerSettings,
        view: HostView,
        handlers: PeerHandlers,
        *,
        topology: Topology | None = None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.view = view
        self._listener = self._listen(settings)
        port = self._listener.getsockname()[1]
        self.address = f"{settings.listen_host}:{port}"
        identity = settings.identity
        if not identity.peers_address:
            identity = replace(identity, peers_address=self.address)
        self.identity = identity
        self._authenticator = Authenticator(identity, shared_key=settings.shared_key)
        self._topology = topology or SizeBasedTopology()
        self._clock = clock
        self._rng = rng or random.Random()
        self._links: dict[str, list[Link]] = {}
        self._members: dict[str, PeerAddress] = {}
        self._topology_peers: frozenset[str] = frozenset()
        self._on_demand: dict[str, float] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}
        self._pending_requests: dict[bytes, tuple[Link, AsyncResult]] = {}
        self._claim_tasks = Pool(MAX_CLAIMS_IN_PROGRESS)
        self._claim_handler = handlers.claim
        self._stopped = Event()
        self._open_sockets = 0
        self._background: list[gevent.Greenlet] = []
        self.dissemination = Dissemination(
            identity,
            view,
            handlers,
            links=self.links,
            relays=lambda: self._topology.relays(len(self._members) + 1),
            clock=clock,
        )

    @staticmethod
    def _listen(settings: PeerSettings) -> socket.socket:
        address = (settings.listen_host, settings.listen_port)
        return socket.create_server(address, backlog=128)

    def start(self) -> None:
        """Start to accept links and to send periodic messages."""
        self._server = serve(
            self._serve_peer, sock=self._listener, **CONNECTION_OPTIONS
        )
        self._accept_connection = self._server.handler
        self._server.handler = self._limit_connections
        self._background = [
            gevent.spawn(self._server.serve_forever),
            gevent.spawn(self._beat_periodically),
            gevent.spawn(self._digest_periodically),
            gevent.spawn(self._flush_periodically),
        ]

    def stop(self) -> None:
        """Close the listener and every link."""
        self._stopped.set()
        # websockets closes links one by one, each with a closing handshake. A stalled
        # peer would delay the shutdown, so the links are aborted first.
        for link in self.links():
            link.abort()
        gevent.killall([*self._tasks.values(), *self._background[1:]])
        self._claim_tasks.kill()
        if self._background:
            self._server.shutdown()
            gevent.joinall(self._background, timeout=1.0)
        else:
            self._listener.close()

    def set_members(self, members: Mapping[str, PeerAddress]) -> None:
        """Set the hosts to choose peers from; this host itself is ignored."""
        own = self.identity.host
        others = {n: address for n, address in members.items() if n != own}
        if others != self._members:
            self._members = others
            self._topology_peers = self._choose_peers()
        for name in self._wanted_peers():
            self._ensure_task(name)

    def _choose_peers(self) -> frozenset[str]:
        # The topology hashes and sorts all members, so its result is kept. The task of
        # each peer reads it many times; computing it each time took most of the CPU
        # time at 60 hosts.
        zones = {n: address.availability_zone for n, address in self._members.items()}
        zones[self.identity.host] = self.identity.availability_zone
        return self._topology.peers(self.identity.host, zones)

    def links(self) -> tuple[Link, ...]:
        """Return the newest link of each connected peer."""
        return tuple(links[-1] for links in self._links.values() if links)

    def connected_peers(self) -> frozenset[str]:
        """Return the names of the peers that have a link."""
        return frozenset(name for name, links in self._links.items() if links)

    # Sending

    def broadcast(self, message: Message) -> None:
        """Broadcast a message of this host to all hosts."""
        self.dissemination.broadcast(message)

    def publish_revision(self, number: int, payload: bytes) -> bool:
        """Broadcast a revision from outside the links; return whether it is new."""
        return self.dissemination.publish_revision(number, payload)

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for one linked peer; return whether it was queued."""
        links = self._links.get(host)
        return bool(links) and links[-1].queue.offer(message)

    def request(self, host: str, payload: bytes, *, timeout_s: float) -> bytes:
        """Send a claim payload to a peer and return the payload of its reply.

        Connects first if the topology has no link to the host. Raises
        ``PeerUnanswered``.
        """
        deadline_s = self._clock() + timeout_s
        link = self._link_for_request(host, deadline_s)
        correlation_id = secrets.token_bytes(8)
        result: AsyncResult = AsyncResult()
        self._pending_requests[correlation_id] = (link, result)
        try:
            if not link.queue.offer(Claim(correlation_id, payload)):
                raise PeerUnanswered(f"send queue to {host} is full", sent=False)
            return result.get(timeout=max(0.0, deadline_s - self._clock()))
        except gevent.Timeout:
            message = f"{host} did not answer within {timeout_s:g} s"
            raise PeerUnanswered(message, sent=True) from None
        finally:
            del self._pending_requests[correlation_id]

    def _link_for_request(self, host: str, deadline_s: float) -> Link:
        self._on_demand[host] = self._clock()
        if host in self._members:
            self._ensure_task(host)
        while not self._links.get(host):
            if host not in self._members or self._clock() >= deadline_s:
                raise PeerUnanswered(f"no link to {host}", sent=False)
            gevent.sleep(REQUEST_POLL_INTERVAL_S)
        return self._links[host][-1]

    # One task for each peer

    def _wanted_peers(self) -> frozenset[str]:
        now_s = self._clock()
        recent = {
            name
            for name, used_s in self._on_demand.items()
            if name in self._members and now_s - used_s < ON_DEMAND_IDLE_TIMEOUT_S
        }
        return self._topology_peers | recent

    def _ensure_task(self, name: str) -> None:
        task = self._tasks.get(name)
        if task is None or task.dead:
            self._tasks[name] = gevent.spawn(self._maintain_link, name)

    def _maintain_link(self, name: str) -> None:
        if name < self.identity.host and name not in self._on_demand:
            gevent.sleep(CONNECT_DELAY_S)
        failures = 0
        while not self._stopped.is_set() and name in self._wanted_peers():
            if self._links.get(name):
                gevent.sleep(LINK_CHECK_INTERVAL_S)
                continue
            started_s = self._clock()
            self._connect_once(name)
            if self._clock() - started_s >= STABLE_LINK_S:
                failures = 0
            gevent.sleep(self._backoff_s(failures))
            failures += 1

    def _backoff_s(self, failures: int) -> float:
        longest_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(0.0, longest_s)

    def _connect_once(self, name: str) -> None:
        address = self._members[name].address
        try:
            websocket = connect(
                f"ws://{address}/", legacy=True, proxy=None, **CONNECTION_OPTIONS
            )
        except (OSError, WebSocketException, EOFError) as error:
            logger.debug("[peers] connection to {} failed: {}", name, error)
            return
        try:
            peer = connect_to_peer(websocket, self._authenticator, expected_host=name)
            self._run_link(Link(websocket, peer))
        except (ProtocolError, OSError, WebSocketException) as error:
            logger.warning("[peers] handshake with {} failed: {}", name, error)
        finally:
            abort_connection(websocket)
            websocket.close()

    # Listener

    def _limit_connections(self, sock: socket.socket, address: Any) -> None:
        if self._open_sockets >= self.settings.max_links or self._stopped.is_set():
            logger.warning(
                "[peers] connection refused: {} connections open", self._open_sockets
            )
            sock.close()
            # The server's shutdown waits for the threads in this set.
            self._server.handler_threads.discard(threading.current_thread())
            return
        self._open_sockets += 1
        try:
            self._accept_connection(sock, address)
        finally:
            self._open_sockets -= 1

    def _serve_peer(self, websocket: Any) -> None:
        try:
            peer = accept_peer(websocket, self._authenticator)
        except (ProtocolError, OSError, WebSocketException) as error:
            logger.warning("[peers] incoming handshake failed: {}", error)
            abort_connection(websocket)
            return
        self._run_link(Link(websocket, peer))

    # Links

    def _run_link(self, link: Link) -> None:
        name = link.peer.host
        links = self._links.setdefault(name, [])
        links.append(link)
        for surplus in links[:-MAX_LINKS_PER_PEER]:
            surplus.abort()
        logger.debug("[peers] link to {} is up", name)
        self.dissemination.sync_link(link)
        try:
            reason = link.run(self._receive)
        finally:
            links.remove(link)
            self.dissemination.drop_link(link)
            self._fail_requests(link)
        logger.info("[peers] link to {} ended: {}", name, reason)

    def _fail_requests(self, link: Link) -> None:
        for used, result in list(self._pending_requests.values()):
            if used is link:
                result.set_exception(
                    PeerUnanswered(f"link to {link.peer.host} ended", sent=True)
                )

    def _receive(self, link: Link, message: Message) -> None:
        match message:
            case Claim():
                if not self._claim_tasks.full():
                    self._claim_tasks.spawn(self._answer_claim, link, message)
            case ClaimReply():
                waiting = self._pending_requests.get(message.correlation_id)
                # A reply is accepted only on the link that carried its request.
                if waiting is not None and waiting[0] is link:
                    waiting[1].set(message.payload)
            case _:
                self.dissemination.receive(link, message)

    def _answer_claim(self, link: Link, claim: Claim) -> None:
        try:
            payload = self._claim_handler(link.peer.host, claim.payload)
        except Exception:
            # A requester that gets no answer determines the outcome by itself.
            logger.exception("[peers] claim handler failed")
            return
        if payload is not None:
            link.queue.offer(ClaimReply(claim.correlation_id, payload))

    # Periodic work

    def _beat_periodically(self) -> None:
        while not self._stopped.is_set():
            self.dissemination.send_heartbeats()
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _digest_periodically(self) -> None:
        while not self._stopped.is_set():
            # Jitter prevents hosts that started together from sending together.
            gevent.sleep(DIGEST_INTERVAL_S * self._rng.uniform(0.75, 1.25))
            self.dissemination.send_digests()

    def _flush_periodically(self) -> None:
        while not self._stopped.is_set():
            gevent.sleep(FLUSH_INTERVAL_S)
            self.dissemination.flush()
