"""Test when a call without an answer is given up for another replica."""

import unittest
from functools import partial

from persimmonyoke.internal.gateway.hedge import LOOK_AGAIN_S, Hedge

NOW_S, LAST_S = 100.0, 102.0


class HedgeTest(unittest.TestCase):
    def test_when_a_call_is_given_up(self):
        # Calls were given up although they could not be sent again.
        cases = (
            ("it may be sent to another replica", NOW_S, True, None),
            ("there is no retry or no replica", NOW_S, False, NOW_S + LOOK_AGAIN_S),
            ("the deadline is near", LAST_S - LOOK_AGAIN_S / 2, False, LAST_S),
            ("the deadline is reached", LAST_S, True, None),
        )
        for name, now_s, may_send, expected_s in cases:
            with self.subTest(name):
                hedge = Hedge(last_s=LAST_S, try_spend=partial(bool, may_send))
                self.assertEqual(hedge.wait_until_s(now_s), expected_s)

    def test_no_retry_is_counted_at_the_deadline(self):
        # The retry of a request that ends is missing for others.
        hedge = Hedge(last_s=LAST_S, try_spend=lambda: True)
        hedge.wait_until_s(LAST_S)
        self.assertFalse(hedge.retry_counted)


if __name__ == "__main__":
    unittest.main()
