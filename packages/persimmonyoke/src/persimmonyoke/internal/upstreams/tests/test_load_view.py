"""Tests of the load view with lagging reports and clock skew."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.internal.upstreams import load_view
from persimmonyoke.internal.upstreams.load_view import LoadView
from persimmonyoke_testing.builders_upstreams import load_report


class LoadViewTest(unittest.TestCase):
    def setUp(self):
        # Wall-clock time is 1,000 s ahead of the monotonic clock here.
        self.now_s = 0.0
        self.view = LoadView(unix_clock=lambda: 1_000.0 + self.now_s)

    def report(self, taken_s, *, at_s, running=0, engine="e0", **changes):
        self.now_s = at_s
        fields = {"taken_unix_s": 1_000.0 + taken_s, "running_sequences": running}
        self.view.note_report(load_report(engine, **(fields | changes)), at_s)

    def running(self, at_s, engine="e0"):
        return self.view.estimate(engine, at_s).running_sequences

    def test_own_dispatches_after_the_time_stamp_add_to_a_late_report(self):
        # A busy engine whose last report says idle would get all requests.
        self.view.note_dispatch("e0", 100, 10, 1.0)
        self.view.note_dispatch("e0", 200, 10, 3.0)
        self.report(2.0, at_s=4.0, running=1)
        estimate = self.view.estimate("e0", 4.0)
        self.assertEqual(estimate.running_sequences, 2)
        self.assertEqual(estimate.queued_prefill_tokens, 200)
        self.assertEqual(estimate.age_s, 2.0)

    def test_own_completions_after_the_time_stamp_are_subtracted_once(self):
        # Subtracting them again after a newer report would make the engine look idle.
        first = self.view.note_dispatch("e0", 100, 10, 1.0)
        self.report(2.0, at_s=3.0, running=5)
        self.view.note_completion(first, 3.0)
        self.view.note_completion(first, 3.0)
        self.assertEqual(self.running(3.0), 4)
        self.report(2.5, at_s=3.5, running=5)
        self.assertEqual(self.running(3.5), 4)
        self.report(3.5, at_s=4.5, running=4)
        self.assertEqual(self.running(4.5), 4)

    def test_the_work_of_other_hosts_and_the_progress_of_the_engine_are_counted(self):
        # Reports lag by 2 s, so all six hosts would fill an engine that looks idle.
        self.view.live_hosts = 6
        self.report(0.0, at_s=2.0, queued_prefill_tokens=9_000)
        rate = self.view.report("e0").prefill_tokens_per_s
        queued = self.view.estimate("e0", 2.0).queued_prefill_tokens
        self.assertEqual(queued, max(0.0, 9_000 - 2.0 * rate))
        first = self.view.note_dispatch("e0", 50_000, 10, 2.0)
        queued = self.view.estimate("e0", 2.0).queued_prefill_tokens
        self.assertEqual(queued, max(0.0, 9_000 + 6 * 50_000 - 2.0 * rate))
        # Completed work is already included in the engine's progress.
        self.view.note_completion(first, 2.0)
        self.assertEqual(self.view.estimate("e0", 2.0).queued_prefill_tokens, queued)
        self.report(3.0, at_s=5.0, queued_prefill_tokens=0)
        self.assertEqual(self.view.estimate("e0", 5.0).queued_prefill_tokens, 0.0)

    def test_the_weight_of_a_report_falls_towards_the_mean(self):
        # An engine with an old report of no load must not attract all requests.
        self.report(0.0, at_s=0.0, running=0)
        self.report(20.0, at_s=20.0, running=30, engine="e1")
        self.assertGreater(self.running(20.0), 10)
        self.assertEqual(self.running(20.0, engine="e1"), 30)
        self.assertGreater(self.running(20.0, engine="unknown"), 10)

    def test_outdated_reports_are_ignored(self):
        # Peers forward reports, so an older one can arrive after a newer one.
        self.report(5.0, at_s=5.5, running=9)
        self.report(4.0, at_s=6.0, running=1)
        self.assertEqual(self.view.report("e0").running_sequences, 9)

    def test_a_restart_drops_dispatches_to_the_earlier_process(self):
        # Work that ended with the old process would make its successor look busy.
        self.report(0.0, at_s=0.0)
        dispatch = self.view.note_dispatch("e0", 100, 10, 1.0)
        self.view.note_dispatch("e0", 100, 10, 3.5)
        self.report(3.0, at_s=4.0, incarnation="i2")
        self.assertEqual(self.running(4.0), 1)
        self.view.note_completion(dispatch, 5.0)
        self.assertEqual(self.running(4.0), 1)

    @given(skew_s=st.sampled_from([-3_600.0, -2.0, 0.0, 3.0, 3_600.0]))
    def test_a_wrong_wall_clock_neither_hides_nor_doubles_own_work(self, skew_s):
        # With report ages of hours, all work since the start would be counted as new.
        self.setUp()
        ids = []
        for step in range(40):
            at_s = float(step)
            ids.append(self.view.note_dispatch("e0", 10, 1, at_s + 0.5))
            if step >= 20:
                self.view.note_completion(ids[step - 20], at_s + 0.6)
            self.report(at_s + skew_s, at_s=at_s + 1, running=min(20, step))
        self.assertLessEqual(abs(self.running(40.0) - 20), 4)
        self.assertLessEqual(self.view.estimate("e0", 40.0).age_s, 10.0)

    def test_reports_are_accepted_after_a_wall_clock_was_set_back(self):
        # Otherwise all reports after the step would be ignored as outdated.
        self.report(5_000.0, at_s=1.0, running=9)
        self.report(2.0, at_s=2.0, running=1)
        self.assertEqual(self.view.report("e0").running_sequences, 1)

    def test_memory_stays_bounded_without_completions(self):
        # A caller that records no completions must not exhaust the host's memory.
        limit = load_view.MAX_OPEN_PER_ENGINE
        for index in range(limit + 100):
            self.view.note_dispatch("e0", 1, 1, index * 0.001)
        self.assertEqual(len(self.view._dispatches), limit)
        self.report(1_000.0, at_s=1_000.0)
        self.assertEqual(len(self.view._dispatches), 0)
        for index in range(load_view.MAX_ENGINES + 50):
            self.view.note_dispatch(f"x{index}", 1, 1, 1_001.0)
        self.assertEqual(len(self.view._dispatches), load_view.MAX_ENGINES)
