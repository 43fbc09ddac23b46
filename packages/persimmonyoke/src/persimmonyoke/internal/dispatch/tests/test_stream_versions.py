"""Test the register of the software versions that began streams."""

import unittest

from persimmonyoke.internal.dispatch.stream_versions import (
    StreamLife,
    StreamVersion,
    StreamVersions,
    find_version,
    record_interval_s,
    stream_key,
    stream_life_s,
)
from persimmonyoke.internal.fleet.model import RecordedStreams, ServiceVersions
from persimmonyoke_testing.builders_fleet import engine

NOW_S = 100.0


def register_with(*begun):
    """Return a register of streams begun here: pairs of request id and version."""
    register = StreamVersions("host-1")
    for request_id, version in begun:
        replica = engine(f"e-{version}", software_version=version)
        register.note_begun(request_id, replica, version=version, now_s=NOW_S)
    return register


def found(register, request_id, *, record=None, is_current=True):
    return find_version(
        register.find("llm", request_id),
        record,
        record_is_current=is_current,
        now_s=NOW_S,
    )


class FindTest(unittest.TestCase):
    def test_the_version_of_a_known_stream_needs_no_record(self):
        finding = found(register_with(("r1", "v1")), "r1")
        self.assertEqual((finding.version, finding.source), ("v1", "host-1"))

    def test_an_unknown_stream_has_the_only_version_that_began_streams(self):
        alone = ServiceVersions("llm", "v1", (), 3)
        self.assertEqual(found(register_with(), "r1", record=alone).version, "v1")

    def test_an_unknown_stream_among_two_versions_is_not_guessed(self):
        mixed = ServiceVersions("llm", "v2", ("v1",), 3)
        finding = found(register_with(("r2", "v2")), "r1", record=mixed)
        self.assertIsNone(finding.version)
        self.assertTrue(finding.may_change)

    def test_an_old_record_of_one_version_decides_nothing(self):
        # Another version may have become the active one in the meantime.
        alone = ServiceVersions("llm", "v1", (), 3)
        finding = found(register_with(), "r1", record=alone, is_current=False)
        self.assertIsNone(finding.version)

    def test_without_a_record_nothing_is_known(self):
        self.assertIsNone(found(register_with(), "r1").version)

    def test_one_id_of_streams_of_two_versions_names_neither(self):
        register = register_with(("r1", "v1"), ("r1", "v2"))
        finding = found(register, "r1", record=ServiceVersions("llm", "v2", (), 3))
        self.assertIsNone(finding.version)
        self.assertFalse(finding.may_change)

    def test_an_id_is_known_only_within_its_service(self):
        register = register_with(("r1", "v1"))
        self.assertIsNone(register.find("other", "r1"))


class StreamLifeTest(unittest.TestCase):
    def test_streams_that_began_under_longer_timeouts_are_not_forgotten_earlier(self):
        # A configuration with shorter timeouts let all hosts forget the version of
        # streams that could still be resumed.
        life = StreamLife()
        life.note(20.0, now_s=NOW_S)
        self.assertEqual(life.note(6.0, now_s=NOW_S + 1.0), 20.0)
        self.assertEqual(life.note(6.0, now_s=NOW_S + 20.9), 20.0)
        self.assertEqual(life.note(6.0, now_s=NOW_S + 21.1), 6.0)

    def test_longer_timeouts_count_at_once(self):
        life = StreamLife()
        life.note(6.0, now_s=NOW_S)
        self.assertEqual(life.note(20.0, now_s=NOW_S + 1.0), 20.0)

    def test_without_a_configuration_no_stream_is_left(self):
        self.assertEqual(StreamLife().note(0.0, now_s=NOW_S), 0.0)


class RecordIntervalTest(unittest.TestCase):
    def test_streams_are_recorded_within_a_quarter_second_in_a_large_fleet(self):
        # After 1.2 s most streams of killed hosts were not recorded, and were refused.
        self.assertEqual(record_interval_s(hosts=7, writes_per_s=400.0), 0.1)
        self.assertLess(record_interval_s(hosts=195, writes_per_s=3_200.0), 0.25)

    def test_the_records_of_all_hosts_take_a_quarter_of_the_writes_at_most(self):
        for hosts, writes_per_s in ((7, 20.0), (85, 1_200.0), (300, 3_200.0)):
            interval_s = record_interval_s(hosts=hosts, writes_per_s=writes_per_s)
            self.assertLessEqual(hosts / interval_s, 0.25 * writes_per_s + 1e-6)


class RegisterTest(unittest.TestCase):
    def test_a_stream_recorded_by_another_host_is_found(self):
        register = StreamVersions("host-1")
        streams = RecordedStreams("v1", (stream_key("llm", "r1"),))
        register.note_recorded(streams, source="host-2", now_s=NOW_S)
        self.assertEqual(
            register.find("llm", "r1"), StreamVersion("v1", "host-2", NOW_S)
        )

    def test_streams_begun_at_a_replica_just_before_its_restart_are_ambiguous(self):
        # The entry of the new incarnation comes after its first events.
        register = register_with(("r1", "v1"))
        again = engine("e-v1", software_version="v2", born_unix_ms=5)
        register.note_restarted(again, now_s=NOW_S + 1.0)
        self.assertIsNone(register.find("llm", "r1").version)

    def test_a_restart_at_the_same_version_leaves_its_streams_known(self):
        register = register_with(("r1", "v1"))
        again = engine("e-v1", software_version="v1", born_unix_ms=5)
        register.note_restarted(again, now_s=NOW_S + 1.0)
        self.assertEqual(register.find("llm", "r1").version, "v1")

    def test_streams_that_nobody_can_resume_are_forgotten(self):
        register = register_with(("r1", "v1"))
        register.forget_before(NOW_S + 1.0)
        self.assertIsNone(register.find("llm", "r1"))
        self.assertEqual(register.own_since(0, not_before_s=0.0), [])

    def test_only_streams_that_are_not_yet_recorded_are_written(self):
        register = register_with(("r1", "v1"), ("r2", "v1"), ("r3", "v2"))
        (third,) = register.own_since(2, not_before_s=0.0)
        self.assertEqual(third.key, stream_key("llm", "r3"))

    def test_an_older_record_of_a_service_does_not_replace_a_newer_one(self):
        register = StreamVersions("host-1")
        newer = ServiceVersions("llm", "v2", ("v1",), 8)
        self.assertTrue(register.put_service(newer))
        self.assertFalse(register.put_service(ServiceVersions("llm", "v1", (), 7)))
        self.assertEqual(register.service("llm"), newer)

    def test_streams_live_some_seconds_even_without_a_configuration(self):
        self.assertGreater(stream_life_s(None), 0.0)
