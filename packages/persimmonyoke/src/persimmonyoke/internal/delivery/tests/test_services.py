"""Test which service calls are retried and what is reported for lost ones."""

import time
import unittest

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.delivery.api import (
    GateOutcomeUnknown,
    GateRefused,
    GateReplay,
)
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.services import ServiceRequest
from persimmonyoke.internal.presets.model import ServicePolicy
from persimmonyoke.internal.upstreams.api import (
    ServiceAnswer,
    ServiceCall,
    ServiceNotSent,
    ServiceOutcomeUnknown,
)
from persimmonyoke_testing.builders_delivery import (
    FakeFleet,
    FakeGate,
    FakeServices,
    build_delivery,
)

LOST, NOT_SENT = ServiceOutcomeUnknown("reset"), ServiceNotSent("refused")
STORED = ServiceAnswer(201, {}, b"stored")


class ServiceCallTest(unittest.TestCase):
    def setUp(self):
        self.services = FakeServices("s1", "s2")
        self.gate = FakeGate()
        self.budget = RetryBudget(floor=10)

    def call(self, method="POST", key="k1", deadline_after_s=5.0):
        call = ServiceCall("r1", "registry", method, "/domains", {}, b"{}", key)
        request = ServiceRequest(
            call, "workspace", ServicePolicy("registry"), time.monotonic()
        )
        delivery = build_delivery(
            FakeFleet([]), services=self.services, gate=self.gate, budget=self.budget
        )
        deadline_s = request.deadline_s + deadline_after_s
        request = ServiceRequest(call, "workspace", request.policy, deadline_s)
        try:
            return delivery.call_service(request)
        finally:
            delivery.wait_background(1.0)

    def fail(self, **options):
        with self.assertRaises(RequestError) as caught:
            self.call(**options)
        return caught.exception

    def test_a_lost_idempotent_call_is_repeated_on_another_replica(self):
        # A call that can be repeated must not be reported as lost.
        self.services.outcomes["s1"] = [LOST]
        self.assertEqual(self.call("GET").body, b"done")
        self.assertEqual([name for name, _ in self.services.calls], ["s1", "s2"])
        self.assertEqual(self.gate.claimed, [])

    def test_a_lost_idempotent_call_that_cannot_be_repeated_is_unknown(self):
        # After a lost attempt, a refused connection must not turn the result into
        # not_run.
        self.services.outcomes = {"s1": [LOST], "s2": [NOT_SENT]}
        self.assertEqual(self.fail(method="GET").ran, Ran.UNKNOWN)

    def test_a_claimed_call_is_stored_and_retried_only_if_not_sent(self):
        self.services.outcomes["s1"] = [NOT_SENT]
        self.assertEqual(self.call().body, b"done")
        self.assertEqual(len(self.services.calls), 2)
        self.assertEqual(len(self.gate.finished), 1)

    def test_a_lost_claimed_call_is_never_sent_again(self):
        # A second dispatch would bill a registration twice.
        self.services.outcomes["s1"] = [LOST]
        error = self.fail()
        self.assertEqual(
            (error.kind, error.ran), (ErrorKind.OUTCOME_UNKNOWN, "unknown")
        )
        self.assertEqual(len(self.services.calls), 1)
        self.assertEqual(self.gate.released, [])
        # Otherwise, each resend would be told that the call is still in progress.
        self.assertEqual(self.gate.abandoned, ["claim"])

    def test_the_outcome_of_a_lost_call_is_asked_by_key_and_stored(self):
        # The service knows the outcome, so it must not be reported as unknown.
        self.services.outcomes["s1"] = [LOST]
        self.services.stored["k1"] = STORED
        self.assertEqual(self.call(), STORED)
        self.assertEqual(self.gate.finished, [STORED])
        self.assertEqual(self.gate.abandoned, [])

    def test_a_call_that_no_replica_accepted_is_released_and_not_run(self):
        # Keeping the claim of a call that never ran would refuse the caller's resend.
        self.services.outcomes = {"s1": [NOT_SENT], "s2": [NOT_SENT]}
        self.assertEqual(self.fail().ran, Ran.NOT_RUN)
        self.assertEqual(self.gate.released, ["claim"])

    def test_a_passed_deadline_releases_the_claim_before_any_dispatch(self):
        error = self.fail(deadline_after_s=-1.0)
        self.assertEqual(error.kind, ErrorKind.DEADLINE_EXCEEDED)
        self.assertEqual((error.ran, self.services.calls), (Ran.NOT_RUN, []))
        self.assertEqual(self.gate.released, ["claim"])

    def test_outcomes_of_the_gate_other_than_granted_dispatch_nothing(self):
        # Each of them means that the call ran, may have run or must not run.
        refused = GateRefused(ErrorKind.KEY_REUSED, "other body")
        self.gate.outcome = refused
        self.assertEqual(self.fail().kind, ErrorKind.KEY_REUSED)
        self.gate.outcome = GateOutcomeUnknown()
        self.assertEqual(self.fail().kind, ErrorKind.OUTCOME_UNKNOWN)
        self.gate.outcome = GateReplay(STORED)
        self.assertEqual(self.call(), STORED)
        self.assertEqual(self.services.calls, [])

    def test_a_call_without_key_is_sent_once_under_a_generated_key(self):
        # Without a key the caller can't resend safely, so a lost call stays unknown.
        self.services.outcomes["s1"] = [LOST]
        self.assertEqual(self.fail(key=None).ran, Ran.UNKNOWN)
        self.assertEqual(len(self.services.calls), 1)
        self.assertTrue(self.services.calls[0][1].idempotency_key)
        self.assertEqual(self.gate.claimed, [])

    def test_a_retry_that_finds_no_replica_spends_no_budget(self):
        # It stayed counted, and later calls found the budget spent.
        self.services = FakeServices("s1")
        self.services.outcomes["s1"] = [LOST]
        self.assertEqual(self.fail(method="GET").ran, Ran.UNKNOWN)
        self.assertEqual(self.budget.retries_total, 0)

    def test_retries_of_service_calls_spend_the_budget(self):
        # Otherwise, the failure of half of the replicas would double the calls.
        self.budget = RetryBudget(floor=0, share=0.0)
        self.services.outcomes["s1"] = [NOT_SENT]
        self.assertEqual(self.fail(method="GET").ran, Ran.NOT_RUN)
        self.assertEqual(len(self.services.calls), 1)
