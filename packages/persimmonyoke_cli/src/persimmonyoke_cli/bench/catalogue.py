"""Catalogue of the benches, whose modules are imported on demand."""

import importlib
from collections.abc import Callable, Sequence

from persimmonyoke_cli.bench.framework import command

# The help texts are kept here so that listing the benches imports none of them.
BENCHES: dict[str, str] = {
    "capacity": "Measure how control-plane costs grow, and extrapolate them.",
    "control": "Measure the control-plane cost of an entry and a controller process.",
    "crashers": "Count engine crashes from requests that crash each engine they reach.",
    "faults": "Inject faults at each step of each protocol and check the invariants.",
    "mix": "Compare the role policy with alternatives while the workload mix shifts.",
    "overload": (
        "Measure goodput beyond capacity and with one workspace flooding the others."
    ),
    "path": "Measure the latency that an entry process adds to that of the engine.",
    "prefix": "Compare prefix hits and queues under delayed and lost cache events.",
    "retries": "Count the extra upstream calls while half of the upstreams fail.",
    "spreading": "Compare methods of disseminating revisions and load reports.",
}


def bench_commands(argv: Sequence[str]) -> dict[str, Callable[..., int]]:
    """Return a command per bench; only the bench named in argv is imported."""
    called = argv[1] if len(argv) > 1 and argv[0] == "bench" else None
    return {
        name: command(load(name)) if name == called else _described(name, text)
        for name, text in BENCHES.items()
    }


def load(name: str):
    """Import the module of a bench and return its definition."""
    module = importlib.import_module(
        f"persimmonyoke_cli.bench.{name.replace('-', '_')}"
    )
    return module.BENCH


def _described(name: str, text: str) -> Callable[..., int]:
    """Return a placeholder command that is only used for its help text."""

    def described() -> int:
        raise AssertionError(f"bench {name} was called without being imported")

    described.__doc__ = text
    return described
