"""Skip the tests listed in KNOWN-RED.txt, count outcomes and report slow tests."""

import time
import unittest
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from nose2.events import (
    Plugin,
    StartTestEvent,
    StartTestRunEvent,
    StopTestEvent,
    TestOutcomeEvent,
)

from persimmonyoke.internal.invariants import MONITOR

SLOW_TEST_S = 5.0
KNOWN_RED_PATH = Path(__file__).resolve().parents[4] / "KNOWN-RED.txt"
TEST_LINE_PREFIX = "test:"

# Totals over all packages, which nose2 runs one after another.
OUTCOMES: Counter[str] = Counter()

REQUESTED_TESTS: set[str] = set()
"""Test names given on the command line; a known failure runs only if named there."""


def known_red_tests(path: Path) -> frozenset[str]:
    """Return the ids on the ``test:`` lines of the list of known failures."""
    if not path.exists():
        return frozenset()
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    return frozenset(
        line.removeprefix(TEST_LINE_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_LINE_PREFIX)
    )


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield each test case of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


class WorkspacePlugin(Plugin):
    """Skip known failures, count outcomes and report slow tests."""

    alwaysOn = True
    configSection = "workspace"

    def __init__(self) -> None:
        self._started_s = 0.0

    def startTestRun(self, event: StartTestRunEvent) -> None:
        """Remove known failures from the suite unless they were requested by name."""
        known = known_red_tests(KNOWN_RED_PATH) - REQUESTED_TESTS
        kept = unittest.TestSuite()
        for test in flatten(event.suite):
            if test.id() in known:
                print(f"passed over (KNOWN-RED.txt): {test.id()}")
            else:
                kept.addTest(test)
        event.suite = kept

    def startTest(self, event: StartTestEvent) -> None:
        """Record the start time and clear the invariant violations of earlier tests.

        Tests of the invariants violate them on purpose; end-to-end tests assert that
        none was violated.
        """
        MONITOR.violations.clear()
        self._started_s = time.monotonic()

    def stopTest(self, event: StopTestEvent) -> None:
        """Report the test if it was slow."""
        elapsed_s = time.monotonic() - self._started_s
        if elapsed_s >= SLOW_TEST_S:
            print(f"slow test: {event.test.id()} took {elapsed_s:.1f} s")

    def testOutcome(self, event: TestOutcomeEvent) -> None:
        """Count the outcome: passed, failed, error or skipped.

        A failed subtest is reported with an outcome of its own and the failure's
        traceback.
        """
        failed_subtest = event.outcome == "subtest" and event.exc_info is not None
        OUTCOMES["failed" if failed_subtest else event.outcome] += 1
