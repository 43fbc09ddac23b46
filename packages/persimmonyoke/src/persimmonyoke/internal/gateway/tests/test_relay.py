"""Tests of the exchange of state between the hosts of a large deployment."""

import unittest

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.dispatch.digests import WorkDigest
from persimmonyoke.internal.fleet.collectors import REPORT_COPIES
from persimmonyoke.internal.fleet.send_budget import BYTES_PER_MBIT
from persimmonyoke.internal.gateway.digest_messages import (
    MAX_DATAGRAM_BYTES,
    DigestMessage,
    decode_messages,
    encode_digest,
    pack,
    with_sequence,
)
from persimmonyoke.internal.gateway.peer_messages import decode_datagram
from persimmonyoke.internal.gateway.state import PartPlacement
from persimmonyoke_testing.builders_fleet import engine
from persimmonyoke_testing.relay_network import ROUND_S, STARTED_S, RelayNetwork

WARM_UP_S = 2.0
ZONE_PROPAGATION_S = 0.2
CROSS_ZONE_PROPAGATION_S = 0.5
"""Times within which a change reaches the hosts of the same zone and of all zones."""


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.network = RelayNetwork({"z1": 9, "z2": 9, "z3": 9})
        self.network.run(WARM_UP_S)

    def running_at(self, replica_id):
        """Return the number of runs at a replica as known by each running host."""
        return {
            name: running.state.ledger.total(
                replica_id, now_s=self.network.now_s
            ).running
            for name, running in self.network.hosts.items()
            if name not in self.network.lost
        }

    def begin_run(self, name, replica_id="e1"):
        self.network.hosts[name].state.ledger.begin_run(replica_id, 10)

    def test_each_host_counts_the_runs_of_all_hosts_once(self):
        for name in ("z1-000", "z1-007", "z2-008"):
            self.begin_run(name)
        self.network.run(CROSS_ZONE_PROPAGATION_S)
        self.assertEqual(set(self.running_at("e1").values()), {3})

    def test_start_and_end_of_a_run_propagate(self):
        self.begin_run("z1-007")
        self.network.run(ZONE_PROPAGATION_S)
        known = self.running_at("e1")
        self.assertEqual({known[f"z1-{n:03}"] for n in range(9)}, {1})
        self.network.hosts["z1-007"].state.ledger.end_run("e1", 10)
        self.network.run(CROSS_ZONE_PROPAGATION_S)
        self.assertEqual(set(self.running_at("e1").values()), {0})

    def test_prefill_backlog_propagates_to_all_hosts(self):
        ledger = self.network.hosts["z2-005"].state.ledger
        job = ledger.begin_prefill("e1", 2.0, now_s=self.network.now_s)
        self.network.run(CROSS_ZONE_PROPAGATION_S)
        for name, running in self.network.hosts.items():
            backlog_s = running.state.ledger.backlog_s("e1", now_s=self.network.now_s)
            self.assertAlmostEqual(
                backlog_s, 2.0 - CROSS_ZONE_PROPAGATION_S, delta=0.3, msg=name
            )
        ledger.end_prefill(job)

    def test_placements_and_refusals_reach_the_hosts_of_all_zones(self):
        self.network.hosts["z1-007"].placements.append(PartPlacement("p", "e1", 0))
        self.network.run(CROSS_ZONE_PROPAGATION_S)
        for name, running in self.network.hosts.items():
            if name != "z1-007":
                holders = running.state.prefixes.holders("p")
                self.assertEqual(holders, ("e1",), name)

    def test_restarted_host_learns_cached_parts_from_the_collector(self):
        # Querying every engine would delay all of them at each restart.
        parts = [PartPlacement(f"p{number}", "e1", 0) for number in range(300)]
        self.network.hosts["z1-007"].placements.extend(parts)
        self.network.run(2.0)
        self.network.restart("z1-004")
        self.network.run(2.0)
        prefixes = self.network.hosts["z1-004"].state.prefixes
        known = [p for p in parts if prefixes.holders(p.part_id) == ("e1",)]
        self.assertEqual(len(known), len(parts))

    def test_cached_parts_that_the_collector_learns_reach_its_zone_soon(self):
        # After a power failure of all hosts, the collector learns the cached parts of
        # all engines anew. Sent one by one, they arrive later than callers wait.
        first = self.network.hosts["z1-000"]
        names = [f"{number:08x}" for number in range(4_000)]
        for number in range(40):
            first.relay.add_cached_parts(f"e{number}", names[number * 100 :][:100])
        self.network.run(1.5)
        known = self.network.hosts["z1-008"].state.prefixes
        self.assertTrue(all(known.holders(name) for name in names))

    def test_host_states_propagate_through_the_collectors(self):
        # Callers are directed only to hosts whose states still arrive.
        self.network.lost.add("z3-005")
        self.network.run(10.0)
        own = self.network.entries[0]
        state = self.network.hosts[own.name].state
        known = state.hosts.states("z3", newer_than_s=self.network.now_s - 1.5)
        self.assertNotIn("z3-005", known)
        self.assertEqual(len(known), 8)
        self.assertEqual(len(state.hosts.states("z1", newer_than_s=STARTED_S)), 8)

    def test_a_host_without_a_registration_hears_the_collector_of_its_zone(self):
        # The store turned it away. It heard no peer any more, and could not tell that
        # from an outage of the store.
        turned_away = "z1-005"
        for name, running in self.network.hosts.items():
            if name != turned_away:
                running.state.hosts.remove(turned_away, now_s=self.network.now_s)
        self.network.run(3.0)
        self.network.reset_counts()
        self.network.run(2.0)
        self.assertGreater(self.network.received[turned_away], 10)
        hosts = self.network.hosts[turned_away].state.hosts
        heard = hosts.states("z2", newer_than_s=self.network.now_s - 2.0)
        self.assertEqual(len(heard), 9)

    def test_a_collector_that_loses_its_registration_goes_on_alone(self):
        # The store turned it away. The next host took over beside it, for as long as
        # it heard neither of the two: both sent to all hosts of the zone.
        for name, running in self.network.hosts.items():
            if name != "z1-000":
                running.state.hosts.remove("z1-000", now_s=self.network.now_s)
        self.network.run(2.0)
        collecting = [n for n, h in self.network.hosts.items() if h.relay.collecting]
        self.assertEqual(collecting, ["z1-000", "z2-000", "z3-000"])
        self.begin_run("z1-007")
        self.begin_run("z1-000")
        self.network.run(CROSS_ZONE_PROPAGATION_S)
        self.assertEqual(set(self.running_at("e1").values()), {2})

    def test_a_host_that_knows_of_the_end_of_a_registration_alone_does_not_collect(
        self,
    ):
        # It heard of the collector's return late, and collected beside it until then.
        state = self.network.hosts["z1-001"].state
        state.hosts.remove("z1-000", now_s=self.network.now_s)
        self.network.run(2.0)
        self.assertFalse(self.network.hosts["z1-001"].relay.collecting)

    def test_work_of_a_host_that_lost_its_registration_counts(self):
        # It serves on for as long as the store turns it away.
        for name, running in self.network.hosts.items():
            if name != "z1-005":
                running.state.hosts.remove("z1-005", now_s=self.network.now_s)
        self.begin_run("z1-005")
        self.network.run(CROSS_ZONE_PROPAGATION_S)
        self.assertEqual(set(self.running_at("e1").values()), {1})

    def test_zone_recovers_when_its_first_hosts_are_killed(self):
        self.network.lost.update({"z1-000", "z1-001"})
        self.network.run(1.5)
        self.begin_run("z1-007")
        self.network.run(CROSS_ZONE_PROPAGATION_S)
        self.assertEqual(set(self.running_at("e1").values()), {1})

    def test_a_host_that_stood_still_listens_before_it_collects(self):
        # All seemed silent to it. The same happened to all hosts of a deployment when
        # it grew beyond the size that needs collectors.
        (entry,) = (e for e in self.network.entries if e.name == "z1-004")
        self.network.lost.add(entry.name)
        self.network.run(5.0)
        self.network.lost.clear()
        running = self.network.hosts[entry.name]
        running.relay.collect(now_s=self.network.now_s)
        self.assertFalse(running.relay.collecting)

    def test_one_host_collects_in_each_zone(self):
        collecting = [n for n, h in self.network.hosts.items() if h.relay.collecting]
        self.assertEqual(collecting, ["z1-000", "z2-000", "z3-000"])

    def test_datagrams_fit_into_one_packet(self):
        for number in range(60):
            self.begin_run(f"z1-{number % 9:03}", f"i-7f3a91c{number:03}")
        self.network.run(1.0)
        self.assertLessEqual(self.network.longest_bytes, MAX_DATAGRAM_BYTES)


