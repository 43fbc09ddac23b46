"""Tests of the invariant monitor."""

import unittest

from persimmonyoke.errors import InvariantViolation
from persimmonyoke.internal.invariants import Invariant, InvariantMonitor


class InvariantMonitorTest(unittest.TestCase):
    def test_a_violation_raises_in_tests_and_is_counted(self):
        # If the monitor never raised, other tests would pass in spite of violations.
        monitor = InvariantMonitor(raising=True)
        with self.assertRaises(InvariantViolation):
            monitor.check(False, Invariant.AT_MOST_ONCE, "call ran twice")
        self.assertEqual(monitor.violations[Invariant.AT_MOST_ONCE], 1)

    def test_a_violation_in_production_is_counted_and_answered_with_false(self):
        # Raising in production would interrupt the requests of unrelated callers.
        monitor = InvariantMonitor(raising=False)
        self.assertFalse(monitor.check(False, Invariant.AT_MOST_ONCE, "ran twice"))
        self.assertTrue(monitor.check(True, Invariant.AT_MOST_ONCE, "ran once"))
        self.assertEqual(monitor.violations.total(), 1)
