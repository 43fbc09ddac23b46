"""Test loans of retries between hosts."""

import random
import unittest
from dataclasses import dataclass

from hypothesis import example, given
from hypothesis import strategies as st

from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.retry_loans import (
    LOAN_TTL_S,
    Loan,
    LoanRequest,
    RetryBorrower,
)

HOSTS = 2
SLACK = 4.0
WINDOW_S = 10.0


@dataclass(frozen=True)
class Step:
    """Describe what a host does, and how much time passes before."""

    pause_s: float
    host: int
    action: str


STEPS = st.lists(
    st.builds(
        Step,
        pause_s=st.sampled_from((0.0, 0.4, 1.0, 9.4)),
        host=st.integers(0, HOSTS - 1),
        action=st.sampled_from(("spend all", "borrow", "lose", "give back")),
    ),
    min_size=4,
    max_size=40,
)


LATE_SPENDING = [
    Step(0.0, 0, "spend all"),
    Step(0.0, 0, "borrow"),
    Step(0.4, 0, "spend all"),
    Step(9.4, 0, "give back"),
    Step(0.4, 1, "spend all"),
    Step(0.0, 0, "spend all"),
]
"""A loan that is spent later than it was lent, and both shares a window later."""


class HostShares:
    """Play hosts that spend, lend and borrow retries, and record what is sent."""

    def __init__(self):
        self.now_s = 100.0
        self.sent_s = []
        self.newest = None
        self.budgets = [
            RetryBudget(share=0.0, window_s=WINDOW_S, floor=0, slack=SLACK)
            for _ in range(HOSTS)
        ]

    def play(self, step):
        self.now_s += step.pause_s
        budget = self.budgets[step.host]
        match step.action:
            case "spend all":
                while retry := budget.spend(self.now_s, loans=True):
                    self.sent_s.append((self.now_s, step.host))
                    self.newest = retry
            case "give back":
                self.give_back(step.host)
            case action:
                lender = self.budgets[(step.host + 1) % HOSTS]
                lent = lender.lend(2, now_s=self.now_s, ttl_s=LOAN_TTL_S)
                if lent and action == "borrow":
                    budget.borrow(lent, until_s=self.now_s + LOAN_TTL_S)

    def give_back(self, host):
        """Give back the newest retry of a host if it was counted just now."""
        if self.sent_s and self.sent_s[-1] == (self.now_s, host):
            self.sent_s.pop()
            self.budgets[host].give_back(self.newest)

    def most_in_a_window(self):
        """Return the most retries that were sent in any window."""
        times = [at_s for at_s, _ in self.sent_s]
        return max(
            (sum(t <= x < t + WINDOW_S for x in times) for t in times), default=0
        )


