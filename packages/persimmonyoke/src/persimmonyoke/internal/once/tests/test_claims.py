"""Tests of claims under each kind of failure of hosts, links and store."""

import random
import time
import unittest

import gevent

from persimmonyoke.errors import ErrorKind, InvariantViolation, ProtocolError
from persimmonyoke.internal.invariants import MONITOR, Invariant
from persimmonyoke.internal.once import outcomes as once
from persimmonyoke.internal.once.forwarding import decode_operation, decode_result
from persimmonyoke.internal.once.placement import HASH_SHARDS, choose_owner, place
from persimmonyoke.internal.once.service import ClaimSettings
from persimmonyoke_testing.builders_once import (
    PREFIX,
    SHORT_TIMEOUTS,
    ClaimCluster,
    FaultyStore,
    uuid7,
)
from persimmonyoke_testing.measure_once import measure_claims, percentiles_ms

BODY = b"b" * 32
ANSWER = once.StoredAnswer.of(201, "application/json", b'{"ok": true}')
SEED = 7

PATIENT_TIMEOUTS = ClaimSettings(
    claim_timeout_s=20.0, forward_timeout_s=10.0, finish_timeout_s=20.0
)
"""Default settings with timeouts beyond a stall of the process of all hosts."""


class ClaimTest(unittest.TestCase):
    def setUp(self):
        self.cluster = ClaimCluster(3)
        self.store = self.cluster.store
        self.key = uuid7(time.time(), random.Random(SEED))
        self.owner = choose_owner(place("w", self.key).shard, self.cluster.services)
        self.other = next(h for h in self.cluster.services if h != self.owner)

    def claim(self, host=None, *, key=None, body=BODY):
        service = self.cluster.services[host or self.other]
        return service.claim("w", key or self.key, body, now_unix_s=time.time())

    def service(self, host=None):
        return self.cluster.services[host or self.other]

    def assert_not_run_and_claimable_later(self, outcome):
        self.assertIsInstance(outcome, once.ClaimStoreUnavailable)
        self.cluster.heal()
        self.assertTrue(self.cluster.settle())
        gevent.sleep(0.05)
        self.assertIsInstance(self.claim(self.owner), once.ClaimGranted)

    def test_a_resent_call_gets_the_stored_answer_at_any_host(self):
        # A second run would repeat side effects, such as registering a domain.
        granted = self.claim()
        self.assertTrue(self.service().finish(granted.claim, ANSWER))
        for host in self.cluster.services:
            self.assertEqual(self.claim(host), once.ClaimReplay(ANSWER))

    def test_a_key_whose_answer_was_lost_is_unknown_at_each_host_and_never_runs(self):
        # The holder is alive, so without the record each retry would be answered as
        # in progress.
        granted = self.claim()
        self.assertTrue(self.service().abandon(granted.claim))
        for host in self.cluster.services:
            self.assertEqual(self.claim(host), once.ClaimOutcomeUnknown(""))
        self.assertTrue(self.service().finish(granted.claim, ANSWER))
        self.assertEqual(self.claim(self.owner), once.ClaimReplay(ANSWER))

    def test_the_same_key_with_another_body_is_refused(self):
        # The stored answer belongs to another call.
        granted = self.claim()
        mismatch = self.claim(self.owner, body=b"c" * 32)
        self.assertEqual(mismatch, once.ClaimBodyMismatch())
        self.service().finish(granted.claim, ANSWER)
        mismatch = self.claim(self.owner, body=b"c" * 32)
        self.assertEqual(mismatch, once.ClaimBodyMismatch())

    def test_one_of_two_hosts_that_claim_at_once_gets_the_key(self):
        tasks = [
            gevent.spawn(self.claim, h) for h in self.cluster.services for _ in "ab"
        ]
        outcomes = [task.get() for task in tasks]
        granted = [o for o in outcomes if isinstance(o, once.ClaimGranted)]
        self.assertEqual(len(granted), 1)
        held = [o for o in outcomes if isinstance(o, once.ClaimInProgress)]
        self.assertEqual(len(held), 5)

    def test_two_owners_at_once_grant_a_key_once(self):
        # After each membership change, the views of the hosts differ for a while.
        self.cluster.split_brain_hosts = set(self.cluster.services)
        self.test_one_of_two_hosts_that_claim_at_once_gets_the_key()

    def test_a_released_claim_can_be_claimed_again(self):
        granted = self.claim()
        self.assertIsInstance(self.claim(self.owner), once.ClaimInProgress)
        self.assertTrue(self.service().release(granted.claim))
        self.assertIsInstance(self.claim(self.owner), once.ClaimGranted)

    def test_a_host_that_dies_with_a_claim_leaves_the_outcome_unknown(self):
        # The call of a dead host may have run; that of a live host is in progress.
        self.claim()
        self.assertEqual(self.claim(self.owner), once.ClaimInProgress(self.other))
        self.cluster.kill(self.other)
        self.assertEqual(self.claim(self.owner), once.ClaimOutcomeUnknown(self.other))

    def test_a_write_whose_request_or_answer_is_lost_grants_the_claim_once(self):
        for fault in ("lose_before", "lose_after", "apply_late"):
            with self.subTest(fault):
                self.setUp()
                self.store.script = [getattr(self.store, fault)]
                self.assertIsInstance(self.claim(), once.ClaimGranted)
                gevent.sleep(0.03)
                self.assertIsInstance(self.claim(self.owner), once.ClaimInProgress)

    def test_a_write_that_stays_unknown_is_withdrawn_in_the_background(self):
        # The late write must neither run the call nor block its retry permanently.
        for fault in ("lose_after", "apply_late"):
            with self.subTest(fault):
                self.setUp()

                def then_go_down(*write, fault=fault):
                    self.store.faults.down = True
                    return getattr(self.store, fault)(*write)

                self.store.script = [then_go_down]
                self.assert_not_run_and_claimable_later(self.claim())

    def test_with_the_store_down_claims_are_refused_at_once(self):
        # A caller must not have to wait for its deadline to learn that nothing ran.
        self.store.faults.down = True
        started_s = time.monotonic()
        outcome = self.claim(self.owner)
        self.assertLess(
            time.monotonic() - started_s, SHORT_TIMEOUTS.claim_timeout_s / 2
        )
        self.assert_not_run_and_claimable_later(outcome)

    def test_an_owner_that_does_not_reach_the_store_does_not_stop_claims(self):
        # The other hosts still reach the store, but would refuse all calls of the
        # owner's shards if they did not write directly.
        cut_off = FaultyStore(state=self.store.state)
        cut_off.faults.down = True
        self.cluster.replace_store(self.owner, cut_off)
        granted = self.claim()
        self.assertIsInstance(granted, once.ClaimGranted)
        self.assertTrue(self.service().finish(granted.claim, ANSWER))
        self.assertEqual(self.claim(), once.ClaimReplay(ANSWER))

    def test_a_slow_store_read_does_not_commit_a_claim_that_was_given_up(self):
        # Such a claim would block the key, although its caller was told that the call
        # did not run.
        self.store.latency_s = 0.2
        # With a stopped clock, the claim cannot be refused for its age instead.
        unix_s = time.time()
        self.cluster.unix_clock = lambda: unix_s
        outcome = self.claim(self.owner)
        self.store.latency_s = 0.0
        self.assert_not_run_and_claimable_later(outcome)

    def test_an_answer_is_stored_after_an_outage(self):
        granted = self.claim()
        self.store.faults.down = True
        self.assertFalse(self.service().finish(granted.claim, ANSWER))
        self.store.faults.down = False
        self.assertTrue(self.cluster.settle())
        self.assertEqual(self.claim(self.owner), once.ClaimReplay(ANSWER))

    def test_an_owner_that_dies_or_loses_replies_does_not_stop_claims(self):
        # The forwarded claim may have been committed, which the direct write must
        # detect.
        for loss in ("dead", "reply"):
            with self.subTest(loss):
                self.setUp()
                forwarder = self.service()._executor.forwarder
                handle = self.cluster.services[self.owner].handle

                def lost(host, payload, *, timeout_s, loss=loss, handle=handle):
                    if loss == "reply":
                        handle(self.other, payload)
                    return None

                forwarder.forward = lost
                granted = self.claim()
                self.assertIsInstance(granted, once.ClaimGranted)
                self.assertIsInstance(self.claim(self.owner), once.ClaimInProgress)

    def test_a_paused_owner_does_not_revive_a_withdrawn_claim(self):
        # The owner may resume and process a forwarded claim long after its claimant
        # timed out.
        payloads = []

        def paused(host, payload, *, timeout_s):
            payloads.append(payload)
            return None

        self.service()._executor.forwarder.forward = paused
        self.store.faults.down = True
        outcome = self.claim()
        self.cluster.heal()
        self.assertTrue(self.cluster.settle())
        owner = self.service(self.owner)
        decode_result(owner.handle(self.other, payloads[0]))
        self.assert_not_run_and_claimable_later(outcome)

    def test_a_paused_owner_does_not_commit_the_claim_of_a_dead_host(self):
        # Nobody would dispatch the call or release the claim.
        payloads = []
        self.service()._executor.forwarder.forward = (
            lambda host, payload, *, timeout_s: payloads.append(payload)
        )
        self.store.faults.down = True
        self.claim()
        self.cluster.kill(self.other)
        self.cluster.heal()
        gevent.sleep(SHORT_TIMEOUTS.claim_timeout_s * 1.5)
        self.service(self.owner).handle(self.other, payloads[0])
        self.assertIsInstance(self.claim(self.owner), once.ClaimGranted)

    def test_a_paused_owner_does_not_commit_a_claim_that_found_the_key_held(self):
        # The holder may release the key before the owner applies the forwarded claim.
        payloads = []
        self.service()._executor.forwarder.forward = (
            lambda host, payload, *, timeout_s: payloads.append(payload)
        )
        held = self.claim(self.owner)
        self.assertEqual(self.claim(), once.ClaimInProgress(self.owner))
        self.assertTrue(self.cluster.settle())
        self.service(self.owner).release(held.claim)
        self.service(self.owner).handle(self.other, payloads[0])
        self.assertIsInstance(self.claim(self.owner), once.ClaimGranted)

    def test_expired_and_future_keys_are_refused(self):
        rng = random.Random(SEED)
        old = uuid7(time.time() - SHORT_TIMEOUTS.keep_s - 5, rng)
        self.assertEqual(self.claim(key=old), once.ClaimExpired())
        ahead = self.claim(key=uuid7(time.time() + 3600, rng))
        self.assertEqual(ahead.kind, ErrorKind.INVALID_VALUE)

    def test_the_accepted_age_changes_without_a_gap_in_what_is_kept(self):
        # A document deleted under a shorter accepted age would let a used key run
        # again once the age is raised.
        old = uuid7(time.time() - SHORT_TIMEOUTS.keep_s / 2, random.Random(SEED))
        granted = self.claim(key=old)
        self.assertTrue(self.service().finish(granted.claim, ANSWER))
        self.service().accepted_age_s = SHORT_TIMEOUTS.keep_s / 4
        self.assertEqual(self.claim(key=old), once.ClaimExpired())
        late_unix_s = time.time() + SHORT_TIMEOUTS.keep_s / 2 - 1
        self.assertEqual(self.service().sweep(now_unix_s=late_unix_s), 0)
        self.service().accepted_age_s = 10 * SHORT_TIMEOUTS.keep_s
        self.assertEqual(self.service().accepted_age_s, SHORT_TIMEOUTS.keep_s)
        self.assertEqual(self.claim(key=old), once.ClaimReplay(ANSWER))

    def test_a_full_shard_refuses_new_claims_but_stores_answers(self):
        # The key-value service refuses values over 1 MB, also when answers are added.
        settings = ClaimSettings(**{**vars(SHORT_TIMEOUTS), "shard_limit_bytes": 3_000})
        self.cluster = ClaimCluster(1, settings=settings)
        service = self.cluster.services["host-0"]
        results = [self.claim("host-0", key=f"key-{i}") for i in range(300)]
        refused = [r for r in results if isinstance(r, once.ClaimRefused)]
        granted = [r for r in results if isinstance(r, once.ClaimGranted)]
        self.assertEqual({r.kind for r in refused}, {ErrorKind.OVERLOADED})
        big = once.StoredAnswer.of(200, "text/plain", b"x" * 2_000)
        self.assertTrue(all(service.finish(g.claim, big) for g in granted))
        replay = self.claim("host-0", key=granted[0].claim.key)
        self.assertEqual((replay.answer.status, replay.answer.body), (200, None))
        stored = self.cluster.store.list_prefix(PREFIX)
        self.assertEqual(len(stored), HASH_SHARDS)
        self.assertLess(max(len(item.value) for item in stored), 2 * 3_000)

    def test_sweep_deletes_only_documents_whose_keys_have_expired(self):
        rng = random.Random(SEED)
        self.claim(key=uuid7(time.time() - 40_000, rng))
        self.claim()
        self.claim(key="plain")
        later_s = time.time() + 60_000
        self.assertEqual(self.service().sweep(now_unix_s=later_s), 1)
        self.assertEqual(self.service().sweep(now_unix_s=later_s), 0)
        self.assertEqual(len(self.store.list_prefix(PREFIX)), 2)

    def test_a_finished_call_cannot_be_reported_as_not_run(self):
        granted = self.claim()
        self.service().finish(granted.claim, ANSWER)
        with self.assertRaises(InvariantViolation):
            self.service().release(granted.claim)
        MONITOR.violations.pop(Invariant.NOT_RUN_IS_TRUE)

    def test_malformed_or_foreign_forwards_are_refused(self):
        rng = random.Random(SEED)
        for payload in (b"", b"\x81\x01", rng.randbytes(64)):
            with self.assertRaises(ProtocolError):
                decode_operation(payload)
        payloads = []
        self.service()._executor.forwarder.forward = (
            lambda host, payload, *, timeout_s: payloads.append(payload)
        )
        self.claim()
        with self.assertRaises(ProtocolError):
            self.service(self.owner).handle("host-9", payloads[0])


class ClaimWritesTest(unittest.TestCase):
    def test_at_200_calls_a_second_claims_take_a_quarter_write_for_each_call(self):
        # The write rate of the key-value service grows more slowly than the fleet.
        for kind in ("uuid7", "plain"):
            with self.subTest(kind):
                self._measure(kind)

    def _measure(self, kind):
        # The calls start on a fixed schedule: at a rate below 200 calls/s, each call
        # needs more writes, so that the ratio would not be that of the target rate.
        # If the process stalls for longer than a host waits for the owner, each host
        # writes once to each shard itself.
        figures = measure_claims(
            kind=kind,
            calls=600,
            seed=SEED,
            wait_for_finish=True,
            settings=PATIENT_TIMEOUTS,
        )
        self.assertEqual(figures.not_granted, 0)
        median_ms, late_ms = percentiles_ms(figures.claim_s)
        print(
            f"{kind}: {figures.writes_per_call:.3f} writes a call, claim median "
            f"{median_ms:.1f} ms, 99th percentile {late_ms:.1f} ms"
        )
        self.assertLess(median_ms, 1_000 * ClaimSettings().forward_timeout_s)
        self.assertLessEqual(figures.writes_per_call, 0.25)
