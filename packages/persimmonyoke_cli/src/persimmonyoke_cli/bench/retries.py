"""Benchmark retries while half of the upstreams fail."""

import sys
from dataclasses import dataclass, field

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_cli.bench.fleet_callers import mean_and_range
from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)
from persimmonyoke_cli.bench.retries_run import MODES, RetryOutcome, RetryRun

RETRY_BUDGET = 0.10
# Lower bound of the goodput relative to a run with only the healthy half.
KEPT_GOODPUT = 0.95
TARGETS = {
    **{f"{mode}_extra_calls_largest": Target("<=", RETRY_BUDGET) for mode in MODES},
    **{f"{mode}_goodput_kept_least": Target(">=", KEPT_GOODPUT) for mode in MODES},
    "repeated_writes": Target("==", 0.0),
}


@dataclass(frozen=True, kw_only=True)
class RetriesOptions(BenchOptions):
    """Define the options of the benchmark."""

    seeds: int = field(
        default=2, metadata={"help": "number of consecutive seeds, starting at --seed"}
    )


def run(options: RetriesOptions) -> BenchResult:
    """Run the baseline and each failure mode with each seed and return the figures."""
    configure_logging(level="CRITICAL")
    outcomes: dict[str, list[RetryOutcome]] = {mode: [] for mode in MODES}
    baselines: list[RetryOutcome] = []
    for seed in range(options.seed, options.seed + options.seeds):
        baselines.append(_run(None, seed))
        for mode in MODES:
            outcomes[mode].append(_run(mode, seed))
    figures: dict[str, float] = {"seeds": float(options.seeds)}
    figures["baseline_good_share"] = _share(baselines)
    for mode, runs in outcomes.items():
        figures.update(
            mean_and_range(f"{mode}_extra_calls", [r.extra_share for r in runs])
        )
        kept = [
            (run.good / run.sent) / (alone.good / alone.sent)
            for run, alone in zip(runs, baselines, strict=True)
        ]
        figures.update(mean_and_range(f"{mode}_goodput_kept", kept))
        readings = sum(r.state_readings for r in runs)
        attempts = sum(r.first_attempts for r in runs)
        figures[f"{mode}_state_readings_per_call"] = readings / attempts
    everything = [run for runs in outcomes.values() for run in runs]
    figures["repeated_writes"] = float(sum(r.repeated_writes for r in everything))
    return BenchResult(figures, TARGETS)


def _run(mode: str | None, seed: int) -> RetryOutcome:
    outcome = RetryRun(mode, seed).run()
    endings = {kind: dict(count) for kind, count in outcome.answered_by.items()}
    print(
        f"{mode or 'baseline'}, seed {seed}: good {outcome.good} of {outcome.sent}, "
        f"calls {outcome.upstream_calls} for {outcome.first_attempts}, {endings}",
        file=sys.stderr,
    )
    return outcome


def _share(runs: list[RetryOutcome]) -> float:
    return sum(run.good for run in runs) / sum(run.sent for run in runs)


BENCH = Bench(
    "retries",
    "Count the extra upstream calls while half of the upstreams fail.",
    run,
    RetriesOptions,
)
