"""Test the backoff of upstreams that failed recently."""

import unittest

from persimmonyoke.internal.routing.health import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    UpstreamHealth,
)


class UpstreamHealthTest(unittest.TestCase):
    def test_a_broken_upstream_gets_ever_rarer_single_trials(self):
        # Frequent trials of a broken upstream would exhaust the retry budget.
        health, now_s, trials = UpstreamHealth(), 0.0, 0
        health.note_failure("e", now_s)
        while now_s < 120.0:
            now_s += 0.01
            if not health.in_backoff("e", now_s):
                trials += 1
                health.note_dispatch("e", now_s)
                self.assertTrue(health.in_backoff("e", now_s))
                health.note_failure("e", now_s + 0.001)
        self.assertLessEqual(trials, 5 + 120.0 / MAX_BACKOFF_S)

    def test_calls_that_fail_together_hold_the_upstream_back_once(self):
        # A connection reset with ten streams would count as ten consecutive failures.
        health = UpstreamHealth()
        for _ in range(10):
            health.note_failure("e", 1.0)
        self.assertFalse(health.in_backoff("e", 1.0 + INITIAL_BACKOFF_S + 0.01))

    def test_only_a_call_begun_after_the_failure_clears_it(self):
        # A stream that began before a fault may succeed while new calls are refused.
        health = UpstreamHealth()
        health.note_failure("e", 5.0)
        health.note_success("e", 4.0)
        self.assertTrue(health.is_failing("e"))
        health.note_success("e", 6.0)
        self.assertFalse(health.is_failing("e"))

    def test_a_restarted_process_is_not_held_back(self):
        # The other upstreams would carry its load for the rest of the backoff.
        health = UpstreamHealth()
        health.note_failure("e", 5.0, incarnation="1")
        self.assertTrue(health.in_backoff("e", 5.1, incarnation="1"))
        self.assertFalse(health.in_backoff("e", 5.1, incarnation="2"))
