"""Test one generation under faults at each position of its stream."""

import random
import time
import unittest
from dataclasses import replace

import gevent
from gevent.util import wrap_errors

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.delivery.answer import DeliveryCount
from persimmonyoke.internal.delivery.api import CallerGone
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.suspects import SuspectRegister
from persimmonyoke_testing.builders_delivery import (
    FakeEngine,
    FakeFleet,
    Fault,
    RecordingSink,
    answer_text,
    build_delivery,
    build_request,
)
from persimmonyoke_testing.builders_stalls import StallingFleet

WORDS = 8
FULL_ANSWER = answer_text("tell me", WORDS)


def fail_once(fault, at_offset, *, engine_name=None):
    """Return a script that injects a fault once at an offset."""
    done = []

    def script(engine, call, offset):
        if done or offset != at_offset or engine_name not in (None, engine.name):
            return None
        done.append(offset)
        return fault

    return script


def build_fleet(count=3, script=None, **options):
    engines = [FakeEngine(f"e{number}", **options) for number in range(count)]
    for engine in engines:
        if script is not None:
            engine.script = script
    return FakeFleet(engines)


class FaultPositionTest(unittest.TestCase):
    def check_complete_answer(self, fault, offset):
        fleet = build_fleet(script=fail_once(fault, offset))
        delivery = build_delivery(fleet)
        sink = RecordingSink()
        result = delivery.complete(build_request(max_tokens=WORDS), sink)
        self.assertEqual(sink.text, FULL_ANSWER)
        self.assertEqual(sink.finish_reasons, ["length"])
        self.assertEqual(result.output_tokens, WORDS)
        self.assertEqual(fleet.open_dispatches, 0)
        return fleet, delivery

    def test_each_fault_at_each_event_position_still_gives_the_complete_answer(self):
        # A fault at the first or last event is where a retry most easily loses or
        # repeats a token.
        for fault in Fault:
            for offset in range(WORDS + 1):
                with self.subTest(fault=fault.name, offset=offset):
                    self.check_complete_answer(fault, offset)

    def test_a_reset_stream_is_resumed_on_the_same_engine_at_its_offset(self):
        # Sending the prompt again would waste the work that the engine has already
        # done.
        fleet, delivery = self.check_complete_answer(Fault.RESET, 5)
        engine = next(item for item in fleet.engines.values() if item.calls)
        self.assertEqual([offset for _, offset in engine.resumes], [5])
        self.assertEqual(delivery.counts[DeliveryCount.CONTINUATIONS], 0)

    def test_a_dead_engine_is_replaced_with_the_delivered_text_as_prefix(self):
        # Without the prefix the other engine would send the first words again.
        fleet, _ = self.check_complete_answer(Fault.CRASH, 5)
        calls = [call for item in fleet.engines.values() for call in item.calls]
        self.assertEqual([call.prefix_tokens for call in calls], [0, 5])
        self.assertEqual(calls[1].prefix_text, answer_text("tell me", 5))

    def test_a_host_that_stalled_keeps_waiting_for_engines_that_are_down(self):
        # Counting the stall as part of the wait would fail the request without an
        # engine.
        fleet = StallingFleet([FakeEngine("e0")], down_choices=4)
        delivery = build_delivery(fleet, clock=fleet.clock)
        sink = RecordingSink()
        request = build_request(max_tokens=WORDS, deadline_after_s=60.0)
        delivery.complete(request, sink)
        self.assertEqual(sink.text, FULL_ANSWER)

    def test_an_event_of_another_request_is_dropped_and_counted(self):
        # Text for another caller must not reach this one.
        _, delivery = self.check_complete_answer(Fault.MISROUTE, 3)
        self.assertEqual(delivery.counts[DeliveryCount.CROSSED_EVENTS], 1)

    def test_random_faults_end_in_the_complete_answer_or_a_correct_error(self):
        # Successive faults reach states that single faults do not.
        seed = random.randrange(2**32)
        print(f"fault schedule seed {seed}")
        rng = random.Random(seed)
        for round_number in range(100):
            faults = {
                (f"e{engine}", offset): rng.choice(list(Fault))
                for engine in range(3)
                for offset in rng.sample(range(WORDS + 1), rng.randrange(4))
            }
            with self.subTest(round=round_number, faults=faults):
                self.check_random_round(dict(faults))

    def check_random_round(self, faults):
        fleet = build_fleet(
            script=lambda engine, call, offset: faults.pop((engine.name, offset), None)
        )
        delivery = build_delivery(fleet)
        sink = RecordingSink()
        try:
            delivery.complete(build_request(max_tokens=WORDS), sink)
        except RequestError as error:
            self.assertTrue(FULL_ANSWER.startswith(sink.text))
            self.assertEqual(sink.finish_reasons, [])
            expected = Ran.RAN if sink.text else Ran.UNKNOWN
            self.assertEqual(error.ran, expected)
        else:
            self.assertEqual(sink.text, FULL_ANSWER)
        self.assertEqual(fleet.open_dispatches, 0)


