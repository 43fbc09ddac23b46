"""Tests of the engine client: failure classification and completeness of answers."""

import socket
import time
import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    OrderAccepted,
    OrderRefused,
    OrderUnknown,
)
from persimmonyoke.internal.upstreams.clients import UpstreamClients
from persimmonyoke.internal.upstreams.connections import UpstreamConnection
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.probe import probe
from persimmonyoke_testing.builders_upstreams import (
    adapter_order,
    generate_call,
    role_order,
)
from persimmonyoke_testing.engine import EngineStandIn, EngineTiming, expected_text

FAST = EngineTiming(time_scale=0.02)


class ClientCase(unittest.TestCase):
    def setUp(self):
        self.engine = EngineStandIn(timing=FAST)
        self.engine.start()
        self.addCleanup(self.engine.stop)
        self.client = HttpEngineClient(self.engine.address)
        self.addCleanup(self.client.close)

    def failure(self, events):
        with self.assertRaises(EngineFailure) as caught:
            list(events)
        return caught.exception


class FailureTest(ClientCase):
    def test_a_refused_connection_is_not_sent(self):
        # Classified as sent, a call that can be retried would have an unknown outcome.
        self.client.state()
        self.engine.crash()
        failure = self.failure(self.client.generate(generate_call()))
        self.assertEqual((failure.sent, failure.crashed), (False, True))

    def test_a_reset_after_the_request_was_written_counts_as_sent(self):
        # Reporting not_run here would be false: the engine may have run the call.
        self.client.state()
        self.engine.faults.reset_generates = 1
        failure = self.failure(self.client.generate(generate_call()))
        self.assertTrue(failure.sent)
        self.assertFalse(failure.refused)
        self.assertFalse(failure.crashed)

    def test_a_refusal_says_that_the_call_did_not_run(self):
        # Without this, delivery could not safely resend the call to another engine.
        self.engine.faults.refuse = True
        failure = self.failure(self.client.generate(generate_call()))
        self.assertEqual((failure.refused, failure.status), (True, 503))
        self.assertEqual(self.engine.record.runs("request-1"), 0)

    def test_a_crash_is_detected_even_if_the_engine_restarted_immediately(self):
        # A request that crashes engines would be retried if the crash were mistaken for
        # a broken connection.
        self.client.state()
        self.engine.faults.crash_marker = "poison"
        for restart_after_s in (None, 0.0):
            self.engine.faults.restart_after_s = restart_after_s
            call = generate_call(prompt="poison", max_tokens=2_000)
            failure = self.failure(self.client.generate(call))
            self.assertEqual((failure.sent, failure.crashed), (True, True))
            if restart_after_s is None:
                self.engine.start()
                self.client.state()

    def test_an_interrupted_stream_of_a_running_engine_is_not_a_crash(self):
        # Reporting a crash would quarantine a harmless request.
        self.engine.faults.cut_streams_after = 3
        failure = self.failure(self.client.generate(generate_call()))
        self.assertEqual((failure.sent, failure.crashed), (True, False))

    def test_a_silent_stream_fails_after_its_idle_timeout_and_the_probe_succeeds(self):
        # A stalled connection must neither block the caller nor mark the engine failed.
        self.client.state()
        events = self.client.generate(
            generate_call(max_tokens=5_000), idle_timeout_s=0.2
        )
        next(events)
        self.engine.silence_open_connections()
        started_s = time.monotonic()
        failure = self.failure(events)
        self.assertTrue(failure.silent)
        self.assertLess(time.monotonic() - started_s, 2.0)
        self.assertTrue(probe(self.engine.upstream()))
        self.assertEqual(self.client.state().name, self.engine.name)
        self.engine.crash()
        self.assertFalse(probe(self.engine.upstream()))

    def test_a_finished_stream_leaves_its_connection_for_the_next_call(self):
        # A new connection for each request would add a round trip to its first token.
        first = list(self.client.generate(generate_call("a")))
        pool = self.client._pool
        idle = list(pool._idle)
        self.assertEqual((len(first), len(idle)), (20, 1))
        list(self.client.generate(generate_call("b")))
        self.assertEqual(pool._idle, idle)

    def test_a_closed_iterator_disconnects_and_the_stream_can_be_resumed(self):
        # A caller that disconnects must not keep a pooled connection busy.
        events = self.client.generate(generate_call(max_tokens=500))
        event = next(events)
        events.close()
        self.assertEqual(self.client._pool._idle, [])
        rest = self.client.resume(event.stream_id, offset=event.tokens)
        text = event.text + "".join(e.text for e in rest)
        self.assertEqual(text, expected_text(generate_call().prompt, 500))

    def test_a_timeout_of_the_caller_abandons_all_idle_connections(self):
        # Otherwise each stalled idle connection would make one more request time out.
        self.client.state()
        list(self.client.generate(generate_call("a", max_tokens=1)))
        events = self.client.generate(generate_call("b", max_tokens=5_000))
        next(events)
        self.client.state()
        self.engine.silence_open_connections()
        with self.assertRaises(gevent.Timeout), gevent.Timeout(0.2):
            list(events)
        self.assertEqual(self.client.state().name, self.engine.name)

    def test_a_fresh_client_leaves_stalled_connections_alone(self):
        # Resuming over a connection that has just stalled would stall again.
        clients = UpstreamClients()
        upstream = self.engine.upstream()
        clients.engine(upstream).state()
        self.engine.silence_open_connections()
        with gevent.Timeout(2.0):
            clients.engine(upstream, fresh=True).cancel("request-1")
        clients.keep_only([])
        self.assertIsNot(clients.engine(upstream), clients.engine(upstream, fresh=True))


