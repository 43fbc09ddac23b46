"""Worker process of the ``spreading`` bench, which runs some of the hosts.

Reads one JSON command per line from standard input and answers with one JSON line each.
"""

from gevent import monkey

monkey.patch_all()

import json
import random
import sys
import threading
import time
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Any

import gevent
from gevent import socket as gevent_socket
from loguru import logger

from persimmonyoke.internal.membership.dissemination import PeerHandlers
from persimmonyoke.internal.membership.messages import Load
from persimmonyoke.internal.membership.peers import PeerAddress
from persimmonyoke.internal.membership.topology import BoundedDegree, FullMesh
from persimmonyoke.internal.platform import EtcdGatewayStore, RateBudget, WatchEvent
from persimmonyoke_testing.builders_membership import PeerCluster, wait_until

TOPOLOGIES = {"full": FullMesh, "bounded": BoundedDegree}
WATCH_PREFIX = "/persimmonyoke/kente/"
REVISION_KEY = WATCH_PREFIX + "config/current"
LOAD_BYTES = 12
REPORT_INTERVAL_S = 1.0
SILENT_SHARE = 0.05
SETTLE_TIMEOUT_S = 25.0
REACH_TIMEOUT_S = 20.0


class Traffic:
    """Count the bytes sent and received on all sockets of the process."""

    def __init__(self) -> None:
        self.total_bytes = 0
        kind = gevent_socket.socket
        for name in ("send", "recv", "recv_into"):
            setattr(kind, name, self._counting(getattr(kind, name)))

    def _counting(self, call: Any) -> Any:
        def counted(sock: Any, *arguments: Any, **options: Any) -> Any:
            result = call(sock, *arguments, **options)
            self.total_bytes += result if isinstance(result, int) else len(result)
            return result

        return counted


class Hosts(ABC):
    """Hosts of this worker process, which disseminate revisions and load reports."""

    def __init__(self, names: list[str], *, seed: int) -> None:
        self.names = names
        self.rng = random.Random(f"{seed}/{names[0]}")
        self.loads_received = 0

    @abstractmethod
    def host_bytes(self) -> list[int]:
        """Return the bytes that each host has sent and received so far."""

    @abstractmethod
    def has_revision(self, number: int) -> bool:
        """Return whether each host of this process has the revision."""

    @abstractmethod
    def connect(self, members: dict[str, list[str]]) -> None:
        """Connect to the hosts of the other processes."""

    @abstractmethod
    def wait_settled(self) -> bool:
        """Wait until each host hears all others; return False on a timeout."""

    @abstractmethod
    def silence(self) -> None:
        """Make 5% of the links silently drop all outgoing messages."""

    @abstractmethod
    def report_loads(self, engines: list[str]) -> None:
        """Start sending a load report of each engine in each interval."""

    @abstractmethod
    def publish(self, number: int, size_bytes: int) -> None:
        """Publish a revision on the first host, if it belongs to this process."""

    @abstractmethod
    def close(self) -> None:
        """Stop the hosts."""


class MeshHosts(Hosts):
    """Hosts that are connected to each other as peers."""

    def __init__(self, names: list[str], *, topology: str, seed: int) -> None:
        super().__init__(names, seed=seed)
        self.cluster = PeerCluster(0, topology=TOPOLOGIES[topology], seed=seed)
        for name in names:
            self.cluster.add(name, handlers=PeerHandlers(load=self._note_load))
        self.services = list(self.cluster.services.values())
        self.members: dict[str, PeerAddress] = {}
        # Keeps closed links, so that their bytes still count towards their host.
        self.links: dict[int, tuple[str, Any]] = {}

    def _note_load(self, host: str, message: Load) -> None:
        self.loads_received += 1

    def host_bytes(self) -> list[int]:
        """Return the bytes that each host's links have sent and received."""
        totals = dict.fromkeys(self.names, 0)
        for service in self.services:
            for link in service.links():
                self.links[id(link)] = (service.identity.host, link)
        for name, link in self.links.values():
            totals[name] += link.sent_bytes + link.received_bytes
        return list(totals.values())

    def connect(self, members: dict[str, list[str]]) -> None:
        """Pass the addresses of all members to each host."""
        self.members = {n: PeerAddress(*address) for n, address in members.items()}
        for service in self.services:
            service.set_members(self.members)

    def wait_settled(self) -> bool:
        """Wait until each host of this process hears all members."""
        return wait_until(self._is_settled, timeout_s=SETTLE_TIMEOUT_S)

    def _is_settled(self) -> bool:
        now_s = time.monotonic()
        views = [service.view for service in self.services]
        return all(not v.is_silent(n, now_s) for v in views for n in self.members)

    def silence(self) -> None:
        """Make 5% of the links silently drop all outgoing messages."""
        links = [link for s in self.services for link in s.links()]
        for link in self.rng.sample(links, max(1, round(SILENT_SHARE * len(links)))):
            link.queue.offer = lambda message: True

    def report_loads(self, engines: list[str]) -> None:
        """Start sending reports on each host for its share of the engines."""
        for service in self.services:
            index = int(service.identity.host.rsplit("-", 1)[1])
            own = engines[index :: len(self.members)]
            gevent.spawn(self._report, service, own)

    def _report(self, service: Any, engines: list[str]) -> None:
        gevent.sleep(self.rng.uniform(0.0, REPORT_INTERVAL_S))
        while True:
            for engine in engines:
                service.broadcast(Load(engine, self.rng.randbytes(LOAD_BYTES)))
            gevent.sleep(REPORT_INTERVAL_S)

    def has_revision(self, number: int) -> bool:
        """Return whether each host of this process has the revision."""
        found = [s.dissemination.revision.number for s in self.services]
        return min(found) >= number

    def publish(self, number: int, size_bytes: int) -> None:
        """Publish a revision on the first host, if it belongs to this process."""
        if self.names[0].endswith("-00"):
            payload = self.rng.randbytes(size_bytes)
            self.services[0].publish_revision(number, payload)

    def close(self) -> None:
        """Stop the hosts."""
        gevent.joinall([gevent.spawn(s.stop) for s in self.services], timeout=2.0)


