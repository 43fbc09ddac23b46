"""How many engines the runs of a service fill, and how many shall decode for them.

Answers the loads in which answers are long: streams were begun on decode engines that
were full and ended after seconds without an event, while prefill engines stood idle.
"""

import math
from dataclasses import dataclass

from persimmonyoke.internal.dispatch.stages import decoders_wanted

TARGET_FILL = 0.85
"""Share of the slots or memory of decode engines that runs take on the average."""

MAX_FILL = 1.5
"""Fill of an engine that counts at most.

Runs pile up on a full engine, so that more of them only say that it is full.
"""

RISE_S = 2.0
"""Time over which a load is averaged as it rises; a stage change takes three."""

FALL_S = 10.0
"""Time over which it is averaged as it falls: bursts come each few seconds."""

SPARE_TO_RELEASE = 0.3
"""Engines above the need, besides a whole one, before one of them reads again."""


@dataclass(frozen=True)
class StageLoad:
    """Hold how many engines the runs fill, and how many the prompts keep reading."""

    decoding: float
    prefilling: float


class DecodeDemand:
    """Follow the loads of both stages of a service."""

    def __init__(self) -> None:
        self._load = StageLoad(0.0, 0.0)
        self._noted_s: float | None = None
        self._wanted = 0

    def note(self, load: StageLoad, *, now_s: float) -> None:
        """Note the loads of this moment."""
        if self._noted_s is not None:
            elapsed_s = max(0.0, now_s - self._noted_s)
            self._load = StageLoad(
                decoding=_moving_average(self._load.decoding, load.decoding, elapsed_s),
                prefilling=_moving_average(
                    self._load.prefilling, load.prefilling, elapsed_s
                ),
            )
        self._noted_s = now_s

    def wanted(self, engine_count: int) -> int:
        """Return how many of the engines shall decode; never fewer than by default."""
        need = self._need(engine_count)
        if need > self._wanted:
            self._wanted = math.ceil(need)
        elif need < self._wanted - 1 - SPARE_TO_RELEASE:
            self._wanted -= 1
        least = decoders_wanted(engine_count)
        most = max(least, engine_count - 1)
        self._wanted = min(most, max(least, self._wanted))
        return self._wanted

    def _need(self, engine_count: int) -> float:
        """Return the engines that the runs need, or their share of all of them.

        Where there are too few engines for both stages, each gets them by its load.
        """
        decoding, prefilling = self._load.decoding, self._load.prefilling
        if decoding <= 0.0:
            return 0.0
        share = engine_count * decoding / (decoding + prefilling)
        # Half an engine more than its share would be one engine fewer for the other.
        return min(decoding / TARGET_FILL, max(1.0, share - 0.5))


def _moving_average(known: float, measured: float, elapsed_s: float) -> float:
    span_s = RISE_S if measured > known else FALL_S
    weight = 1.0 - math.exp(-elapsed_s / span_s)
    return known + weight * (measured - known)
