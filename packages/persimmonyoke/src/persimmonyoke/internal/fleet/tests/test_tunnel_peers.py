"""Test the choice of peers through which a cut-off host reaches replicas."""

import random
import unittest
from collections import Counter

from persimmonyoke.internal.fleet.tunnel_peers import (
    PEER_PAUSE_S,
    TUNNELS_PER_STEP,
    UNKNOWN_ADDRESS_PAUSE_S,
    TunnelPeers,
)
from persimmonyoke_testing.builders_fleet import engine, host

NOW_S = 100.0
REPLICA = engine("r", zone="zone-b", port=1)
OTHER_REPLICA = engine("s", zone="zone-b", port=2)


def peer(name, zone="zone-a", key="key"):
    return host(name, zone=zone, tunnel_key=key)


class RankTest(unittest.TestCase):
    def setUp(self):
        self.peers = TunnelPeers("zone-a")
        self.rng = random.Random(5)

    def ranked(self, hosts, *, replica=REPLICA, now_s=NOW_S):
        found = self.peers.ranked(hosts, replica=replica, now_s=now_s, rng=self.rng)
        return [entry.name for entry in found]

    def test_peers_of_the_own_zone_and_of_that_of_the_replica_come_first(self):
        hosts = [peer("c", "zone-c"), peer("b", "zone-b"), peer("a", "zone-a")]
        self.assertEqual(self.ranked(hosts)[-1], "c")

    def test_a_peer_with_many_tunnels_comes_after_those_of_other_zones(self):
        for _ in range(TUNNELS_PER_STEP):
            self.peers.note_opened("a")
        hosts = [peer("a", "zone-a"), peer("c", "zone-c")]
        self.assertEqual(self.ranked(hosts), ["c", "a"])
        for _ in range(TUNNELS_PER_STEP):
            self.peers.note_closed("a")
        self.assertEqual(self.ranked(hosts), ["a", "c"])

    def test_a_peer_that_could_not_help_is_left_out_for_a_while(self):
        self.peers.note_failed(peer("a"), NOW_S)
        hosts = [peer("a"), peer("b")]
        self.assertEqual(self.ranked(hosts), ["b"])
        self.assertEqual(len(self.ranked(hosts, now_s=NOW_S + PEER_PAUSE_S)), 2)

    def test_the_pause_of_a_peer_ends_with_the_key_of_its_next_process(self):
        # A peer that had restarted was left out for what its former process did.
        self.peers.note_failed(peer("a", key="former"), NOW_S)
        self.assertEqual(self.ranked([peer("a", key="former")]), [])
        self.assertEqual(self.ranked([peer("a", key="new")]), ["a"])
        self.peers.note_failed(peer("a", key="new"), NOW_S)
        self.assertEqual(self.ranked([peer("a", key="new")]), [])

    def test_a_peer_that_does_not_know_a_replica_is_asked_for_others(self):
        # Hosts hear of a new replica at different times, and all peers were left out.
        self.peers.note_unknown(peer("a"), REPLICA.address, NOW_S)
        self.assertEqual(self.ranked([peer("a")]), [])
        self.assertEqual(self.ranked([peer("a")], replica=OTHER_REPLICA), ["a"])
        later_s = NOW_S + UNKNOWN_ADDRESS_PAUSE_S
        self.assertEqual(self.ranked([peer("a")], now_s=later_s), ["a"])

    def test_a_late_failure_with_the_former_key_does_not_end_a_pause(self):
        # Requests with both keys may be under way at once.
        self.peers.note_failed(peer("a", key="new"), NOW_S)
        self.peers.note_failed(peer("a", key="former"), NOW_S)
        self.assertEqual(self.ranked([peer("a", key="new")]), [])

    def test_a_peer_on_whose_tunnel_an_answer_was_lost_comes_last(self):
        # If it is the only peer left, a replica that fails must not rule it out.
        self.peers.note_lost("a", NOW_S)
        self.assertEqual(self.ranked([peer("a"), peer("c", "zone-c")]), ["c", "a"])
        self.assertEqual(self.ranked([peer("a")]), ["a"])

    def test_hosts_of_an_earlier_build_are_not_asked(self):
        self.assertEqual(self.ranked([peer("a", key=""), peer("b")]), ["b"])

    def test_sixty_hosts_that_are_cut_off_do_not_flood_a_single_peer(self):
        hosts = [peer(f"h{n}", f"zone-{n % 3}") for n in range(40)]
        tunnels = Counter()
        for number in range(60):
            own = TunnelPeers(f"zone-{number % 3}")
            for _ in range(20):
                chosen = own.ranked(
                    hosts,
                    replica=engine("r", zone=f"zone-{self.rng.randrange(3)}"),
                    now_s=NOW_S,
                    rng=self.rng,
                )[0].name
                own.note_opened(chosen)
                tunnels[chosen] += 1
        self.assertLess(max(tunnels.values()), 2 * 60 * 20 / 40)


if __name__ == "__main__":
    unittest.main()
