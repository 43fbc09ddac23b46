"""Tests of streams, resumption, service calls and shutdown over HTTP."""

import json
import socket
import unittest
from dataclasses import replace

import gevent

from persimmonyoke.errors import ErrorKind
from persimmonyoke.internal.upstreams.api import (
    ServiceAnswer,
    ServiceOutcomeUnknown,
    StreamEvent,
)
from persimmonyoke_testing.builders_callers import (
    FAST_LIMITS,
    build_request_bytes,
    open_connection,
    parse_events,
    read_answer,
    send,
    start_host,
    stream_text,
)
from persimmonyoke_testing.builders_delivery import (
    FakeEngine,
    FakeFleet,
    Fault,
    answer_text,
)

PATH = "/v1/completions"
WORDS = 8
BODY = {"model": "desk-lm", "prompt": "x", "max_tokens": WORDS, "stream": True}
WHOLE = answer_text("x", WORDS)


def build_fleet(token_s=0.0, count=3):
    return FakeFleet([FakeEngine(f"e{n}", token_s=token_s) for n in range(count)])


class HostTestCase(unittest.TestCase):
    def start(self, fleet=None, **options):
        host = start_host(fleet=fleet, **options)
        self.addCleanup(host.server.stop)
        return host


class ResumeTest(HostTestCase):
    def resume(self, host, token, body):
        answer = send(host, "POST", PATH, body=body, headers={"Last-Event-ID": token})
        self.assertEqual(answer.status, 200, answer.body)
        return answer

    def test_each_event_can_be_resumed_at_another_host_with_and_without_the_body(self):
        # The host that a caller was connected to may never come back.
        fleet = build_fleet()
        first, second = self.start(fleet), self.start(fleet)
        events = parse_events(send(first, "POST", PATH, body=BODY).body)
        self.assertEqual(stream_text(events), WHOLE)
        tokens = [event.id for event in events if event.id]
        self.assertEqual(len(tokens), WORDS)
        for count, token in enumerate(tokens, start=1):
            for body in (BODY, None):
                with self.subTest(count=count, body=body):
                    answer = self.resume(second, token, body)
                    resumed = parse_events(answer.body)
                    seen = stream_text(events[:count])
                    self.assertEqual(seen + stream_text(resumed), WHOLE)
                    self.assertEqual(resumed[-1].data, "[DONE]")

    def test_a_stream_whose_engine_is_gone_is_resumed_with_the_body(self):
        fleet = build_fleet()
        first, second = self.start(fleet), self.start(fleet)
        events = parse_events(send(first, "POST", PATH, body=BODY).body)
        next(e for e in fleet.engines.values() if e.calls).crash()
        resumed = parse_events(self.resume(second, events[2].id, BODY).body)
        self.assertEqual(stream_text(events[:3]) + stream_text(resumed), WHOLE)

    def test_another_body_does_not_continue_the_stream(self):
        # The remainder of another answer must not be appended to this one.
        host = self.start()
        events = parse_events(send(host, "POST", PATH, body=BODY).body)
        for change in ({"prompt": "y"}, {"max_tokens": 9}, {"stream": False}):
            with self.subTest(change):
                answer = send(
                    host,
                    "POST",
                    PATH,
                    body={**BODY, **change},
                    headers={"Last-Event-ID": events[0].id},
                )
                self.assertEqual(answer.error["code"], ErrorKind.INVALID_VALUE)


class DisconnectTest(HostTestCase):
    def check_cancelled(self, host, body, wait_s):
        request = build_request_bytes("POST", PATH, body=body)
        with open_connection(host, request):
            gevent.sleep(wait_s)
        gevent.sleep(0.1)
        cancelled = [i for e in host.fleet.engines.values() for i in e.cancelled]
        self.assertEqual(len(cancelled), 1)
        self.assertEqual(len(host.gate.released_tokens), 1)
        self.assertEqual(host.fleet.open_dispatches, 0)

    def test_a_caller_that_leaves_an_idle_stream_frees_its_engine(self):
        # While nothing is written, only the event loop can notice the disconnect.
        fleet = build_fleet(token_s=0.09)
        self.check_cancelled(self.start(fleet), {**BODY, "max_tokens": 50}, 0.12)

    def test_a_caller_that_leaves_before_the_first_token_frees_its_engine(self):
        fleet = build_fleet(token_s=0.15)
        self.check_cancelled(self.start(fleet), {**BODY, "stream": False}, 0.05)

    def test_a_caller_that_sends_its_next_request_early_is_not_taken_to_have_left(self):
        # Pipelined bytes also make the socket readable.
        host = self.start(build_fleet(token_s=0.01))
        request = build_request_bytes("POST", PATH, body=BODY)
        keep = request.replace(b"Connection: close\r\n", b"")
        with open_connection(host, keep + request) as connection:
            data = b""
            while part := connection.recv(65_536):
                data += part
        self.assertEqual(data.count(b"[DONE]"), 2)