class ResumeAtAnotherHostTest(unittest.TestCase):
    def setUp(self):
        self.fleet = build_fleet(token_s=0.001)
        self.first_sink = RecordingSink()
        build_delivery(self.fleet).complete(
            build_request(max_tokens=WORDS), self.first_sink
        )
        self.engine = next(i for i in self.fleet.engines.values() if i.calls)

    def resume(self, position, *, with_body=True, prompt="tell me", point=None):
        point = point or self.first_sink.points[position - 1]
        request = build_request(
            prompt, max_tokens=WORDS, resume=point, with_body=with_body
        )
        sink = RecordingSink()
        build_delivery(self.fleet).complete(request, sink)
        return sink

    def test_any_position_is_resumed_from_the_engine_without_the_body(self):
        # The caller of an entry host that was killed must get exactly the rest.
        for position in range(1, WORDS + 1):
            with self.subTest(position=position):
                sink = self.resume(position, with_body=False)
                rest = FULL_ANSWER[len(answer_text("tell me", position)) :]
                self.assertEqual(sink.text, rest)

    def test_a_failed_engine_is_replaced_although_the_delivered_text_is_unknown(self):
        # The second host has only the token: it regenerates the answer, verifies the
        # part that the caller has and cuts it off.
        for position in range(1, WORDS + 1):
            with self.subTest(position=position):
                self.engine.alive = True
                point = self.first_sink.points[position - 1]
                self.engine.crash()
                sink = self.resume(position, point=point)
                rest = FULL_ANSWER[len(answer_text("tell me", position)) :]
                self.assertEqual(sink.text, rest)

    def test_a_regenerated_answer_that_differs_is_reported_and_not_delivered(self):
        # Joining two different answers would give the caller a text that no engine
        # generated.
        self.engine.crash()
        point = replace(self.first_sink.points[3], text_crc=1)
        with self.assertRaises(RequestError) as caught:
            self.resume(4, point=point)
        self.assertEqual(caught.exception.kind, ErrorKind.STREAM_LOST)
        self.assertEqual(caught.exception.ran, Ran.RAN)

    def check_resume_without_retries(self):
        request = build_request(max_tokens=WORDS, resume=self.first_sink.points[3])
        sink = RecordingSink()
        spent = RetryBudget(floor=0, share=0.0)
        build_delivery(self.fleet, budget=spent).complete(request, sink)
        self.assertEqual(sink.text, FULL_ANSWER[len(answer_text("tell me", 4)) :])

    def test_a_resume_of_a_dropped_stream_needs_no_retry(self):
        # Charging a retry would refuse callers that disconnect and resume once the
        # retry budget is spent.
        self.engine._streams.clear()
        self.check_resume_without_retries()

    def test_a_resume_of_a_cancelled_stream_needs_no_retry(self):
        # Engines that keep a cancelled stream end each resume at once. Without this
        # rule the stream was resumed three times in a row.
        self.engine.script = fail_once(Fault.CANCELLED, 4)
        self.check_resume_without_retries()
        self.assertEqual(len(self.engine.resumes), 1)

    def test_a_resume_at_an_engine_that_is_down_is_not_a_second_crash(self):
        # Counting the refused connection as a second crash would quarantine the
        # request.
        register = SuspectRegister("a")
        request = build_request(max_tokens=WORDS, resume=self.first_sink.points[3])
        digest, now_s = request.content_digest, time.monotonic()
        incarnation = self.engine.upstream.incarnation
        register.note_crash(digest, self.engine.name, now_s, incarnation=incarnation)
        self.engine.alive = False
        sink = RecordingSink()
        build_delivery(self.fleet, suspects=register).complete(request, sink)
        self.assertEqual(sink.text, FULL_ANSWER[len(answer_text("tell me", 4)) :])

    def test_without_body_and_engine_the_caller_is_told_to_resend_the_body(self):
        # Nothing can continue the answer; without an error the caller would keep
        # waiting.
        self.engine.crash()
        with self.assertRaises(RequestError) as caught:
            self.resume(4, with_body=False)
        self.assertEqual(caught.exception.kind, ErrorKind.STREAM_LOST)