class WeakLinkTest(unittest.TestCase):
    """A zone of 25 hosts with links of 10 Mbit/s, and 2,000 placements a second."""

    LINK_MBIT_PER_S = 10.0
    ENGINES = [f"i-{number:010x}" for number in range(47)]

    def setUp(self):
        self.network = RelayNetwork({"z1": 25}, link_mbit_per_s=self.LINK_MBIT_PER_S)
        self.network.run(WARM_UP_S)
        self.parts = 0

    def place(self):
        """Let each host place four prompts parts that nobody else has."""
        for running in self.network.hosts.values():
            for _ in range(4):
                engine = self.ENGINES[self.parts % len(self.ENGINES)]
                self.parts += 1
                part = PartPlacement(f"{self.parts:08x}", engine, 300)
                running.placements.append(part)
                running.state.ledger.begin_run(engine, 10)

    def run_under_load(self, duration_s):
        self.network.reset_counts()
        for _ in range(round(duration_s / ROUND_S)):
            self.place()
            self.network.run(ROUND_S)

    def test_a_collector_leaves_most_of_a_weak_link_to_other_traffic(self):
        # Its own calls to the store, requests and tunnels waited behind its datagrams
        # until they timed out.
        self.run_under_load(3.0)
        sent_bytes = self.network.sent_bytes["z1-000"]
        self.assertLess(sent_bytes, 3.0 * self.LINK_MBIT_PER_S * BYTES_PER_MBIT / 2)
        collecting = [n for n, h in self.network.hosts.items() if h.relay.collecting]
        self.assertEqual(collecting, ["z1-000"])

    def test_a_large_zone_on_weak_links_keeps_one_collector_and_its_totals(self):
        # The sums over 300 engines for 38 hosts alone would fill the link.
        self.ENGINES = [f"i-{number:010x}" for number in range(300)]
        self.network = RelayNetwork({"z1": 39, "z2": 39}, link_mbit_per_s=20.0)
        for running in self.network.hosts.values():
            replicas = [engine(name) for name in self.ENGINES]
            running.state.replicas.replace_all(replicas, now_s=self.network.now_s)
        self.network.run(WARM_UP_S)
        self.run_under_load(1.0)
        self.assertLess(self.network.sent_bytes["z1-000"], 20.0 * BYTES_PER_MBIT / 2)
        collecting = [n for n, h in self.network.hosts.items() if h.relay.collecting]
        self.assertEqual(collecting, ["z1-000", "z2-000"])
        self.network.hosts["z2-038"].state.ledger.begin_run("one", 10)
        self.network.run(1.5)
        for name, running in self.network.hosts.items():
            total = running.state.ledger.total("one", now_s=self.network.now_s)
            self.assertEqual(total.running, 1, name)

    def test_shared_parts_go_before_those_of_single_requests(self):
        # Hosts that do not know of a shared part let another engine read it again.
        first, second = self.network.hosts["z1-007"], self.network.hosts["z1-008"]
        first.placements.append(PartPlacement("shared", "e1", 0))
        self.network.run(1.0)
        self.run_under_load(2.0)
        second.placements.append(PartPlacement("shared", "e2", 0))
        self.run_under_load(ZONE_PROPAGATION_S + ROUND_S)
        for name, running in self.network.hosts.items():
            if name != "z1-008":
                holders = running.state.prefixes.holders("shared")
                self.assertEqual(set(holders), {"e1", "e2"}, name)


