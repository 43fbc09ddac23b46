"""Tests of answers whose head is no head of an HTTP/1.1 answer."""

import unittest

from persimmonyoke.internal.platform.http_json import (
    Connections,
    HttpFailure,
    call_json,
    send,
)
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    OrderUnknown,
    ServiceAnswer,
    ServiceOutcomeUnknown,
)
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.service_client import HttpServiceClient
from persimmonyoke_testing.builders_upstreams import (
    generate_call,
    role_order,
    service_call,
)
from persimmonyoke_testing.raw_answers import RawAnswers

TIMEOUT_S = 10.0
OK = b"HTTP/1.1 200 X\r\n"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"4\r\nbody\r\n0\r\n\r\n"
LAST_EVENT = (
    b'data: {"request_id": "request-1", "stream_id": "s", "offset": 0, "tokens": 1, '
    b'"text": "a", "finish_reason": "stop"}\n\n'
)


def with_head(head, body=b"body"):
    """Return an answer with a head, to which the blank line is added."""
    return head + b"\r\n" + body


MALFORMED = {
    "status 000": with_head(b"HTTP/1.1 000 X\r\n" + LENGTH),
    "status 099": with_head(b"HTTP/1.1 099 X\r\n" + LENGTH),
    "status 600": with_head(b"HTTP/1.1 600 X\r\n" + LENGTH),
    "status 999": with_head(b"HTTP/1.1 999 X\r\n" + LENGTH),
    "status +200": with_head(b"HTTP/1.1 +200 X\r\n" + LENGTH),
    "status 2_00": with_head(b"HTTP/1.1 2_00 X\r\n" + LENGTH),
    "status 101": with_head(b"HTTP/1.1 101 X\r\n" + LENGTH),
    "HTTP/0.9": with_head(b"HTTP/0.9 200 X\r\n" + LENGTH),
    "HTTP/1.7": with_head(b"HTTP/1.7 200 X\r\n" + LENGTH),
    "control byte in the reason": with_head(b"HTTP/1.1 200 O\x01K\r\n" + LENGTH),
    "blank in a name": with_head(OK + b"Na me: a\r\n" + LENGTH),
    "blank after a name": with_head(OK + b"Name : a\r\n" + LENGTH),
    "blank in the name of the length": with_head(OK + b"Content-Length : 4\r\n"),
    "control byte in a name": with_head(OK + b"N\x01e: a\r\n" + LENGTH),
    "zero byte in a name": with_head(OK + b"N\x00e: a\r\n" + LENGTH),
    "bracket in a name": with_head(OK + b"N(e: a\r\n" + LENGTH),
    "no name": with_head(OK + b": a\r\n" + LENGTH),
    "no colon": with_head(OK + b"Name\r\n" + LENGTH),
    "folded value": with_head(OK + b"N: a\r\n b\r\n" + LENGTH),
    "zero byte in a value": with_head(OK + b"N: a\x00b\r\n" + LENGTH),
    "control byte in a value": with_head(OK + b"N: a\x01b\r\n" + LENGTH),
    "bare CR in a value": with_head(OK + b"N: a\rContent-Length: 2\r\n" + LENGTH),
    "bare LF in a value": with_head(OK + b"N: a\nContent-Length: 2\r\n"),
    "length +4": with_head(OK + b"Content-Length: +4\r\n"),
    "length -4": with_head(OK + b"Content-Length: -4\r\n"),
    "length 0_4": with_head(OK + b"Content-Length: 0_4\r\n"),
    "length 0x4": with_head(OK + b"Content-Length: 0x4\r\n"),
    "length 4,4": with_head(OK + b"Content-Length: 4,4\r\n"),
    "empty length": with_head(OK + b"Content-Length:\r\n"),
    "two lengths": with_head(OK + b"Content-Length: 2\r\n" + LENGTH),
    "length and chunks": with_head(OK + LENGTH + CHUNKED, CHUNKS),
    "two codings": with_head(OK + b"Transfer-Encoding: gzip, chunked\r\n", CHUNKS),
    "a coding twice": with_head(OK + CHUNKED + CHUNKED, CHUNKS),
    "another coding": with_head(OK + b"Transfer-Encoding: gzip\r\n"),
    "chunks in HTTP/1.0": with_head(b"HTTP/1.0 200 X\r\n" + CHUNKED, CHUNKS),
    "end in the status line": b"HTTP/1.1 200",
    "end after the status line": OK,
    "end in a header": OK + b"Content-Le",
    "end before the blank line": OK + b"Server-Stamp: a\r\n",
}
VALID = {
    "length": with_head(OK + LENGTH),
    "status 599": with_head(b"HTTP/1.1 599 X\r\n" + LENGTH),
    "no reason": with_head(b"HTTP/1.1 200 \r\n" + LENGTH),
    "reason in another script": with_head(b"HTTP/1.1 200 \xc3\xa9\r\n" + LENGTH),
    "value in another script": with_head(OK + b"N: \xc3\xa9\r\n" + LENGTH),
    "empty value": with_head(OK + b"N:\r\n" + LENGTH),
    "HTTP/1.0": with_head(b"HTTP/1.0 200 X\r\n" + LENGTH),
    "no length": with_head(OK),
    "chunks": with_head(OK + CHUNKED, CHUNKS),
    "after interim answers": with_head(b"HTTP/1.1 100 Continue\r\n", b"")
    + with_head(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n", b"")
    + with_head(OK + LENGTH),
}


def around(answer, body):
    """Return a malformed answer whose body is one that the reader accepts."""
    head, blank_line, _ = answer.partition(b"\r\n\r\n")
    if not blank_line or CHUNKED in answer:
        return answer
    head = head.replace(LENGTH[:-2], b"Content-Length: %d" % len(body))
    return head + blank_line + body


class MalformedHeadCase(unittest.TestCase):
    def setUp(self):
        self.upstream = RawAnswers()
        self.upstream.start()
        self.addCleanup(self.upstream.stop)

    def check_each(self, check, answers=MALFORMED, change=None):
        for name, answer in answers.items():
            self.upstream.answer = change(answer) if change else answer
            with self.subTest(name):
                check()


class ServiceTest(MalformedHeadCase):
    """Clients got such answers, with a body that was not the replica's."""

    def setUp(self):
        super().setUp()
        self.client = HttpServiceClient(self.upstream.address)
        self.addCleanup(self.client.close)

    def call(self):
        return self.client.call(service_call(), timeout_s=TIMEOUT_S)

    def check_unknown(self):
        self.assertIsInstance(self.call(), ServiceOutcomeUnknown)

    def check_answer(self):
        outcome = self.call()
        self.assertIsInstance(outcome, ServiceAnswer)
        self.assertEqual(outcome.body, b"body")

    def check_no_outcome(self):
        with self.assertRaises(ConnectionError):
            self.client.outcome("key-1")

    def test_a_call_with_a_malformed_answer_has_an_unknown_outcome(self):
        self.check_each(self.check_unknown)

    def test_a_malformed_rejection_does_not_count_as_not_sent(self):
        # Classified as not sent, a call that did run would be sent to another replica.
        marked = b"HTTP/1.1 503 X\r\nX-Not-Run: true\r\nNa me: a\r\n" + LENGTH
        self.upstream.answer = with_head(marked)
        self.check_unknown()

    def test_a_malformed_answer_is_no_stored_outcome(self):
        stored = OK + b"X-Outcome-Status: 201\r\n"
        self.check_each(
            self.check_no_outcome, change=lambda answer: answer.replace(OK, stored)
        )

    def test_a_malformed_answer_does_not_say_that_no_outcome_is_stored(self):
        # Taken for a 404, a call that did run would be sent again.
        missing = b"HTTP/1.1 404 X\r\n"
        self.check_each(
            self.check_no_outcome, change=lambda answer: answer.replace(OK, missing)
        )

    def test_a_stored_outcome_whose_status_is_none_is_not_returned(self):
        # The client got an answer with that status.
        for status in (b"000", b"099", b"100", b"199", b"600", b"999", b"20", b"0200"):
            stored = OK + b"X-Outcome-Status: " + status + b"\r\n" + LENGTH
            self.upstream.answer = with_head(stored)
            with self.subTest(status):
                self.check_no_outcome()

    def test_unusual_heads_that_http_allows_are_read(self):
        self.check_each(self.check_answer, VALID)


class EngineTest(MalformedHeadCase):
    """A KV cache that was cut short was used, or an order taken for accepted."""

    def setUp(self):
        super().setUp()
        self.client = HttpEngineClient(self.upstream.address)
        self.addCleanup(self.client.close)

    def check_failure(self, call):
        with self.assertRaises(EngineFailure) as caught:
            call()
        failure = caught.exception
        found = (failure.sent, failure.refused, failure.status)
        self.assertEqual(found, (True, False, None))

    def check_kv(self):
        self.check_failure(lambda: self.client.export_kv("request-1"))

    def check_stream(self):
        self.check_failure(lambda: list(self.client.generate(generate_call())))

    def check_order(self):
        outcome = self.client.order(role_order(), timeout_s=TIMEOUT_S)
        self.assertIsInstance(outcome, OrderUnknown)

    def test_a_malformed_answer_is_no_kv_cache(self):
        self.check_each(self.check_kv)

    def test_a_stream_with_a_malformed_head_has_an_unknown_outcome(self):
        self.upstream.answer = with_head(OK, LAST_EVENT)
        self.assertEqual(len(list(self.client.generate(generate_call()))), 1)
        self.check_each(
            self.check_stream, change=lambda answer: around(answer, LAST_EVENT)
        )

    def test_an_order_with_a_malformed_answer_is_unknown(self):
        body = b'{"order_id": "order-1"}'
        self.check_each(self.check_order, change=lambda answer: around(answer, body))


class StoreTest(MalformedHeadCase):
    """A malformed answer of the platform was read as its state."""

    def setUp(self):
        super().setUp()
        self.connections = Connections(f"http://{self.upstream.address}")

    def check_call(self):
        with self.assertRaises(HttpFailure) as caught:
            call_json(self.connections, "POST", "/a", {}, timeout_s=TIMEOUT_S)
        failure = caught.exception
        self.assertEqual((failure.sent, failure.status), (True, 0))

    def check_stream(self):
        with self.assertRaises(HttpFailure):
            self.open_stream().close()

    def open_stream(self):
        return send(
            self.connections, "POST", "/a", {}, timeout_s=TIMEOUT_S, stream=True
        )

    def test_a_malformed_answer_is_not_read(self):
        self.check_each(self.check_call, change=lambda answer: around(answer, b"{}"))

    def test_a_stream_with_a_malformed_head_is_not_opened(self):
        self.check_each(self.check_stream)
