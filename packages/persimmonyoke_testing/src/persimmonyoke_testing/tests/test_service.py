"""Tests of the simulated plain service."""

import unittest

from persimmonyoke.internal.upstreams.api import ServiceAnswer
from persimmonyoke.internal.upstreams.service_client import HttpServiceClient
from persimmonyoke_testing.builders_upstreams import service_call
from persimmonyoke_testing.service import ServiceStandIn


class ServiceStandInTest(unittest.TestCase):
    def test_each_run_of_a_key_is_counted_and_its_outcome_can_be_looked_up(self):
        # A simulator that hides duplicate calls would hide a second registration.
        with ServiceStandIn() as service:
            client = HttpServiceClient(service.address)
            first = client.call(service_call("a"), timeout_s=2.0)
            self.assertIsInstance(first, ServiceAnswer)
            self.assertEqual(client.outcome("a"), first)
            client.call(service_call("a"), timeout_s=2.0)
            self.assertEqual(service.record.keys_run_twice(), ["a"])
            self.assertIsNone(client.outcome("b"))

    def test_the_crash_marker_ends_the_service_before_the_run(self):
        # If the call ran before the crash, its retry would be counted as a duplicate.
        with ServiceStandIn() as service:
            service.faults.crash_marker = b"example"
            client = HttpServiceClient(service.address)
            client.call(service_call("a"), timeout_s=2.0)
            self.assertFalse(service.running)
            self.assertEqual(service.record.runs, [])
