"""Matrix of faults and protocol steps, and the results of its cells."""

import random
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeVar

import gevent

MAX_SHOWN_VIOLATIONS = 40

RunT = TypeVar("RunT")


class Fault(StrEnum):
    """Faults, the rows of the matrix."""

    KILL = "kill"
    PAUSE = "pause"
    PARTITION = "partition"
    SILENT_CONNECTION = "silent connection"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    ANSWER_LOST = "write answer lost"
    LEASE_LAPSE = "lease lapse in a pause"
    HOST_LIST_LATE = "host list late"
    LOAD_LATE = "load report late"
    CACHE_EVENTS_LOST = "cache events lost"
    ENGINE_CRASH = "engine crash"
    CRASH_IN_CHANGE = "crash in role change"
    OPERATORS_RACING = "operators racing"
    CRASHING_REQUEST = "crashing request"


STEPS: Mapping[str, tuple[str, ...]] = {
    "claims": ("claim", "dispatch", "answer", "settle"),
    "authority": ("acquire", "renew", "record", "send", "confirm"),
    "configuration": ("propose", "accept", "spread", "apply"),
    "shutdown": ("drain", "close", "exit"),
    "streams": ("start", "stream", "resume", "finish"),
}


@dataclass(frozen=True, order=True)
class Cell:
    """A fault at a step of a protocol."""

    protocol: str
    step: str
    fault: Fault

    def __post_init__(self) -> None:
        """Reject a step that the protocol does not have."""
        if self.step not in STEPS.get(self.protocol, ()):
            raise ValueError(f"{self.protocol} has no step {self.step!r}")

    @property
    def label(self) -> str:
        """Return the step and the fault."""
        return f"{self.step} x {self.fault.value}"


@dataclass(frozen=True)
class Outcome:
    """Result of one run of a cell; ``missed`` if the step was never reached."""

    violations: tuple[str, ...] = ()
    recovery_s: float = 0.0
    missed: bool = False


@dataclass
class CellResult:
    """Totals over the runs of a cell."""

    runs: int = 0
    violations: int = 0
    missed: int = 0
    longest_s: float = 0.0


RunCell = Callable[[random.Random], Outcome]


@dataclass
class Matrix:
    """Outcomes of the cells, and the reasons why some cells can't occur."""

    results: dict[Cell, CellResult] = field(default_factory=dict)
    reasons: dict[Cell, str] = field(default_factory=dict)
    details: list[str] = field(default_factory=list)
    recoveries_s: dict[str, list[float]] = field(default_factory=dict)
    planned: dict[str, int] = field(default_factory=dict)
    pairs: dict[str, CellResult] = field(default_factory=dict)

    def record(self, cell: Cell, outcome: Outcome, *, seed: object) -> None:
        """Add the outcome of one run."""
        result = self.results.setdefault(cell, CellResult())
        if outcome.missed:
            result.missed += 1
        else:
            result.runs += 1
        result.violations += len(outcome.violations)
        result.longest_s = max(result.longest_s, outcome.recovery_s)
        self.recoveries_s.setdefault(cell.protocol, []).append(outcome.recovery_s)
        for text in outcome.violations:
            name = f"{cell.protocol}.{cell.label}"
            self.details.append(f"{name}, seed {seed}: {text}")

    def record_pair(self, protocol: str, outcome: Outcome, *, seed: object) -> None:
        """Add the outcome of one run with two faults."""
        result = self.pairs.setdefault(protocol, CellResult())
        result.runs += not outcome.missed
        result.violations += len(outcome.violations)
        result.longest_s = max(result.longest_s, outcome.recovery_s)
        self.details += [f"pair, seed {seed}: {text}" for text in outcome.violations]

    def record_failure(self, part: str, error: Exception) -> None:
        """Count a part that was aborted by an error."""
        self.planned[f"failed_part{part}"] = 1
        self.details.append(f"{part.strip('_')} broke off: {error!r}")

    def exclude(
        self, protocol: str, fault: Fault, reason: str, *, steps: Iterable[str] = ()
    ) -> None:
        """Exclude a fault at the given steps, or at all steps of the protocol."""
        for step in steps or STEPS[protocol]:
            self.reasons[Cell(protocol, step, fault)] = reason

    def not_run(self) -> list[Cell]:
        """Return the cells that can occur but were not run."""
        return [
            cell
            for cell in all_cells()
            if cell not in self.reasons
            and (cell not in self.results or not self.results[cell].runs)
        ]

    def violations(self) -> int:
        """Return the number of violations of all cells, pairs and planned changes."""
        cells = sum(result.violations for result in self.results.values())
        pairs = sum(result.violations for result in self.pairs.values())
        return cells + pairs + sum(self.planned.values())

    def percentile_s(self, protocol: str, share: float) -> float | None:
        """Return a percentile of the recovery times, ``None`` if there was no run."""
        found = sorted(self.recoveries_s.get(protocol, ()))
        return found[min(len(found) - 1, int(share * len(found)))] if found else None

    def table(self) -> str:
        """Return one table for each protocol: runs / violations / longest seconds."""
        lines = []
        for protocol, steps in STEPS.items():
            lines += ["", f"{protocol}: runs / violations / longest recovery in s"]
            lines.append(f"  {'':<24}" + "".join(f"{step:>18}" for step in steps))
            for fault in Fault:
                lines += self._row(protocol, steps, fault)
        for protocol, pairs in self.pairs.items():
            shown = f"{pairs.runs} / {pairs.violations} / {pairs.longest_s:.2f}"
            lines += ["", f"pairs of faults, {protocol}: {shown}"]
        lines += ["", *self._not_run_lines()]
        lines += self.details[:MAX_SHOWN_VIOLATIONS]
        return "\n".join(lines)

    def _not_run_lines(self) -> list[str]:
        """Return the cells that were not run, one line per protocol."""
        missing = self.not_run()
        lines = [f"not run: {len(missing)} cells"]
        for protocol in STEPS:
            names = [c.label for c in missing if c.protocol == protocol]
            if names:
                lines.append(f"  {protocol}: " + ", ".join(names))
        return lines

    def _row(self, protocol: str, steps: Iterable[str], fault: Fault) -> list[str]:
        cells = [Cell(protocol, step, fault) for step in steps]
        reasons = {self.reasons.get(cell) for cell in cells}
        if len(reasons) == 1 and None not in reasons:
            return [f"  {fault.value:<24}  can't occur: {reasons.pop()}"]
        shown = "".join(f"{self._cell_text(cell):>18}" for cell in cells)
        notes = "; ".join(sorted(reason for reason in reasons if reason))
        return [f"  {fault.value:<24}{shown}" + (f"  (-: {notes})" if notes else "")]

    def _cell_text(self, cell: Cell) -> str:
        if cell in self.reasons:
            return "-"
        result = self.results.get(cell)
        if result is None or not result.runs:
            return "not run"
        return f"{result.runs} / {result.violations} / {result.longest_s:.2f}"


