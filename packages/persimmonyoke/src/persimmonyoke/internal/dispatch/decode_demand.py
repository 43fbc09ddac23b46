"""Number of decode engines that the load of a service requires.

Covers loads with long outputs: with the default split, streams were started on full
decode engines and failed after seconds without an event while prefill engines were
idle.
"""

import math
from dataclasses import dataclass

from persimmonyoke.internal.dispatch.stages import decoders_wanted

TARGET_UTILISATION = 0.85
"""Target for the mean share of slots or KV memory in use on decode engines."""

MAX_UTILISATION = 1.5
"""Upper bound of the load counted for one engine.

Requests queue up on a full engine, so a higher value only shows that it is full.
"""

RISE_TIME_CONSTANT_S = 2.0
"""Time constant of the average for a rising load; a stage change takes 3 s."""

FALL_TIME_CONSTANT_S = 10.0
"""Time constant for a falling load; bursts recur every few seconds."""

LIMIT_HOLD_S = 5.0
"""Time after which an engine that replaced a limited one returns to prefill."""

RELEASE_SURPLUS = 0.3
"""Surplus beyond one whole engine at which an engine returns to prefill."""


@dataclass(frozen=True)
class StageLoad:
    """Hold the load of both stages, measured in engines."""

    decoding: float
    prefilling: float


class DecodeDemand:
    """Average the loads of both stages of a service."""

    def __init__(self) -> None:
        self._load = StageLoad(0.0, 0.0)
        self._noted_s: float | None = None
        self._wanted = 0
        self._limited = 0
        self._limited_s = float("-inf")

    def note(self, load: StageLoad, *, now_s: float) -> None:
        """Record the current load."""
        if self._noted_s is not None:
            elapsed_s = max(0.0, now_s - self._noted_s)
            self._load = StageLoad(
                decoding=_moving_average(self._load.decoding, load.decoding, elapsed_s),
                prefilling=_moving_average(
                    self._load.prefilling, load.prefilling, elapsed_s
                ),
            )
        self._noted_s = now_s

    def note_limited(self, *, decoding: int, prefilling: int, now_s: float) -> None:
        """Record how many engines of each stage have limits; remember the most.

        An engine with a limit that is taken from prefill has it as well afterwards.
        """
        count = decoding + prefilling if decoding else 0
        if count >= self._limited or now_s - self._limited_s >= LIMIT_HOLD_S:
            self._limited, self._limited_s = count, now_s

    def wanted(self, engine_count: int) -> int:
        """Return the required number of decode engines, at least the default number.

        One more engine decodes for each that has a limit, up to half of all.
        """
        wanted = self._wanted_by_load(engine_count)
        return max(wanted, min(engine_count // 2, wanted + self._limited))

    def _wanted_by_load(self, engine_count: int) -> int:
        need = self._need(engine_count)
        if need > self._wanted:
            self._wanted = math.ceil(need)
        elif need < self._wanted - 1 - RELEASE_SURPLUS:
            self._wanted -= 1
        least = decoders_wanted(engine_count)
        most = max(least, engine_count - 1)
        self._wanted = min(most, max(least, self._wanted))
        return self._wanted

    def _need(self, engine_count: int) -> float:
        """Return the decode engines that the load requires.

        If there are too few engines for both stages, they are split in proportion to
        the loads.
        """
        decoding, prefilling = self._load.decoding, self._load.prefilling
        if decoding <= 0.0:
            return 0.0
        share = engine_count * decoding / (decoding + prefilling)
        # The result is rounded up, so half an engine more than the proportional share
        # would take a whole engine from prefill.
        return min(decoding / TARGET_UTILISATION, max(1.0, share - 0.5))


def _moving_average(known: float, measured: float, elapsed_s: float) -> float:
    time_constant_s = RISE_TIME_CONSTANT_S if measured > known else FALL_TIME_CONSTANT_S
    weight = 1.0 - math.exp(-elapsed_s / time_constant_s)
    return known + weight * (measured - known)
