"""Tests of the service client: outcomes of failed calls."""

import unittest

from persimmonyoke.internal.upstreams.api import (
    ServiceAnswer,
    ServiceNotSent,
    ServiceOutcomeUnknown,
)
from persimmonyoke.internal.upstreams.service_client import HttpServiceClient
from persimmonyoke_testing.builders_upstreams import service_call
from persimmonyoke_testing.service import ServiceStandIn


class ServiceClientTest(unittest.TestCase):
    def setUp(self):
        self.service = ServiceStandIn()
        self.service.start()
        self.addCleanup(self.service.stop)
        self.client = HttpServiceClient(self.service.address)
        self.addCleanup(self.client.close)

    def call(self, key="key-1", timeout_s=2.0, **changes):
        return self.client.call(service_call(key, **changes), timeout_s=timeout_s)

    def test_a_crash_after_the_run_leaves_the_outcome_unknown_until_looked_up(self):
        # Classified as not sent, the call would be retried and register a domain twice.
        self.service.faults.crash_before_answer = 1
        self.assertIsInstance(self.call(), ServiceOutcomeUnknown)
        with self.assertRaises(ConnectionError):
            self.client.outcome("key-1")
        self.service.start()
        self.assertEqual(self.client.outcome("key-1").status, 201)
        self.assertEqual(self.service.record.runs_by_key["key-1"], 1)

    def test_a_stopped_replica_and_a_marked_rejection_are_not_sent(self):
        # Classified as unknown, a call that another replica could run would be blocked.
        self.service.faults.reject_unrun = True
        self.assertIsInstance(self.call(), ServiceNotSent)
        self.service.crash()
        self.assertIsInstance(self.call(), ServiceNotSent)
        self.assertEqual(self.service.record.runs, [])

    def test_an_error_without_the_not_run_header_is_an_answer(self):
        # A 503 without the X-Not-Run header does not prove that the call did not run.
        self.service.faults.fail_unmarked = True
        answer = self.call()
        self.assertIsInstance(answer, ServiceAnswer)
        self.assertEqual(answer.status, 503)

    def test_a_slow_call_is_unknown_after_its_timeout(self):
        # The call keeps running after the timeout, so it must not count as failed.
        self.service.faults.slow_s = 5.0
        self.assertIsInstance(self.call(timeout_s=0.2), ServiceOutcomeUnknown)
        self.assertEqual(self.service.record.runs_by_key["key-1"], 1)

    def test_a_call_that_runs_at_most_once_avoids_stalled_idle_connections(self):
        # Sent over a stalled idle connection, its outcome would remain unknown.
        self.call(None, method="GET", path="/lookup", body=b"")
        self.service.silence_open_connections()
        self.assertIsInstance(self.call(timeout_s=1.0), ServiceAnswer)
