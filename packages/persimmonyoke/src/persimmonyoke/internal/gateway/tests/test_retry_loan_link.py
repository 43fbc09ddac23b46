"""Test that hosts lend each other retries."""

import time
import unittest
from dataclasses import replace
from unittest import mock

import cbor2
import gevent

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.retry_loans import (
    ASKED_PEERS,
    LOAN_TTL_S,
    Loan,
    LoanRequest,
)
from persimmonyoke.internal.gateway.peer_messages import decode_datagram
from persimmonyoke.internal.gateway.retry_loan_link import (
    MIN_ASK_INTERVAL_S,
    RetryLoanLink,
)
from persimmonyoke.internal.gateway.retry_loan_messages import (
    LOAN_FORMAT,
    LOAN_REQUEST_FORMAT,
)
from persimmonyoke_testing.builders_fleet import configuration, host, stream_route
from persimmonyoke_testing.builders_gateway import gateway_state

SERVICE = "llm"


class Fleet:
    """Connect hosts over a network that may lose datagrams."""

    def __init__(self, size, *, loses=False):
        self.loses = loses
        self.sent = 0
        entries = [host(f"h{number}", port=number + 1) for number in range(size)]
        self.states = [gateway_state(log=[], host_name=e.name) for e in entries]
        self.links = {}
        for state in self.states:
            state.hosts.replace_all(entries, now_s=0.0)
            state.apply_configuration(configuration(), "test")
            name = state.settings.host_name
            self.links[name] = RetryLoanLink(state, self.send)

    def send(self, receivers, datagram):
        self.sent += len(receivers)
        if self.loses:
            return
        message = decode_datagram(datagram, now_s=0.0)
        for entry in receivers:
            link = self.links[entry.name]
            if isinstance(message, Loan):
                link.handle_loan(message, now_s=time.monotonic())
            else:
                link.handle_request(message, now_s=time.monotonic())

    def spend_all(self, state, *, loans=False):
        """Spend the retries of a host and return their number."""
        budget, count = state.retry_budget(SERVICE), 0
        while budget.try_spend(time.monotonic(), loans=loans):
            count += 1
        return count


class RetryLoanLinkTest(unittest.TestCase):
    def test_a_host_gets_the_retries_that_its_streams_want(self):
        fleet = Fleet(6)
        state = fleet.states[0]
        fleet.spend_all(state)
        for _ in range(2):
            state.on_retry_wanted(SERVICE, 2)
        gevent.sleep(0.01)
        self.assertEqual(fleet.spend_all(state, loans=True), 4)

    def test_a_host_that_is_asked_often_keeps_retries_of_its_own(self):
        fleet = Fleet(2)
        for number in range(50):
            request = LoanRequest("h0", SERVICE, number, 16)
            fleet.links["h1"].handle_request(request, now_s=time.monotonic())
        self.assertGreater(fleet.spend_all(fleet.states[1]), 0)

    def test_requests_that_get_no_loan_are_logged_at_intervals(self):
        # 2,222 of 2,257 lines on loans told of none while engines were killed.
        fleet = Fleet(2)
        lender = fleet.states[1]
        fleet.spend_all(lender)
        with mock.patch.object(lender.journal, "event") as event:
            for number in range(20):
                request = LoanRequest("h0", SERVICE, number, 1)
                fleet.links["h1"].handle_request(request, now_s=100.0 + number / 10)
        self.assertLessEqual(event.call_count, 2)

    def test_many_waiting_streams_send_few_requests(self):
        # Each of some hundred streams looked for a retry ten times a second at moments
        # of its own, and each look sent two datagrams.
        fleet = Fleet(6, loses=True)
        started_s = time.monotonic()
        while time.monotonic() < started_s + 0.3:
            fleet.states[0].on_retry_wanted(SERVICE, 1)
            gevent.sleep(0.001)
        gevent.sleep(0.1)
        self.assertLessEqual(fleet.sent, 2 * ASKED_PEERS * 0.3 / MIN_ASK_INTERVAL_S)

    def test_a_loan_is_counted_until_a_waiting_stream_may_have_sent_it(self):
        # A retry is sent up to 4.8 s after it was counted, once an engine takes the
        # stream; its lender expected it within 2 s.
        fleet = Fleet(2)
        lender = fleet.states[1]
        route = stream_route(SERVICE, target_latency_s=1.2)
        newer = replace(configuration(SERVICE, [route]), version=2)
        lender.apply_configuration(newer, "test")
        now_s = time.monotonic()
        budget = lender.retry_budget(SERVICE)
        allowed = budget.usage(now_s).allowed
        request = LoanRequest("h0", SERVICE, 1, 1)
        fleet.links["h1"].handle_request(request, now_s=now_s)
        latest_s = now_s + LOAN_TTL_S + route.caller_timeout_s
        window_s = lender.settings.retry_window_s
        self.assertEqual(budget.usage(latest_s + window_s).allowed, allowed - 1)

    def test_a_host_without_contact_to_its_peers_has_its_own_share(self):
        fleet = Fleet(6, loses=True)
        state = fleet.states[0]
        own = fleet.spend_all(state)
        state.on_retry_wanted(SERVICE, 2)
        gevent.sleep(0.01)
        self.assertGreater(own, 0)
        self.assertEqual(fleet.spend_all(state, loans=True), 0)

    def test_no_retries_are_lent_for_services_or_to_hosts_that_are_not_known(self):
        # Each unknown name would add a budget that is never dropped.
        fleet = Fleet(2)
        state = fleet.states[0]
        state.on_retry_wanted("unknown", 1)
        gevent.sleep(0.01)
        self.assertEqual(fleet.spend_all(fleet.states[1]), fleet.spend_all(state))

    def test_malformed_messages_raise_a_protocol_error(self):
        for values in ([], ["h1", SERVICE, 1, 0], ["h1", 5, 1, 1], ["h1", SERVICE, 1]):
            for number in (LOAN_REQUEST_FORMAT, LOAN_FORMAT):
                with self.assertRaises(ProtocolError):
                    decode_datagram(cbor2.dumps([number, *values]), now_s=0.0)


if __name__ == "__main__":
    unittest.main()
