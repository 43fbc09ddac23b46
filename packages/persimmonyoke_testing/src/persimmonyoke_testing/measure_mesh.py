"""Measure topologies of the peer service on loopback.

Usage: ``python -m persimmonyoke_testing.measure_mesh [hosts ...]``. Each run starts all
peer services in this process, makes 5% of the links silent and measures how long a
revision takes to reach all hosts, and the bytes that a host sends.
"""

from gevent import monkey

monkey.patch_all()

import random
import statistics
import sys
import time
from collections.abc import Callable

import gevent
from loguru import logger

from persimmonyoke.internal.membership.link import Link
from persimmonyoke.internal.membership.topology import (
    BoundedDegree,
    FullMesh,
    Topology,
)
from persimmonyoke_testing.builders_membership import PeerCluster, wait_until

DEFAULT_HOSTS = (7, 30, 60)
SILENT_SHARE = 0.05
SAMPLE_S = 5.0
REVISIONS = 5
REVISION_BYTES = 20_000
SEED = 5


def all_links(cluster: PeerCluster) -> list[Link]:
    """Return the links of all hosts."""
    return [link for s in cluster.services.values() for link in s.links()]


def is_settled(cluster: PeerCluster) -> bool:
    """Return whether each host hears each other one."""
    now_s = time.monotonic()
    return all(
        not service.view.is_silent(name, now_s)
        for service in cluster.services.values()
        for name in cluster.services
    )


def sent_bytes_per_host(cluster: PeerCluster) -> float:
    """Return the mean rate of one host over a quiet sample, in bytes a second."""
    before = sum(link.sent_bytes for link in all_links(cluster))
    gevent.sleep(SAMPLE_S)
    after = sum(link.sent_bytes for link in all_links(cluster))
    return (after - before) / SAMPLE_S / len(cluster.services)


def silence(cluster: PeerCluster, rng: random.Random) -> None:
    """Let 5% of the links drop all that they are given."""
    links = all_links(cluster)
    for link in rng.sample(links, max(1, round(SILENT_SHARE * len(links)))):
        link.queue.offer = lambda message: True


def spread_time_s(cluster: PeerCluster, number: int, rng: random.Random) -> float:
    """Return how long a revision takes from one host to all others."""
    source = rng.choice(list(cluster.services.values()))
    started_s = time.monotonic()
    source.publish_revision(number, rng.randbytes(REVISION_BYTES))

    def is_everywhere() -> bool:
        return all(
            service.dissemination.revision.number == number
            for service in cluster.services.values()
        )

    wait_until(is_everywhere, timeout_s=30.0)
    return time.monotonic() - started_s


def measure(count: int, topology: Callable[[], Topology]) -> str:
    """Return a line of figures for one topology and number of hosts."""
    rng = random.Random(SEED)
    with PeerCluster(count, topology=topology, seed=SEED) as cluster:
        cluster.connect()
        settled = wait_until(lambda: is_settled(cluster), timeout_s=60.0)
        degree = statistics.mean(len(s.links()) for s in cluster.services.values())
        quiet = sent_bytes_per_host(cluster)
        processor_s = time.process_time()
        gevent.sleep(SAMPLE_S)
        share = (time.process_time() - processor_s) / SAMPLE_S / count
        times_s = []
        for number in range(1, REVISIONS + 1):
            silence(cluster, rng)
            times_s.append(spread_time_s(cluster, number, rng))
            wait_until(lambda: is_settled(cluster), timeout_s=30.0)
    return (
        f"{count:3d} hosts {topology.__name__:14s} settled={settled} "
        f"links/host={degree:.1f} sent={quiet / 1000:.2f} KB/s "
        f"processor={100 * share:.2f}% of a core; revision to all hosts with 5% of "
        f"links silent: median {statistics.median(times_s):.2f} s, "
        f"worst {max(times_s):.2f} s"
    )


def main() -> None:
    """Print a line for each number of hosts and topology."""
    logger.remove()
    counts = [int(argument) for argument in sys.argv[1:]] or DEFAULT_HOSTS
    print(f"seed {SEED}")
    for count in counts:
        for topology in (FullMesh, BoundedDegree):
            print(measure(count, topology), flush=True)


if __name__ == "__main__":
    main()
