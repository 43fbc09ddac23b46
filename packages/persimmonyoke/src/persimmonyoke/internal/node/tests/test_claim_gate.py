"""Tests of the mapping from claim outcomes to gate outcomes."""

import unittest
from unittest import mock

from persimmonyoke.errors import ErrorKind, Ran
from persimmonyoke.internal.delivery.api import (
    GateGranted,
    GateOutcomeUnknown,
    GateRefused,
    GateReplay,
)
from persimmonyoke.internal.node.claim_gate import ClaimServiceGate
from persimmonyoke.internal.once import outcomes
from persimmonyoke.internal.once.service import ClaimService
from persimmonyoke.internal.upstreams.api import ServiceAnswer

CLAIM = outcomes.Claim("w", "k", "0001", b"e", b"a", b"d")
REFUSALS = (
    (
        outcomes.ClaimInProgress("entry-2"),
        ErrorKind.CALL_IN_PROGRESS,
        Ran.UNKNOWN,
    ),
    (outcomes.ClaimBodyMismatch(), ErrorKind.KEY_REUSED, Ran.NOT_RUN),
    (outcomes.ClaimExpired(), ErrorKind.KEY_EXPIRED, Ran.UNKNOWN),
    (
        outcomes.ClaimStoreUnavailable("down"),
        ErrorKind.STORE_UNAVAILABLE,
        Ran.NOT_RUN,
    ),
    (
        outcomes.ClaimRefused(ErrorKind.OVERLOADED, "full"),
        ErrorKind.OVERLOADED,
        Ran.NOT_RUN,
    ),
)


class ClaimServiceGateTest(unittest.TestCase):
    def setUp(self):
        self.claims = mock.create_autospec(ClaimService, instance=True)
        self.gate = ClaimServiceGate(self.claims)

    def claim(self, outcome):
        self.claims.claim.return_value = outcome
        return self.gate.claim("w", "k", b"d", now_s=0.0)

    def test_each_refusal_says_truthfully_whether_the_call_ran(self):
        # A caller that is wrongly told not_run repeats a call that has run.
        for outcome, kind, ran in REFUSALS:
            with self.subTest(type(outcome).__name__):
                refused = self.claim(outcome)
                self.assertIsInstance(refused, GateRefused)
                self.assertEqual((refused.kind, refused.ran), (kind, ran))

    def test_grants_replays_and_unknown_outcomes_are_passed_on(self):
        self.assertEqual(self.claim(outcomes.ClaimGranted(CLAIM)), GateGranted(CLAIM))
        stored = outcomes.StoredAnswer.of(201, "text/plain", b"done")
        answer = ServiceAnswer(201, {"Content-Type": "text/plain"}, b"done")
        self.assertEqual(self.claim(outcomes.ClaimReplay(stored)), GateReplay(answer))
        unknown = self.claim(outcomes.ClaimOutcomeUnknown("entry-2"))
        self.assertIsInstance(unknown, GateOutcomeUnknown)

    def test_the_caller_does_not_wait_until_an_answer_or_outcome_is_stored(self):
        # During an outage of the store each answer would be seconds late.
        answer = ServiceAnswer(201, {"content-type": "text/plain"}, b"done")
        stored = outcomes.StoredAnswer.of(201, "text/plain", b"done")
        self.gate.finish(CLAIM, answer)
        self.claims.finish_later.assert_called_once_with(CLAIM, stored)
        unknown = self.claim(outcomes.ClaimOutcomeUnknown("entry-2"))
        self.gate.finish(unknown.claim, answer)
        self.claims.record_outcome_later.assert_called_once_with(
            "w", "k", b"d", stored, now_unix_s=mock.ANY
        )
        self.claims.finish.assert_not_called()
        self.claims.record_outcome.assert_not_called()

    def test_nothing_is_learnt_for_an_archived_key(self):
        # The outcome of a call with another body would be stored for this one.
        unknown = self.claim(outcomes.ClaimOutcomeUnknown(""))
        self.assertEqual(unknown, GateOutcomeUnknown())

    def test_an_answer_that_was_too_long_to_store_is_asked_of_the_replicas(self):
        # An empty replay would look like the original answer.
        stored = outcomes.StoredAnswer(201, "text/plain", None, b"digest")
        outcome = self.claim(outcomes.ClaimReplay(stored))
        self.assertEqual(outcome, GateOutcomeUnknown())
