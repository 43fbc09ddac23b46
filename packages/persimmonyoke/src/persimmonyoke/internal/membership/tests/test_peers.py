"""Tests of the peer service over loopback connections."""

import time
import unittest

import gevent
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.sync.client import connect

from persimmonyoke.internal.membership.codec import encode
from persimmonyoke.internal.membership.dissemination import PeerHandlers
from persimmonyoke.internal.membership.handshake import Authenticator, NodeIdentity
from persimmonyoke.internal.membership.link import connect_to_peer
from persimmonyoke.internal.membership.messages import Leaving, Proof, Suspect
from persimmonyoke.internal.membership.peers import PeerUnanswered
from persimmonyoke.internal.membership.topology import BoundedDegree
from persimmonyoke_testing.builders_membership import (
    SHARED_KEY,
    PeerCluster,
    StallingProxy,
    wait_until,
)


def revisions(cluster):
    return {s.dissemination.revision.number for s in cluster.services.values()}


class PeerServiceTest(unittest.TestCase):
    def test_a_revision_and_a_leaving_mark_reach_all_hosts_within_a_second(self):
        with PeerCluster(7) as cluster:
            cluster.connect()
            self.assertTrue(wait_until(cluster.linked))
            first = cluster.services["host-00"]
            first.publish_revision(4, b"four")
            first.broadcast(Leaving("host-01", "host-01-i1"))
            self.assertTrue(wait_until(lambda: revisions(cluster) == {4}, timeout_s=1))
            views = [s.view for s in cluster.services.values()]
            marked = lambda: all(view.is_leaving("host-01") for view in views)
            self.assertTrue(wait_until(marked, timeout_s=2))
            first.publish_revision(3, b"three")
            self.assertEqual(first.dissemination.revision.number, 4)

    def test_a_host_that_starts_in_an_outage_gets_state_from_its_peers(self):
        # While the key-value service is down, peers are the only source of state.
        suspect = Suspect(b"digest", 1, True)
        seen = []
        with PeerCluster(
            2, handlers={"host-00": PeerHandlers(suspects=lambda: (suspect,))}
        ) as cluster:
            cluster.services["host-00"].publish_revision(9, b"nine")
            cluster.services["host-00"].broadcast(Leaving("llm-1", "i1", "upstream"))
            late = cluster.add(
                "host-02",
                handlers=PeerHandlers(
                    suspect=lambda host, message: seen.append(message),
                    leaving=lambda host, message: seen.append(message),
                ),
            )
            cluster.connect()
            self.assertTrue(wait_until(lambda: len(seen) == 2))
            self.assertTrue(wait_until(lambda: late.dissemination.revision.number == 9))
            self.assertIn(suspect, seen)

    def test_a_lost_push_is_repaired_by_the_next_digest(self):
        with PeerCluster(2) as cluster:
            cluster.connect()
            self.assertTrue(wait_until(cluster.linked))
            first = cluster.services["host-00"]
            link = first.links()[0]
            offer, link.queue.offer = link.queue.offer, lambda message: True
            first.publish_revision(2, b"two")
            link.queue.offer = offer
            self.assertTrue(wait_until(lambda: revisions(cluster) == {2}))

    def test_a_silent_link_is_replaced_over_a_new_connection(self):
        # An open connection can stall permanently while new ones work.
        with PeerCluster(2) as cluster:
            proxy = StallingProxy(cluster.services["host-01"].address)
            self.addCleanup(proxy.close)
            cluster.connect(through={"host-01": proxy.address})
            self.assertTrue(wait_until(cluster.linked))
            stalled = cluster.services["host-00"].links()[0]
            proxy.stall()
            cluster.services["host-00"].publish_revision(2, b"x" * 900_000)
            started_s = time.monotonic()
            replaced = lambda: stalled.closed and cluster.linked()
            self.assertTrue(wait_until(replaced, timeout_s=6))
            self.assertTrue(wait_until(lambda: revisions(cluster) == {2}))
            print(f"silent link replaced in {time.monotonic() - started_s:.1f} s")

    def test_hosts_with_another_key_get_no_link(self):
        keys = {"host-01": b"another key of enough bytes"}
        with PeerCluster(2, shared_keys=keys) as cluster:
            cluster.connect()
            cluster.services["host-00"].publish_revision(2, b"two")
            gevent.sleep(0.5)
            self.assertEqual(cluster.services["host-01"].links(), ())
            self.assertEqual(revisions(cluster), {0, 2})

    def test_a_peer_that_ignores_the_challenge_gets_no_link(self):
        # A peer without the key can skip the check of the listening side's proof.
        with PeerCluster(1) as cluster:
            service = cluster.services["host-00"]
            websocket = connect(f"ws://{service.address}/", legacy=True, proxy=None)
            identity = NodeIdentity("host-66", "i1")
            attacker = Authenticator(identity, shared_key=b"another key of 16 bytes")
            websocket.send(encode(attacker.hello()))
            websocket.recv(timeout=1)
            websocket.send(encode(Proof(b"p" * 32)))
            with self.assertRaises(ConnectionClosed):
                while True:
                    websocket.recv(timeout=1)
            self.assertEqual(service.connected_peers(), frozenset())
            websocket.close()

    def test_a_malformed_message_closes_the_link_and_only_it(self):
        with PeerCluster(2) as cluster:
            cluster.connect()
            self.assertTrue(wait_until(cluster.linked))
            service = cluster.services["host-00"]
            websocket = connect(f"ws://{service.address}/", legacy=True, proxy=None)
            identity = NodeIdentity("host-66", "i1")
            extra_peer = Authenticator(identity, shared_key=SHARED_KEY)
            connect_to_peer(websocket, extra_peer, expected_host="host-00")
            joined = lambda: "host-66" in service.connected_peers()
            self.assertTrue(wait_until(joined))
            websocket.send(b"\xff not CBOR")
            self.assertTrue(wait_until(lambda: not joined(), timeout_s=1))
            self.assertTrue(cluster.linked())
            websocket.close()

    def test_connections_without_a_handshake_are_limited_and_closed(self):
        # Unauthenticated peers must not exhaust the host's sockets and memory.
        with PeerCluster(0) as cluster:
            service = cluster.add("host-00", max_links=1)
            options = {"legacy": True, "proxy": None, "open_timeout": 1}
            first = connect(f"ws://{service.address}/", **options)
            with self.assertRaises((OSError, EOFError, WebSocketException)):
                connect(f"ws://{service.address}/", **options)
            first.send(encode(Proof(b"p" * 32)))
            with self.assertRaises(ConnectionClosed):
                first.recv(timeout=1)
            first.close()
            again = connect(f"ws://{service.address}/", **options)
            again.send(b"x" * 5_000)
            with self.assertRaises(ConnectionClosed):
                again.recv(timeout=1)
            again.close()

    def test_a_request_gets_its_own_reply_or_says_that_it_got_none(self):
        # The exception must say whether the request may still take effect at the peer.
        def answer(host, payload):
            gevent.sleep(0.3 if payload == b"slow" else 0.0)
            return b"reply to " + payload

        handlers = {"host-01": PeerHandlers(claim=answer)}
        with PeerCluster(2, handlers=handlers) as cluster:
            cluster.connect()
            service = cluster.services["host-00"]
            with self.assertRaises(PeerUnanswered) as caught:
                service.request("host-09", b"x", timeout_s=0.1)
            self.assertFalse(caught.exception.sent)
            tasks = [
                gevent.spawn(service.request, "host-01", p, timeout_s=3)
                for p in (b"slow", b"one", b"two")
            ]
            replies = [task.get() for task in tasks]
            expected = [b"reply to slow", b"reply to one", b"reply to two"]
            self.assertEqual(replies, expected)
            with self.assertRaises(PeerUnanswered) as caught:
                service.request("host-01", b"slow", timeout_s=0.05)
            self.assertTrue(caught.exception.sent)

    def test_in_a_bounded_mesh_all_hosts_receive_all_beats_and_revisions(self):
        with PeerCluster(12, topology=BoundedDegree) as cluster:
            cluster.connect()
            services = list(cluster.services.values())
            all_heard = lambda: all(
                not s.view.is_silent(name, time.monotonic())
                for s in services
                for name in cluster.services
            )
            self.assertTrue(wait_until(all_heard, timeout_s=8))
            services[0].publish_revision(2, b"two")
            self.assertTrue(wait_until(lambda: revisions(cluster) == {2}, timeout_s=2))
