"""Test the stalls that the test runner can inject."""

import random
import unittest

import gevent

from persimmonyoke_testing.stall_injection import (
    StallPlan,
    inject_stalls,
    parse_stalls,
)

STALLS = 2_000


class StallInjectionTest(unittest.TestCase):
    def test_stalls_and_pauses_have_the_means_asked_for(self):
        # Published figures state these means; other runs must get the same stalls.
        held, slept = [], []

        def hold(duration_s):
            held.append(duration_s)
            if len(held) == STALLS:
                raise gevent.GreenletExit

        plan = parse_stalls("0.8 4")
        with self.assertRaises(gevent.GreenletExit):
            inject_stalls(plan, random.Random(1), hold=hold, sleep=slept.append)
        self.assertEqual(plan, StallPlan(0.8, 4.0))
        self.assertAlmostEqual(sum(held) / STALLS, 0.8, delta=0.04)
        self.assertAlmostEqual(sum(slept) / STALLS, 4.0, delta=0.4)
        self.assertLessEqual(max(held), 1.6)

    def test_a_plan_that_makes_no_sense_is_refused(self):
        # A run without stalls would look like one that tolerates them.
        for text in ("", "0.8", "0 4", "0.8 -1", "a b", "1 2 3"):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_stalls(text)


if __name__ == "__main__":
    unittest.main()
