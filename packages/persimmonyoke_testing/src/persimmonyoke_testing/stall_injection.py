"""Stalls of the whole test process, as a busy machine causes them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from persimmonyoke_testing.builders_stalls import stall


@dataclass(frozen=True)
class StallPlan:
    """Say how long stalls last on average, and how long the process runs between."""

    mean_s: float
    every_s: float

    def __post_init__(self) -> None:
        if self.mean_s <= 0 or self.every_s <= 0:
            raise ValueError(f"stalls of {self} must have positive times")


def parse_stalls(text: str) -> StallPlan:
    """Return the plan of ``MEAN_S EVERY_S``; raise ``ValueError``."""
    mean, every = text.split()
    return StallPlan(float(mean), float(every))


def inject_stalls(
    plan: StallPlan,
    rng: random.Random,
    *,
    hold: Callable[[float], None] = stall,
    sleep: Callable[[float], None] = gevent.sleep,
) -> None:
    """Hold the process up at random moments until the task is killed."""
    while True:
        sleep(rng.expovariate(1 / plan.every_s))
        hold(rng.uniform(0.0, 2 * plan.mean_s))
