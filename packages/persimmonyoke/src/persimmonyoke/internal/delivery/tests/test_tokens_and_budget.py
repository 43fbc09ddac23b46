"""Test stream tokens and the retry budget."""

import unittest

from persimmonyoke.internal.delivery.api import TextProgress
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.stream_token import (
    InvalidToken,
    StreamOrigin,
    StreamTokenSigner,
)

KEY = b"0123456789abcdef"
ORIGIN = StreamOrigin(
    engine="llm-pool-3",
    incarnation="7",
    stream_id="stream-1",
    request_id="r1",
    request_digest=b"d" * 16,
    model="model",
    prompt_tokens=12,
    max_tokens=64,
    created_unix_s=1_000,
    deadline_unix_s=1_120,
    chat=True,
    include_usage=False,
)


class StreamTokenTest(unittest.TestCase):
    def setUp(self):
        self.signer = StreamTokenSigner(KEY)
        issuer = self.signer.issuer("workspace", ORIGIN)
        progress = TextProgress(5, 31, 99)
        self.token = issuer.issue(progress, now_unix_s=1_000.5).decode()

    def verify(self, token, **options):
        options = {"workspace": "workspace", "now_unix_s": 1_001.0, **options}
        return self.signer.verify(token, **options)

    def test_a_token_holds_what_another_host_needs_to_resume(self):
        content = self.verify(self.token)
        self.assertEqual(content.origin, ORIGIN)
        self.assertEqual((content.offset, content.text_bytes), (5, 31))
        self.assertRegex(self.token, r"^[A-Za-z0-9_.-]+$")
        self.assertLess(len(self.token), 256)

    def test_each_changed_character_is_detected(self):
        # A forged token could give access to the answer of another caller.
        for index, character in enumerate(self.token):
            changed = "A" if character != "A" else "B"
            token = self.token[:index] + changed + self.token[index + 1 :]
            with self.subTest(index=index), self.assertRaises(InvalidToken):
                self.verify(token)

    def test_a_token_is_refused_for_another_workspace_or_after_its_age(self):
        # A leaked token must not give access to another caller, or without a time
        # limit.
        for options in ({"workspace": "other"}, {"now_unix_s": 9_999.0}):
            with self.subTest(options), self.assertRaises(InvalidToken):
                self.verify(self.token, **options)

    def test_malformed_tokens_are_refused(self):
        # Last-Event-ID comes from the caller; no value may raise another error.
        for token in ("", ".", "a.b", "é.é", "=.=", "A" * 5000, self.token + "="):
            with self.subTest(token=token[:20]), self.assertRaises(InvalidToken):
                self.verify(token)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_the_share_of_first_attempts(self):
        # Retries beyond the share would keep an overloaded fleet overloaded.
        budget = RetryBudget(share=0.1, floor=10)
        allowed = 0
        for number in range(1000):
            now_s = number * 0.01
            budget.note_first_attempt(now_s)
            allowed += budget.try_spend(now_s)
        self.assertEqual(allowed, 100)

    def test_a_node_with_few_requests_can_retry(self):
        # The share of a single first attempt rounds down to zero retries.
        budget = RetryBudget(share=0.1, floor=2)
        budget.note_first_attempt(0.0)
        spent = [budget.try_spend(0.0) for _ in range(3)]
        self.assertEqual(spent, [True, True, False])
        self.assertGreater(budget.seconds_until_available(0.0), 0)

    def test_the_window_slides(self):
        # Otherwise, a burst of retries would block retries permanently.
        budget = RetryBudget(share=0.1, window_s=30.0, floor=1)
        self.assertTrue(budget.try_spend(0.0))
        self.assertFalse(budget.try_spend(29.0))
        self.assertTrue(budget.try_spend(30.0))
