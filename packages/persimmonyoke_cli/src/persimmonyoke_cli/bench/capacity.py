"""Bench that measures how control-plane costs grow, and extrapolates them."""

import importlib
from dataclasses import dataclass, field

from loguru import logger

from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
)

PARTS = {
    "replicas": ("capacity_state", "replica_series"),
    "workspaces": ("capacity_state", "workspace_series"),
    "pieces": ("capacity_state", "piece_series"),
    "changes": ("capacity_state", "change_series"),
    "claims": ("capacity_store", "claim_series"),
    "configuration": ("capacity_store", "configuration_series"),
    "mesh": ("capacity_mesh", "mesh_series"),
}


@dataclass(frozen=True, kw_only=True)
class CapacityOptions(BenchOptions):
    """Options of the ``capacity`` bench."""

    parts: list[str] = field(
        default=tuple(PARTS), metadata={"help": f"parts to run: {', '.join(PARTS)}"}
    )


def run(options: CapacityOptions) -> BenchResult:
    """Measure each part and fit its figures to the sizes."""
    logger.remove()
    figures: dict[str, float] = {}
    for part in options.parts:
        if part not in PARTS:
            raise ValueError(f"part {part!r}; accepted: {', '.join(PARTS)}")
        module, name = PARTS[part]
        measure = getattr(
            importlib.import_module(f"persimmonyoke_cli.bench.{module}"), name
        )
        for series in measure(options.seed):
            print(series.name, series.sizes, series.values, flush=True)
            figures.update(series.figures())
    return BenchResult(figures)


BENCH = Bench(
    "capacity",
    "Measure how control-plane costs grow with hosts, replicas and requests.",
    run,
    CapacityOptions,
)
