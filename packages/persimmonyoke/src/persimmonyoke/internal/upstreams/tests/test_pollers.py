"""Tests of the engine pollers: restarts, gaps and backoff."""

import time
import unittest
from unittest import mock

import gevent

from persimmonyoke.internal.upstreams.api import CacheEvent, CacheEventBatch
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.pieces import PIECE_TOKENS
from persimmonyoke.internal.upstreams.pollers import (
    EnginePoller,
    PollerGroup,
    PollHandlers,
)
from persimmonyoke_testing.builders_upstreams import generate_call, prompt_of
from persimmonyoke_testing.engine import EngineStandIn, EngineTiming

TIMING = EngineTiming(time_scale=0.01, cache_event_delay_s=0.0, load_lag_s=0.0)


class PollerTest(unittest.TestCase):
    def setUp(self):
        self.engine = EngineStandIn(timing=TIMING)
        self.engine.start()
        self.addCleanup(self.engine.stop)
        self.client = HttpEngineClient(self.engine.address)
        self.reports, self.batches, self.states, self.failures = [], [], [], []
        self.handlers = PollHandlers(
            on_load=lambda report, now_s: self.reports.append(report),
            on_cache_events=lambda _, batch, now_s: self.batches.append(batch),
            on_state=lambda state, now_s: self.states.append(state),
            on_failure=lambda _, failure, now_s: self.failures.append(failure),
        )

    def store_pieces(self, count):
        prompt = prompt_of(PIECE_TOKENS * count)
        list(self.client.generate(generate_call(prompt=prompt, max_tokens=1)))

    def test_a_restart_is_a_gap_even_if_the_numbers_continue(self):
        # Otherwise pieces of the earlier process would never leave the prefix index.
        poller = EnginePoller(self.engine.upstream(), self.client, self.handlers)
        self.store_pieces(2)
        poller.poll_once(0.0)
        self.engine.restart()
        self.store_pieces(5)
        poller.poll_once(1.0)
        self.store_pieces(6)
        poller.poll_once(2.0)
        numbers = [[event.number for event in batch.events] for batch in self.batches]
        self.assertEqual(numbers, [[0, 1], [0, 1, 2, 3, 4], [5]])
        self.assertEqual([batch.gap for batch in self.batches], [False, True, False])
        self.assertEqual(len({state.incarnation for state in self.states}), 2)

    def test_cache_events_are_read_at_each_poll_while_there_are_any(self):
        # Fewer reads would delay the pieces of a busy engine; more reads would waste
        # calls on an idle one.
        numbers = [0, 1, 2, 2, 2, 2, 2, 3, 4, 4]
        client = mock.create_autospec(HttpEngineClient, instance=True)
        client.cache_events.side_effect = lambda since: CacheEventBatch(
            (CacheEvent(since, True, b"p"),) * (numbers[reading] - since),
            numbers[reading],
            gap=False,
        )
        poller = EnginePoller(self.engine.upstream(), client, self.handlers)
        calls = []
        for reading in range(10):
            before = client.cache_events.call_count
            poller.poll_once(float(reading))
            calls.append(client.cache_events.call_count - before)
        self.assertEqual(calls, [1, 0, 1, 1, 0, 1, 0, 1, 1, 1])
        self.assertEqual(len(self.batches), 3)

    def test_failures_back_off_and_a_success_ends_the_backoff(self):
        # Polling failed engines at the full rate costs more than polling live ones.
        poller = EnginePoller(self.engine.upstream(), self.client, self.handlers)
        self.engine.crash()
        for _ in range(6):
            self.assertFalse(poller.poll_once(0.0))
        self.assertGreater(max(poller.delay_s() for _ in range(50)), 2.0)
        self.assertLessEqual(max(poller.delay_s() for _ in range(50)), 8.0)
        self.assertEqual(len(self.failures), 6)
        self.engine.start()
        self.assertTrue(poller.poll_once(1.0))
        self.assertLess(poller.delay_s(), 1.2)

    def test_the_group_follows_the_directory(self):
        # A poller that outlives its engine's entry would keep recording load reports.
        group = PollerGroup(self.handlers, lambda _: self.client, interval_s=0.01)
        group.sync([self.engine.upstream()])
        group.sync([self.engine.upstream()])
        deadline_s = time.monotonic() + 5.0
        while len(self.reports) < 3 and time.monotonic() < deadline_s:
            gevent.sleep(0.01)
        self.assertGreaterEqual(len(self.reports), 3)
        group.stop()
        gevent.sleep(0.05)
        seen = len(self.reports)
        gevent.sleep(0.1)
        self.assertEqual(len(self.reports), seen)
