"""Bench of one entry process, compared with direct access to the same engines."""

from dataclasses import dataclass, field

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)
from persimmonyoke_cli.bench.path_run import PathBench, StepResult

TARGETS = {
    "x1_added_first_token_ms": Target("<=", 3.0),
    "x1_added_between_tokens_ms": Target("<=", 1.0),
    "failures": Target("==", 0.0),
}


@dataclass(frozen=True, kw_only=True)
class PathOptions(BenchOptions):
    """Options of the ``path`` bench."""

    duration_s: float = field(
        default=15.0, metadata={"help": "measured seconds at each load"}
    )
    factors: list[int] = field(
        default=(1, 2, 4), metadata={"help": "multiples of the target load"}
    )


def run(options: PathOptions) -> BenchResult:
    """Measure latency, CPU time and memory at each load."""
    configure_logging(level="ERROR")
    bench = PathBench(duration_s=options.duration_s, seed=options.seed)
    steps = bench.run(tuple(options.factors))
    figures = {"ready_to_first_token_s": bench.ready_to_first_token_s}
    for step in steps:
        figures.update(_figures(step))
    figures["failures"] = float(sum(step.failures for step in steps))
    return BenchResult(figures, TARGETS)


def _figures(step: StepResult) -> dict[str, float]:
    named = {
        "requests": float(step.requests),
        "failures_entry": float(step.entry_failures),
        "failures_direct": float(step.direct_failures),
        "refused": float(step.refused),
        "load_average": step.load_average,
        "tokens_per_s": step.tokens_per_s,
        "direct_first_token_ms": step.direct_first_ms,
        "direct_between_tokens_ms": step.direct_gap_ms,
        "added_first_token_ms": step.added_first_ms,
        "added_between_tokens_ms": step.added_gap_ms,
        "direct_between_tokens_p95_ms": step.direct_gap_p95_ms,
        "entry_between_tokens_p95_ms": step.entry_gap_p95_ms,
        "cpu_ms_per_1000_tokens": step.cpu_ms_per_1000_tokens,
        "cpu_core_share": step.cpu_share,
        "resident_mb": step.rss_mb,
    }
    return {f"x{step.factor}_{name}": value for name, value in named.items()}


BENCH = Bench(
    "path",
    "Measure the latency that an entry process adds to that of the engine.",
    run,
    PathOptions,
)
