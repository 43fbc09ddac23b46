"""Scaling of peer messages with hosts, load reports and the size of a revision."""

from collections.abc import Iterable
from typing import Any

import gevent

from persimmonyoke_cli.bench.fit import Series
from persimmonyoke_cli.bench.spreading import Workers

HOST_SIZES = (12, 24, 36, 48)
HOSTS = (53, 320)
REPORT_HOSTS = 24
REPORT_SIZES = (46, 92, 183, 366)
REPORTS = (183, 1_100)
REVISION_SIZES = (10_000, 50_000, 200_000, 800_000)
REVISION_BYTES = (1_000_000,)
SETTLE_S = 6.0
SAMPLE_S = 4.0


class Mesh:
    """A mesh of bounded degree, run in one worker process."""

    def __init__(self, hosts: int, seed: int) -> None:
        names = [f"host-{index:02d}" for index in range(hosts)]
        setup = {"topology": "bounded", "seed": seed, "names": names}
        self.hosts = hosts
        self.workers = Workers([setup])
        self.workers.ask("connect", members=self.workers.initial_answers[0])
        if not self.workers.ask("settle")[0]:
            raise RuntimeError(
                f"not all of {hosts} mesh hosts heard each other in time"
            )

    def sample(self) -> dict[str, float]:
        """Return CPU use per host, traffic of the busiest host and memory."""
        found = self.workers.ask("sample", seconds=SAMPLE_S)[0]
        return {
            "core_percent": 100 * found["core_share"] / self.hosts,
            "busiest_kb_per_s": max(found["bytes_per_s"]) / 1000,
            "process_pss_mb": found["pss_kb"] / 1024,
        }


def _host_case(hosts: int, seed: int) -> dict[str, float]:
    mesh = Mesh(hosts, seed)
    try:
        gevent.sleep(SETTLE_S)
        return mesh.sample()
    finally:
        mesh.workers.close()


def _report_case(engines: int, seed: int) -> dict[str, float]:
    mesh = Mesh(REPORT_HOSTS, seed)
    try:
        names = [f"llm-pool-{index:04d}" for index in range(engines)]
        mesh.workers.ask("loads", engines=names)
        gevent.sleep(SETTLE_S)
        return mesh.sample()
    finally:
        mesh.workers.close()


def _revision_case(size_bytes: int, seed: int) -> dict[str, float]:
    mesh = Mesh(REPORT_HOSTS, seed)
    try:
        found: dict[str, Any] = mesh.workers.ask(
            "spread", number=1, size_bytes=size_bytes, silent=False
        )[0]
        if not found["reached"]:
            raise RuntimeError(
                f"a revision of {size_bytes} bytes did not reach all hosts"
            )
        return {"spread_ms": 1e3 * (found["ended_s"] - found["started_s"])}
    finally:
        mesh.workers.close()


def mesh_series(seed: int) -> Iterable[Series]:
    """Measure meshes of several sizes, each in a separate process."""
    # The four sizes of a case run concurrently and occupy four cores.
    yield from _series("hosts", _host_case, HOST_SIZES, HOSTS, seed)
    yield from _series("reports", _report_case, REPORT_SIZES, REPORTS, seed)
    sizes, targets = REVISION_SIZES, REVISION_BYTES
    yield from _series("revision", _revision_case, sizes, targets, seed)


def _series(
    prefix: str, case: Any, sizes: tuple, targets: tuple, seed: int
) -> Iterable[Series]:
    tasks = [gevent.spawn(case, size, seed) for size in sizes]
    results = [task.get() for task in tasks]
    for name in results[0]:
        values = tuple(result[name] for result in results)
        yield Series(f"{prefix}_{name}", sizes, values, targets)
