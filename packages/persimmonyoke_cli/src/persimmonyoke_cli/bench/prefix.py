"""Benchmark prefix cache hits and queues with delayed and lost engine reports."""

import dataclasses
import json
import subprocess
import sys
from dataclasses import dataclass, field

from gevent.pool import Pool

from persimmonyoke_cli.bench.fleet_callers import mean_and_range
from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)
from persimmonyoke_cli.bench.prefix_run import PrefixPlan

PROCESSES = 5
RUN_TIMEOUT_S = 150.0
# Router, load estimate, whether prompts share prefixes, and load factor of each run.
# With shared prefixes, the offered work exceeds the capacity without a cache.
RUNS = {
    "shipped": ("shipped", "scaled", True, 1.6),
    "perfect": ("perfect", "scaled", True, 1.6),
    "least": ("least", "scaled", True, 1.6),
    "scaled": ("shipped", "scaled", False, 0.9),
    "own": ("shipped", "own", False, 0.9),
}
TARGETS = {
    "hits_over_perfect": Target(">=", 0.9),
    "queue_over_least_loaded": Target("<=", 1.0),
    "worst_queue_over_mean_largest": Target("<=", 1.5),
    "failed": Target("==", 0.0),
}


@dataclass(frozen=True, kw_only=True)
class PrefixOptions(BenchOptions):
    """Define the options of the benchmark."""

    seeds: int = field(
        default=3, metadata={"help": "number of consecutive seeds, starting at --seed"}
    )
    duration_s: float = field(
        default=20.0, metadata={"help": "measured duration of each run in seconds"}
    )
    warm_up_s: float = field(
        default=8.0, metadata={"help": "unmeasured time to fill the caches in seconds"}
    )


def run(options: PrefixOptions) -> BenchResult:
    """Run each router and load estimate with each seed and return the figures.

    A queue is the prefill work waiting on an engine, in seconds, averaged over the
    duration of a run. ``worst_queue_over_mean`` is the largest average of any engine
    divided by the mean over all engines, for prompts without shared prefixes.
    """
    pool = Pool(PROCESSES)
    jobs = {
        (name, seed): pool.spawn(_run, name, seed, options)
        for seed in range(options.seed, options.seed + options.seeds)
        for name in RUNS
    }
    pool.join()
    results = {key: job.get() for key, job in jobs.items()}
    for key, result in results.items():
        print(key, {name: round(v, 4) for name, v in result.items()}, file=sys.stderr)

    def values(name: str, figure: str) -> list[float]:
        return [result[figure] for key, result in results.items() if key[0] == name]

    def ratios(first: str, second: str, figure: str) -> list[float]:
        pairs = zip(values(first, figure), values(second, figure), strict=True)
        return [a / b for a, b in pairs]

    figures = {"seeds": float(options.seeds)}
    hits = ratios("shipped", "perfect", "hit_tokens")
    figures.update(mean_and_range("hits_over_perfect", hits))
    queue = ratios("shipped", "least", "mean_queue_s")
    figures.update(mean_and_range("queue_over_least_loaded", queue))
    worst = values("scaled", "worst_over_mean")
    figures.update(mean_and_range("worst_queue_over_mean", worst))
    own = values("own", "worst_over_mean")
    figures.update(mean_and_range("own_worst_queue_over_mean", own))
    shared = values("shipped", "worst_over_mean")
    figures.update(mean_and_range("shared_worst_queue_over_mean", shared))
    for name in RUNS:
        figures.update(mean_and_range(f"{name}_queue_s", values(name, "mean_queue_s")))
    figures["sent"] = sum(result["sent"] for result in results.values())
    figures["failed"] = sum(result["failed"] for result in results.values())
    return BenchResult(figures, TARGETS)


def _run(name: str, seed: int, options: PrefixOptions) -> dict[str, float]:
    router, estimate, shared, load = RUNS[name]
    plan = PrefixPlan(
        seed=seed,
        router=router,
        estimate=estimate,
        shared=shared,
        load=load,
        warm_up_s=options.warm_up_s,
        duration_s=options.duration_s,
    )
    text = json.dumps(dataclasses.asdict(plan))
    command = [sys.executable, "-m", "persimmonyoke_cli.bench.prefix_run", text]
    done = subprocess.run(
        command, stdout=subprocess.PIPE, timeout=RUN_TIMEOUT_S, check=True
    )
    return json.loads(done.stdout)


BENCH = Bench(
    "prefix",
    "Compare prefix hits and queues under delayed and lost cache events.",
    run,
    PrefixOptions,
)
