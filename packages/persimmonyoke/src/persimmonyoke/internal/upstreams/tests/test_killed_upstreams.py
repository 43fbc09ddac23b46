"""Tests of answers whose upstream is killed while it sends them."""

import unittest

from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    OrderUnknown,
    ServiceAnswer,
    ServiceOutcomeUnknown,
)
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.service_client import HttpServiceClient
from persimmonyoke_testing.builders_upstreams import role_order, service_call
from persimmonyoke_testing.raw_answers import RawAnswers

TIMEOUT_S = 10.0
OK = b"HTTP/1.1 200 X\r\n"
WITHOUT_LENGTH = OK + b"\r\nbody"
WITH_LENGTH = OK + b"Content-Length: 4\r\n\r\nbody"
IN_CHUNKS = OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
CUT_SHORT = {
    "without a length": WITHOUT_LENGTH,
    "with a length": WITH_LENGTH[:-1],
    "in chunks": IN_CHUNKS[:-5],
    "in the middle of a chunk": IN_CHUNKS[:-9],
}


class KilledUpstreamTest(unittest.TestCase):
    """The part that a killed upstream had sent was taken for its whole answer."""

    def setUp(self):
        self.upstream = RawAnswers(killed=True)
        self.upstream.start()
        self.addCleanup(self.upstream.stop)
        self.service = HttpServiceClient(self.upstream.address)
        self.addCleanup(self.service.close)
        self.engine = HttpEngineClient(self.upstream.address)
        self.addCleanup(self.engine.close)

    def call(self, answer):
        self.upstream.answer = answer
        return self.service.call(service_call(), timeout_s=TIMEOUT_S)

    def restart(self):
        self.upstream.stop()
        self.upstream.start()

    def test_a_call_whose_answer_may_be_cut_short_has_an_unknown_outcome(self):
        for name, answer in CUT_SHORT.items():
            self.restart()
            with self.subTest(name):
                self.assertIsInstance(self.call(answer), ServiceOutcomeUnknown)

    def test_a_stored_outcome_that_may_be_cut_short_is_not_returned(self):
        stored = OK + b"X-Outcome-Status: 201\r\n"
        self.upstream.answer = WITHOUT_LENGTH.replace(OK, stored)
        with self.assertRaises(ConnectionError):
            self.service.outcome("key-1")

    def test_a_kv_cache_that_may_be_cut_short_is_not_used(self):
        for name, answer in CUT_SHORT.items():
            self.upstream.answer = answer
            self.restart()
            with self.subTest(name):
                with self.assertRaises(EngineFailure) as caught:
                    self.engine.export_kv("request-1")
                failure = caught.exception
                self.assertEqual((failure.sent, failure.crashed), (True, True))

    def test_an_order_whose_answer_may_be_cut_short_is_unknown(self):
        self.upstream.answer = OK + b'\r\n{"order_id": "order-1"}'
        outcome = self.engine.order(role_order(), timeout_s=TIMEOUT_S)
        self.assertIsInstance(outcome, OrderUnknown)

    def test_a_whole_answer_counts_even_if_its_upstream_is_killed(self):
        for name, answer in {"length": WITH_LENGTH, "chunks": IN_CHUNKS}.items():
            self.restart()
            with self.subTest(name):
                self.assertIsInstance(self.call(answer), ServiceAnswer)

    def test_an_answer_without_a_length_counts_if_its_upstream_still_listens(self):
        self.upstream.killed = False
        outcome = self.call(WITHOUT_LENGTH)
        self.assertIsInstance(outcome, ServiceAnswer)
        self.assertEqual(outcome.body, b"body")
