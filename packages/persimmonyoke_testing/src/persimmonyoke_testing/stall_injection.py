"""Random stalls of the whole test process, like those on an overloaded machine."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from persimmonyoke_testing.builders_stalls import stall


@dataclass(frozen=True)
class StallPlan:
    """Hold the mean duration of stalls and the mean time between them."""

    mean_s: float
    every_s: float

    def __post_init__(self) -> None:
        if self.mean_s <= 0 or self.every_s <= 0:
            raise ValueError(f"stall times must be positive, not {self}")


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
    """Stall the process at random times until the task is killed."""
    while True:
        sleep(rng.expovariate(1 / plan.every_s))
        hold(rng.uniform(0.0, 2 * plan.mean_s))
