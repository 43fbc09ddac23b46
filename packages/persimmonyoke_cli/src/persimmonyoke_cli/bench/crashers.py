"""Benchmark the containment of requests that crash every engine that runs them."""

import sys
from dataclasses import dataclass, field

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_cli.bench.crashers_run import SCENARIOS, CrashOutcome, CrashRun
from persimmonyoke_cli.bench.fleet_callers import mean_and_range
from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)

TARGETS = {
    "single_crashes_per_request_largest": Target("<=", 2.0),
    "several_crashes_per_request_largest": Target("<=", 2.0),
    "innocents_failed": Target("==", 0.0),
    "crashing_answered_whole": Target("==", 0.0),
}


@dataclass(frozen=True, kw_only=True)
class CrashersOptions(BenchOptions):
    """Define the options of the benchmark."""

    seeds: int = field(
        default=3, metadata={"help": "number of consecutive seeds, starting at --seed"}
    )


def run(options: CrashersOptions) -> BenchResult:
    """Run each scenario with each seed and return the figures."""
    configure_logging(level="ERROR")
    figures: dict[str, float] = {"seeds": float(options.seeds)}
    outcomes: list[CrashOutcome] = []
    for scenario in SCENARIOS:
        runs = [
            CrashRun(scenario, options.seed + n).run() for n in range(options.seeds)
        ]
        outcomes += runs
        for number, item in enumerate(runs):
            print(
                f"{scenario.name}, seed {options.seed + number}: "
                f"{item.crashes} crashes, {item.copies_running} copies running, "
                f"innocents {dict(item.innocents.endings)}, "
                f"crashing {dict(item.crashing.endings)}",
                file=sys.stderr,
            )
        rates = [item.crashes / scenario.requests for item in runs]
        figures.update(mean_and_range(f"{scenario.name}_crashes_per_request", rates))
        if scenario.copies > 1:
            running = [float(item.copies_running) for item in runs]
            figures.update(mean_and_range(f"{scenario.name}_engines_running", running))
    figures["innocents_sent"] = float(sum(o.innocents.sent for o in outcomes))
    figures["innocents_failed"] = float(sum(o.innocents.failed for o in outcomes))
    figures["crashing_sent"] = float(sum(o.crashing.sent for o in outcomes))
    figures["crashing_answered_whole"] = float(
        sum(o.crashing.complete for o in outcomes)
    )
    return BenchResult(figures, TARGETS)


BENCH = Bench(
    "crashers",
    "Count engine crashes from requests that crash each engine they reach.",
    run,
    CrashersOptions,
)
