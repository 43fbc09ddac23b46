"""Tests of the archive of used keys, and of outcomes found at the upstream."""

import random
import time
import unittest
from unittest import mock

import gevent
from gevent.pool import Pool

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.once import archive, document
from persimmonyoke.internal.once import outcomes as once
from persimmonyoke.internal.once.placement import HASH_SHARDS
from persimmonyoke.internal.once.service import ClaimSettings
from persimmonyoke_testing.builders_once import (
    PREFIX,
    SHORT_TIMEOUTS,
    ClaimCluster,
    RandomFaults,
    uuid7,
)

BODY = b"b" * 32
ANSWER = once.StoredAnswer.of(201, "application/json", b'{"ok": true}')
SMALL_SHARDS = ClaimSettings(
    **{
        **vars(SHORT_TIMEOUTS),
        "shard_limit_bytes": 30_000,
        "claim_timeout_s": 3.0,
        "forward_timeout_s": 1.0,
    }
)
KEYS = 1_000
SEED = 11


class ArchiveTest(unittest.TestCase):
    def setUp(self):
        self.cluster = ClaimCluster(3, settings=SMALL_SHARDS)
        self.rng = random.Random(SEED)
        # The tests make thousands of calls in a second instead of in a minute.
        patch = mock.patch.object(archive, "MIN_ANSWER_AGE_NEAR_FULL_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    def claim(self, key, host="host-0"):
        service = self.cluster.services[host]
        return service.claim("w", key, BODY, now_unix_s=time.time())

    def run_call(self, key):
        host = f"host-{self.rng.randrange(3)}"
        outcome = self.claim(key, host)
        if isinstance(outcome, once.ClaimGranted):
            self.cluster.services[host].finish(outcome.claim, ANSWER)
        return outcome

    def run_calls(self, keys):
        return Pool(25).map(self.run_call, keys)

    def shard_sizes(self):
        stored = self.cluster.store.list_prefix(PREFIX)
        return [len(item.value) for item in stored]

    def test_the_size_that_commits_carry_on_is_that_of_the_entries(self):
        # A size that drifts upwards would refuse claims; one that drifts downwards
        # would let documents exceed the limit of a value.
        keys = [f"key-{number}" for number in range(KEYS)]
        self.run_calls(keys)
        checked = 0
        for service in self.cluster.services.values():
            for writer in service._executor.writers.values():
                kept = writer._document
                if kept is not None and kept.entries:
                    fresh = document.ShardDocument(kept.entries)
                    self.assertEqual(kept.size_bytes, fresh.size_bytes)
                    checked += bool(kept.archived)
        self.assertGreater(checked, 0)

    def test_more_keys_than_the_documents_hold_are_granted_once_and_remembered(self):
        # Full documents would refuse callers, and a dropped key would run again.
        keys = [f"call-{number}" for number in range(KEYS)]
        granted = self.run_calls(keys)
        self.assertEqual({type(o) for o in granted}, {once.ClaimGranted})
        # A host that starts now has no segment cached.
        self.cluster.add("host-3")
        self.cluster.split_brain_hosts = {"host-3"}
        again = [self.claim(key, "host-3") for key in keys]
        kinds = {type(o) for o in again}
        self.assertEqual(kinds, {once.ClaimReplay, once.ClaimOutcomeUnknown})
        stored = self.cluster.store.list_prefix(PREFIX)
        self.assertGreater(len(stored), 2 * HASH_SHARDS)
        self.assertLess(max(self.shard_sizes()), SMALL_SHARDS.shard_limit_bytes * 1.2)

    def test_archiving_by_several_owners_under_store_faults_runs_no_key_twice(self):
        # Cached segments and documents are then stale, and writes settle late.
        print(f"archive schedule with seed {SEED}")
        self.cluster.split_brain_hosts = set(self.cluster.services)
        self.cluster.store.random_faults = RandomFaults(0.05, 0.05, 0.05, 0.02, 0.02)
        keys = [f"call-{number}" for number in range(KEYS)] * 2
        # Early retries find the key in the document, late ones in the archive.
        outcomes = self.run_calls(keys)
        counts = {}
        for outcome in outcomes:
            if isinstance(outcome, once.ClaimGranted):
                counts[outcome.claim.key] = counts.get(outcome.claim.key, 0) + 1
        self.assertEqual({k for k, n in counts.items() if n > 1}, set())
        self.assertGreater(
            sum(isinstance(o, once.ClaimOutcomeUnknown) for o in outcomes), 0
        )

    def test_a_segment_older_than_its_document_names_is_not_trusted(self):
        # A segment that lost writes would let archived keys run again.
        store = self.cluster.store
        shard = archive.ShardArchive(store, "s", keep_s=60.0, limit_bytes=30_000)
        named = document.ShardDocument(archived={1: 5})
        with self.assertRaises(ProtocolError):
            shard.find_archived(named, [b"\0\1" + b"k" * 14])

    def test_a_full_segment_keeps_its_fingerprints_and_moves_nothing(self):
        # A key dropped within the retention time would let a retried call run again.
        operation = document.Operation(
            document.Action.FINISH, "s", b"", b"a", BODY, "h", "i", 0.0, 0.0, ANSWER
        )
        data = operation.entry(document.EntryState.DONE).encode()
        keys = [
            b"\0\0" + archive.fingerprint(b"\0\0" + self.rng.randbytes(6)) + b"k"
            for _ in range(900)
        ]
        full = document.ShardDocument(dict.fromkeys(keys, data))
        store = self.cluster.store
        shard = archive.ShardArchive(store, "s", keep_s=60.0, limit_bytes=5_000)
        moves = [shard.archive_batch(full) for _ in range(archive.SEGMENTS)]
        self.assertEqual(set(moves), {None})
        self.assertIsNone(store.get("s/00"))

    def test_fingerprints_are_kept_for_the_retention_time_and_then_dropped(self):
        # Dropping a run too early lets a call run twice; never dropping runs fills the
        # segments.
        record = b"record"
        kept = archive.ArchiveSegment().with_added(
            [record], now_unix_s=7_199.0, keep_s=86_400.0
        )
        at_end = kept.with_added([], now_unix_s=7_199.0 + 86_400, keep_s=86_400.0)
        self.assertIn(record, archive.ArchiveSegment.decode(at_end.encode(), 1))
        later_s = 7_200.0 + 86_400 + 1
        after = at_end.with_added([], now_unix_s=later_s, keep_s=86_400.0)
        self.assertNotIn(record, after)

    def test_a_day_of_200_calls_a_second_fits_the_segments(self):
        # Keys must be kept for the retention time at the target rate, which is a
        # quarter above the mean rate.
        calls = 200 * (86_400 + archive.RUN_SPAN_S)
        mean = calls / (HASH_SHARDS * archive.SEGMENTS)
        # A byte selects the segment, so some segments get 7 of 256 values, some 6.
        largest = mean * archive.SEGMENTS * 7 / 256
        need_bytes = largest * archive.FINGERPRINT_BYTES
        self.assertLess(need_bytes, ClaimSettings().shard_limit_bytes)


class LearnTest(unittest.TestCase):
    def setUp(self):
        self.cluster = ClaimCluster(2)
        self.key = uuid7(time.time(), random.Random(SEED))

    def claim(self, host="host-0"):
        service = self.cluster.services[host]
        return service.claim("w", self.key, BODY, now_unix_s=time.time())

    def record_outcome(self, answer=ANSWER, *, body=BODY):
        service = self.cluster.services["host-0"]
        return service.record_outcome(
            "w", self.key, body, answer, now_unix_s=time.time()
        )

    def test_an_outcome_found_for_a_dead_holder_answers_later_resends(self):
        # Otherwise each retry would ask the upstream again, and would fail once the
        # upstream no longer knows the key.
        self.claim("host-1")
        self.cluster.kill("host-1")
        self.assertIsInstance(self.claim(), once.ClaimOutcomeUnknown)
        self.assertTrue(self.record_outcome())
        self.assertEqual(self.claim(), once.ClaimReplay(ANSWER))

    def test_an_outcome_found_never_replaces_another_answer_or_body(self):
        # The caller has already received the first answer.
        other = once.StoredAnswer.of(500, "text/plain", b"other")
        service = self.cluster.services["host-0"]
        granted = self.claim()
        self.assertFalse(self.record_outcome(body=b"c" * 32))
        service.finish(granted.claim, ANSWER)
        self.assertFalse(self.record_outcome(other))
        self.assertTrue(self.record_outcome())
        self.assertEqual(self.claim(), once.ClaimReplay(ANSWER))

    def test_an_outcome_contradicting_a_released_claim_is_not_stored(self):
        granted = self.claim()
        self.cluster.services["host-0"].release(granted.claim)
        self.assertFalse(self.record_outcome())
        self.assertIsInstance(self.claim(), once.ClaimGranted)

    def test_a_holder_may_finish_after_its_outcome_was_recorded(self):
        # A paused holder that resumes must not count as a second run.
        granted = self.claim()
        self.assertTrue(self.record_outcome())
        self.assertTrue(self.cluster.services["host-0"].finish(granted.claim, ANSWER))

    def test_an_answer_stored_in_the_background_keeps_the_service_busy(self):
        # A graceful shutdown must not complete before the answer is stored.
        granted = self.claim()
        service = self.cluster.services["host-0"]
        service.finish_later(granted.claim, ANSWER)
        self.assertTrue(service.busy())
        self.assertTrue(self.cluster.settle())
        gevent.sleep(0)
        self.assertEqual(self.claim(), once.ClaimReplay(ANSWER))
