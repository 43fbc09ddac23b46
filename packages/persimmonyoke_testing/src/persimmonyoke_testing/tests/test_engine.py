"""Tests of the simulated engine against its published protocol."""

import time
import unittest

import gevent

from persimmonyoke.internal.upstreams.api import EngineFailure, Phase, Role
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.pieces import PIECE_TOKENS, prompt_pieces
from persimmonyoke_testing.builders_upstreams import (
    adapter_order,
    generate_call,
    prompt_of,
    role_order,
)
from persimmonyoke_testing.engine import EngineStandIn, EngineTiming, expected_text

FAST_TIMING = EngineTiming(time_scale=0.02)


def wait_until(condition, *, timeout_s=5.0):
    """Wait for a condition; return ``False`` if the timeout expires first."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        gevent.sleep(0.005)
    return True


class EngineCase(unittest.TestCase):
    def start(self, **settings):
        engine = EngineStandIn(**({"timing": FAST_TIMING} | settings))
        engine.start()
        self.addCleanup(engine.stop)
        client = HttpEngineClient(engine.address)
        self.addCleanup(client.close)
        return engine, client

    def text(self, client, call):
        return "".join(event.text for event in client.generate(call))


class GenerationTest(EngineCase):
    def test_batched_and_continued_answers_equal_the_expected_text(self):
        # Tokens lost or repeated at event or prefix boundaries would make every test
        # that compares whole answers pass or fail for the wrong reason.
        _, client = self.start(tokens_per_event=7)
        call = generate_call(max_tokens=30)
        whole = expected_text(call.prompt, 30)
        self.assertEqual(self.text(client, call), whole)
        prefix = " ".join(whole.split()[:11])
        rest = generate_call(max_tokens=30, prefix_text=prefix, prefix_tokens=11)
        self.assertEqual(prefix + self.text(client, rest), whole)

    def test_a_larger_batch_slows_each_sequence(self):
        # Without a batch cost, routing all requests to one engine would look harmless.
        timing = EngineTiming(decode_per_sequence_s=0.005, time_scale=0.1)
        _, client = self.start(timing=timing)

        def run(count):
            started_s = time.monotonic()
            calls = [generate_call(f"r{count}-{i}") for i in range(count)]
            gevent.joinall([gevent.spawn(self.text, client, call) for call in calls])
            return time.monotonic() - started_s

        run(1)
        self.assertGreater(run(16) / run(1), 3.0)

    def test_prefill_of_another_request_delays_decoding_of_a_mixed_engine(self):
        # Without this interference the role policy would have nothing to decide.
        _, client = self.start(timing=EngineTiming(time_scale=0.2))

        def mean_gap(with_prefill):
            times = []
            for event in client.generate(generate_call(max_tokens=25)):
                times.append(time.monotonic())
                if with_prefill and event.offset == 2:
                    call = generate_call("long", prompt=prompt_of(4_000), max_tokens=1)
                    gevent.spawn(self.text, client, call)
            return (times[-1] - times[3]) / (len(times) - 4)

        self.assertGreater(mean_gap(True) / mean_gap(False), 1.3)

    def test_a_higher_priority_runs_first(self):
        # An engine that ignores priorities would hide faults of admission.
        engine, client = self.start(max_sequences=1)
        first = client.generate(generate_call("first", max_tokens=100_000))
        next(first)
        tasks = []
        for count, (name, priority) in enumerate([("low", 0), ("high", 5)], start=1):
            call = generate_call(name, priority=priority)
            tasks.append(gevent.spawn(self.text, client, call))
            queued = engine.core.scheduler.queued_sequences
            self.assertTrue(wait_until(lambda q=queued, c=count: q() == c))
        client.cancel("first")
        gevent.joinall(tasks)
        # Use the engine's finish times, since client greenlets may resume out of order.
        ended = sorted(engine.core.streams.values(), key=lambda s: s.finished_s)
        order = [sequence.request_id for sequence in ended]
        self.assertEqual(order, ["first", "high", "low"])

    def test_a_cancelled_request_ends_and_frees_its_slot(self):
        # Otherwise requests of disconnected callers would keep occupying engine slots.
        engine, client = self.start()
        events = client.generate(generate_call("gone", max_tokens=100_000))
        next(events)
        client.cancel("gone")
        self.assertEqual(list(events)[-1].finish_reason, "cancelled")
        self.assertTrue(wait_until(lambda: client.state().running_sequences == 0))
        self.assertEqual(list(engine.record.cancelled), ["gone"])

    def test_phases_hand_over_by_kv_cache_and_reject_foreign_caches(self):
        # Decoding from the cache of another prompt would produce a wrong answer.
        _, prefill = self.start(role=Role.PREFILL)
        engine, decode = self.start(role=Role.DECODE)
        call = generate_call(phase=Phase.PREFILL)
        self.assertEqual(self.text(prefill, call), "")
        handle = decode.import_kv(prefill.export_kv(call.request_id))
        fields = {"phase": Phase.DECODE, "kv_handle": handle}
        answer = self.text(decode, generate_call(**fields))
        self.assertEqual(answer, expected_text(call.prompt, 20))
        self.assertEqual(engine.record.counts["prefill_tokens"], 0)
        for wrong in (generate_call("other", **fields), generate_call()):
            with self.assertRaises(EngineFailure) as caught:
                self.text(decode, wrong)
            self.assertTrue(caught.exception.refused)


class ReportTest(EngineCase):
    def test_load_reports_lag_while_the_state_does_not(self):
        # With fresh reports only, tests would not show that many requests are routed to
        # an engine that looks idle in outdated reports.
        timing = EngineTiming(load_lag_s=15.0, time_scale=0.02)
        _, client = self.start(timing=timing)
        events = client.generate(generate_call(max_tokens=100_000))
        next(events)
        self.assertEqual(client.state().running_sequences, 1)
        self.assertEqual(client.load().running_sequences, 0)
        self.assertTrue(wait_until(lambda: client.load().running_sequences == 1))
        self.assertGreater(time.time() - client.load().taken_unix_s, 0.25)

    def test_cache_events_are_late_and_describe_a_bounded_cache(self):
        # A cache without eviction would overstate the gain of prefix routing.
        timing = EngineTiming(cache_event_delay_s=10.0, time_scale=0.02)
        engine, client = self.start(cache_pieces=2, timing=timing)
        prompts = [prompt_of(PIECE_TOKENS * 2 + 5, name=name) for name in "ab"]
        for prompt in [prompts[0], *prompts]:
            self.text(client, generate_call(prompt=prompt, max_tokens=1))
        self.assertEqual(client.cache_events(since=4).events, ())
        cached = [run.cached_tokens for run in engine.record.requests]
        self.assertEqual(cached, [0, 2 * PIECE_TOKENS, 0])
        self.assertTrue(
            wait_until(lambda: len(client.cache_events(since=0).events) > 5)
        )
        pieces = set()
        for event in client.cache_events(since=0).events:
            (pieces.add if event.stored else pieces.remove)(event.piece)
        self.assertEqual(pieces, set(prompt_pieces(prompts[1])))

    def test_lost_cache_events_show_as_gaps(self):
        # An undetected loss of an eviction event leaves a stale entry in the index.
        timing = EngineTiming(cache_event_delay_s=0.0, time_scale=0.02)
        engine, client = self.start(cache_event_loss=0.5, timing=timing, seed=3)
        # The losses depend on the time of the start; all or none of 12 events were lost
        # in one of 2,048 runs.
        pieces = 60
        prompt = prompt_of(PIECE_TOKENS * pieces)
        self.text(client, generate_call(prompt=prompt, max_tokens=1))
        batch = client.cache_events(since=0)
        self.assertEqual(batch.next_number, pieces)
        self.assertTrue(0 < len(batch.events) < pieces)
        self.assertTrue(batch.gap)
        self.assertFalse(client.cache_events(since=pieces).gap)
        self.assertTrue(engine.core.read_cache_events(0)["gap"])


class OrderTest(EngineCase):
    def order(self, client, order):
        return type(client.order(order, timeout_s=2.0)).__name__

    def test_a_stale_fencing_number_is_refused_only_if_the_engine_checks_it(self):
        # The controller needs other safeguards for engines that do not check fencing.
        for checks, outcome in ((True, "OrderRefused"), (False, "OrderAccepted")):
            engine, client = self.start(checks_fencing=checks)
            self.order(client, adapter_order("new", fencing=5))
            self.assertTrue(wait_until(lambda c=client: not c.state().open_order_id))
            stale = self.order(client, adapter_order("old", fencing=4))
            self.assertEqual(stale, outcome)
            self.assertEqual(bool(engine.record.stale_orders_taken()), not checks)
            self.assertEqual(client.state().fencing, 5)

    def test_a_repeated_order_has_one_effect_and_a_second_open_one_is_refused(self):
        # A controller that retries after a lost answer must not change a role twice.
        engine, client = self.start()
        engine.faults.lose_order_answers = 1
        order = role_order(role=Role.DECODE)
        self.assertEqual(self.order(client, order), "OrderUnknown")
        self.assertEqual(client.state().open_order_id, order.order_id)
        self.assertEqual(self.order(client, order), "OrderAccepted")
        self.assertEqual(self.order(client, adapter_order("second")), "OrderRefused")
        self.assertTrue(wait_until(lambda: client.state().role is Role.DECODE))
        self.assertEqual(self.order(client, order), "OrderAccepted")
        self.assertEqual(len(engine.record.taken_orders()), 1)
        self.assertEqual(len(engine.record.conflicting_orders()), 1)
        self.assertEqual(engine.record.counts["role_changes"], 1)

    def test_a_role_change_finishes_running_work_and_accepts_none(self):
        # A planned change that cuts a stream violates no_cut_on_planned_change.
        engine, client = self.start()
        events = client.generate(generate_call(max_tokens=200))
        next(events)
        self.order(client, role_order(role=Role.PREFILL))
        with self.assertRaises(EngineFailure) as caught:
            self.text(client, generate_call("late"))
        self.assertTrue(caught.exception.refused)
        self.assertEqual(list(events)[-1].finish_reason, "length")
        self.assertTrue(wait_until(lambda: client.state().role is Role.PREFILL))
        self.assertEqual(engine.record.runs("late"), 0)

    def test_a_crash_in_a_role_change_leaves_the_old_role_and_no_open_order(self):
        # A successor controller that relies on the order record alone would assume the
        # new role.
        engine, client = self.start()
        engine.faults.crash_in_role_change = True
        engine.faults.restart_after_s = 1.0
        before = client.state().incarnation
        self.order(client, role_order(role=Role.PREFILL))
        self.assertTrue(wait_until(lambda: engine.record.counts["crashes"] == 1))
        self.assertTrue(wait_until(lambda: engine.running))
        state = client.state()
        self.assertNotEqual(state.incarnation, before)
        self.assertEqual((state.role, state.open_order_id), (Role.MIXED, None))