class MalformedTest(unittest.TestCase):
    def test_malformed_datagrams_of_collectors_are_rejected(self):
        digest = encode_digest(DigestMessage("a", "z1", WorkDigest(0, {})))
        whole = with_sequence(digest, 3)
        (message,) = decode_messages(whole, now_s=STARTED_S).messages
        self.assertEqual(message.sequence, 3)
        cases = {
            "cut": whole[:-1],
            "no number": whole[:3],
            "other format": with_sequence(cbor2.dumps([99, 1]), 3),
            "no list": with_sequence(cbor2.dumps(5), 3),
            "field": with_sequence(cbor2.dumps([6, "a", "z1", 0, {"e": 5}, 0, []]), 3),
        }
        for name, raw in cases.items():
            with self.subTest(name), self.assertRaises(ProtocolError):
                decode_datagram(raw, now_s=STARTED_S)

    def test_messages_share_datagrams_up_to_their_size(self):
        packed = pack([b"a" * 600, b"b" * 600, b"c" * 600])
        self.assertEqual([len(part) for part in packed], [1_200, 600])


class CostTest(unittest.TestCase):
    def test_datagrams_per_host_do_not_grow_with_the_number_of_hosts(self):
        # In a full mesh of 195 hosts each one received 350 datagrams a second. The few
        # hosts that get the reports of their zone are excluded.
        received = {count: self.received_per_s(count) for count in (6, 24)}
        print(f"datagrams a second at a host: {received}")
        self.assertLessEqual(received[24], 60.0)
        self.assertLessEqual(received[24], 1.5 * received[6])

    def received_per_s(self, hosts_per_zone):
        network = RelayNetwork({f"z{n}": hosts_per_zone for n in range(5)})
        network.run(WARM_UP_S)
        network.reset_counts()
        for _ in range(4):
            for running in network.hosts.values():
                running.state.ledger.begin_run("e1", 10)
            network.run(0.25)
        reported_to = {
            f"z{n}-{rank:03}" for n in range(5) for rank in range(REPORT_COPIES)
        }
        members = network.hosts.keys() - reported_to
        return max(network.received[name] for name in members) / 1.0


if __name__ == "__main__":
    unittest.main()
