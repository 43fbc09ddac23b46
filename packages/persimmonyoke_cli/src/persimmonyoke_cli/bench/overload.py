"""Benchmark admission control under overload and a flooding workspace."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)
from persimmonyoke_cli.bench.mix_client import Outcome
from persimmonyoke_cli.bench.overload_run import (
    VICTIM,
    OverloadBench,
    Phase,
    of_workspace,
)

FLOOD_FACTOR = 3.0
ORDINARY_FACTOR = 0.85
REFUSED = frozenset({429, 503})
# Refusals that take longer count as delayed instead of immediate.
PROMPT_REFUSAL_MS = 100.0
MAX_CPU_SHARE = 0.8
TARGETS = {
    "goodput_3x_over_1x": Target(">=", 0.95),
    "flood_latency_ratio": Target("<=", 1.1),
    "refusal_median_ms": Target("<=", PROMPT_REFUSAL_MS),
    "largest_cpu_share": Target("<=", MAX_CPU_SHARE),
    "faults": Target("==", 0.0),
}


@dataclass(frozen=True, kw_only=True)
class OverloadOptions(BenchOptions):
    """Define the options of the benchmark."""

    duration_s: float = field(
        default=15.0, metadata={"help": "measured duration of each load in seconds"}
    )
    lead_s: float = field(
        default=5.0, metadata={"help": "unmeasured warm-up before each load in seconds"}
    )
    factors: list[float] = field(
        default=(0.5, 1.0, 1.5, 2.0, 3.0),
        metadata={"help": "offered loads as multiples of the capacity"},
    )


def run(options: OverloadOptions) -> BenchResult:
    """Measure each load, then the latency of one workspace while another floods."""
    configure_logging(level="ERROR")
    figures: dict[str, float] = {}
    phases: list[Phase] = []
    with OverloadBench(
        duration_s=options.duration_s, lead_s=options.lead_s, seed=options.seed
    ) as bench:
        for factor in options.factors:
            phase = bench.run(bench.load(factor))
            phases.append(phase)
            figures.update(_load_figures(factor, phase))
        for name, factor in (("ordinary", ORDINARY_FACTOR), ("flood", FLOOD_FACTOR)):
            phase = bench.run([*bench.load(factor), *bench.victim()])
            phases.append(phase)
            figures.update(_victim_figures(name, of_workspace(phase, VICTIM)))
    figures.update(_ratios(figures))
    figures.update(_refusals([o for phase in phases for o in phase.outcomes]))
    for name in ("generator_cpu", "entry_cpu", "engines_cpu"):
        figures[f"largest_{name}"] = max(getattr(phase, name) for phase in phases)
    figures["largest_cpu_share"] = max(
        figures[f"largest_{name}"]
        for name in ("generator_cpu", "entry_cpu", "engines_cpu")
    )
    lags = [o.lag_s for phase in phases for o in phase.outcomes]
    figures["send_lag_p99_ms"] = 1e3 * _quantile(lags, 0.99)
    figures["faults"] = float(sum(o.wrong for p in phases for o in p.outcomes))
    return BenchResult(figures, TARGETS)


def _load_figures(factor: float, phase: Phase) -> dict[str, float]:
    outcomes = phase.outcomes
    answered = [o for o in outcomes if o.status == 200]
    firsts = [o.first_s for o in answered if o.first_s is not None]
    name = f"x{factor:g}"
    return {
        f"{name}_offered_per_s": len(outcomes) / phase.counted_s,
        f"{name}_goodput_per_s": phase.goodput_per_s(),
        f"{name}_refused_per_s": _refused(outcomes) / phase.counted_s,
        f"{name}_late_first_per_s": sum(f > 0.99 for f in firsts) / phase.counted_s,
        f"{name}_slow_gaps_per_s": (
            sum(o.slow_gaps > 0 for o in answered) / phase.counted_s
        ),
        f"{name}_first_token_p95_ms": 1e3 * _quantile(firsts, 0.95),
        f"{name}_entry_cpu": phase.entry_cpu,
    }


def _victim_figures(name: str, outcomes: Sequence[Outcome]) -> dict[str, float]:
    complete = [o for o in outcomes if o.complete]
    return {
        f"{name}_victim_requests": float(len(outcomes)),
        f"{name}_victim_refused": float(_refused(outcomes)),
        f"{name}_victim_total_median_ms": 1e3
        * _quantile([o.last_s for o in complete], 0.5),
        f"{name}_victim_total_p95_ms": 1e3
        * _quantile([o.last_s for o in complete], 0.95),
        f"{name}_victim_first_median_ms": 1e3
        * _quantile([o.first_s for o in complete], 0.5),
    }


def _ratios(figures: dict[str, float]) -> dict[str, float]:
    goodput = {
        name: value
        for name, value in figures.items()
        if name.endswith("_goodput_per_s")
    }
    ratios = {
        "flood_latency_ratio": figures["flood_victim_total_median_ms"]
        / max(1e-9, figures["ordinary_victim_total_median_ms"]),
        "flood_latency_p95_ratio": figures["flood_victim_total_p95_ms"]
        / max(1e-9, figures["ordinary_victim_total_p95_ms"]),
        "flood_first_token_ratio": figures["flood_victim_first_median_ms"]
        / max(1e-9, figures["ordinary_victim_first_median_ms"]),
    }
    most = goodput.get("x3_goodput_per_s")
    if most is not None and "x1_goodput_per_s" in goodput:
        ratios["goodput_3x_over_1x"] = most / max(1e-9, goodput["x1_goodput_per_s"])
        ratios["goodput_3x_over_largest"] = most / max(1e-9, *goodput.values())
    return ratios


def _refusals(outcomes: Sequence[Outcome]) -> dict[str, float]:
    refused = [o for o in outcomes if o.status in REFUSED]
    took = [o.last_s for o in refused if o.last_s is not None]
    waits = [o.retry_after_s for o in refused if o.retry_after_s is not None]
    figures = {
        "refusals": float(len(refused)),
        "refusals_without_retry_after": float(len(refused) - len(waits)),
        "refusal_median_ms": 1e3 * _quantile(took, 0.5),
        "refusal_p95_ms": 1e3 * _quantile(took, 0.95),
    }
    if len(waits) > 1:
        figures["retry_after_median_s"] = statistics.median(waits)
        figures["retry_after_spread_s"] = statistics.pstdev(waits)
    return figures


def _refused(outcomes: Sequence[Outcome]) -> int:
    return sum(outcome.status in REFUSED for outcome in outcomes)


def _quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile, or 0 if there are no values."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


BENCH = Bench(
    "overload",
    "Measure goodput beyond capacity and with one workspace flooding the others.",
    run,
    OverloadOptions,
)
