"""Tests of the compact encoding of beats and loads and of source selection."""

import random
import unittest

import gevent
from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode, encode
from persimmonyoke.internal.membership.dissemination import PeerHandlers
from persimmonyoke.internal.membership.messages import (
    Heartbeat,
    HostBeat,
    Load,
    PackedHeartbeat,
    PackedLoads,
)
from persimmonyoke.internal.membership.packing import (
    BeatPacker,
    BeatUnpacker,
    LoadPacker,
    LoadUnpacker,
)
from persimmonyoke.internal.membership.sources import SourceSelector
from persimmonyoke.internal.membership.topology import BoundedDegree
from persimmonyoke_testing.builders_membership import PeerCluster, wait_until

BEATS = st.builds(
    HostBeat,
    host=st.sampled_from("abc"),
    incarnation=st.sampled_from(("i1", "i2")),
    sequence=st.integers(0, 600),
    revision=st.integers(0, 2),
    leaving=st.booleans(),
    load_percent=st.integers(0, 10_000),
)
LOADS = st.builds(Load, st.sampled_from("abcdef"), st.binary(max_size=300))


class PackingTest(unittest.TestCase):
    @given(st.lists(st.lists(BEATS, max_size=5, unique_by=lambda beat: beat.host)))
    def test_each_beat_arrives_as_it_was_sent(self, batches):
        """Guards against a slot mix-up that gives a host the beat of another one."""
        packer, unpacker = BeatPacker(), BeatUnpacker()
        for batch in batches:
            packed = decode(encode(packer.pack(Heartbeat(tuple(batch)))))
            self.assertCountEqual(unpacker.unpack(packed).beats, batch)

    @given(st.lists(st.lists(LOADS, max_size=8)))
    def test_each_load_arrives_under_its_engine_name(self, batches):
        """Guards against a report that is attributed to another engine."""
        packer, unpacker = LoadPacker(), LoadUnpacker()
        for batch in batches:
            found = []
            for message in packer.pack(batch):
                message = decode(encode(message))
                if isinstance(message, PackedLoads):
                    found += unpacker.unpack(message)
                else:
                    found.append(message)
            self.assertCountEqual(found, batch)

    def test_more_names_than_slots_reset_the_table(self):
        """Guards against running out of slots after thousands of engines have left."""
        packer, unpacker = LoadPacker(), LoadUnpacker()
        loads = [Load(f"llm-{number}", b"x") for number in range(9_000)]
        found = [i for m in packer.pack(loads) for i in unpacker.unpack(m)]
        self.assertEqual(found, loads)

    def test_malformed_packed_messages_are_refused(self):
        """Guards against an exception that ends the task that reads a link."""
        for same in (b"123", b"\0\x07\0\0\1"):
            with self.assertRaises(ProtocolError):
                BeatUnpacker().unpack(PackedHeartbeat((), same))
        for reports in (b"\1", b"\0", b"\0\0\5abc", b"\1abc"):
            with self.assertRaises(ProtocolError):
                LoadUnpacker().unpack(PackedLoads(3, (), reports))


class CountingTopology(BoundedDegree):
    calls = 0

    def peers(self, host, members):
        CountingTopology.calls += 1
        return super().peers(host, members)


class MembersTest(unittest.TestCase):
    def test_the_topology_is_computed_only_when_the_members_change(self):
        """Guards against hashing all members at each check of each peer's task."""
        with PeerCluster(3, topology=CountingTopology) as cluster:
            cluster.connect()
            cluster.connect()
            gevent.sleep(1.0)
            self.assertEqual(CountingTopology.calls, 3)


class SourceSelectorTest(unittest.TestCase):
    def test_surplus_links_are_pruned_and_grafted_when_a_source_is_lost(self):
        """Guards against an origin that is no longer received over any link."""
        sources = SourceSelector(copies=1, graft_after_s=2.0)
        self.assertFalse(sources.note_copy("e", "a", is_new=True, now_s=0.0))
        self.assertTrue(sources.note_copy("e", "b", is_new=False, now_s=0.1))
        self.assertFalse(sources.note_copy("e", "b", is_new=False, now_s=0.2))
        self.assertEqual(sources.overdue(1.9), {})
        self.assertEqual(sources.overdue(2.0), {"b": ["e"]})
        self.assertFalse(sources.note_copy("e", "b", is_new=True, now_s=2.1))
        self.assertTrue(sources.note_copy("e", "a", is_new=False, now_s=2.2))
        self.assertEqual(sources.drop_link("b"), {"a": ["e"]})

    def test_loads_and_beats_still_reach_all_hosts_after_links_fall_silent(self):
        """Guards against hosts that miss an engine's reports due to pruned links."""
        seed = 4
        print(f"seed {seed}")
        rng = random.Random(seed)
        got = {}
        with PeerCluster(0, topology=BoundedDegree) as cluster:
            for index in range(12):
                name = f"host-{index:02d}"
                got[name] = set()
                note = lambda host, load, n=name: got[n].add(load.payload)
                cluster.add(name, handlers=PeerHandlers(load=note))
            cluster.connect()
            services = list(cluster.services.values())
            wait_until(lambda: all(len(s.links()) >= 6 for s in services))

            def reach_all(number):
                payload = f"report {number}".encode()
                services[0].broadcast(Load("llm-1", payload))
                others = [name for name in got if name != "host-00"]
                arrived = lambda: all(payload in got[name] for name in others)
                return wait_until(arrived, timeout_s=3.0)

            for number in range(4):
                self.assertTrue(reach_all(number))
            links = [link for service in services for link in service.links()]
            for link in rng.sample(links, 4):
                link.queue.offer = lambda message: True
            # Silent links end after 3 s; further reports make hosts graft other links.
            for number in range(4, 9):
                services[0].broadcast(Load("llm-1", f"lost {number}".encode()))
                gevent.sleep(0.7)
            self.assertTrue(reach_all(9))
