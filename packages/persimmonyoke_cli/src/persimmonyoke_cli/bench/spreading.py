"""Bench that compares ways to disseminate revisions, heartbeats and load reports.

Compares a full mesh, a mesh of bounded degree and hosts that each watch the key-value
service. A full mesh of 60 hosts needs more than one core, so the hosts are distributed
over several worker processes.
"""

import json
import random
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import gevent

from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)
from persimmonyoke_cli.bench.spreading_worker import (
    LOAD_BYTES,
    REACH_TIMEOUT_S,
    REPORT_INTERVAL_S,
    REVISION_KEY,
    WATCH_PREFIX,
)
from persimmonyoke_testing.key_value_standin import KeyValueStandIn

ENGINES = 183
REVISION_BYTES = 20_000
WARM_UP_S = 2.0
# Hosts take a few seconds to select the links on which they receive load reports.
LOADS_WARM_UP_S = 6.0
# A silent link is replaced after 3 s without a message, plus a backoff.
REPAIR_S = 4.0
TARGETS = {
    "full_7_revision_worst_s": Target("<=", 2.0),
    "bounded_60_revision_worst_s": Target("<=", 2.0),
    "bounded_60_idle_core_percent": Target("<=", 2.1),
    "bounded_60_loads_core_percent": Target("<=", 2.1),
    "bounded_60_loads_busiest_kb_per_s": Target("<=", 11.0),
}


@dataclass(frozen=True, kw_only=True)
class SpreadingOptions(BenchOptions):
    """Options of the ``spreading`` bench."""

    hosts: list[int] = field(
        default=(7, 30, 60), metadata={"help": "numbers of hosts to measure"}
    )
    ways: list[str] = field(
        default=("full", "bounded", "watch"),
        metadata={"help": "topologies to compare: full, bounded, watch"},
    )
    trials: int = field(default=5, metadata={"help": "revisions to publish per case"})
    sample_s: float = field(default=4.0, metadata={"help": "seconds of each sample"})
    processes: int = field(default=6, metadata={"help": "worker processes"})


class Workers:
    """Worker processes, driven by JSON commands over standard input and output."""

    def __init__(self, setups: list[dict[str, Any]]) -> None:
        module = "persimmonyoke_cli.bench.spreading_worker"
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
        self._processes = [
            subprocess.Popen([sys.executable, "-m", module, json.dumps(setup)], **pipes)
            for setup in setups
        ]
        self.initial_answers = self._answers()

    def _answers(self) -> list[Any]:
        return [json.loads(p.stdout.readline()) for p in self._processes]

    def ask(self, do: str, **arguments: Any) -> list[Any]:
        """Send a command to all workers and return their answers."""
        for process in self._processes:
            process.stdin.write(json.dumps({"do": do, **arguments}) + "\n")
            process.stdin.flush()
        return self._answers()

    def close(self) -> None:
        """Stop the worker processes and kill any that does not exit within 10 s."""
        for process in self._processes:
            process.stdin.close()
        for process in self._processes:
            try:
                process.wait(timeout=10.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def run(options: SpreadingOptions) -> BenchResult:
    """Measure each topology at each number of hosts."""
    figures: dict[str, float] = {}
    for count in options.hosts:
        for way in options.ways:
            found = measure(way, count, options)
            print(f"{way} {count}: {found}", flush=True)
            figures.update({f"{way}_{count}_{key}": v for key, v in found.items()})
    measured = {(way, str(count)) for way in options.ways for count in options.hosts}
    targets = {k: t for k, t in TARGETS.items() if tuple(k.split("_")[:2]) in measured}
    return BenchResult(figures, targets)


def measure(way: str, count: int, options: SpreadingOptions) -> dict[str, float]:
    """Measure one topology at one number of hosts."""
    names = [f"host-{index:02d}" for index in range(count)]
    processes = min(options.processes, count)
    store = KeyValueStandIn()
    store.start()
    setup = {"topology": way, "seed": options.seed, "url": store.url}
    workers = Workers(
        [{**setup, "names": names[i::processes]} for i in range(processes)]
    )
    try:
        return _measure(way, count, options, workers, store)
    finally:
        workers.close()
        store.stop()


def _measure(
    way: str,
    count: int,
    options: SpreadingOptions,
    workers: Workers,
    store: KeyValueStandIn,
) -> dict[str, float]:
    members = {
        name: a for answer in workers.initial_answers for name, a in answer.items()
    }
    if members:
        workers.ask("connect", members=members)
    figures = {"settled": float(all(workers.ask("settle")))}
    gevent.sleep(WARM_UP_S)
    idle = workers.ask("sample", seconds=options.sample_s)
    figures.update(_rates("idle", idle, count))
    engines = [f"llm-pool-{index:03d}" for index in range(ENGINES)]
    reporter = None
    if way == "watch":
        reporter = gevent.spawn(_write_loads, store, engines, options.seed)
    else:
        workers.ask("loads", engines=engines)
    gevent.sleep(LOADS_WARM_UP_S)
    busy = workers.ask("sample", seconds=options.sample_s)
    figures.update(_rates("loads", busy, count))
    expected = ENGINES * (count if way == "watch" else count - 1) / REPORT_INTERVAL_S
    figures["loads_delivered_share"] = sum(s["loads_per_s"] for s in busy) / expected
    spread_s = [
        _spread(number, options, workers, store if way == "watch" else None)
        for number in range(1, options.trials + 1)
    ]
    if reporter is not None:
        reporter.kill()
    figures["revision_median_s"] = statistics.median(spread_s)
    figures["revision_worst_s"] = max(spread_s)
    return figures


def _rates(case: str, samples: list[dict[str, Any]], count: int) -> dict[str, float]:
    rates = [rate for sample in samples for rate in sample["bytes_per_s"]]
    cores = sum(sample["core_share"] for sample in samples)
    return {
        f"{case}_busiest_kb_per_s": max(rates) / 1000,
        f"{case}_mean_kb_per_s": statistics.mean(rates) / 1000,
        f"{case}_core_percent": 100 * cores / count,
    }


def _write_loads(store: KeyValueStandIn, engines: list[str], seed: int) -> None:
    rng = random.Random(seed)
    while True:
        for engine in engines:
            key = f"{WATCH_PREFIX}load/{engine}"
            store.state.put(key, rng.randbytes(LOAD_BYTES))
        gevent.sleep(REPORT_INTERVAL_S)


def _spread(
    number: int,
    options: SpreadingOptions,
    workers: Workers,
    store: KeyValueStandIn | None,
) -> float:
    """Return the time for a revision to reach all hosts, or the timeout."""
    if store is not None:
        value = f"{number:010d}".encode().ljust(REVISION_BYTES, b"x")
        writer = gevent.spawn_later(0.05, store.state.put, REVISION_KEY, value)
        written_s = time.time() + 0.05
    results = workers.ask("spread", number=number, size_bytes=REVISION_BYTES)
    if store is not None:
        writer.join()
    else:
        written_s = results[0]["started_s"]
    if not all(result["reached"] for result in results):
        return REACH_TIMEOUT_S
    spread_s = max(result["ended_s"] for result in results) - written_s
    if store is None and number < options.trials:
        gevent.sleep(REPAIR_S)
        workers.ask("settle")
    return spread_s


BENCH = Bench(
    "spreading",
    "Compare full mesh, bounded degree and watches for revisions and load reports.",
    run,
    SpreadingOptions,
)
