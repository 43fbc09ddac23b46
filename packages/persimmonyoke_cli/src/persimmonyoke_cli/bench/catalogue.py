"""Names of the benches and the modules that hold them."""

import importlib
from collections.abc import Callable, Sequence

from persimmonyoke_cli.bench.framework import command

# The help texts are here so that a list of the benches imports none of them.
BENCHES: dict[str, str] = {
    "capacity": "Measure how the costs of control grow, and extrapolate them.",
    "control": "Measure the control cost of an entry and a controller process.",
    "crashers": "Count engine crashes by requests that crash the engines they reach.",
    "faults": "Inject faults at each step of each protocol and check the invariants.",
    "mix": "Compare the role policy with others while the mix of the work shifts.",
    "overload": (
        "Measure goodput past the capacity and a workspace that floods the others."
    ),
    "path": "Measure the time that an entry process adds to the engine's own.",
    "prefix": "Compare prefix hits and queues with late and lossy cache events.",
    "retries": "Count extra upstream calls while half of the upstreams fail.",
    "spreading": "Compare ways of spreading revisions and load reports.",
}


def bench_commands(argv: Sequence[str]) -> dict[str, Callable[..., int]]:
    """Return a command for each bench; only the one that argv names is imported."""
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
    """Return a command that only shows in the list of the benches."""

    def described() -> int:
        raise AssertionError(f"bench {name} was not imported")

    described.__doc__ = text
    return described
