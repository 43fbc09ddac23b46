"""Test the limit that keeps the first tokens of the engines in time."""

import unittest

from persimmonyoke.internal.admission.first_token_limit import (
    MIN_FACTOR,
    TARGET_SHARE,
    FirstTokenLimit,
)

DEADLINE_S = 1.0
LATE_S, IN_TIME_S = TARGET_SHARE * DEADLINE_S + 0.1, 0.1


def note(limit, first_token_s, count=20, now_s=0.0, idle_s=0.05):
    for _ in range(count):
        limit.note(first_token_s, idle_s=idle_s, deadline_s=DEADLINE_S, now_s=now_s)


class FirstTokenLimitTest(unittest.TestCase):
    def test_late_first_tokens_lower_the_limit_and_timely_ones_raise_it(self):
        # Engines with too many requests answer admitted requests after their deadline.
        limit = FirstTokenLimit()
        for _ in range(10):
            note(limit, LATE_S)
            limit.adjust(used_share=1.0)
        lowered = limit.factor
        self.assertLess(lowered, 0.6)
        note(limit, IN_TIME_S)
        limit.adjust(used_share=0.5)
        self.assertEqual(limit.factor, lowered, "the limit was not in use")
        note(limit, IN_TIME_S)
        limit.adjust(used_share=1.0)
        self.assertGreater(limit.factor, lowered)

    def test_the_limit_never_falls_below_its_minimum(self):
        # A pool that admits nothing gets no first tokens that could raise the limit.
        limit = FirstTokenLimit()
        for _ in range(200):
            note(limit, LATE_S)
            limit.adjust(used_share=1.0)
        self.assertGreaterEqual(limit.factor, MIN_FACTOR)

    def test_a_measured_wait_decays_without_further_first_tokens(self):
        # Otherwise, one slow period would refuse all requests permanently.
        limit = FirstTokenLimit()
        note(limit, 3.0, now_s=10.0)
        self.assertGreater(limit.wait_s(10.0), 1.0)
        self.assertLess(limit.wait_s(16.0), 0.05)

    def test_a_long_prompt_does_not_count_as_a_slow_engine(self):
        # Otherwise, prompts that take long on an idle engine would lower the limit.
        limit = FirstTokenLimit()
        note(limit, 2.1, idle_s=2.0)
        limit.adjust(used_share=1.0)
        self.assertEqual(limit.factor, 1.0)
