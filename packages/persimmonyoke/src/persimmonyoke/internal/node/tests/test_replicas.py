"""Tests of the tracking of calls in flight at replicas of plain services."""

import unittest

from persimmonyoke.internal.node.replicas import SILENT_AFTER_S, CallCounts


class CallCountsTest(unittest.TestCase):
    def test_a_replica_that_answers_nothing_is_silent_until_it_answers(self):
        # A silent replica accumulated calls until the first one timed out.
        counts = CallCounts()
        counts.begin("s1", 1.0)
        counts.begin("s1", 1.1)
        self.assertFalse(counts.is_silent("s1", 1.0 + SILENT_AFTER_S))
        late_s = 1.1 + SILENT_AFTER_S
        self.assertTrue(counts.is_silent("s1", late_s))
        counts.end("s1", 1.1, late_s, answered=True)
        self.assertFalse(counts.is_silent("s1", late_s))

    def test_a_slow_service_is_not_taken_for_a_silent_one(self):
        # Its replicas would be excluded one after another.
        counts = CallCounts()
        for number in range(50):
            counts.begin("s1", number * 3.0)
            counts.end("s1", number * 3.0, number * 3.0 + 2.0, answered=True)
        counts.begin("s1", 200.0)
        self.assertFalse(counts.is_silent("s1", 203.0))
