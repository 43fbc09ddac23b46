"""Benchmark role policies on simulated engines under a changing workload mix."""

import json
import statistics
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field

from gevent.pool import Pool

from persimmonyoke.internal.roles import Split
from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)
from persimmonyoke_cli.bench.mix_engines import likely_best_splits
from persimmonyoke_cli.bench.mix_worker import MixJob, trace_shares
from persimmonyoke_cli.bench.policies import proportional_prefill
from persimmonyoke_testing.firms import FIRMS, Firm
from persimmonyoke_testing.model_roles import TRACE_KINDS

MAX_WORKERS = 6
RUN_TIMEOUT_S = 300.0
# For each deployment: the lower bound of the goodput relative to the best static split,
# and the upper bound of the role changes relative to the reactive policy.
BOUNDS = {"kente": (0.95, 0.5), "kereru": (0.90, 0.2)}
POLICIES = ("shipped", "reactive", "static")
# Above this, the callers and engines, which share one core, fall behind schedule.
MAX_CPU_SHARE = 0.8


@dataclass(frozen=True, kw_only=True)
class MixOptions(BenchOptions):
    """Define the options of the benchmark."""

    deployment: str = field(default="both", metadata={"help": "kente, kereru or both"})
    seeds: int = field(default=2, metadata={"help": "number of traces of each kind"})
    duration_s: float = field(
        default=600.0,
        metadata={"help": "trace duration in seconds, before time scaling"},
    )
    lead_s: float = field(
        default=60.0,
        metadata={"help": "unmeasured warm-up at the initial mix, before time scaling"},
    )
    candidates: int = field(
        default=2,
        metadata={
            "help": "static splits to run for each of the two models that rank them"
        },
    )
    workers: int = field(
        default=MAX_WORKERS, metadata={"help": "number of concurrent worker processes"}
    )


@dataclass(frozen=True)
class TraceResult:
    """Hold the results of one trace, keyed by policy name or static split."""

    firm: str
    results: dict[str, dict]

    def goodput_over(self, other: str) -> float:
        """Return the goodput of the shipped policy divided by that of another run."""
        return self.results["shipped"]["good"] / max(1, self.results[other]["good"])

    def goodput_over_best_static(self) -> float:
        """Return the goodput of the shipped policy divided by the best static one."""
        good = [
            result["good"]
            for name, result in self.results.items()
            if name not in {"shipped", "reactive"}
        ]
        return self.results["shipped"]["good"] / max(1, *good)


def run(options: MixOptions) -> BenchResult:
    """Run all policies on the same traces and compare their goodput."""
    if not 1 <= options.workers <= MAX_WORKERS:
        raise ValueError(f"workers={options.workers}; accepted: 1 to {MAX_WORKERS}")
    firms = list(FIRMS) if options.deployment == "both" else [options.deployment]
    jobs = [
        (index, name, job)
        for index, trace in enumerate(_traces(firms, options))
        for name, job in _jobs(trace, options.candidates)
    ]
    print(f"{len(jobs)} runs on {options.workers} workers")
    done = Pool(options.workers).map(lambda entry: _run_job(*entry[1:]), jobs)
    traces: dict[int, TraceResult] = {}
    for (index, name, job), result in zip(jobs, done, strict=True):
        traces.setdefault(index, TraceResult(job.firm, {})).results[name] = result
    return _result(firms, list(traces.values()))


def _traces(firms: Sequence[str], options: MixOptions) -> list[MixJob]:
    return [
        MixJob(
            firm=firm,
            kind=kind,
            seed=options.seed + number,
            duration_s=options.duration_s,
            lead_s=options.lead_s,
            policy="static",
            split=(0, 0, 0),
        )
        for firm in firms
        for number in range(options.seeds)
        for kind in TRACE_KINDS
    ]


def _jobs(trace: MixJob, candidates: int) -> list[tuple[str, MixJob]]:
    """Return the runs of one trace: each policy and the top-ranked static splits."""
    firm: Firm = FIRMS[trace.firm]
    shares = trace_shares(trace)
    prefill = proportional_prefill(firm.engines, shares[0])
    start = (prefill, firm.engines - prefill, 0)
    fields = asdict(trace)
    jobs = [
        (name, MixJob(**{**fields, "policy": name, "split": start}))
        for name in POLICIES
    ]
    for split in likely_best_splits(firm.engines, shares, each=candidates):
        if split != Split(*start):
            counts = (split.prefill, split.decode, split.mixed)
            jobs.append((str(counts), MixJob(**{**fields, "split": counts})))
    return jobs


def _run_job(name: str, job: MixJob) -> dict:
    command = [sys.executable, "-m", "persimmonyoke_cli.bench.mix_worker"]
    done = subprocess.run(
        [*command, json.dumps(asdict(job))],
        stdout=subprocess.PIPE,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    result = json.loads(done.stdout)
    print(json.dumps({"run": name, **asdict(job), **result}), flush=True)
    return result


def _result(firms: Sequence[str], traces: Sequence[TraceResult]) -> BenchResult:
    figures: dict[str, float] = {}
    targets: dict[str, Target] = {}
    for firm in firms:
        own = [trace for trace in traces if trace.firm == firm]
        figures.update(_firm_figures(firm, own))
        least_static, most_changes = BOUNDS[firm]
        targets[f"{firm}_over_best_static_median"] = Target(">=", least_static)
        targets[f"{firm}_over_static_median"] = Target(">", 1.2)
        targets[f"{firm}_over_reactive_median"] = Target(">", 1.0)
        targets[f"{firm}_changes_over_reactive"] = Target("<=", most_changes)
    everything = [r for trace in traces for r in trace.results.values()]
    figures["largest_cpu_share"] = max(r["cpu_share"] for r in everything)
    figures["largest_lag_p99_ms"] = max(r["lag_p99_ms"] for r in everything)
    faults = ("wrong", "interrupted", "violations", "other_status")
    figures["faults"] = float(sum(r[name] for r in everything for name in faults))
    targets["largest_cpu_share"] = Target("<=", MAX_CPU_SHARE)
    targets["faults"] = Target("==", 0.0)
    return BenchResult(figures, targets)


def _firm_figures(firm: str, traces: Sequence[TraceResult]) -> dict[str, float]:
    ratios = {
        "over_best_static": [trace.goodput_over_best_static() for trace in traces],
        "over_static": [trace.goodput_over("static") for trace in traces],
        "over_reactive": [trace.goodput_over("reactive") for trace in traces],
    }
    figures: dict[str, float] = {f"{firm}_traces": float(len(traces))}
    for name, values in ratios.items():
        figures[f"{firm}_{name}_median"] = statistics.median(values)
        figures[f"{firm}_{name}_least"] = min(values)
        figures[f"{firm}_{name}_largest"] = max(values)
    shipped = sum(trace.results["shipped"]["changes"] for trace in traces)
    reactive = sum(trace.results["reactive"]["changes"] for trace in traces)
    figures[f"{firm}_changes"] = float(shipped)
    figures[f"{firm}_reactive_changes"] = float(reactive)
    figures[f"{firm}_changes_over_reactive"] = shipped / max(1, reactive)
    return figures


BENCH = Bench(
    "mix",
    "Compare the role policy with alternatives while the workload mix shifts.",
    run,
    MixOptions,
)
