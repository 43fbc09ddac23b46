"""Tests of refusals: each error kind that a caller can cause."""

import json
import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyoke.errors import ERROR_ANSWERS, ErrorKind, Ran, RequestError
from persimmonyoke_testing.builders_callers import (
    KEY,
    build_request_bytes,
    open_connection,
    read_answer,
    send,
    start_host,
)

COMPLETIONS, CHAT = "/v1/completions", "/v1/chat/completions"
GOOD = {"model": "desk-lm", "prompt": "x", "max_tokens": 2}
MESSAGES = [{"role": "user", "content": "x"}]
GOOD_CHAT = {"model": "desk-lm", "messages": MESSAGES, "max_tokens": 2}
TOO_DEEP = b'{"a":' * 5000
VALUE, FIELD = ErrorKind.INVALID_VALUE, ErrorKind.UNKNOWN_FIELD
MALFORMED = ErrorKind.MALFORMED_BODY

BAD_BODIES = [
    (COMPLETIONS, b"", MALFORMED),
    (COMPLETIONS, b"{", MALFORMED),
    (COMPLETIONS, b"[]", MALFORMED),
    (COMPLETIONS, b'{"model": NaN}', MALFORMED),
    (COMPLETIONS, b'"\xff\xfe"', MALFORMED),
    (COMPLETIONS, TOO_DEEP[:19_000], MALFORMED),
    (COMPLETIONS, {}, VALUE),
    (COMPLETIONS, {**GOOD, "model": 3}, VALUE),
    (COMPLETIONS, {**GOOD, "model": "other"}, ErrorKind.UNKNOWN_MODEL),
    (COMPLETIONS, {**GOOD, "prompt": ""}, VALUE),
    (COMPLETIONS, {**GOOD, "prompt": ["a", "b"]}, VALUE),
    (COMPLETIONS, {**GOOD, "prompt": [1, 2]}, VALUE),
    (COMPLETIONS, {**GOOD, "max_tokens": True}, VALUE),
    (COMPLETIONS, {**GOOD, "max_tokens": 1.5}, VALUE),
    (COMPLETIONS, {**GOOD, "max_tokens": 0}, VALUE),
    (COMPLETIONS, {**GOOD, "max_tokens": 10**30}, VALUE),
    (COMPLETIONS, {**GOOD, "n": 2}, VALUE),
    (COMPLETIONS, {**GOOD, "echo": True}, VALUE),
    (COMPLETIONS, {**GOOD, "stream": "yes"}, VALUE),
    (COMPLETIONS, {**GOOD, "stream_options": {}}, VALUE),
    (COMPLETIONS, {**GOOD, "temperature": "hot"}, VALUE),
    (COMPLETIONS, {**GOOD, "top_k": 5}, FIELD),
    (COMPLETIONS, {**GOOD, "messages": MESSAGES}, FIELD),
    (COMPLETIONS, {**GOOD, "stream": True, "stream_options": {"x": 1}}, FIELD),
    (CHAT, {**GOOD_CHAT, "messages": []}, VALUE),
    (CHAT, {**GOOD_CHAT, "messages": ["x"]}, VALUE),
    (CHAT, {**GOOD_CHAT, "messages": [{"role": "robot", "content": "x"}]}, VALUE),
    (CHAT, {**GOOD_CHAT, "messages": [{"role": "user"}]}, VALUE),
    (CHAT, {**GOOD_CHAT, "messages": [{"role": "user", "content": [{}]}]}, VALUE),
    (CHAT, {**GOOD_CHAT, "messages": [{**MESSAGES[0], "x": 1}]}, FIELD),
    (CHAT, {**GOOD_CHAT, "prompt": "x"}, FIELD),
]
BAD_REQUESTS = [
    ("POST", COMPLETIONS, {"key": None}, ErrorKind.MISSING_KEY),
    ("POST", COMPLETIONS, {"key": "wrong"}, ErrorKind.WRONG_KEY),
    ("POST", COMPLETIONS, {"key": "x" * 600}, ErrorKind.WRONG_KEY),
    ("GET", COMPLETIONS, {}, ErrorKind.WRONG_METHOD),
    ("BREW", "/v1/models", {}, ErrorKind.WRONG_METHOD),
    ("GET", "/v2/models", {}, ErrorKind.UNKNOWN_PATH),
    ("GET", "/%00%ff", {}, ErrorKind.UNKNOWN_PATH),
    ("GET", "/v1/models/other", {}, ErrorKind.UNKNOWN_MODEL),
    ("GET", "/services/other/x", {}, ErrorKind.UNKNOWN_SERVICE),
    ("PATCH", "/services/registry/x", {}, ErrorKind.WRONG_METHOD),
    ("GET", "/services/registry/%2e%2e/x", {}, VALUE),
    ("POST", COMPLETIONS, {"body": b"x" * 20_001}, ErrorKind.BODY_TOO_LARGE),
    ("GET", "/" + "x" * 3000, {}, ErrorKind.HEADER_TOO_LARGE),
    ("GET", "/health", {"headers": {"X": "y" * 3000}}, ErrorKind.HEADER_TOO_LARGE),
    (
        "POST",
        "/services/registry/x",
        {"headers": {"Idempotency-Key": "k" * 256}},
        VALUE,
    ),
    ("POST", COMPLETIONS, {"body": GOOD, "headers": {"Last-Event-ID": "x"}}, VALUE),
]
BAD_HEADS = [
    b"GET /health\r\n\r\n",
    b"nonsense\r\n\r\n",
    b"GET /health HTTP/9.9\r\n\r\n",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    b"GET /health HTTP/1.1\r\nbroken line\r\nHost: x\r\n\r\n",
]


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.host = start_host()
        cls.addClassCleanup(cls.host.server.stop)

    def check_error(self, answer, kind, ran=Ran.NOT_RUN):
        self.assertEqual(answer.error["code"], kind.value)
        self.assertEqual(answer.error["ran"], ran.value)
        self.assertEqual(answer.status, ERROR_ANSWERS[kind].status)
        self.assertEqual(answer.error["type"], ERROR_ANSWERS[kind].openai_type)
        self.assertEqual(answer.headers["X-Request-Id"], answer.error["request_id"])
        self.assertNotIn(b"Traceback", answer.body)

    def test_bad_bodies_are_refused_with_their_kind(self):
        # A misparsed body would run something that the caller did not request.
        for path, body, kind in BAD_BODIES:
            with self.subTest(path=path, body=str(body)[:80]):
                self.check_error(send(self.host, "POST", path, body=body), kind)

    def test_bad_requests_are_refused_with_their_kind(self):
        for method, path, options, kind in BAD_REQUESTS:
            with self.subTest(method=method, path=path[:40], kind=kind):
                self.check_error(send(self.host, method, path, **options), kind)

    def test_ambiguous_or_malformed_heads_are_refused(self):
        # Request smuggling: if two parsers disagree on where a request ends, one caller
        # can prepend data to another's request.
        for head in BAD_HEADS:
            with self.subTest(head=head), open_connection(self.host, head) as opened:
                self.check_error(read_answer(opened), VALUE)

    def test_openai_parameters_without_effect_are_accepted(self):
        # Common clients send them by default.
        body = {**GOOD, "temperature": 1, "stop": ["x"], "user": "u", "seed": None}
        self.assertEqual(send(self.host, "POST", COMPLETIONS, body=body).status, 200)
        body = {**GOOD_CHAT, "tools": [], "response_format": {"type": "text"}}
        self.assertEqual(send(self.host, "POST", CHAT, body=body).status, 200)

    def test_text_of_a_caller_is_quoted_and_truncated_in_messages(self):
        # Messages go into the log, where a line break could forge another entry.
        answer = send(self.host, "GET", "/a%0ab")
        self.assertNotIn("\n", answer.error["message"])
        body = {**GOOD, "x\n" * 5000: 1}
        answer = send(self.host, "POST", COMPLETIONS, body=body)
        self.assertLess(len(answer.error["message"]), 500)
        self.assertNotIn("\n", answer.error["message"])

    def test_a_sender_slower_than_the_receive_deadline_is_refused(self):
        # A few slow senders could otherwise occupy all connections.
        head = build_request_bytes("POST", COMPLETIONS, body=GOOD)
        for sent in (head[:10], head[:-5]):
            with self.subTest(sent=len(sent)):
                with open_connection(self.host, sent) as connection:
                    answer = read_answer(connection)
                self.check_error(answer, ErrorKind.REQUEST_TIMEOUT)

    def test_a_sender_that_trickles_bytes_is_refused_as_well(self):
        # A timeout for each read would be restarted by each byte.
        data = build_request_bytes("POST", COMPLETIONS, body=GOOD)
        with open_connection(self.host) as connection:
            writer = gevent.spawn(self.trickle, connection, data)
            self.check_error(read_answer(connection), ErrorKind.REQUEST_TIMEOUT)
            writer.kill()

    def trickle(self, connection, data):
        for index in range(len(data)):
            connection.sendall(data[index : index + 1])
            gevent.sleep(0.02)

    def test_connections_over_the_limit_are_refused(self):
        # Without a limit, connections would exhaust the memory of a small host.
        connections = []
        for _ in range(20):
            context = open_connection(self.host)
            connections.append(context.__enter__())
            self.addCleanup(context.__exit__, None, None, None)
        gevent.sleep(0.05)
        self.check_error(send(self.host, "GET", "/health"), ErrorKind.OVERLOADED)
        for connection in connections:
            connection.close()
        gevent.sleep(0.05)
        self.assertEqual(send(self.host, "GET", "/health").status, 200)

    def test_errors_of_other_parts_reach_the_caller_with_ran_and_retry_after(self):
        # The caller must get the status of the kind and learn whether its call ran.
        for kind in ErrorKind:
            self.host.gate.error = RequestError(
                kind, "refused", ran=Ran.UNKNOWN, retry_after_s=1.5
            )
            with self.subTest(kind=kind):
                answer = send(self.host, "POST", COMPLETIONS, body=GOOD)
                self.check_error(answer, kind, Ran.UNKNOWN)
                self.assertEqual(answer.headers["Retry-After"], "2")
        self.host.gate.error = None

    def test_an_unexpected_exception_shows_no_internals(self):
        # A traceback in an answer would disclose internals of the host.
        self.host.gate.error = ZeroDivisionError("secret")
        answer = send(self.host, "POST", COMPLETIONS, body=GOOD)
        self.host.gate.error = None
        self.check_error(answer, ErrorKind.INTERNAL, Ran.UNKNOWN)
        self.assertNotIn(b"secret", answer.body)

    def test_a_host_without_configuration_is_not_ready(self):
        preset, self.host.configuration.preset = self.host.configuration.preset, None
        answer = send(self.host, "POST", COMPLETIONS, body=GOOD)
        health = send(self.host, "GET", "/health", key=None)
        self.host.configuration.preset = preset
        self.check_error(answer, ErrorKind.NOT_READY)
        self.assertEqual(health.status, 503)

    @settings(max_examples=150)
    @given(
        st.binary(max_size=200)
        | st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            max_leaves=8,
        ).map(lambda value: json.dumps(value).encode())
        | st.dictionaries(
            st.sampled_from([*GOOD, "messages", "n", "stream", "stop", "seed", "user"]),
            st.none() | st.integers() | st.text() | st.lists(st.text()) | st.booleans(),
        ).map(lambda value: json.dumps({**GOOD, **value}).encode())
    )
    def test_fuzzed_bodies_get_an_answer_that_is_never_an_internal_error(self, body):
        for path in (COMPLETIONS, CHAT):
            answer = send(self.host, "POST", path, body=body)
            self.assertIn(answer.status, (200, 400, 404))

    @settings(max_examples=150)
    @given(st.binary(max_size=300))
    def test_fuzzed_heads_get_an_answer_or_a_closed_connection(self, data):
        head = b"POST /v1/completions HTTP/1.1\r\n" + data + b"\r\n\r\n"
        with open_connection(self.host, head) as connection:
            connection.shutdown(1)
            data = b""
            while part := connection.recv(65_536):
                data += part
        self.assertNotIn(b" 500 ", data[:20])
        self.assertNotIn(b"Traceback", data)

    def test_the_key_of_another_workspace_does_not_open_a_stream(self):
        # A token not bound to its workspace would expose another caller's answer.
        body = {**GOOD, "stream": True}
        answer = send(self.host, "POST", COMPLETIONS, body=body, key=KEY)
        token = answer.body.split(b"id: ")[1].split(b"\n")[0].decode()
        refused = send(
            self.host,
            "POST",
            COMPLETIONS,
            headers={"Last-Event-ID": token},
            key="key-of-workspace-b",
        )
        self.check_error(refused, VALUE)
