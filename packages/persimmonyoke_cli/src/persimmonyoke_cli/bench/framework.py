"""Framework of the benchmarks: options, figures, targets and output.

A bench module defines ``BENCH = Bench(name, help, run)``. Its options are a frozen
subclass of ``BenchOptions``; each field becomes a command-line option.
"""

import contextlib
import dataclasses
import inspect
import json
import math
import operator
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from gevent import monkey

DEFAULT_SEED = 20261203
EXIT_MET = 0
EXIT_MISSED = 1
COMPARISONS: dict[str, Callable[[float, float], bool]] = {
    "<=": operator.le,
    "<": operator.lt,
    ">=": operator.ge,
    ">": operator.gt,
    "==": operator.eq,
}


@dataclass(frozen=True, kw_only=True)
class BenchOptions:
    """Options common to all benches."""

    seed: int = field(
        default=DEFAULT_SEED, metadata={"help": "seed of the random number generators"}
    )


@dataclass(frozen=True)
class Target:
    """Bound on a figure, from "Figures to reach" in ``docs/design.md``."""

    op: str
    value: float

    def __post_init__(self) -> None:
        """Raise ``ValueError`` for an unknown comparison operator."""
        if self.op not in COMPARISONS:
            raise ValueError(f"op={self.op!r}; accepted: {', '.join(COMPARISONS)}")

    def is_met(self, figure: float | None) -> bool:
        """Return whether the figure was measured and satisfies the bound."""
        return figure is not None and COMPARISONS[self.op](figure, self.value)


@dataclass(frozen=True)
class BenchResult:
    """Measured figures and targets; a target without a figure counts as missed."""

    figures: Mapping[str, float]
    targets: Mapping[str, Target] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Raise ``ValueError`` for NaN and infinity, which JSON cannot represent."""
        for name, figure in self.figures.items():
            if not math.isfinite(figure):
                raise ValueError(f"figure {name} is {figure}; accepted: finite numbers")

    @property
    def met(self) -> bool:
        """Whether all targets are met."""
        return all(t.is_met(self.figures.get(n)) for n, t in self.targets.items())


@dataclass(frozen=True)
class Bench:
    """A benchmark that can be run by name from the command line."""

    name: str
    help: str
    run: Callable[[Any], BenchResult]
    options: type[BenchOptions] = BenchOptions


def run_bench(bench: Bench, options: BenchOptions, *, as_json: bool) -> int:
    """Run a bench, print its result and return the exit status."""
    if not monkey.is_module_patched("socket"):
        raise RuntimeError(
            "gevent.monkey.patch_all() must be called before a bench runs"
        )
    # Progress that a bench prints goes to stderr, so that stdout has only the result.
    with contextlib.redirect_stdout(sys.stderr):
        result = bench.run(options)
    if as_json:
        print(json.dumps(json_object(bench.name, options.seed, result)))
    else:
        print(table(bench.name, options.seed, result))
    return EXIT_MET if result.met else EXIT_MISSED


def json_object(name: str, seed: int, result: BenchResult) -> dict[str, Any]:
    """Return the JSON object that ``--json`` prints."""
    return {
        "bench": name,
        "seed": seed,
        "figures": dict(result.figures),
        "targets": {key: [t.op, t.value] for key, t in result.targets.items()},
        "met": result.met,
    }


def table(name: str, seed: int, result: BenchResult) -> str:
    """Return the figures and their targets as a text table, one per line."""
    names = list(result.figures)
    names += [key for key in result.targets if key not in result.figures]
    width = max((len(key) for key in names), default=0)
    lines = [f"bench {name}, seed {seed}"]
    for key in names:
        figure, target = result.figures.get(key), result.targets.get(key)
        shown = "not measured" if figure is None else f"{figure:.6g}"
        line = f"  {key:<{width}}  {shown:>12}"
        if target is not None:
            verdict = "met" if target.is_met(figure) else "MISSED"
            line += f"  {target.op} {target.value:g}  {verdict}"
        lines.append(line)
    if result.targets:
        lines.append("all targets met" if result.met else "a target was missed")
    return "\n".join(lines)


def command(bench: Bench) -> Callable[..., int]:
    """Return a function whose signature gives the command line the bench's options."""

    def run(*, json: bool = False, **options: Any) -> int:
        return run_bench(bench, bench.options(**options), as_json=json)

    fields = dataclasses.fields(bench.options)
    keyword = inspect.Parameter.KEYWORD_ONLY
    parameters = [
        inspect.Parameter(f.name, keyword, default=f.default, annotation=f.type)
        for f in fields
    ]
    parameters.append(
        inspect.Parameter("json", keyword, default=False, annotation=bool)
    )
    run.__signature__ = inspect.Signature(parameters, return_annotation=int)
    run.__annotations__ = {p.name: p.annotation for p in parameters}
    texts = [f":param {f.name}: {f.metadata.get('help', f.name)}" for f in fields]
    texts.append(":param json: print one JSON object instead of a table")
    run.__doc__ = "\n".join([bench.help, "", *texts])
    run.__name__ = bench.name.replace("-", "_")
    return run
