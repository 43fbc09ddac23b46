"""Benchmark that checks the invariants with a fault at each step of each protocol."""

import random
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from types import ModuleType
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

from persimmonyoke.errors import PersimmonyokeError
from persimmonyoke.internal.observability import configure_logging
from persimmonyoke_cli.bench import (
    faults_authority,
    faults_claims,
    faults_configuration,
    faults_shutdown,
    faults_streams,
)
from persimmonyoke_cli.bench.faults_matrix import (
    Cell,
    Matrix,
    RunCell,
    all_cells,
    run_cells,
)
from persimmonyoke_cli.bench.faults_schedules import run_schedules, schedule_lines
from persimmonyoke_cli.bench.faults_world import Testbed
from persimmonyoke_cli.bench.framework import Bench, BenchOptions, BenchResult, Target
from persimmonyoke_testing.platform_fleet import FleetOptions

SECONDS_PER_MINUTE = 60.0
TESTBED_STOP_S = 5.0
SCHEDULES_SHARE = 0.25
"""Share of the run time after which no further schedules are started."""

MODULES = (
    faults_claims,
    faults_authority,
    faults_configuration,
    faults_shutdown,
    faults_streams,
)
# 20% of the cache events are lost and load reports are 2 s late during the whole run.
DEGRADED_REPORTS = FleetOptions(
    cache_event_loss=0.2, timing_changes={"load_lag_s": 2.0}
)
START_ATTEMPTS = 3
START_LOCK = BoundedSemaphore(1)
TARGETS = {
    "violations": Target("==", 0.0),
    "schedules.claims.violations": Target("==", 0.0),
    "schedules.authority.violations": Target("==", 0.0),
    "schedules.configuration.violations": Target("==", 0.0),
    "planned.rolling_replacement.violations": Target("==", 0.0),
    "configuration_in_force_p99_s": Target("<=", 2.0),
}


@dataclass(frozen=True, kw_only=True)
class FaultsOptions(BenchOptions):
    """Options of the fault benchmark."""

    minutes: float = field(default=4.0, metadata={"help": "minutes of the whole bench"})
    schedules: int = field(
        default=1_000, metadata={"help": "schedules of each protocol in one process"}
    )
    only: str = field(default="", metadata={"help": "protocol to run alone"})
    cell: str = field(
        default="",
        metadata={"help": "cell to run alone, as 'drain x pause'; no pairs of faults"},
    )


@dataclass(frozen=True)
class PartRun:
    """Parameters of the part of the benchmark that runs one protocol."""

    matrix: Matrix
    seed: int
    end_s: float
    cell: str


def run(options: FaultsOptions) -> BenchResult:
    """Run the schedules and the fault matrix; return their figures."""
    _check_cell(options)
    configure_logging(level="CRITICAL")
    end_s = time.monotonic() + options.minutes * SECONDS_PER_MINUTE - TESTBED_STOP_S
    share_s = SCHEDULES_SHARE * options.minutes * SECONDS_PER_MINUTE
    schedules = run_schedules(
        options.schedules, first_seed=options.seed, end_s=time.monotonic() + share_s
    )
    matrix = Matrix()
    parts = {
        "claims": _claims,
        "configuration": _configuration,
        "streams": _streams,
        "partitions": _partitions,
        "authority": _authority,
        "shutdown": _shutdown,
    }
    chosen = [options.only] if options.only else list(parts)
    for module in MODULES:
        module.exclude(matrix)
    part_run = PartRun(matrix, options.seed, end_s, options.cell)
    tasks = [gevent.spawn(_run_part, parts[name], part_run) for name in chosen]
    gevent.joinall(tasks, raise_error=True)
    print(matrix.table(), file=sys.stderr)
    lines = schedule_lines(schedules, options.schedules)
    print("\n".join(lines), file=sys.stderr)
    found = figures(matrix)
    for name, result in schedules.items():
        found[f"schedules.{name}.runs"] = float(result.count)
        found[f"schedules.{name}.violations"] = float(len(result.failed))
    return BenchResult(found, TARGETS)


def _check_cell(options: FaultsOptions) -> None:
    """Reject an unknown cell; a benchmark that runs no cell reports no violation."""
    known = {c.label for c in all_cells() if options.only in ("", c.protocol)}
    if options.cell and options.cell not in known:
        raise ValueError(f"cell is {options.cell!r}; accepted: {sorted(known)}")


def _run_part(part: Callable[[PartRun], None], part_run: PartRun) -> None:
    """Run one protocol; a failure must not abort the other protocols."""
    try:
        part(part_run)
    except (PersimmonyokeError, TimeoutError, OSError) as error:
        part_run.matrix.record_failure(part.__name__, error)


