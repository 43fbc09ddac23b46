"""Tests of forwarded claims over real peer links."""

import random
import time
import unittest
from dataclasses import replace
from unittest import mock

import gevent
from gevent.event import Event

from persimmonyoke.internal.membership.peers import PeerUnanswered
from persimmonyoke.internal.once import outcomes as once
from persimmonyoke.internal.once.forwarding import (
    PeerClaimForwarder,
    decode_batch,
    encode_batch,
)
from persimmonyoke.internal.once.placement import choose_owner, place
from persimmonyoke_testing.builders_membership import StallingProxy, wait_until
from persimmonyoke_testing.builders_once import (
    SHORT_TIMEOUTS,
    FaultyStore,
    LinkedClaimCluster,
    uuid7,
)

BODY = b"b" * 32
ANSWER = once.StoredAnswer.of(201, "application/json", b'{"ok": true}')
SEED = 5
SETTINGS = replace(
    SHORT_TIMEOUTS, claim_timeout_s=2.0, forward_timeout_s=0.3, finish_timeout_s=2.0
)


class LinkedForwardTest(unittest.TestCase):
    def setUp(self):
        self.store = FaultyStore()
        self.cluster = LinkedClaimCluster(3, store=self.store, settings=SETTINGS)
        self.addCleanup(self.cluster.__exit__)
        self.key = uuid7(time.time(), random.Random(SEED))
        hosts = self.cluster.services
        self.owner = choose_owner(place("w", self.key).shard, hosts)
        self.caller, self.third = (host for host in hosts if host != self.owner)

    def connect(self, *, through=None):
        self.cluster.peers.connect(through=through)
        self.assertTrue(wait_until(self.cluster.peers.linked))

    def claim(self, host):
        service = self.cluster.services[host]
        return service.claim("w", self.key, BODY, now_unix_s=time.time())

    def assert_granted_once(self, outcome):
        self.assertIsInstance(outcome, once.ClaimGranted)
        second = self.claim(self.third)
        self.assertEqual(second, once.ClaimInProgress(self.caller))
        service = self.cluster.services[self.caller]
        self.assertTrue(service.finish(outcome.claim, ANSWER))
        self.assertEqual(self.claim(self.third), once.ClaimReplay(ANSWER))

    def test_claims_and_answers_of_other_hosts_are_written_by_the_owner(self):
        # If each host wrote directly, the store's write rate would be exceeded.
        self.connect()
        self.assert_granted_once(self.claim(self.caller))
        self.assertEqual(self.cluster.handled, [self.owner] * 4)

    def test_an_owner_that_dies_during_a_forward_leaves_one_grant(self):
        # The owner's write may have taken effect or not, which the caller must find
        # out.
        for delay_s in (0.0, 0.01, 0.05, 0.09):
            with self.subTest(delay_s):
                self.doCleanups()
                self.setUp()
                self.connect()
                self.store.latency_s = 0.04
                task = gevent.spawn(self.claim, self.caller)
                self.assertTrue(wait_until(lambda: self.cluster.handled))
                gevent.sleep(delay_s)
                self.cluster.kill(self.owner)
                self.assert_granted_once(task.get(timeout=5))

    def test_a_stalled_link_delays_a_claim_by_the_forward_timeout_at_most(self):
        # The connection stays open, so only the timeout reveals that nothing arrives.
        address = self.cluster.peers.services[self.owner].address
        proxy = StallingProxy(address)
        self.addCleanup(proxy.close)
        self.connect(through={self.owner: proxy.address})
        proxy.stall()
        started_s = time.monotonic()
        outcome = self.claim(self.caller)
        elapsed_s = time.monotonic() - started_s
        self.assertLess(elapsed_s, 2 * SETTINGS.forward_timeout_s)
        self.assert_granted_once(outcome)

    def test_deferred_answers_are_sent_with_the_next_claim(self):
        # Each message costs the owner as much CPU time as the operation itself.
        self.connect()
        granted = self.claim(self.caller)
        caller = self.cluster.services[self.caller]
        caller.finish_later(granted.claim, ANSWER)
        gevent.sleep(0)
        before = len(self.cluster.handled)
        self.assertEqual(self.claim(self.caller), once.ClaimReplay(ANSWER))
        self.assertEqual(len(self.cluster.handled) - before, 1)
        self.assertTrue(wait_until(lambda: not caller.busy()))
        self.assertEqual(len(self.cluster.handled) - before, 1)

    def test_a_deferred_answer_is_stored_without_a_following_claim(self):
        self.connect()
        granted = self.claim(self.caller)
        caller = self.cluster.services[self.caller]
        caller.finish_later(granted.claim, ANSWER)
        self.assertTrue(wait_until(lambda: not caller.busy(), timeout_s=1))
        self.assertEqual(self.claim(self.third), once.ClaimReplay(ANSWER))

    def test_a_batch_to_a_dead_owner_is_written_by_the_caller(self):
        # Each operation of the batch must be told that it was not sent.
        self.connect()
        granted = self.claim(self.caller)
        self.cluster.kill(self.owner)
        caller = self.cluster.services[self.caller]
        caller.finish_later(granted.claim, ANSWER)
        gevent.sleep(0)
        self.claim(self.caller)
        self.assertTrue(wait_until(lambda: not caller.busy(), timeout_s=2))
        self.assertEqual(self.claim(self.third), once.ClaimReplay(ANSWER))


class _EchoPeers:
    """Answer each request with its own payload, and record the requests."""

    def __init__(self):
        self.requests = []

    def request(self, host, payload, *, timeout_s):
        self.requests.append(decode_batch(payload))
        return payload


class BatchTest(unittest.TestCase):
    def test_an_item_that_is_batched_as_its_wait_ends_is_sent_once(self):
        # The timeout of the item and another task's claim can fall into the same
        # iteration of the event loop.
        peers = _EchoPeers()
        forwarder = PeerClaimForwarder(peers)

        class BatchedLate(Event):
            def wait(self, timeout=None):
                forwarder.forward("h", b"claim", timeout_s=1.0)
                return False

        with mock.patch("persimmonyoke.internal.once.forwarding.Event", BatchedLate):
            reply = forwarder.forward_later("h", b"answer", timeout_s=1.0)
        self.assertEqual(reply, b"answer")
        self.assertEqual(peers.requests, [[b"answer", b"claim"]])

    def test_a_reply_with_another_number_of_results_settles_nothing(self):
        # Results could be assigned to the wrong operations.
        peers = _EchoPeers()
        peers.request = lambda host, payload, *, timeout_s: encode_batch([b"x"])
        forwarder = PeerClaimForwarder(peers)
        task = gevent.spawn(forwarder.forward_later, "h", b"answer", timeout_s=1.0)
        gevent.sleep(0)
        self.assertIsNone(forwarder.forward("h", b"claim", timeout_s=1.0))
        self.assertIsNone(task.get(timeout=1))

    def test_each_operation_of_an_unsent_batch_is_reported_as_not_sent(self):
        # An operation reported as possibly sent is withdrawn with an additional write.
        peers = _EchoPeers()

        def refuse(host, payload, *, timeout_s):
            raise PeerUnanswered("no link", sent=False)

        peers.request = refuse
        forwarder = PeerClaimForwarder(peers)
        task = gevent.spawn(forwarder.forward_later, "h", b"answer", timeout_s=1.0)
        gevent.sleep(0)
        with self.assertRaises(ConnectionError):
            forwarder.forward("h", b"claim", timeout_s=1.0)
        with self.assertRaises(ConnectionError):
            task.get(timeout=1)
