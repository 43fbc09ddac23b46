"""Tests of the directory: leaving marks and maintenance."""

import unittest

from persimmonyoke.errors import InvariantViolation
from persimmonyoke.internal.upstreams.api import EngineState, Role
from persimmonyoke.internal.upstreams.directory import Directory
from persimmonyoke_testing.builders_upstreams import ListedUpstream


def state(incarnation, name="e0"):
    return EngineState(
        name, incarnation, Role.MIXED, ("m",), (), "1", 0, None, None, None, 0
    )


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.list_as("live")

    def list_as(self, state_name, now_s=0.0, **changes):
        entry = ListedUpstream("e0", state=state_name, **changes)
        self.directory.set_hosts([entry, ListedUpstream("e1")], now_s)

    def leaving(self, now_s=1.0):
        engines = self.directory.engines("llm-pool", now_s)
        return [engine.name for engine in engines if engine.leaving]

    def test_a_mark_of_a_peer_outlives_a_host_list_that_says_live(self):
        # Otherwise a lagging host list would put a leaving engine back into service.
        self.directory.note_state(state("a"))
        self.directory.note_leaving("e0", "a", 1.0)
        self.list_as("live", 2.0)
        self.assertEqual(self.leaving(), ["e0"])
        self.directory.note_state(state("b"))
        self.assertEqual(self.leaving(), [])

    def test_a_host_list_that_flaps_does_not_revoke_a_mark(self):
        # The mark is final for the incarnation that was first observed leaving.
        self.directory.note_state(state("a"))
        self.list_as("leaving", 1.0)
        self.list_as("live", 2.0)
        self.assertEqual(self.leaving(), ["e0"])

    def test_a_successor_is_used_once_the_lagging_host_list_lists_it(self):
        # A permanent mark on the successor would leave its capacity unused.
        self.directory.note_state(state("a"))
        self.list_as("leaving", 1.0)
        self.directory.note_state(state("b"))
        self.assertEqual(self.leaving(), ["e0"])
        self.list_as("live", 2.0)
        self.assertEqual(self.leaving(), [])

    def test_an_engine_of_unknown_incarnation_counts_as_leaving_if_any_does(self):
        # Otherwise a host that has just started would dispatch to a leaving engine.
        self.directory.note_leaving("e0", "a", 1.0)
        self.assertEqual(self.leaving(), ["e0"])
        self.directory.note_state(state("a"))
        self.assertEqual(self.leaving(), ["e0"])

    def test_a_mark_before_the_first_state_binds_to_that_incarnation(self):
        # Until the first state is read, the incarnation of a listed engine is unknown.
        self.directory.note_leaving("e0", "", 1.0)
        self.directory.note_state(state("a"))
        self.list_as("live", 2.0)
        self.assertEqual(self.leaving(), ["e0"])

    def test_maintenance_of_a_zone_lasts_as_long_as_the_preset_says(self):
        # The capacity of a zone that stays excluded after maintenance would be unused.
        self.list_as("live", availability_zone="zone-b")
        self.directory.set_maintenance_zones(["zone-b"], 1.0)
        self.assertEqual(self.leaving(), ["e0"])
        self.directory.set_maintenance_zones([], 2.0)
        self.assertEqual(self.leaving(), [])

    def test_new_work_within_the_grace_time_is_declined_and_later_a_violation(self):
        # A dispatch path that ignores the leaving mark must be detected.
        engine = self.directory.engines("llm-pool", 0.0)[0]
        self.assertTrue(self.directory.check_dispatch(engine, 0.5))
        self.directory.note_leaving("e0", "", 2.0, age_s=1.0)
        self.assertFalse(self.directory.check_dispatch(engine, 3.9))
        with self.assertRaises(InvariantViolation):
            self.directory.check_dispatch(engine, 4.1)

    def test_an_engine_that_is_not_listed_gets_no_work(self):
        # All requests to an engine that was removed from the host list would fail.
        self.directory.set_hosts([ListedUpstream("e1")], 1.0)
        names = [engine.name for engine in self.directory.engines("llm-pool", 1.0)]
        self.assertEqual(names, ["e1"])
