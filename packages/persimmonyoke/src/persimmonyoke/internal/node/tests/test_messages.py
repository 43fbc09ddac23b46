"""Tests of the contents of peer messages."""

import unittest

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.suspect_types import Clear, Quarantined
from persimmonyoke.internal.delivery.suspects import SuspectRegister
from persimmonyoke.internal.membership.codec import decode, encode
from persimmonyoke.internal.membership.messages import Load, Roles
from persimmonyoke.internal.node.drains import MAX_DRAIN_S, DrainView, drain_message
from persimmonyoke.internal.node.engine_router import OfferedTokens
from persimmonyoke.internal.node.offered_load import OfferedLoad, offered_message
from persimmonyoke.internal.node.suspect_notices import SuspectExchange

DIGEST = b"d" * 16


class Host:
    """Hold a suspect register whose exchange appends messages to a list."""

    def __init__(self, name, wire):
        self.exchange = SuspectExchange(
            wire.append, clock=lambda: 100.0, unix_clock=lambda: 5_000.25
        )
        self.register = SuspectRegister(name, on_change=self.exchange.publish)
        self.exchange.register = self.register


class SuspectExchangeTest(unittest.TestCase):
    def setUp(self):
        self.wire = []
        self.one, self.two = Host("one", self.wire), Host("two", [])

    def deliver(self):
        for message in self.wire:
            self.two.exchange.receive("one", decode(encode(message)))
        self.wire.clear()

    def test_a_quarantine_and_an_isolation_reach_the_other_host(self):
        # Otherwise the same request would crash two engines per host.
        self.one.register.note_crash(DIGEST, "e1", 100.0, incarnation="a")
        self.one.register.try_isolate(DIGEST, "e2", now_s=100.0, until_s=130.0)
        self.deliver()
        self.assertEqual(self.two.register.isolated_engines(100.0), {"e2"})
        self.one.register.note_crash(DIGEST, "e2", 100.0, incarnation="b")
        self.deliver()
        status = self.two.register.status(DIGEST, 100.0)
        self.assertIsInstance(status, Quarantined)
        self.one.register.end_isolation(DIGEST, "e2")
        self.deliver()
        self.assertEqual(self.two.register.isolated_engines(100.0), frozenset())

    def test_a_cleared_suspect_is_clear_everywhere(self):
        self.one.register.note_crash(DIGEST, "e1", 100.0, incarnation="a")
        self.one.register.note_completed(DIGEST, 100.0)
        self.deliver()
        self.assertEqual(self.two.register.status(DIGEST, 100.0), Clear())

    def test_hosts_with_equal_knowledge_say_the_same(self):
        # A difference would make them pull from each other on every digest.
        for engine in ("e1", "e2"):
            self.one.register.note_crash(DIGEST, engine, 100.0, incarnation=engine)
        for message in self.one.exchange.persistent_notices():
            self.two.exchange.receive("one", message)
        self.assertEqual(
            tuple(self.one.exchange.persistent_notices()),
            tuple(self.two.exchange.persistent_notices()),
        )


class OfferedLoadTest(unittest.TestCase):
    def note(self, load, incarnation, prefill, output):
        totals = {"pool": OfferedTokens(prefill, output, 1)}
        return load.receive(offered_message("h", incarnation, totals), 0.0)

    def test_increases_count_once_and_a_restart_counts_nothing_twice(self):
        # A jump on a restart would look like a change of the mix.
        load = OfferedLoad()
        for incarnation, prefill, output in (
            ("a", 1_000, 10),
            ("a", 1_500, 30),
            ("a", 1_500, 30),
            ("b", 900, 5),
            ("b", 950, 6),
        ):
            self.assertTrue(self.note(load, incarnation, prefill, output))
        totals = load.totals("pool")
        self.assertEqual((totals.prefill_tokens, totals.output_tokens), (550, 21))

    def test_other_loads_are_left_alone_and_malformed_ones_refused(self):
        load = OfferedLoad()
        self.assertFalse(load.receive(Load("engine-1", b"x"), 0.0))
        with self.assertRaises(ProtocolError):
            load.receive(Load("offered/h", b"\x80"), 0.0)


class DrainViewTest(unittest.TestCase):
    def test_an_announcement_ends_by_time_and_overtaken_ones_are_ignored(self):
        # After a controller has died, its notice must not keep an engine unused.
        view = DrainView()
        view.receive("c", drain_message("pool", "c-1", 2, {"e1": 1e9}), 0.0)
        view.receive("c", drain_message("pool", "c-1", 1, {}), 0.0)
        self.assertTrue(view.is_draining("e1", MAX_DRAIN_S - 1))
        self.assertFalse(view.is_draining("e1", MAX_DRAIN_S + 1))
        view.receive("c", drain_message("pool", "c-2", 1, {}), 0.0)
        self.assertEqual(view.draining(0.0), ())
        with self.assertRaises(ProtocolError):
            view.receive("c", Roles("pool", b"\x80"), 0.0)
