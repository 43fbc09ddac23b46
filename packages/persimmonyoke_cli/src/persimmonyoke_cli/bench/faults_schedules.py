"""Randomized schedules with pairs of faults, on in-process protocol models."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from persimmonyoke_testing import (
    model_authority,
    model_claims,
    model_configuration,
)

BATCH_SIZE = 50
MAX_SHOWN_SEEDS = 5

RunSchedules = Callable[[int, int], tuple[dict[int, list[str]], str]]
MODELS: Mapping[str, RunSchedules] = {
    "claims": model_claims.run_schedules,
    "authority": model_authority.run_schedules,
    "configuration": model_configuration.run_schedules,
}


@dataclass(frozen=True)
class ScheduleResult:
    """Number of schedules that were run, and the violations by seed."""

    count: int
    failed: Mapping[int, list[str]]


def run_schedules(
    count: int, *, first_seed: int, end_s: float
) -> dict[str, ScheduleResult]:
    """Run up to ``count`` schedules of each model, in batches, until ``end_s``."""
    done = dict.fromkeys(MODELS, 0)
    failed: dict[str, dict[int, list[str]]] = {name: {} for name in MODELS}
    while min(done.values()) < count and time.monotonic() < end_s:
        for name, run in MODELS.items():
            size = min(BATCH_SIZE, count - done[name])
            found, _ = run(size, first_seed + done[name])
            failed[name].update(found)
            done[name] += size
    return {name: ScheduleResult(done[name], failed[name]) for name in MODELS}


def schedule_lines(results: Mapping[str, ScheduleResult], wanted: int) -> list[str]:
    """Return a summary for each model with the first failed seeds."""
    lines = []
    for name, result in results.items():
        left = f", {wanted - result.count} not run" if result.count < wanted else ""
        broken = f"{len(result.failed)} with violations"
        lines.append(f"schedules of {name}: {result.count}, {broken}{left}")
        for seed, problems in list(result.failed.items())[:MAX_SHOWN_SEEDS]:
            lines.append(f"  seed {seed}: {'; '.join(problems)}")
    return lines
