"""Test the time for which a process has run without standing still."""

import unittest

from persimmonyoke.internal.fleet.awake_period import MAX_GAP_S, AwakePeriod

STARTED_S = 100.0


class AwakePeriodTest(unittest.TestCase):
    """A host that went on took the silence of its own stop for that of all others."""

    def setUp(self):
        self.awake = AwakePeriod(STARTED_S)

    def run_until(self, end_s, interval_s=0.5):
        now_s = STARTED_S
        while now_s < end_s:
            now_s += interval_s
            self.awake.note(now_s)
        return now_s

    def test_the_time_since_the_start_counts_while_the_process_runs(self):
        now_s = self.run_until(STARTED_S + 3.0)
        self.assertEqual(self.awake.duration_s(now_s + 0.25), 3.25)

    def test_no_time_counts_before_the_first_note_after_a_stop(self):
        # Requests that waited in sockets may be read before any timer fires.
        now_s = self.run_until(STARTED_S + 3.0)
        self.assertEqual(self.awake.duration_s(now_s + 10.0), 0.0)

    def test_the_time_counts_anew_after_a_stop(self):
        resumed_s = self.run_until(STARTED_S + 3.0) + 10.0
        self.assertEqual(self.awake.note(resumed_s), 10.0)
        self.assertEqual(self.awake.duration_s(resumed_s + 0.5), 0.5)

    def test_a_late_note_is_no_stop(self):
        now_s = self.run_until(STARTED_S + 3.0) + MAX_GAP_S
        self.assertEqual(self.awake.note(now_s), 0.0)
        self.assertEqual(self.awake.duration_s(now_s), 3.0 + MAX_GAP_S)


if __name__ == "__main__":
    unittest.main()
