"""Measure topologies of the peer service on loopback.

Usage: ``python -m persimmonyoke_testing.measure_mesh [hosts ...]``. Each run spreads
the hosts over several processes, since a full mesh of 60 hosts needs more than one
core. It makes 5% of the links silent and measures how long a revision takes to reach
all hosts, and what a host sends and computes.
"""

from gevent import monkey

monkey.patch_all()

import json
import random
import statistics
import subprocess
import sys
import time
from typing import Any

import gevent
from loguru import logger

from persimmonyoke.internal.membership.peers import PeerAddress
from persimmonyoke.internal.membership.topology import BoundedDegree, FullMesh
from persimmonyoke_testing.builders_membership import PeerCluster, wait_until

DEFAULT_HOSTS = (7, 30, 60)
TOPOLOGIES = {"full": FullMesh, "bounded": BoundedDegree}
PROCESSES = 6
SILENT_SHARE = 0.05
SAMPLE_S = 5.0
REVISIONS = 3
REVISION_BYTES = 20_000
SEED = 5


def say(value: Any) -> None:
    """Send a value to the parent process."""
    print(json.dumps(value), flush=True)


def is_settled(cluster: PeerCluster, members: dict[str, PeerAddress]) -> bool:
    """Return whether each host of this process hears each member."""
    now_s = time.monotonic()
    views = [service.view for service in cluster.services.values()]
    return all(not view.is_silent(name, now_s) for view in views for name in members)


def rates(cluster: PeerCluster) -> list[float]:
    """Return bytes a second and the share of a core of one host, over a sample."""
    links = [link for s in cluster.services.values() for link in s.links()]
    sent_bytes = sum(link.sent_bytes for link in links)
    processor_s = time.process_time()
    gevent.sleep(SAMPLE_S)
    sent_bytes = sum(link.sent_bytes for link in links) - sent_bytes
    processor_s = time.process_time() - processor_s
    count = len(cluster.services) * SAMPLE_S
    return [sent_bytes / count, processor_s / count, len(links) / len(cluster.services)]


def silence(cluster: PeerCluster, rng: random.Random) -> None:
    """Let 5% of the links drop all that they are given."""
    links = [link for s in cluster.services.values() for link in s.links()]
    for link in rng.sample(links, max(1, round(SILENT_SHARE * len(links)))):
        link.queue.offer = lambda message: True


def has_revision(cluster: PeerCluster, number: int) -> bool:
    """Return whether each host of this process has the revision."""
    services = cluster.services.values()
    return all(s.dissemination.revision.number >= number for s in services)


def work(topology: str, names: list[str]) -> None:
    """Run some of the hosts and answer the parent process."""
    cluster = PeerCluster(0, topology=TOPOLOGIES[topology], seed=SEED)
    for name in names:
        cluster.add(name)
    say({n: [a.address, a.availability_zone] for n, a in cluster.addresses().items()})
    received = json.loads(sys.stdin.readline())
    members = {name: PeerAddress(*address) for name, address in received.items()}
    for service in cluster.services.values():
        service.set_members(members)
    settled = wait_until(lambda: is_settled(cluster, members), timeout_s=25.0)
    say([settled, *rates(cluster)])
    rng = random.Random(f"{SEED}/{names[0]}")
    for number in range(1, REVISIONS + 1):
        sys.stdin.readline()
        silence(cluster, rng)
        started_s = time.time()
        source = cluster.services.get("host-00")
        if source is not None:
            source.publish_revision(number, rng.randbytes(REVISION_BYTES))
        reached = wait_until(lambda n=number: has_revision(cluster, n), timeout_s=20.0)
        say([started_s, time.time(), reached])
        wait_until(lambda: is_settled(cluster, members), timeout_s=8.0)


def measure(count: int, topology: str) -> str:
    """Return a line of figures for one topology and number of hosts."""
    names = [f"host-{index:02d}" for index in range(count)]
    shares = [names[i::PROCESSES] for i in range(PROCESSES) if names[i::PROCESSES]]
    command = [sys.executable, "-m", "persimmonyoke_testing.measure_mesh"]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
    workers = [
        subprocess.Popen([*command, "--work", topology, *share], **pipes)
        for share in shares
    ]

    def answers() -> list[Any]:
        return [json.loads(worker.stdout.readline()) for worker in workers]

    def tell(value: Any) -> None:
        for worker in workers:
            worker.stdin.write(json.dumps(value) + "\n")
            worker.stdin.flush()

    members: dict[str, Any] = {}
    for addresses in answers():
        members.update(addresses)
    tell(members)
    quiet = answers()
    spread_s = []
    for _ in range(REVISIONS):
        tell("publish")
        results = answers()
        reached = all(result[2] for result in results)
        last_s = max(result[1] for result in results) - results[0][0]
        spread_s.append(last_s if reached else float("inf"))
    for worker in workers:
        worker.wait()
    sent, processor, links = (statistics.mean(r[i] for r in quiet) for i in (1, 2, 3))
    return (
        f"{count:3d} hosts {topology:7s} settled={all(r[0] for r in quiet)} "
        f"links/host={links:.1f} sent={sent / 1000:.2f} KB/s "
        f"processor={100 * processor:.2f}% of a core; revision to all hosts with 5% "
        f"of links silent: median {statistics.median(spread_s):.3f} s, "
        f"worst {max(spread_s):.3f} s"
    )


def main() -> None:
    """Print a line for each number of hosts and topology."""
    logger.remove()
    arguments = sys.argv[1:]
    if arguments[:1] == ["--work"]:
        work(arguments[1], arguments[2:])
        return
    print(f"seed {SEED}")
    for count in [int(argument) for argument in arguments] or DEFAULT_HOSTS:
        for topology in TOPOLOGIES:
            print(measure(count, topology), flush=True)


if __name__ == "__main__":
    main()
