"""Tests of the topologies and the send queue."""

import unittest

from persimmonyoke.internal.membership.messages import (
    Claim,
    Heartbeat,
    Leaving,
    Load,
    RevisionMessage,
)
from persimmonyoke.internal.membership.sendqueue import (
    MAX_LOADS,
    MAX_OTHER_MESSAGES,
    SendQueue,
)
from persimmonyoke.internal.membership.topology import BoundedDegree, SizeBasedTopology


def members(count):
    return {f"host-{i:02d}": f"zone-{i % 3}" for i in range(count)}


def edges(topology, hosts):
    neighbours = {host: set() for host in hosts}
    for host in hosts:
        for peer in topology.peers(host, hosts):
            neighbours[host].add(peer)
            neighbours[peer].add(host)
    return neighbours


def reachable(neighbours, start):
    found, pending = {start}, [start]
    while pending:
        new = neighbours[pending.pop()] - found
        found |= new
        pending += new
    return found


class TopologyTest(unittest.TestCase):
    def test_the_bounded_mesh_is_connected_with_few_links_for_each_host(self):
        # A partitioned mesh would leave some hosts on an old revision.
        for count in (9, 30, 60, 320):
            neighbours = edges(SizeBasedTopology(), members(count))
            self.assertEqual(len(reachable(neighbours, "host-00")), count)
            degrees = [len(peers) for peers in neighbours.values()]
            self.assertLess(sum(degrees) / count, 8.01)

    def test_the_bounded_mesh_survives_the_loss_of_a_zone(self):
        # The remaining hosts must stay connected before the host list changes.
        neighbours = edges(BoundedDegree(), members(60))
        left = {h for h in neighbours if members(60)[h] != "zone-0"}
        remaining = {host: neighbours[host] & left for host in left}
        self.assertEqual(reachable(remaining, "host-01"), left)

    def test_up_to_eight_hosts_all_pairs_are_linked(self):
        self.assertEqual(len(SizeBasedTopology().peers("host-00", members(8))), 7)


class SendQueueTest(unittest.TestCase):
    def test_a_stalled_link_drops_loads_but_no_revision_or_leaving_mark(self):
        # After the loss of a mark, new work would be sent to a leaving host.
        queue = SendQueue()
        queue.offer(Leaving("host-1", "i1"))
        queue.offer(RevisionMessage(5, b"five"))
        queue.offer(RevisionMessage(4, b"four"))
        for number in range(2 * MAX_LOADS):
            queue.offer(Load(f"llm-{number}", b""))
        queue.offer(Heartbeat())
        self.assertLessEqual(len(queue), MAX_LOADS + 3)
        taken = [queue.take(timeout_s=0) for _ in range(4)]
        self.assertEqual(taken[0], Leaving("host-1", "i1"))
        self.assertIn(RevisionMessage(5, b"five"), taken)
        self.assertEqual(taken[3], Load(f"llm-{MAX_LOADS}", b""))

    def test_a_full_queue_refuses_requests_so_that_their_sender_knows(self):
        queue = SendQueue()
        claim = Claim(b"12345678", b"")
        accepted = [queue.offer(claim) for _ in range(MAX_OTHER_MESSAGES + 1)]
        self.assertEqual(accepted.count(False), 1)