def all_cells() -> list[Cell]:
    """Return all cells of the matrix."""
    return [
        Cell(protocol, step, fault)
        for protocol, steps in STEPS.items()
        for fault in Fault
        for step in steps
    ]


def run_cells(
    cells: Mapping[Cell, RunCell],
    matrix: Matrix,
    *,
    seed: int,
    end_s: float,
    longest_run_s: float,
    pair: RunCell | None = None,
) -> None:
    """Run the cells round-robin in the given order until ``end_s``.

    No run starts later than ``longest_run_s`` before ``end_s``. From the second round
    on, each run of a cell is followed by a run with a pair of faults.
    """
    number = 0
    while cells:
        for cell, run in cells.items():
            if time.monotonic() + longest_run_s > end_s:
                return
            name = f"{seed}/{cell.protocol}/{cell.step}/{cell.fault.value}/{number}"
            matrix.record(cell, _run_one(run, name), seed=name)
            if number and pair is not None:
                name = f"{name}/pair"
                matrix.record_pair(cell.protocol, _run_one(pair, name), seed=name)
        number += 1


def _run_one(run: RunCell, name: str) -> Outcome:
    try:
        return run(random.Random(name))
    except (TimeoutError, AssertionError) as error:
        return Outcome((f"run failed: {error!r}",))


def occurring_cells(
    protocol: str,
    exclude: Callable[[Matrix], None],
    order: Iterable[Fault],
    steps: Iterable[str],
    runner: Callable[[str, Fault], RunCell],
) -> dict[Cell, RunCell]:
    """Return the cells of a protocol that can occur, in the given order."""
    matrix = Matrix()
    exclude(matrix)
    chosen = [Cell(protocol, step, fault) for fault in order for step in steps]
    return {
        cell: runner(cell.step, cell.fault)
        for cell in chosen
        if cell not in matrix.reasons
    }


def draw_pair(
    actions: Mapping[Fault, Callable[[RunT], None]],
    paired: Sequence[Fault],
    delay_s: float,
    rng: random.Random,
) -> Callable[[RunT], None]:
    """Return an action that injects two faults, the second ``delay_s`` later."""
    first, second = (actions[fault] for fault in rng.sample(paired, 2))

    def inject(run: RunT) -> None:
        gevent.spawn_later(delay_s, second, run)
        first(run)

    return inject
