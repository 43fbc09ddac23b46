"""Linear least-squares fit of a figure to a size, and its extrapolation."""

import math
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

MIN_SIZES = 4
MIN_TIMED_S = 0.03
TRIALS = 3


@dataclass(frozen=True)
class Fit:
    """A fitted line; ``residual`` is the RMS error relative to the mean."""

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line with intercept; raise ``ValueError`` below ``MIN_SIZES`` sizes."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes but {len(values)} values")
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(
            f"sizes are {list(sizes)}; accepted: {MIN_SIZES} or more distinct sizes"
        )
    slope, intercept = statistics.linear_regression(sizes, values)
    squares = [
        (value - intercept - slope * size) ** 2
        for size, value in zip(sizes, values, strict=True)
    ]
    mean = abs(statistics.fmean(values))
    error = math.sqrt(statistics.fmean(squares))
    return Fit(slope, intercept, error / mean if mean else error)


@dataclass(frozen=True)
class Series:
    """A figure measured at several sizes, and the sizes to extrapolate it to."""

    name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    targets: tuple[float, ...]

    def figures(self) -> dict[str, float]:
        """Return the fit and the extrapolated figure at each target size."""
        fit = fit_line(self.sizes, self.values)
        figures = {
            f"{self.name}_slope": fit.slope,
            f"{self.name}_intercept": fit.intercept,
            f"{self.name}_residual": fit.residual,
        }
        for size in self.targets:
            figures[f"{self.name}_at_{size:g}"] = fit.at(size)
        return figures


def cpu_s(call: Callable[[], Any]) -> float:
    """Return the CPU time of a call, the minimum of several trials."""
    best = math.inf
    for _ in range(TRIALS):
        count, started_s = 0, time.process_time()
        while (elapsed_s := time.process_time() - started_s) < MIN_TIMED_S:
            call()
            count += 1
        best = min(best, elapsed_s / count)
    return best


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the memory retained by the result of a call."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        held = build()
        after, _ = tracemalloc.get_traced_memory()
        del held
        return after - before
    finally:
        tracemalloc.stop()
