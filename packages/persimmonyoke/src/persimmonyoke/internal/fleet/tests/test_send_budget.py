"""Test the share of a host's link that its datagrams may take."""

import unittest

from persimmonyoke.internal.fleet.send_budget import (
    BURST_S,
    BYTES_PER_MBIT,
    LINK_SHARE,
    SendBudget,
)

NOW_S = 100.0
SHARE_BYTES_PER_S = 10 * BYTES_PER_MBIT * LINK_SHARE


class SendBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = SendBudget(10.0)
        self.budget.room_bytes(NOW_S)

    def test_a_sender_that_keeps_to_the_room_takes_its_share(self):
        # A collector on a weak link sent more than the link carries.
        sent_bytes, now_s = 0, NOW_S
        while now_s < NOW_S + 10.0:
            if self.budget.room_bytes(now_s) > 0.0:
                self.budget.take(20_000, now_s)
                sent_bytes += 20_000
            now_s += 0.01
        limit_bytes = SHARE_BYTES_PER_S * (10.0 + BURST_S) + 20_000
        self.assertLessEqual(sent_bytes, limit_bytes)
        self.assertGreater(sent_bytes, 0.95 * SHARE_BYTES_PER_S * 10.0)

    def test_a_debt_is_paid_off_before_more_is_sent(self):
        self.budget.take(int(2 * SHARE_BYTES_PER_S), NOW_S)
        wait_s = self.budget.wait_s(NOW_S)
        self.assertAlmostEqual(wait_s, 2.0 - BURST_S, places=3)
        self.assertLessEqual(self.budget.room_bytes(NOW_S + wait_s - 0.01), 0.0)
        self.assertGreater(self.budget.room_bytes(NOW_S + wait_s + 0.01), 0.0)

    def test_an_idle_time_allows_no_large_burst(self):
        room_bytes = self.budget.room_bytes(NOW_S + 3_600.0)
        self.assertAlmostEqual(room_bytes, BURST_S * SHARE_BYTES_PER_S)

    def test_a_link_of_unknown_capacity_is_not_limited(self):
        budget = SendBudget(0.0)
        budget.take(10**12, NOW_S)
        self.assertEqual(budget.room_bytes(NOW_S), float("inf"))
        self.assertEqual(budget.wait_s(NOW_S), 0.0)


if __name__ == "__main__":
    unittest.main()