class SharedBudgetTest(unittest.TestCase):
    @given(STEPS)
    @example(LATE_SPENDING)
    def test_loans_add_no_retry_to_the_budget_of_all_hosts(self, steps):
        # A loan that both hosts may spend in one window would exceed the budget.
        shares = HostShares()
        for step in steps:
            shares.play(step)
        self.assertLessEqual(shares.most_in_a_window(), HOSTS * SLACK)

    def test_a_host_keeps_half_of_what_it_has_left(self):
        # A host that lends all it has would break its own streams instead.
        budget = RetryBudget(share=0.0, window_s=WINDOW_S, floor=0, slack=8.0)
        lent = [budget.lend(9, now_s=1.0, ttl_s=LOAN_TTL_S) for _ in range(4)]
        self.assertEqual(lent, [4, 2, 1, 0])
        self.assertTrue(budget.try_spend(1.0))

    def test_lent_retries_are_back_after_the_window(self):
        budget = RetryBudget(share=0.0, window_s=WINDOW_S, floor=0, slack=2.0)
        self.assertEqual(budget.lend(1, now_s=1.0, ttl_s=LOAN_TTL_S), 1)
        self.assertEqual(budget.usage(1.0 + WINDOW_S).allowed, 1)
        self.assertEqual(budget.usage(2.0 + WINDOW_S).allowed, 2)

    def test_borrowed_retries_are_for_streams_that_asked_and_end(self):
        # Retries of other requests would use up what a broken stream waits for.
        budget = RetryBudget(share=0.0, window_s=WINDOW_S, floor=0)
        budget.borrow(2, until_s=1.5)
        self.assertFalse(budget.try_spend(1.0))
        self.assertTrue(budget.try_spend(1.0, loans=True))
        self.assertFalse(budget.try_spend(1.6, loans=True))

    def test_a_borrowed_retry_that_is_given_back_late_frees_no_retry_that_was_sent(
        self,
    ):
        # A stream that waited for an engine until its loan had ended freed a retry of
        # another stream, so that the host sent more than its share.
        budget = RetryBudget(share=0.0, window_s=WINDOW_S, floor=0, slack=1.0)
        self.assertTrue(budget.try_spend(5.0))
        budget.borrow(1, until_s=5.5)
        borrowed = budget.spend(5.0, loans=True)
        self.assertEqual(budget.usage(6.0).retries, 1)
        budget.give_back(borrowed)
        self.assertEqual(budget.usage(6.0).retries, 1)
        self.assertFalse(budget.try_spend(6.0, loans=True))

    def test_a_retry_that_is_given_back_late_frees_no_newer_one(self):
        # The newer one, which was sent, was counted for less than a window.
        budget = RetryBudget(share=0.0, window_s=WINDOW_S, floor=0, slack=2.0)
        unsent = budget.spend(1.0)
        self.assertTrue(budget.try_spend(9.0))
        budget.give_back(unsent)
        self.assertEqual(budget.usage(12.0).retries, 1)


class RetryBorrowerTest(unittest.TestCase):
    def setUp(self):
        self.borrower = RetryBorrower("h0", random.Random(1))
        asked = self.borrower.ask("llm", 3, ["h1", "h2", "h3"], now_s=10.0)
        self.asked = asked
        self.peer, self.request = next(iter(asked.items()))

    def loan(self, **changed):
        fields = {"lender": self.peer, "service": "llm", "count": 2}
        return Loan(**{**fields, "number": self.request.number, **changed})

    def test_some_peers_are_asked_for_their_part(self):
        self.assertEqual(len(self.asked), 2)
        self.assertEqual(self.request, LoanRequest("h0", "llm", self.request.number, 2))

    def test_peers_are_asked_for_no_more_than_is_needed(self):
        # A stream that needed one retry got one of each of two peers; the second one
        # ended unspent, and its lender counted it as sent.
        for count in range(1, 6):
            asked = self.borrower.ask("llm", count, ["h1", "h2", "h3"], now_s=10.0)
            self.assertEqual(sum(r.count for r in asked.values()), count)

    def test_a_loan_is_accepted_once(self):
        # A datagram may arrive twice.
        until_s = self.borrower.accept(self.loan(), now_s=10.1)
        self.assertEqual(until_s, 10.0 + LOAN_TTL_S)
        self.assertIsNone(self.borrower.accept(self.loan(), now_s=10.1))

    def test_a_loan_that_is_late_or_not_asked_for_is_not_accepted(self):
        # Its lender may count it no more.
        late_s = 10.0 + LOAN_TTL_S
        self.assertIsNone(self.borrower.accept(self.loan(), now_s=late_s))
        for changed in ({"lender": "h9"}, {"service": "plain"}, {"number": 99}):
            loan = self.loan(**changed)
            self.assertIsNone(self.borrower.accept(loan, now_s=10.1), changed)

    def test_a_host_without_peers_asks_nobody(self):
        self.assertEqual(self.borrower.ask("llm", 1, [], now_s=10.0), {})


if __name__ == "__main__":
    unittest.main()
