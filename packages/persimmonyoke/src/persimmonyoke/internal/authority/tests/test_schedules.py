"""Test random schedules of two controllers under pairs of faults."""

import unittest

from persimmonyoke_testing.model_authority import run_schedules

FIRST_SEED = 1_000
SCHEDULES = 400


class SchedulesTest(unittest.TestCase):
    def test_no_schedule_has_a_conflicting_stale_or_repeated_order(self):
        # A paused holder resumes while its successor acts, and a second fault occurs
        # during the recovery. Schedules of single faults never show this.
        print(f"seeds {FIRST_SEED} to {FIRST_SEED + SCHEDULES - 1}")
        failed, summary = run_schedules(SCHEDULES, FIRST_SEED)
        print(summary)
        self.assertEqual(failed, {})
        self.assertIn("45 pairs of faults", summary)
        # Without orders and paused holders the schedules would prove nothing.
        self.assertNotIn(" 0 orders", summary)
        self.assertNotIn(" 0 ends", summary)
