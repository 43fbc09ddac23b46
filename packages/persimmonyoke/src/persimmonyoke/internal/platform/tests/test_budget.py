"""Tests of the budget of calls to the key-value service."""

import unittest
from contextlib import ExitStack

from persimmonyoke.internal.platform import Operation, Purpose, RateBudget


class FakeTime:
    """Provide a clock that advances only by sleeping."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def clock(self) -> float:
        return self.now_s

    def sleep(self, duration_s: float) -> None:
        self.now_s += duration_s


class RateBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time = FakeTime()
        self.budget = RateBudget(
            calls_per_s=100, clock=self.time.clock, sleep=self.time.sleep
        )

    def calls_within(self, purpose: Purpose, duration_s: float) -> int:
        end_s = self.time.now_s + duration_s
        calls = 0
        while self.budget.acquire(
            purpose, Operation.READ, timeout_s=end_s - self.time.now_s
        ):
            calls += 1
        self.time.now_s = end_s
        return calls

    def test_all_purposes_together_stay_within_the_rate(self):
        # The rates of the service grow more slowly than the fleet.
        for purpose in Purpose:
            self.calls_within(purpose, 0.0)
        calls = sum(self.calls_within(purpose, 10.0) for purpose in Purpose)
        # 4 purposes, 10 s and 100 calls/s each, and a burst of 1 s.
        self.assertLessEqual(calls, 4 * 10 * 100 + 100)

    def test_a_burst_of_claims_leaves_the_share_of_authority(self):
        # If the lease isn't renewed in time, all role changes stop.
        self.calls_within(Purpose.CLAIMS, 10.0)
        self.assertTrue(
            self.budget.acquire(Purpose.AUTHORITY, Operation.LEASE, timeout_s=0.0)
        )

    def test_a_purpose_uses_the_idle_shares_of_others(self):
        # Fixed shares would refuse claims while most of the rate is unused.
        self.calls_within(Purpose.CLAIMS, 0.0)
        calls = self.calls_within(Purpose.CLAIMS, 10.0)
        self.assertGreater(calls, 900)
        self.assertLessEqual(calls, 1_100)

    def test_waiting_watches_take_their_part_of_the_rate(self):
        # The service counts each waiting watch as a call.
        self.calls_within(Purpose.CLAIMS, 0.0)
        free = self.calls_within(Purpose.CLAIMS, 10.0)
        with ExitStack() as watches:
            for _ in range(30):
                watches.enter_context(self.budget.watching())
            watched = self.calls_within(Purpose.CLAIMS, 10.0)
        self.assertAlmostEqual(watched / free, 0.7, delta=0.05)

    def test_invalid_shares_are_refused_with_their_values(self):
        # Shares with a sum above 1 would exceed the rate unnoticed.
        with self.assertRaisesRegex(ValueError, "sum 1"):
            RateBudget(calls_per_s=1, shares=dict.fromkeys(Purpose, 0.5))