class FailedGenerationTest(unittest.TestCase):
    def fail(self, fleet, *, budget=None, **request_options):
        self.sink = RecordingSink()
        delivery = build_delivery(fleet, budget=budget)
        with self.assertRaises(RequestError) as caught:
            delivery.complete(build_request(**request_options), self.sink)
        delivery.wait_background(1.0)
        return caught.exception

    def test_when_all_engines_die_the_error_says_what_ran(self):
        # A caller that reads not_run would take the work as not charged.
        script = lambda engine, call, offset: Fault.CRASH if offset == 3 else None
        fleet = build_fleet(2, script=script)
        error = self.fail(fleet)
        self.assertEqual(error.ran, Ran.RAN)
        self.assertLessEqual(fleet.crashes, 2)

    def test_a_restarted_engine_is_used_again_when_no_other_is_left(self):
        # Otherwise, one crash and one stall would exhaust a fleet of two engines.
        fleet = build_fleet(2)
        e0, e1 = fleet.engines.values()
        e0.script = fail_once(Fault.CRASH, 2)
        e1.script = fail_once(Fault.STALL_ENGINE, 4)
        e0_restart = gevent.spawn_later(0.1, setattr, e0, "alive", True)
        sink = RecordingSink()
        build_delivery(fleet).complete(build_request(max_tokens=WORDS), sink)
        e0_restart.join()
        self.assertEqual(sink.text, FULL_ANSWER)

    def test_engines_that_refuse_connections_give_not_run(self):
        # No byte was written, so the caller can safely send the request again.
        fleet = build_fleet(2)
        for engine in fleet.engines.values():
            engine.alive = False
        error = self.fail(fleet)
        self.assertEqual(error.kind, ErrorKind.UPSTREAM_UNAVAILABLE)
        self.assertEqual(error.ran, Ran.NOT_RUN)
        self.assertIsNotNone(error.retry_after_s)

    def test_without_retry_budget_a_broken_stream_is_reported_at_once(self):
        # Unlimited retries would multiply the load just when engines fail.
        fleet = build_fleet(script=fail_once(Fault.RESET, 2))
        error = self.fail(fleet, budget=RetryBudget(floor=0, share=0.0))
        self.assertEqual(error.kind, ErrorKind.STREAM_LOST)
        self.assertIsNotNone(error.retry_after_s)
        self.assertEqual(sum(len(i.resumes) for i in fleet.engines.values()), 0)

    def test_a_passed_deadline_cancels_the_work(self):
        # An engine that keeps generating for a caller that is gone wastes capacity.
        fleet = build_fleet(1, token_s=0.05)
        error = self.fail(fleet, deadline_after_s=0.12, max_tokens=100)
        self.assertEqual(error.kind, ErrorKind.DEADLINE_EXCEEDED)
        self.assertEqual(error.ran, Ran.RAN)
        self.assertEqual(fleet.engines["e0"].cancelled, ["r1"])

    def test_a_deadline_before_the_first_token_does_not_claim_not_run(self):
        # The prompt was sent, so the engine may have run it although nothing came back.
        fleet = build_fleet(1, token_s=0.15)
        error = self.fail(fleet, deadline_after_s=0.05)
        self.assertEqual(error.ran, Ran.UNKNOWN)

    def test_a_caller_that_disconnects_while_the_stream_is_idle_cancels_the_work(self):
        # The exception must interrupt the wait for the engine's next event.
        fleet = build_fleet(1, token_s=0.05)
        delivery = build_delivery(fleet)
        request = build_request(max_tokens=100)
        complete = wrap_errors((RequestError,), delivery.complete)
        greenlet = gevent.spawn(complete, request, RecordingSink())
        gevent.sleep(0.08)
        greenlet.kill(CallerGone(), block=True)
        self.assertEqual(greenlet.value.kind, ErrorKind.CALLER_GONE)
        self.assertTrue(delivery.wait_background(1.0))
        self.assertEqual(fleet.engines["e0"].cancelled, ["r1"])
        self.assertEqual(fleet.open_dispatches, 0)


class SlowCallerTest(unittest.TestCase):
    def test_a_slow_caller_does_not_trigger_the_idle_timeout(self):
        # A probe and a resume for each slow caller would use up the retry budget.
        fleet = build_fleet(1)
        delivery = build_delivery(fleet)
        sink = RecordingSink()
        sink.on_event = lambda event: gevent.sleep(0.15)
        delivery.complete(build_request(max_tokens=3), sink)
        self.assertEqual(delivery.counts[DeliveryCount.SILENCES], 0)


class SplitPhaseTest(unittest.TestCase):
    def test_prefill_and_decode_run_on_the_engines_of_the_route(self):
        # Decoding without the imported cache would compute the prompt twice.
        fleet = build_fleet(2)
        fleet.prefill_engine = "e0"
        sink = RecordingSink()
        build_delivery(fleet).complete(build_request(max_tokens=WORDS), sink)
        self.assertEqual(sink.text, FULL_ANSWER)
        prefill, decode = fleet.engines["e0"], fleet.engines["e1"]
        self.assertEqual([call.phase for call in prefill.calls], ["prefill"])
        self.assertEqual([call.phase for call in decode.calls], ["decode"])
        self.assertEqual(decode.calls[0].kv_handle, "kv-0")

    def test_a_failed_prefill_engine_is_left_out_of_the_next_route(self):
        # Choosing it again would use up all attempts of the request.
        fleet = build_fleet(3)
        fleet.prefill_engine = "e0"
        fleet.engines["e0"].alive = False
        original = fleet.choose

        def choose(query, *, now_s):
            if "e0" in query.excluded:
                fleet.prefill_engine = None
            return original(query, now_s=now_s)

        fleet.choose = choose
        sink = RecordingSink()
        result = build_delivery(fleet).complete(build_request(max_tokens=WORDS), sink)
        self.assertEqual(sink.text, FULL_ANSWER)
        self.assertEqual(result.attempts, 2)