class SlowReaderTest(HostTestCase):
    def test_a_caller_that_stops_reading_is_disconnected(self):
        # Unread streams would occupy engines, memory and connections indefinitely.
        limits = replace(FAST_LIMITS, send_s=0.3)
        host = self.start(build_fleet(count=1), limits=limits)
        host.fleet.engines["e0"].generate = self.endless
        body = {**BODY, "max_tokens": 16_000}
        connection = socket.socket()
        self.addCleanup(connection.close)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect(host.server.address)
        connection.sendall(build_request_bytes("POST", PATH, body=body))
        with gevent.Timeout(10):
            while not host.gate.released_tokens:
                gevent.sleep(0.05)
        self.assertEqual(host.server.app.errors[ErrorKind.CALLER_GONE], 1)
        host.delivery.wait_background(1.0)
        self.assertEqual(len(host.fleet.engines["e0"].cancelled), 1)

    def endless(self, call):
        text = "x" * 10_000
        for offset in range(call.max_tokens):
            yield StreamEvent(call.request_id, "stream", offset, text, 1)


class ServiceTest(HostTestCase):
    def test_a_service_call_passes_path_query_body_and_answer(self):
        host = self.start()
        answer = ServiceAnswer(
            201, {"Content-Type": "application/json", "Connection": "close"}, b"{}"
        )
        host.services.outcomes["s1"] = [answer]
        reply = send(
            host,
            "POST",
            "/services/registry/domains/a%20b?x=1",
            body={"name": "a"},
            headers={"Idempotency-Key": "k1", "Content-Type": "application/json"},
        )
        self.assertEqual((reply.status, reply.body), (201, b"{}"))
        self.assertEqual(reply.headers["Content-Type"], "application/json")
        _, call = host.services.calls[0]
        self.assertEqual(call.path, "/domains/a%20b?x=1")
        self.assertEqual(json.loads(call.body), {"name": "a"})
        self.assertEqual(call.headers, {"Content-Type": "application/json"})
        self.assertEqual(host.service_gate.claimed, [("a", "k1")])

    def test_a_lost_call_says_that_its_outcome_is_unknown(self):
        # not_run would make the caller register the domain twice.
        host = self.start()
        host.services.outcomes["s1"] = [ServiceOutcomeUnknown("reset")]
        reply = send(host, "POST", "/services/registry/domains", body={"a": 1})
        self.assertEqual(reply.error["code"], "outcome_unknown")
        self.assertEqual(reply.error["ran"], "unknown")


class OtherPathsTest(HostTestCase):
    def test_addresses_health_and_metrics_are_answered(self):
        host = self.start()
        answer = send(host, "GET", "/v1/addresses?availability_zone=akl")
        self.assertEqual(len(json.loads(answer.body)["addresses"]), 2)
        self.assertEqual(answer.headers["Cache-Control"], "max-age=5")
        self.assertEqual(send(host, "GET", "/health", key=None).status, 200)
        metrics = send(host, "GET", "/metrics", key=None)
        self.assertEqual(metrics.body, b"requests 1\n")

    def test_a_stream_that_fails_before_its_first_event_gets_an_error_status(self):
        # A 200 with an error inside would count as success for most tools.
        fleet = build_fleet(count=1)
        fleet.engines["e0"].script = lambda e, call, offset: Fault.CRASH
        host = self.start(fleet)
        answer = send(host, "POST", PATH, body=BODY)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.error["ran"], "unknown")

    def test_an_unexpected_exception_within_a_stream_does_not_look_like_its_end(self):
        # A properly terminated stream would be taken for a complete answer.
        host = self.start()
        for engine in host.fleet.engines.values():
            engine.script = lambda e, call, offset: 1 // (offset - 3) and None
        request = build_request_bytes("POST", PATH, body=BODY)
        with open_connection(host, request) as connection:
            data = b""
            while part := connection.recv(65_536):
                data += part
        self.assertIn(b"id: ", data)
        self.assertNotIn(b"[DONE]", data)
        self.assertFalse(data.endswith(b"0\r\n\r\n"))


class ShutdownTest(HostTestCase):
    def test_a_drained_server_finishes_its_streams_and_closes_idle_connections(self):
        # A rolling replacement must not interrupt any request.
        host = self.start(build_fleet(token_s=0.05))
        request = build_request_bytes("POST", PATH, body=BODY)
        streaming = request.replace(b"Connection: close\r\n", b"")
        with open_connection(host, streaming) as busy, open_connection(host) as idle:
            gevent.sleep(0.1)
            host.server.drain()
            self.assertEqual(send(host, "GET", "/health").status, 503)
            answer = send(host, "GET", "/v1/models")
            self.assertEqual(answer.headers["Connection"], "close")
            host.server.close_listener()
            with self.assertRaises(ConnectionError):
                send(host, "GET", "/health")
            waiting = gevent.spawn(host.server.wait_idle, 5.0)
            events = parse_events(read_answer(busy).body)
            self.assertEqual(stream_text(events), WHOLE)
            self.assertEqual(idle.recv(1), b"")
        self.assertTrue(waiting.get(timeout=5))

    def test_waiting_gives_up_at_its_deadline(self):
        # A stream that never ends must not block the replacement of a host forever.
        host = self.start(build_fleet(token_s=0.09))
        request = build_request_bytes("POST", PATH, body={**BODY, "max_tokens": 90})
        with open_connection(host, request):
            gevent.sleep(0.1)
            self.assertFalse(host.server.wait_idle(0.2))
