"""Tests that a host distinguishes its own isolation from an outage of the store."""

import unittest

import orjson

from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.replicas import REREGISTRATION_GRACE_S
from persimmonyoke_testing.builders_fleet import engine, host
from persimmonyoke_testing.builders_gateway import gateway_state

LAST_ANSWER_S, RECONNECTED_S = 103.0, 108.0
"""Times of the last answer of the store before the partition, and the first after."""


class IsolatedHostTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.state = gateway_state(log=self.log)
        self.state.start_store_contact(100.0)
        for name in ("host-1", "host-2", "host-3"):
            self.state.hosts.put(host(name), now_s=100.0)
        for now_s in (100.1, 101.5, LAST_ANSWER_S):
            self.state.note_store_answer(now_s)
        self.change(self.state.replicas.put(engine("a"), now_s=100.0), 100.0)
        self.change(self.state.replicas.put(engine("b"), now_s=100.0), 100.0)

    def change(self, changes, now_s):
        self.state.apply_replica_changes(changes, now_s=now_s)

    def reconnect_without_entry_of_a(self):
        self.state.note_store_answer(RECONNECTED_S)
        read = self.state.replicas.replace_all([engine("b")], now_s=RECONNECTED_S)
        self.change(read, RECONNECTED_S)

    def note_contact(self, name, *, since_s, now_s):
        peer = PeerState(now_s, True, 1, True, 5, store_contact_since_s=since_s)
        self.state.note_peer(name, peer, now_s)

    def usable(self, now_s):
        replicas = self.state.replicas.usable("llm", now_s=now_s)
        return [replica.replica_id for replica in replicas]

    def events(self):
        return [orjson.loads(line)["event"] for line in self.log]

    def test_replica_that_left_during_a_partition_is_dropped_once_a_peer_reports(self):
        # If the host takes its own isolation for an outage of the store, it uses the
        # replica for another 2 s.
        self.reconnect_without_entry_of_a()
        self.assertEqual(self.usable(RECONNECTED_S + 0.1), ["a", "b"])
        self.note_contact("host-2", since_s=50.0, now_s=RECONNECTED_S + 0.2)
        self.assertEqual(self.usable(RECONNECTED_S + 0.2), ["b"])
        self.assertIn("outage_ruled_out", self.events())

    def test_replica_removed_after_a_partition_is_dropped_at_once(self):
        self.reconnect_without_entry_of_a()
        self.note_contact("host-2", since_s=50.0, now_s=RECONNECTED_S + 0.2)
        now_s = RECONNECTED_S + 0.5
        self.change(self.state.replicas.remove("b", now_s=now_s), now_s)
        self.assertEqual(self.usable(now_s), [])

    def test_entries_that_expired_in_an_outage_are_kept_although_peers_report(self):
        # Otherwise all replicas are dropped at the end of each long outage.
        self.reconnect_without_entry_of_a()
        self.note_contact(
            "host-2", since_s=RECONNECTED_S + 0.1, now_s=RECONNECTED_S + 0.3
        )
        self.note_contact(
            "host-3", since_s=RECONNECTED_S - 0.3, now_s=RECONNECTED_S + 0.3
        )
        self.assertEqual(self.usable(RECONNECTED_S + 0.4), ["a", "b"])
        end_s = RECONNECTED_S - 0.3 + REREGISTRATION_GRACE_S
        self.assertEqual(self.usable(end_s), ["b"])

    def test_peer_that_has_lost_the_store_does_not_rule_out_an_outage(self):
        self.reconnect_without_entry_of_a()
        self.note_contact("host-2", since_s=None, now_s=RECONNECTED_S + 0.2)
        self.assertEqual(self.usable(RECONNECTED_S + 0.2), ["a", "b"])

    def test_report_from_before_the_outage_does_not_rule_it_out(self):
        self.note_contact("host-2", since_s=50.0, now_s=LAST_ANSWER_S + 0.2)
        self.reconnect_without_entry_of_a()
        self.note_contact("host-3", since_s=RECONNECTED_S, now_s=RECONNECTED_S + 0.2)
        self.assertEqual(self.usable(RECONNECTED_S + 0.2), ["a", "b"])


if __name__ == "__main__":
    unittest.main()
