"""Builders and test doubles for the tests of membership."""

import random
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent

from persimmonyoke.internal.membership.dissemination import PeerHandlers
from persimmonyoke.internal.membership.handshake import NodeIdentity
from persimmonyoke.internal.membership.hosts import HostView
from persimmonyoke.internal.membership.messages import HostBeat
from persimmonyoke.internal.membership.peers import (
    PeerAddress,
    PeerService,
    PeerSettings,
)
from persimmonyoke.internal.membership.topology import Topology

SHARED_KEY = b"a shared key of the test cluster"
ZONES = ("accra-a", "tema-b", "kasoa-c")


@dataclass(frozen=True)
class ListedHostStub:
    """Stub for an entry of the host list."""

    name: str
    state: str = "live"
    role: str = "entry"
    address: str = ""
    availability_zone: str = ZONES[0]


def listed_hosts(count: int) -> tuple[ListedHostStub, ...]:
    """Return live entry hosts distributed over the zones."""
    return tuple(
        ListedHostStub(
            f"host-{i}", address=f"10.0.0.{i}", availability_zone=ZONES[i % 3]
        )
        for i in range(count)
    )


def beat(host: str, *, sequence: int, incarnation: str = "i1", **extra) -> HostBeat:
    """Return a heartbeat of a host."""
    return HostBeat(host, incarnation, sequence, **extra)


def live_view(count: int, *, now_s: float = 0.0) -> HostView:
    """Return a view of listed hosts that all sent a beat at ``now_s``."""
    view = HostView()
    view.merge_host_list(listed_hosts(count), now_s)
    for entry in listed_hosts(count):
        view.note_heartbeat(beat(entry.name, sequence=1), now_s)
    return view


def wait_until(condition: Callable[[], bool], *, timeout_s: float = 5.0) -> bool:
    """Wait for a condition; return whether it became true in time."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline_s:
            return False
        gevent.sleep(0.005)
    return True


class PeerCluster:
    """Run several peer services on loopback."""

    def __init__(
        self,
        count: int,
        *,
        topology: Callable[[], Topology] | None = None,
        handlers: Mapping[str, PeerHandlers] | None = None,
        shared_keys: Mapping[str, bytes] | None = None,
        seed: int = 1,
    ) -> None:
        self.services: dict[str, PeerService] = {}
        self._topology = topology
        self._seed = seed
        for index in range(count):
            name = f"host-{index:02d}"
            key = (shared_keys or {}).get(name, SHARED_KEY)
            self.add(name, handlers=(handlers or {}).get(name), shared_key=key)

    def add(
        self,
        name: str,
        *,
        handlers: PeerHandlers | None = None,
        shared_key: bytes = SHARED_KEY,
        max_links: int = 256,
    ) -> PeerService:
        """Start a service; ``connect`` announces it to the others."""
        zone = ZONES[len(self.services) % len(ZONES)]
        identity = NodeIdentity(name, f"{name}-i1", zone, f"{name}:80")
        service = PeerService(
            PeerSettings(identity, shared_key, max_links=max_links),
            HostView(),
            handlers or PeerHandlers(),
            topology=self._topology() if self._topology else None,
            rng=random.Random(f"{self._seed}/{name}"),
        )
        self.services[name] = service
        service.start()
        return service

    def addresses(self) -> dict[str, PeerAddress]:
        """Return the members as the host list would report them."""
        return {
            name: PeerAddress(service.address, service.identity.availability_zone)
            for name, service in self.services.items()
        }

    def connect(self, *, through: Mapping[str, str] | None = None) -> None:
        """Pass the members to each service; ``through`` replaces addresses by host."""
        members = self.addresses()
        for name, address in (through or {}).items():
            members[name] = PeerAddress(address, members[name].availability_zone)
        for service in self.services.values():
            service.set_members(members)

    def linked(self) -> bool:
        """Return whether each pair of hosts has a link (full mesh only)."""
        expected = len(self.services) - 1
        return all(len(s.links()) == expected for s in self.services.values())

    def __enter__(self) -> "PeerCluster":
        return self

    def __exit__(self, *_: object) -> None:
        gevent.joinall([gevent.spawn(s.stop) for s in self.services.values()])


class StallingProxy:
    """Forward TCP connections; ``stall`` freezes open ones, while new ones work."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self._tasks = [gevent.spawn(self._accept)]
        self._sockets: list[socket.socket] = []

    def stall(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        gevent.killall(self._tasks[1:])
        del self._tasks[1:]

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            self.accepted += 1
            server = socket.create_connection(self._target)
            self._sockets += [client, server]
            self._tasks.append(gevent.spawn(self._forward, client, server))
            self._tasks.append(gevent.spawn(self._forward, server, client))

    @staticmethod
    def _forward(source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Stop forwarding and close all sockets."""
        gevent.killall(self._tasks)
        for sock in [self._listener, *self._sockets]:
            sock.close()