class WatchingHosts(Hosts):
    """Hosts that each watch the key-value service and have no peers."""

    def __init__(self, names: list[str], *, url: str, seed: int) -> None:
        super().__init__(names, seed=seed)
        self.revisions = dict.fromkeys(names, 0)
        self.traffic = Traffic()
        for name in names:
            gevent.spawn(self._watch, name, url)

    def _watch(self, name: str, url: str) -> None:
        store = EtcdGatewayStore(url, budget=RateBudget(calls_per_s=1_000.0))

        def note(event: Any) -> None:
            if not isinstance(event, WatchEvent) or event.key_value is None:
                return
            if event.key == REVISION_KEY:
                self.revisions[name] = int(event.key_value.value[:10])
            else:
                self.loads_received += 1

        store.watch(
            WATCH_PREFIX, from_revision=1, on_event=note, stop=threading.Event()
        )

    def host_bytes(self) -> list[int]:
        """Return the mean of the process for each host; all watch the same keys."""
        return [self.traffic.total_bytes // len(self.names)] * len(self.names)

    def has_revision(self, number: int) -> bool:
        """Return whether each host of this process has the revision."""
        return min(self.revisions.values()) >= number

    def connect(self, members: dict[str, list[str]]) -> None:
        """Do nothing; the hosts connect to the key-value service only."""

    def wait_settled(self) -> bool:
        """Return True at once; the hosts do not hear each other."""
        return True

    def silence(self) -> None:
        """Do nothing; there are no links between hosts."""

    def report_loads(self, engines: list[str]) -> None:
        """Do nothing; the parent process writes the reports."""

    def publish(self, number: int, size_bytes: int) -> None:
        """Do nothing; the parent process writes the revision."""

    def close(self) -> None:
        """Do nothing; the watches end with the process."""


def sample(hosts: Hosts, sample_s: float) -> dict[str, Any]:
    """Return the CPU, network and memory use of this process during a sample."""
    before = hosts.host_bytes()
    loads, processor_s = hosts.loads_received, time.process_time()
    started_s = time.monotonic()
    gevent.sleep(sample_s)
    elapsed_s = time.monotonic() - started_s
    after = hosts.host_bytes()
    return {
        "bytes_per_s": [
            (b - a) / elapsed_s for a, b in zip(before, after, strict=True)
        ],
        "core_share": (time.process_time() - processor_s) / elapsed_s,
        "pss_kb": pss_kb(),
        "loads_per_s": (hosts.loads_received - loads) / elapsed_s,
    }


def pss_kb() -> int:
    """Return the proportional set size of this process."""
    text = Path("/proc/self/smaps_rollup").read_text("utf-8")
    return next(int(row.split()[1]) for row in text.splitlines() if "Pss:" in row)


def spread(hosts: Hosts, command: dict[str, Any]) -> dict[str, Any]:
    """Publish a revision and wait until all hosts of this process have it."""
    number, size_bytes = command["number"], command["size_bytes"]
    if command.get("silent", True):
        hosts.silence()
    started_s = time.time()
    hosts.publish(number, size_bytes)
    timeout_s = REACH_TIMEOUT_S
    reached = wait_until(lambda: hosts.has_revision(number), timeout_s=timeout_s)
    return {"started_s": started_s, "ended_s": time.time(), "reached": reached}


def handle_command(hosts: Hosts, command: dict[str, Any]) -> Any:
    """Run one command of the parent process."""
    match command["do"]:
        case "connect":
            hosts.connect(command["members"])
        case "settle":
            return hosts.wait_settled()
        case "sample":
            return sample(hosts, command["seconds"])
        case "loads":
            hosts.report_loads(command["engines"])
        case "spread":
            return spread(hosts, command)
    return None


def main() -> None:
    """Run the hosts and answer commands until standard input is closed."""
    logger.remove()
    setup = json.loads(sys.argv[1])
    names, seed, topology = setup["names"], setup["seed"], setup["topology"]
    if topology == "watch":
        hosts: Hosts = WatchingHosts(names, url=setup["url"], seed=seed)
        first: Any = {}
    else:
        hosts = MeshHosts(names, topology=topology, seed=seed)
        addresses = hosts.cluster.addresses()
        first = {n: [a.address, a.availability_zone] for n, a in addresses.items()}
    print(json.dumps(first), flush=True)
    # A blocking read in the main thread would stall the hosts between commands.
    threadpool = gevent.get_hub().threadpool
    while line := threadpool.apply(sys.stdin.readline):
        print(json.dumps(handle_command(hosts, json.loads(line))), flush=True)
    hosts.close()


if __name__ == "__main__":
    main()
