"""Run the test suite with nose2 under gevent's monkey patch.

Usage: ``python -m persimmonyoke_testing.run_tests [test name ...]``. Without names,
the tests of all workspace packages run. The seed of randomised tests is printed;
``PERSIMMONYOKE_SEED`` replaces it. ``PERSIMMONYOKE_STALLS="MEAN_S EVERY_S"`` stalls the
process at random times. A test listed in KNOWN-RED.txt runs only if its full name is
given.
"""

from gevent import monkey

monkey.patch_all()

import os
import random
import sys
from collections.abc import Sequence
from pathlib import Path

import gevent
import hypothesis
import nose2

from persimmonyoke_testing.nose2_plugin import OUTCOMES, REQUESTED_TESTS
from persimmonyoke_testing.stall_injection import inject_stalls, parse_stalls

DEFAULT_SEED = 20261203
PACKAGES = (
    "persimmonyoke",
    "persimmonyoke_node",
    "persimmonyoke_cli",
    "persimmonyoke_testing",
    "persimmonyoke_platform",
)
PLATFORM_PACKAGE = "persimmonyoke_platform"


def source_root(package: str) -> Path:
    """Return the ``src`` folder of a package of the workspace."""
    packages = Path(__file__).resolve().parents[3]
    if package == PLATFORM_PACKAGE:
        return packages.parent / "platform" / "src"
    return packages / package / "src"


def run_package(package: str, names: Sequence[str]) -> bool:
    """Run the named tests of one package, or all; return whether they passed."""
    root = str(source_root(package))
    program = nose2.discover(
        argv=["nose2", "-s", root, "-t", root, *names],
        module=None,
        exit=False,
        plugins=["persimmonyoke_testing.nose2_plugin"],
    )
    return program.result.wasSuccessful()


def seed_random_tests() -> int:
    """Seed the random module and derandomise Hypothesis for reproducible runs."""
    seed = int(os.environ.get("PERSIMMONYOKE_SEED", DEFAULT_SEED))
    random.seed(seed)
    hypothesis.settings.register_profile(
        "workspace", deadline=None, derandomize=True, print_blob=True, database=None
    )
    hypothesis.settings.load_profile("workspace")
    print(f"seed {seed} (PERSIMMONYOKE_SEED); hypothesis is derandomised")
    return seed


def start_stalls(text: str, seed: int) -> None:
    """Start stalling the process at random times."""
    plan = parse_stalls(text)
    print(f"{plan}, seed {seed} (PERSIMMONYOKE_STALLS)")
    gevent.spawn(inject_stalls, plan, random.Random(seed))


def main() -> int:
    """Run the tests and return the exit status."""
    seed = seed_random_tests()
    names = sys.argv[1:]
    REQUESTED_TESTS.update(names)
    if stalls := os.environ.get("PERSIMMONYOKE_STALLS"):
        start_stalls(stalls, seed)
    successful = True
    for package in PACKAGES:
        selected = [name for name in names if name.split(".")[0] == package]
        if selected or not names:
            successful &= run_package(package, selected)
    failed = OUTCOMES["failed"] + OUTCOMES["error"]
    passed, skipped = OUTCOMES["passed"], OUTCOMES["skipped"]
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    if passed + failed + skipped == 0:
        print("no test was found", file=sys.stderr)
        return 1
    return 0 if successful and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