@contextmanager
def _running_testbed(**options: Any) -> Iterator[Testbed]:
    """Run a testbed; starts are serialized, as two could pick the same free ports."""
    with START_LOCK:
        testbed = _start_testbed(options)
    try:
        yield testbed
    finally:
        testbed.__exit__()


def _start_testbed(options: dict[str, Any]) -> Testbed:
    """Start a testbed; retry with new ports if another process has taken one."""
    for _ in range(START_ATTEMPTS - 1):
        testbed = Testbed(**options)
        try:
            return testbed.__enter__()
        except (TimeoutError, OSError):
            testbed.__exit__()
    return Testbed(**options).__enter__()


def _claims(part_run: PartRun) -> None:
    with _running_testbed(entries=3) as testbed:
        _run_protocol(part_run, faults_claims, testbed)


def _configuration(part_run: PartRun) -> None:
    with _running_testbed(entries=7) as testbed:
        _run_protocol(part_run, faults_configuration, testbed)


def _streams(part_run: PartRun) -> None:
    with _running_testbed(entries=3, fleet=DEGRADED_REPORTS) as testbed:
        cells = faults_streams.direct_cells(testbed)
        _run_protocol(part_run, faults_streams, testbed, cells=cells)


def _partitions(part_run: PartRun) -> None:
    with _running_testbed(entries=3, relays_engines=True) as testbed:
        cells = faults_streams.partition_cells(testbed)
        _run_protocol(part_run, faults_streams, testbed, cells=cells)


def _authority(part_run: PartRun) -> None:
    # The seed selects the firm: only one of the two has engines that check the
    # fencing number.
    firm = random.Random(part_run.seed).choice(("kente", "kereru"))
    lease_s, fleet = faults_authority.LEASE_S, FleetOptions(time_scale=0.1)
    with _running_testbed(
        firm=firm, entries=1, controllers=2, lease_s=lease_s, fleet=fleet
    ) as testbed:
        _run_protocol(part_run, faults_authority, testbed)


def _shutdown(part_run: PartRun) -> None:
    fleet, shutdown = DEGRADED_REPORTS, faults_shutdown.SHUTDOWN
    with _running_testbed(entries=4, shutdown=shutdown, fleet=fleet) as testbed:
        if not part_run.cell:
            _run_planned(part_run, testbed)
        _run_protocol(part_run, faults_shutdown, testbed)


def _run_planned(part_run: PartRun, testbed: Testbed) -> None:
    matrix, seed = part_run.matrix, part_run.seed
    planned = faults_shutdown.run_planned(testbed, random.Random(seed))
    for name, interrupted in planned.items():
        matrix.planned[name] = len(interrupted)
        matrix.details += [
            f"planned {name}, seed {seed}: {text}" for text in interrupted
        ]


def _run_protocol(
    part_run: PartRun,
    module: ModuleType,
    testbed: Testbed,
    *,
    cells: dict[Cell, RunCell] | None = None,
) -> None:
    chosen = cells or module.cells(testbed)
    pair = partial(module.run_pair, testbed) if hasattr(module, "run_pair") else None
    if part_run.cell:
        chosen = {c: run for c, run in chosen.items() if c.label == part_run.cell}
        pair = None
    run_cells(
        chosen,
        part_run.matrix,
        seed=part_run.seed,
        end_s=part_run.end_s,
        longest_run_s=module.LONGEST_RUN_S,
        pair=pair,
    )


def figures(matrix: Matrix) -> dict[str, float]:
    """Return the figures of each cell that was run, and the totals."""
    found = {
        "violations": float(matrix.violations()),
        **{f"planned.{n}.violations": float(v) for n, v in matrix.planned.items()},
        **{f"pairs.{n}.runs": float(r.runs) for n, r in matrix.pairs.items()},
        **{
            f"pairs.{n}.violations": float(r.violations)
            for n, r in matrix.pairs.items()
        },
        "cells_run": float(sum(r.runs > 0 for r in matrix.results.values())),
        "cells_not_run": float(len(matrix.not_run())),
    }
    in_force_s = matrix.percentile_s("configuration", 0.99)
    if in_force_s is not None:
        found["configuration_in_force_p99_s"] = in_force_s
    for cell, result in matrix.results.items():
        name = f"{cell.protocol}.{cell.step}.{cell.fault.value.replace(' ', '_')}"
        found[f"{name}.runs"] = float(result.runs)
        found[f"{name}.violations"] = float(result.violations)
        found[f"{name}.longest_s"] = result.longest_s
    return found


BENCH: Bench = Bench(
    "faults",
    "Inject faults at each step of each protocol and check the invariants.",
    run,
    FaultsOptions,
)
