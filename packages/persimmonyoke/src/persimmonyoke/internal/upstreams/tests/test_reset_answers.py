"""Tests of answers whose connection is reset before they are complete."""

import unittest

import gevent

from persimmonyoke.internal.platform.http_json import (
    Connections,
    HttpFailure,
    call_json,
)
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    ServiceAnswer,
    ServiceOutcomeUnknown,
)
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.service_client import HttpServiceClient
from persimmonyoke_testing.builders_upstreams import generate_call, service_call
from persimmonyoke_testing.reset_answers import ResetAnswers

TIMEOUT_S = 10.0
PAUSES_S = (0.0, 0.05)
ATTEMPTS = 3
# More than the buffers of the kernel hold, and a body that fits into them.
BODIES = (b"x" * 4_000_000, b"x" * 100)
OK = b"HTTP/1.1 200 X\r\n"
PART = OK + b"\r\nten bytes."
EVENT = (
    b'data: {"request_id": "request-1", "stream_id": "s", "offset": 0, "tokens": 1, '
    b'"text": "a"}\n\n'
)


class ResetAnswerTest(unittest.TestCase):
    """The part that had arrived was taken for the whole answer."""

    def check_each(self, answer, check):
        for pause_s in PAUSES_S:
            for body in BODIES:
                upstream = ResetAnswers(answer, pause_s=pause_s)
                upstream.start()
                for _ in range(ATTEMPTS):
                    with self.subTest(pause_s=pause_s, body_bytes=len(body)):
                        check(upstream.address, body)
                upstream.stop()

    def test_a_call_has_an_unknown_outcome(self):
        def check(address, body):
            client = HttpServiceClient(address)
            outcome = client.call(service_call(body=body), timeout_s=TIMEOUT_S)
            self.assertIsInstance(outcome, ServiceOutcomeUnknown)

        self.check_each(PART, check)

    def test_an_upload_of_a_kv_cache_fails(self):
        def check(address, body):
            with self.assertRaises(EngineFailure) as caught:
                HttpEngineClient(address).import_kv(body)
            self.assertTrue(caught.exception.sent)

        self.check_each(OK + b'\r\n{"kv_handle": "a"}', check)

    def test_a_stream_ends_with_an_error(self):
        def check(address, body):
            call = generate_call(prompt=body.decode())
            with self.assertRaises(EngineFailure):
                list(HttpEngineClient(address).generate(call))

        self.check_each(OK + b"\r\n" + EVENT, check)

    def test_a_call_of_the_platform_fails(self):
        def check(address, body):
            connections = Connections(f"http://{address}")
            with self.assertRaises(HttpFailure) as caught:
                call_json(connections, "POST", "/a", body.decode(), timeout_s=TIMEOUT_S)
            self.assertTrue(caught.exception.sent)

        self.check_each(OK + b'\r\n{"kvs": [', check)

    def test_a_connection_that_is_reset_while_idle_is_not_used_again(self):
        # Written on it, an at-least-once call would be lost.
        whole = OK + b"Content-Length: 2\r\n\r\n{}"
        upstream = ResetAnswers(whole, pause_s=0.0)
        upstream.start()
        self.addCleanup(upstream.stop)
        client = HttpServiceClient(upstream.address)
        for attempt in range(ATTEMPTS):
            outcome = client.call(service_call(None), timeout_s=TIMEOUT_S)
            self.assertIsInstance(outcome, ServiceAnswer)
            while upstream.resets <= attempt:
                gevent.sleep(0.01)
