"""Test whether a host takes its own isolation for an outage of the store."""

import unittest

import orjson

from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.replicas import REREGISTRATION_GRACE_S
from persimmonyoke_testing.builders_fleet import engine, host
from persimmonyoke_testing.builders_gateway import gateway_state

CUT_S, BACK_S = 103.0, 108.0
"""Times at which the host last heard the store, and heard it again."""


class IsolatedHostTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.state = gateway_state(log=self.log)
        self.state.begin(100.0)
        for name in ("host-1", "host-2", "host-3"):
            self.state.hosts.put(host(name), now_s=100.0)
        for now_s in (100.1, 101.5, CUT_S):
            self.state.note_store_answer(now_s)
        self.change(self.state.replicas.put(engine("a"), now_s=100.0), 100.0)
        self.change(self.state.replicas.put(engine("b"), now_s=100.0), 100.0)

    def change(self, changes, now_s):
        self.state.apply_replica_changes(changes, now_s=now_s)

    def return_without_entry_of_a(self):
        self.state.note_store_answer(BACK_S)
        read = self.state.replicas.replace_all([engine("b")], now_s=BACK_S)
        self.change(read, BACK_S)

    def hear(self, name, *, since_s, now_s):
        peer = PeerState(now_s, True, 1, True, 5, store_contact_since_s=since_s)
        self.state.note_peer(name, peer, now_s)

    def usable(self, now_s):
        replicas = self.state.replicas.usable("llm", now_s=now_s)
        return [replica.replica_id for replica in replicas]

    def events(self):
        return [orjson.loads(line)["event"] for line in self.log]

    def test_a_replica_that_left_during_a_cut_gets_no_work_once_a_peer_is_heard(self):
        # The host took its cut for an outage and used the replica for 2 s more.
        self.return_without_entry_of_a()
        self.assertEqual(self.usable(BACK_S + 0.1), ["a", "b"])
        self.hear("host-2", since_s=50.0, now_s=BACK_S + 0.2)
        self.assertEqual(self.usable(BACK_S + 0.2), ["b"])
        self.assertIn("outage_ruled_out", self.events())

    def test_a_replica_that_leaves_after_a_cut_is_gone_at_once(self):
        self.return_without_entry_of_a()
        self.hear("host-2", since_s=50.0, now_s=BACK_S + 0.2)
        now_s = BACK_S + 0.5
        self.change(self.state.replicas.remove("b", now_s=now_s), now_s)
        self.assertEqual(self.usable(now_s), [])

    def test_entries_that_lapsed_in_an_outage_are_kept_though_peers_are_heard(self):
        # All replicas would be dropped at the end of each long outage.
        self.return_without_entry_of_a()
        self.hear("host-2", since_s=BACK_S + 0.1, now_s=BACK_S + 0.3)
        self.hear("host-3", since_s=BACK_S - 0.3, now_s=BACK_S + 0.3)
        self.assertEqual(self.usable(BACK_S + 0.4), ["a", "b"])
        end_s = BACK_S - 0.3 + REREGISTRATION_GRACE_S
        self.assertEqual(self.usable(end_s), ["b"])

    def test_a_peer_that_has_lost_the_store_rules_no_outage_out(self):
        self.return_without_entry_of_a()
        self.hear("host-2", since_s=None, now_s=BACK_S + 0.2)
        self.assertEqual(self.usable(BACK_S + 0.2), ["a", "b"])

    def test_what_a_peer_told_before_the_outage_rules_it_not_out(self):
        self.hear("host-2", since_s=50.0, now_s=CUT_S + 0.2)
        self.return_without_entry_of_a()
        self.hear("host-3", since_s=BACK_S, now_s=BACK_S + 0.2)
        self.assertEqual(self.usable(BACK_S + 0.2), ["a", "b"])


if __name__ == "__main__":
    unittest.main()
