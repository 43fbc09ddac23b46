"""Tests of the exchange of engine readings and the assignment of polling."""

import time
import unittest
from dataclasses import replace

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.messages import Load
from persimmonyoke.internal.node.reading_exchange import ReadingExchange
from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_testing.builders_readings import (
    STATE,
    UNIX_S,
    PollingFleets,
    event_batch,
    report,
)


class ReadingExchangeTest(unittest.TestCase):
    def setUp(self):
        self.sent = []
        self.sender = ReadingExchange(self.sent.append, unix_clock=lambda: UNIX_S)
        # The receiver's clock differs by one second.
        self.receiver = ReadingExchange(self.fail, unix_clock=lambda: UNIX_S + 1.0)
        self.sender.note_state(STATE)

    def received(self, now_s=1.0):
        sent, self.sent[:] = tuple(self.sent), ()
        return [self.receiver.receive(message, now_s) for message in sent]

    def test_a_report_arrives_as_it_was_sent_and_the_profile_only_once(self):
        # Full reports of 183 engines took three times the bandwidth budget of a node.
        self.sender.send_load(report(), 0.0)
        state, load = self.received()
        self.assertEqual((state, load), (STATE, report()))
        self.sender.send_load(report(running_sequences=70_000), 1.0)
        self.assertEqual(len(self.sent[0].payload), 12)
        (load,) = self.received(now_s=2.0)
        self.assertEqual(load.running_sequences, 65_535)
        self.assertEqual(self.receiver.last_report_s("e1"), 2.0)

    def test_a_report_of_an_unknown_profile_is_not_taken_for_heard(self):
        # The node would neither know the engine's load nor poll the engine itself.
        self.sender.send_load(report(), 0.0)
        del self.sent[0]
        self.assertEqual(self.received(), [None])
        self.assertEqual(self.receiver.last_report_s("e1"), float("-inf"))
        self.sender.send_load(report(), 10.0)
        self.assertEqual(self.received(), [STATE, report()])

    def test_a_report_that_does_not_fit_the_state_is_not_sent(self):
        # It would be attributed to the role or incarnation of the earlier process.
        self.sender.send_load(report(incarnation="i2"), 0.0)
        self.assertEqual(self.sent, [])

    def test_an_older_profile_does_not_replace_a_newer_one(self):
        # A host that was partitioned may still send the role before a change.
        late = ReadingExchange(self.sent.append, unix_clock=lambda: UNIX_S - 5.0)
        late.note_state(replace(STATE, role=Role.PREFILL))
        self.sender.send_load(report(), 0.0)
        self.received()
        late.send_load(replace(report(), role=Role.PREFILL), 0.0)
        self.assertEqual(self.received(), [None, None])

    def test_lost_and_cut_events_are_a_gap(self):
        # The index would keep evicted pieces forever.
        def send(first, count, now_s):
            self.sender.send_events("e1", event_batch(first, count), now_s, hosts=7)
            return self.received()

        self.assertEqual(send(0, 3, 0.0)[0].batch, event_batch(0, 3))
        self.assertEqual(send(3, 2, 10.0)[0].batch, event_batch(3, 2))
        self.sender.send_events("e1", event_batch(5, 1), 20.0, hosts=7)
        self.sent.clear()
        self.assertTrue(send(6, 2, 30.0)[0].batch.gap)
        cut = send(8, 500, 40.0)[0].batch
        self.assertTrue(cut.gap)
        self.assertEqual(cut.events[-1].number, 507)
        self.assertLess(len(cut.events), 100)
        self.assertEqual(send(508, 20, 40.0), [])

    def test_malformed_readings_are_refused(self):
        for name in ("profile/e1", "cache/e1"):
            for payload in (b"", b"\x00", b"\x82\x01\x80", b"\x85\x00\x00\xf4\x00\x40"):
                message = Load(name, payload)
                with self.subTest(message), self.assertRaises(ProtocolError):
                    self.receiver.receive(message, 0.0)


class PollingShareTest(unittest.TestCase):
    """Use three entry hosts and a controller with engines that do not answer."""

    def setUp(self):
        self.fleets = PollingFleets()
        self.addCleanup(self.fleets.stop)
        self.fleets.receive_heartbeats(("host-0", "host-1", "host-2"), sequence=1)

    def test_each_engine_is_read_by_one_host_and_by_another_after_its_death(self):
        # Polling of all engines by all nodes took 15 times a node's budget.
        now_s = time.monotonic()
        self.fleets.receive_reports(9, now_s)
        self.fleets.apply_host_list(9, now_s)
        polled_engines = self.fleets.polled_engines()
        self.assertEqual(polled_engines.pop("controller"), frozenset())
        self.assertEqual(sum(map(len, polled_engines.values())), 9)
        self.assertEqual(len(frozenset().union(*polled_engines.values())), 9)
        self.assertEqual({len(names) for names in polled_engines.values()}, {3})
        later_s = now_s + 3.2
        self.fleets.receive_heartbeats(("host-0", "host-1"), sequence=9, now_s=later_s)
        self.fleets.receive_reports(9, later_s)
        self.fleets.apply_host_list(9, later_s)
        after = self.fleets.polled_engines()
        taken = after["host-0"] | after["host-1"]
        self.assertEqual(len(taken), 9)
        self.assertEqual(len(after["host-0"]) + len(after["host-1"]), 9)

    def test_an_engine_without_reports_is_read_by_each_node(self):
        # Its polling host may not reach it and still appear live.
        now_s = time.monotonic()
        self.fleets.receive_reports(9, now_s)
        self.fleets.apply_host_list(9, now_s + 3.6)
        self.assertEqual(
            {len(names) for names in self.fleets.polled_engines().values()}, {9}
        )

    def test_a_small_pool_is_read_by_each_entry_node_but_not_by_controllers(self):
        # Reports from peers are up to 0.5 s older, which reduces goodput.
        now_s = time.monotonic()
        self.fleets.receive_reports(6, now_s)
        self.fleets.apply_host_list(6, now_s)
        sizes = {
            name: len(names) for name, names in self.fleets.polled_engines().items()
        }
        self.assertEqual(
            sizes, {"host-0": 6, "host-1": 6, "host-2": 6, "controller": 0}
        )