class OwnAnswerTest(ClientCase):
    def test_an_event_of_another_request_is_never_yielded(self):
        # Yielding it would deliver one caller's answer to another caller.
        other = self.client.generate(generate_call("other", max_tokens=5_000))
        next(other)
        events = self.client.generate(generate_call("own", max_tokens=5_000))
        own = [next(events)]
        self.engine.faults.crossed_events = 2
        for stream, yielded in ((events, own), (other, [])):
            with self.assertRaises(ProtocolError):
                yielded.extend(stream)
        self.assertEqual({event.request_id for event in own}, {"own"})
        self.assertEqual(self.client._pool._idle, [])

    @settings(max_examples=25)
    @given(
        cuts=st.lists(st.integers(1, 12), max_size=5),
        per_event=st.integers(1, 9),
        tokens=st.integers(1, 70),
    )
    def test_resuming_at_any_offsets_gives_each_token_once(
        self, cuts, per_event, tokens
    ):
        # A wrong offset after a broken connection drops or repeats text.
        timing = EngineTiming(time_scale=0.001)
        with EngineStandIn(timing=timing, tokens_per_event=per_event) as engine:
            client = HttpEngineClient(engine.address)
            call = generate_call(max_tokens=tokens)
            answer = self.read_with_cuts(engine, client, call, list(cuts))
            self.assertEqual(answer, expected_text(call.prompt, tokens))
            self.assertEqual(engine.record.runs(call.request_id), 1)

    def read_with_cuts(self, engine, client, call, cuts):
        texts, offset, stream_id = [], 0, None
        while True:
            engine.faults.cut_streams_after = cuts.pop() if cuts else None
            if stream_id is None:
                events = client.generate(call)
            else:
                resume = {"offset": offset, "request_id": call.request_id}
                events = client.resume(stream_id, **resume)
            try:
                for event in events:
                    texts.append(event.text)
                    offset = event.offset + event.tokens
                    stream_id = event.stream_id
                return "".join(texts)
            except EngineFailure as failure:
                self.assertTrue(failure.sent)


class UnchunkedStreamTest(unittest.TestCase):
    EVENT = (
        b'data: {"request_id":"request-1","stream_id":"s","offset":%d,'
        b'"text":"x","tokens":1%b}\n\n'
    )

    def events(self, *parts):
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        task = gevent.spawn(self.answer, server, parts)
        self.addCleanup(task.kill)
        client = HttpEngineClient(f"127.0.0.1:{server.getsockname()[1]}")
        return client.generate(generate_call())

    def answer(self, server, parts):
        while True:
            connection, _ = server.accept()
            connection.recv(65_536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            for part in parts:
                gevent.sleep(0.01)
                connection.sendall(part)
            connection.close()

    def test_a_stream_ended_by_a_close_is_complete_only_with_a_finish_reason(self):
        # Otherwise a truncated answer would be taken for a complete one.
        first = self.EVENT % (0, b"")
        last = self.EVENT % (1, b',"finish_reason":"length"')
        events = self.events(first, last[:30], last[30:])
        self.assertEqual([event.offset for event in events], [0, 1])
        with self.assertRaises(EngineFailure):
            list(self.events(first, last[:30]))

    def test_a_repeated_or_skipped_event_is_a_protocol_error(self):
        # Otherwise text would be delivered twice or be missing from the answer.
        for offset in (0, 2):
            events = self.events(self.EVENT % (0, b""), self.EVENT % (offset, b""))
            with self.assertRaises(ProtocolError):
                list(events)


class OrderSenderTest(ClientCase):
    def test_outcomes_of_orders_distinguish_no_effect_from_unknown_effect(self):
        # An order that may have taken effect must be resolved instead of sent again.
        order = adapter_order("one")
        self.engine.faults.lose_order_answers = 1
        self.assertIsInstance(self.client.order(order, timeout_s=1.0), OrderUnknown)
        self.assertIsInstance(self.client.order(order, timeout_s=1.0), OrderAccepted)
        self.engine.crash()
        self.assertIsInstance(self.client.order(order, timeout_s=1.0), OrderRefused)

    def test_an_order_connection_discards_unsent_data_and_honours_its_deadline(self):
        # Data buffered by the kernel could arrive after the controller lost authority.
        seen = []
        real_connect = UpstreamConnection.connect

        def connect(connection):
            real_connect(connection)
            linger = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
            timeout_ms = connection.sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            seen.append((linger, timeout_ms))

        UpstreamConnection.connect = connect
        self.addCleanup(setattr, UpstreamConnection, "connect", real_connect)
        self.client.order(role_order(), timeout_s=0.7)
        linger = int.to_bytes(1, 4, "little") + bytes(4)
        self.assertEqual(seen, [(linger, 700)])

    def test_an_engine_that_never_answers_gives_unknown_within_the_timeout(self):
        # An order without a timeout would block the controller beyond its lease.
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        client = HttpEngineClient(f"127.0.0.1:{server.getsockname()[1]}")
        with gevent.Timeout(5.0):
            outcome = client.order(role_order(), timeout_s=0.2)
        self.assertIsInstance(outcome, OrderUnknown)
