"""Test the order in which queued prompts are placed."""

import unittest

from persimmonyoke.internal.dispatch.loads import WorkLedger
from persimmonyoke.internal.dispatch.queue import (
    TIMELY_PER_LATE,
    PromptQueue,
    RouteSizes,
    WaitingPrompt,
)


def prompt(
    key: int,
    *,
    target_s: float = 1.0,
    deadline_s: float = 6.0,
    prefill_s: float = 0.1,
    value: float = 1.0,
) -> WaitingPrompt:
    return WaitingPrompt(key, target_s, deadline_s, prefill_s, 0.1, value)


class OrderTest(unittest.TestCase):
    def test_a_burst_of_long_prompts_does_not_delay_short_ones(self):
        # Long prompts arrive at twice the rate for five seconds while short prompts
        # keep arriving.
        queue = PromptQueue()
        for key in range(10):
            queue.add(prompt(key, target_s=0.6, prefill_s=0.33))
        queue.add(prompt(99, target_s=1.0, prefill_s=0.03))
        self.assertEqual(queue.ordered(0.0)[0].key, 99)

    def test_a_prompt_that_can_meet_its_target_goes_before_a_late_one(self):
        queue = PromptQueue()
        queue.add(prompt(1, target_s=0.1, deadline_s=2.0))
        queue.add(prompt(2, target_s=1.0, deadline_s=9.0))
        self.assertEqual(queue.ordered(0.0)[0].key, 2)

    def test_late_prompts_get_a_turn_while_timely_ones_keep_coming(self):
        # The largest tenth of the prompts of a route is late whenever the shared part
        # is not cached.
        queue = PromptQueue()
        queue.add(prompt(1_000, target_s=0.1))
        order = []
        for key in range(TIMELY_PER_LATE + 1):
            queue.add(prompt(key))
            chosen = queue.ordered(0.0)[0]
            order.append(chosen.key)
            queue.note_placed(chosen, 0.0)
        self.assertEqual(order.count(1_000), 1)

    def test_late_prompts_are_read_by_deadline(self):
        queue = PromptQueue()
        queue.add(prompt(1, target_s=0.0, deadline_s=9.0))
        queue.add(prompt(2, target_s=0.0, deadline_s=5.0))
        self.assertEqual(queue.ordered(0.0)[0].key, 2)

    def test_all_waiting_prompts_are_in_the_order(self):
        # The first prompt may have to wait for one engine while others are free.
        queue = PromptQueue()
        queue.add(prompt(1, target_s=0.0))
        queue.add(prompt(2, prefill_s=0.3))
        queue.add(prompt(3, prefill_s=0.1))
        self.assertEqual([p.key for p in queue.ordered(0.0)], [3, 2, 1])

    def test_a_prompt_that_cannot_meet_its_deadline_is_reported(self):
        queue = PromptQueue()
        queue.add(prompt(1, deadline_s=1.0, prefill_s=0.3))
        self.assertEqual(queue.infeasible(0.5), [])
        self.assertEqual([p.key for p in queue.infeasible(0.7)], [1])

    def test_the_value_of_a_large_request_is_bounded(self):
        sizes = RouteSizes()
        for _ in range(50):
            sizes.value("route", 1_000, 10)
        self.assertAlmostEqual(sizes.value("route", 1_000, 10), 1.0, places=2)
        self.assertEqual(sizes.value("route", 1_000_000, 10), RouteSizes.MAX_VALUE)


class LedgerTest(unittest.TestCase):
    def test_jobs_behind_an_overdue_one_count_in_full(self):
        # Counted by their expected end, they dropped to zero while the engine was late,
        # and one engine got eight prompts at once at a cold start.
        ledger = WorkLedger()
        for _ in range(4):
            ledger.begin_prefill("engine", 0.3, now_s=0.0)
        self.assertAlmostEqual(ledger.backlog_s("engine", now_s=0.0), 1.2)
        self.assertGreater(ledger.backlog_s("engine", now_s=2.0), 0.9)

    def test_a_finished_job_counts_no_more(self):
        ledger = WorkLedger()
        job = ledger.begin_prefill("engine", 0.3, now_s=0.0)
        ledger.end_prefill(job)
        self.assertEqual(ledger.backlog_s("engine", now_s=0.0), 0.0)
        self.assertEqual(ledger.own_work(now_s=0.0), {})


if __name__ == "__main__":
    unittest.main()
