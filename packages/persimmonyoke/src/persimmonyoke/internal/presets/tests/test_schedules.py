"""Randomised schedules of operators on several nodes with pairs of faults."""

import unittest

from persimmonyoke_testing.model_configuration import run_schedules

FIRST_SEED = 1_000
SCHEDULES = 150


class SchedulesTest(unittest.TestCase):
    def test_no_schedule_has_two_winners_a_revert_or_a_lost_revision(self):
        # Only rare interleavings of operators, faults and pruning cause violations.
        print(f"seeds {FIRST_SEED} to {FIRST_SEED + SCHEDULES - 1}")
        failed, summary = run_schedules(SCHEDULES, FIRST_SEED)
        print(summary)
        self.assertEqual(failed, {})
        self.assertIn("21 pairs of faults", summary)
        for outcome in ("Accepted", "Conflict", "Unsettled", "StoreUnavailable"):
            self.assertIn(outcome, summary)

    def test_a_compaction_at_the_newest_write_does_not_hide_it(self):
        # With seed 6214, a watch waited at the revision of the compaction itself.
        self.assertEqual(run_schedules(1, 6_214)[0], {})
