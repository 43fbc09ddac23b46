"""Test that the loss of this host's links is no evidence against replicas."""

import json
import time
import unittest

from persimmonyoke.internal.fleet.replica_links import LinkState
from persimmonyoke.internal.gateway.peers import PeerLink
from persimmonyoke_testing.builders_fleet import engine
from persimmonyoke_testing.builders_gateway import gateway_state

REPLICAS = tuple(engine(name) for name in "abc")


class LinksTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.state = gateway_state(log=self.log)
        for replica in REPLICAS:
            changes = self.state.replicas.put(replica, now_s=1.0)
            self.state.apply_replica_changes(changes, now_s=1.0)
        self.log.clear()

    def fail_all(self, now_s):
        for replica in REPLICAS:
            self.state.health.note_unreachable(replica.replica_id, now_s)
            self.state.links.note_connect_failed(replica, begun_s=now_s, now_s=now_s)

    def reach_by_peer(self, now_s):
        for replica in REPLICAS[:2]:
            self.state.links.note_reached_by_peer(replica, now_s)

    def test_replicas_that_peers_reach_are_no_longer_paused(self):
        # Requests were refused without an attempt, since all replicas were paused.
        self.fail_all(2.0)
        self.assertEqual(len(self.state.health.all_paused(2.1)), 3)
        self.reach_by_peer(2.1)
        self.assertIs(self.state.links.state, LinkState.CUT_OFF)
        self.assertEqual(self.state.health.all_paused(2.1), [])

    def test_replicas_are_used_again_as_soon_as_the_links_work(self):
        # Pauses of up to 4 s went on after the partition.
        self.fail_all(2.0)
        self.state.links.note_connected(REPLICAS[0], 2.2)
        self.assertIs(self.state.links.state, LinkState.INTACT)
        self.assertEqual(self.state.health.all_paused(2.2), [])

    def test_a_host_that_may_be_cut_off_reports_no_replica_to_its_peers(self):
        # Peers took the replicas that a cut-off host could not reach for suspects.
        link, now_s = PeerLink(self.state), time.monotonic()
        self.state.health.note_unreachable("a", now_s)
        self.assertEqual(link.state_message().suspects, ("a",))
        self.fail_all(now_s)
        self.assertEqual(link.state_message().suspects, ())

    def test_a_change_of_the_links_is_logged_with_its_evidence(self):
        self.fail_all(2.0)
        self.reach_by_peer(2.5)
        lines = [json.loads(line) for line in self.log]
        changes = [line for line in lines if line["event"] == "links"]
        states = [(line["former"], line["state"]) for line in changes]
        self.assertEqual(
            states, [("intact", "unconfirmed"), ("unconfirmed", "cut_off")]
        )
        self.assertEqual((changes[1]["failing"], changes[1]["confirmed"]), (3, 2))
        self.assertEqual(changes[1]["failing_ms"], 500)


if __name__ == "__main__":
    unittest.main()
