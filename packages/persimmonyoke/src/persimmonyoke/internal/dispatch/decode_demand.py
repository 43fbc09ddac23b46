"""Number of decode engines that the load of a service requires.

Covers loads with long outputs: with the default split, streams were started on full
decode engines and failed after seconds without an event while prefill engines were
idle.
"""

import math
from collections.abc import Sequence
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
        self._extra = 0
        self._extra_s = float("-inf")

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

    def note_limits(
        self,
        decode_limits_per_s: Sequence[float],
        prefill_limits_per_s: Sequence[float],
        *,
        now_s: float,
    ) -> None:
        """Record the limits of the engines of both stages, infinite without one."""
        extra = extra_decoders(decode_limits_per_s, prefill_limits_per_s)
        if extra >= self._extra or now_s - self._extra_s >= LIMIT_HOLD_S:
            self._extra, self._extra_s = extra, now_s

    def wanted(self, engine_count: int) -> int:
        """Return the required number of decode engines, at least the default number.

        More of them decode if that allows more requests by their limits.
        """
        wanted = self._wanted_by_load(engine_count)
        return max(wanted, min(engine_count // 2, wanted + self._extra))

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


def extra_decoders(
    decode_limits_per_s: Sequence[float], prefill_limits_per_s: Sequence[float]
) -> int:
    """Return how many prefill engines should decode, to run the most requests.

    A request takes one call to an engine of each stage. Which engines change is not
    known yet, so each counts with the mean limit.
    """
    if not decode_limits_per_s or not prefill_limits_per_s:
        return 0
    engines = len(prefill_limits_per_s)
    decoded_per_s, prefilled_per_s = sum(decode_limits_per_s), sum(prefill_limits_per_s)
    mean_per_s = prefilled_per_s / engines
    most_moved = (engines - len(decode_limits_per_s) + 1) // 2

    def requests_per_s(moved: int) -> float:
        moved_per_s = moved * mean_per_s if moved else 0.0
        remaining_per_s = (engines - moved) * mean_per_s
        return min(decoded_per_s + moved_per_s, remaining_per_s)

    return max(range(max(0, most_moved) + 1), key=requests_per_s)


def _moving_average(known: float, measured: float, elapsed_s: float) -> float:
    time_constant_s = RISE_TIME_CONSTANT_S if measured > known else FALL_TIME_CONSTANT_S
    weight = 1.0 - math.exp(-elapsed_s / time_constant_s)
    return known + weight * (measured - known)
