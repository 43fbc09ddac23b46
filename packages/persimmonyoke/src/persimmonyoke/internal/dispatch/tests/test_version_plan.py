"""Test the choice of the software version at which new streams begin."""

import unittest
from dataclasses import replace

from persimmonyoke.internal.dispatch.version_plan import (
    MAJORITY_HOLD_S,
    VersionInputs,
    VersionPlanner,
)
from persimmonyoke.internal.fleet.model import ServiceVersions, Stage
from persimmonyoke_testing.builders_fleet import engine

LIFE_S = 20.0


def fleet(v1=(), v2=()):
    """Return engines of two versions from the first letters of their stages."""
    stages = {"d": Stage.DECODE, "p": Stage.PREFILL}
    return [
        engine(f"{version}-{number}", stages[letter], software_version=version)
        for version, letters in (("v1", v1), ("v2", v2))
        for number, letter in enumerate(letters)
    ]


def record(active, *earlier):
    return ServiceVersions("llm", active, earlier, 5)


class PlanTest(unittest.TestCase):
    def setUp(self):
        self.planner = VersionPlanner()

    def plan(self, known, replicas, *, begun=(), unreachable=(), now_s=100.0):
        inputs = VersionInputs(replicas, unreachable, begun, LIFE_S)
        return self.planner.plan(known, inputs, now_s=now_s)

    def settled(self, known, replicas, **options):
        """Plan after the present record has been in force for long."""
        self.plan(known, replicas, now_s=0.0)
        return self.plan(known, replicas, **options)

    def test_the_first_record_names_all_versions_that_are_present(self):
        # Streams may have begun at each of them before there was a record.
        planned = self.plan(None, fleet("dpp", "d"))
        self.assertEqual((planned.active, planned.earlier), ("v1", ("v2",)))
        self.assertEqual(planned.revision, 0)

    def test_a_newer_version_begins_no_streams_while_it_is_the_minority(self):
        self.assertIsNone(self.settled(record("v1"), fleet("dpp", "dp")))

    def test_equal_shares_change_nothing(self):
        self.assertIsNone(self.settled(record("v2"), fleet("dpp", "dpp")))

    def test_the_majority_becomes_the_active_version(self):
        planned = self.settled(record("v1"), fleet("d", "dp"))
        self.assertEqual((planned.active, planned.earlier), ("v2", ("v1",)))
        self.assertEqual(planned.revision, 5)

    def test_a_majority_that_cannot_write_does_not_become_active(self):
        self.assertIsNone(self.settled(record("v1"), fleet("d", "ppp")))

    def test_a_version_whose_last_writer_leaves_is_replaced_at_once(self):
        replicas = [
            engine("old", Stage.DECODE, software_version="v1", draining=True),
            *fleet("ppp", "d"),
        ]
        planned = self.plan(record("v1"), replicas)
        self.assertEqual(planned.active, "v2")

    def test_a_writer_that_cannot_be_reached_counts_as_lost(self):
        replicas = fleet("dpp", "d")
        planned = self.plan(record("v1"), replicas, unreachable=["v1-0"])
        self.assertEqual(planned.active, "v2")

    def test_a_majority_waits_after_a_change(self):
        # A crashed engine would otherwise change the version twice within a second.
        known, replicas = record("v2", "v1"), fleet("dpp", "d")
        self.assertIsNone(self.plan(known, replicas, now_s=100.0))
        self.assertIsNone(self.plan(known, replicas, now_s=99.9 + MAJORITY_HOLD_S))
        planned = self.plan(known, replicas, now_s=100.1 + MAJORITY_HOLD_S)
        self.assertEqual((planned.active, planned.earlier), ("v1", ("v2",)))

    def test_streams_begin_where_one_decode_engine_may_leave(self):
        # They began at the majority's only decode engine. It left while no host
        # reached an engine, so 2 of 25 streams went on that clients took up again.
        known = record("v2", "v1")
        self.assertIsNone(self.plan(known, fleet("ppppp", "dd"), now_s=100.0))
        for now_s in (100.1 + MAJORITY_HOLD_S, 99.9 + LIFE_S):
            self.assertIsNone(self.plan(known, fleet("dppp", "dd"), now_s=now_s))

    def test_a_majority_with_two_decode_engines_becomes_active(self):
        planned = self.settled(record("v2", "v1"), fleet("ddpp", "ddd"), now_s=10.0)
        self.assertEqual((planned.active, planned.earlier), ("v1", ("v2",)))

    def test_a_majority_with_one_decode_engine_waits_for_the_life_of_a_stream(self):
        # The decode engines of the other version could never prefill otherwise.
        known, replicas = record("v2", "v1"), fleet("dppp", "dd")
        self.assertIsNone(self.plan(known, replicas, now_s=100.0))
        planned = self.plan(known, replicas, now_s=100.1 + LIFE_S)
        self.assertEqual((planned.active, planned.earlier), ("v1", ("v2",)))

    def test_without_any_writer_the_record_stays(self):
        self.assertIsNone(self.settled(record("v1"), fleet("pp", "p")))

    def test_an_earlier_version_is_named_while_its_streams_may_be_resumed(self):
        known, replicas = record("v2", "v1"), fleet("", "dp")
        self.assertIsNone(self.plan(known, replicas, now_s=100.0))
        self.assertIsNone(self.plan(known, replicas, now_s=99.9 + LIFE_S))
        planned = self.plan(known, replicas, now_s=100.1 + LIFE_S)
        self.assertEqual((planned.active, planned.earlier), ("v2", ()))

    def test_a_version_that_was_active_again_meanwhile_is_remembered_anew(self):
        # A host that stood still saw it among the earlier versions before and after,
        # and let it be forgotten while its latest streams could be resumed.
        replicas = fleet("", "dp")
        self.assertIsNone(self.plan(record("v2", "v1"), replicas, now_s=100.0))
        newer = replace(record("v2", "v1"), revision=9)
        for now_s in (100.1 + LIFE_S, 100.0 + 2 * LIFE_S):
            self.assertIsNone(self.plan(newer, replicas, now_s=now_s))
        planned = self.plan(newer, replicas, now_s=100.2 + 2 * LIFE_S)
        self.assertEqual(planned.earlier, ())

    def test_a_version_that_began_a_stream_here_is_named(self):
        # While the store was away, streams began at a version that is not recorded.
        planned = self.plan(record("v1"), fleet("dp", "d"), begun=["v1", "v2"])
        self.assertEqual((planned.active, planned.earlier), ("v1", ("v2",)))
