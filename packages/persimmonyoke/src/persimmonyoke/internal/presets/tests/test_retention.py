"""Tests of the storage format and of the pruning of old revisions."""

import random
import threading
import time
import tracemalloc
import unittest
import zlib
from collections.abc import Callable
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.platform import KeyValue
from persimmonyoke.internal.presets import (
    Accepted,
    ConfigurationView,
    Conflict,
    RevisionHeader,
    RevisionLog,
    UnreadableNewest,
    UnreadableRevision,
    encode_revision,
    follow_revisions,
)
from persimmonyoke.internal.presets.retention import Pruner, Retention
from persimmonyoke.internal.presets.stored_form import (
    MAGIC,
    decode_stored,
    encode_header,
    encode_stored,
    header_of,
)
from persimmonyoke_testing.builders_presets import (
    FIRM,
    build_change,
    build_revision,
    large_preset_text,
    preset_text,
)
from persimmonyoke_testing.key_value_state import KeyValueState
from persimmonyoke_testing.memory_store import MemoryStore

RETENTION = Retention(documents=4, headers=12)
CALLS_FOR_A_PRUNE = 9
SEEDS = range(15)


def stored(number: int = 1) -> bytes:
    """Return the stored form of a revision."""
    revision = build_revision(number)
    return encode_stored(revision, header_of(revision))


class StoredFormTest(unittest.TestCase):
    def test_header_and_document_survive_the_round_trip(self):
        # A field lost in encoding would change the audit trail once the document is
        # pruned.
        earlier, revision = build_revision(6), build_revision(7, active="base")
        header = header_of(revision, earlier)
        form = decode_stored(encode_stored(revision, header))
        self.assertEqual((form.header, form.revision), (header, revision))
        form = decode_stored(encode_header(header))
        self.assertEqual((form.header, form.revision), (header, None))
        self.assertEqual(header.active_before, "ordinary")
        self.assertEqual(
            decode_stored(encode_revision(revision)).revision,
            revision,
            "version 1 is read",
        )

    def test_compression_reduces_1900_workspaces_to_a_third(self):
        # Uncompressed, at 340 KB each, 1,500 changes a day would take 510 MB.
        presets = {"base": large_preset_text(1_900), "ordinary": preset_text()}
        revision = build_revision(presets=presets)
        blob = encode_stored(revision, header_of(revision))
        self.assertLess(len(blob), len(encode_revision(revision)) / 3)

    def test_bombs_newer_versions_and_truncated_values_are_refused(self):
        # A decompression bomb of 1 MB would exhaust the memory of each watching node.
        valid = stored()
        start = len(encode_header(header_of(build_revision())))
        for name, blob in {
            "bomb": valid[:start] + zlib.compress(bytes(2_000_000)),
            "newer version": MAGIC + b"\x03" + valid[4:],
            "unknown kind": valid[:4] + b"X" + valid[5:],
            "cut": valid[:-1],
            "followed": valid + b"\x00",
            "long header": valid[:5] + b"\xff" * 4 + valid[9:],
            "other document": valid[:start] + stored(2)[start:],
        }.items():
            with self.subTest(name), self.assertRaises(ProtocolError):
                decode_stored(blob)

    def test_a_bomb_is_refused_before_it_fills_the_memory(self):
        # Checking the size after decompression would allocate the full size first.
        start = len(encode_header(header_of(build_revision())))
        bomb = stored()[:start] + zlib.compress(bytes(100_000_000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(ProtocolError):
            decode_stored(bomb)
        self.assertLess(tracemalloc.get_traced_memory()[1], 10_000_000)

    @given(st.data())
    def test_a_corrupt_value_is_decoded_or_raises_a_protocol_error(self, data):
        # Any other exception would end the task that follows the revisions.
        blob = bytearray(stored())
        for _ in range(data.draw(st.integers(1, 4))):
            blob[data.draw(st.integers(0, len(blob) - 1))] = data.draw(
                st.integers(0, 255)
            )
        try:
            decode_stored(bytes(blob))
        except ProtocolError:
            pass


class RetentionCase(unittest.TestCase):
    """Share the state of one store between revision logs."""

    def setUp(self) -> None:
        self.state = KeyValueState()
        self.store, self.log = self.new_log()

    def new_log(self, **options) -> tuple[MemoryStore, RevisionLog]:
        store = MemoryStore(state=self.state)
        given = {"run_later": lambda prune: prune(), "retention": RETENTION}
        log = RevisionLog(store, firm=FIRM, **{**given, **options})
        return store, log

    def accept(self, count: int = 1, log: RevisionLog | None = None) -> int:
        log = log or self.log
        for _ in range(count):
            newest = log.newest()
            number = newest.number if newest else 0
            asked = build_change("edit" if number else "create")
            self.assertIsInstance(log.propose(asked, base_number=number), Accepted)
        return number + 1

    def documents(self) -> list[int]:
        found = self.store.list_prefix(self.log.prefix)
        forms = [decode_stored(item.value) for item in found]
        return [form.header.number for form in forms if form.revision is not None]


class RetentionTest(RetentionCase):
    def test_the_store_holds_the_newest_documents_and_headers_at_bounded_calls(self):
        # Without the bounds the store would fill up, and pruning in a loop would spend
        # the store's call rate on one change.
        self.accept(10)
        before = {entry.number: entry for entry in self.log.history()}
        for _ in range(30):
            counts = self.store.counts
            called = counts.reads + counts.writes
            number = self.accept()
            calls = counts.reads + counts.writes - called
            # The test and propose() read the newest revision; propose() writes one.
            self.assertLessEqual(calls, CALLS_FOR_A_PRUNE + 3)
            self.assertEqual(
                self.documents(), list(range(number, number - 4, -1))[::-1]
            )
            entries = self.log.history()
            self.assertEqual(
                [entry.number for entry in entries],
                list(range(number, max(0, number - 12), -1)),
            )
            for entry in entries:
                self.assertEqual(before.setdefault(entry.number, entry), entry)

    def test_later_changes_complete_pruning_that_failed(self):
        # Otherwise a crash between two steps would leave a document for weeks.
        _, broken = self.new_log(run_later=lambda prune: None)
        self.accept(18, broken)
        self.accept(40)
        self.assertEqual(len(self.documents()), 4)
        self.assertEqual(len(self.log.history(100)), 12)

    def test_a_document_whose_pruning_was_lost_is_replaced_7_changes_later(self):
        # Otherwise it would stay until its header is deleted, two weeks later.
        options = {"retention": Retention(documents=4, headers=100)}
        _, log = self.new_log(**options)
        _, broken = self.new_log(**options, run_later=lambda prune: None)
        self.accept(10, log)
        self.accept(1, broken)
        self.accept(6, log)
        self.assertEqual(self.documents(), [7, 14, 15, 16, 17])
        self.accept(1, log)
        self.assertEqual(self.documents(), [15, 16, 17, 18])

    def test_two_hosts_with_faults_prune_at_once_and_keep_the_newest(self):
        # If the newest revision were deleted, a new node would apply an older one.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_pruning_at_once(random.Random(seed))

    def check_pruning_at_once(self, rng: random.Random) -> None:
        self.state = KeyValueState()
        self.store, self.log = self.new_log(run_later=lambda prune: None)
        self.accept(20)
        tasks = []
        for _ in range(3):
            store, log = self.new_log()
            store.faults.slow_s = rng.uniform(0, 0.002)
            store.faults.lose_answers = rng.randrange(3)
            store.faults.lose_requests = rng.randrange(3)
            pruner = Pruner(store, prefix=log.prefix, retention=RETENTION)
            numbers = rng.sample(range(14, 21), 5)
            tasks.append(threading.Thread(target=map_all, args=(pruner, numbers)))
        for task in tasks:
            task.start()
        for task in tasks:
            task.join()
        self.assertEqual(self.documents()[-4:], [17, 18, 19, 20])
        numbers = [entry.number for entry in self.log.history(100)]
        self.assertEqual(numbers, list(range(20, 20 - len(numbers), -1)))
        self.assertGreaterEqual(len(numbers), 12)

    def test_a_revision_whose_deletion_failed_is_not_left_below_a_deleted_one(self):
        # The history ends at the first empty page, so a gap could hide revisions.
        def lose_request(store: MemoryStore, oldest: KeyValue) -> None:
            store.faults.lose_requests = 1

        def replace_document(store: MemoryStore, oldest: KeyValue) -> None:
            store.state.put(oldest.key, oldest.value)

        for disturb in (lose_request, replace_document):
            with self.subTest(disturb.__name__):
                self.assertEqual(self.pruned_while(disturb), list(range(20, 0, -1)))

    def test_a_revision_that_another_host_deleted_does_not_stop_the_deletions(self):
        # Otherwise, if two hosts prune at once, both would leave the second revision.
        def delete(store: MemoryStore, oldest: KeyValue) -> None:
            store.state.delete(oldest.key)

        self.assertEqual(self.pruned_while(delete), list(range(20, 2, -1)))

    def pruned_while(
        self, disturb: Callable[[MemoryStore, KeyValue], None]
    ) -> list[int]:
        """Return the remaining revisions if the oldest changes before its deletion."""
        self.state = KeyValueState()
        _, log = self.new_log(run_later=lambda prune: None)
        self.accept(20, log)
        store, _ = self.new_log()
        list_prefix = store.list_prefix

        def list_then_disturb(prefix: str, *, limit: int) -> tuple[KeyValue, ...]:
            found = list_prefix(prefix, limit=limit)
            disturb(store, found[0])
            return found

        store.list_prefix = list_then_disturb
        Pruner(store, prefix=log.prefix, retention=RETENTION).prune_after(20)
        return [entry.number for entry in log.history(100)]

    def test_a_writer_suspended_for_days_is_not_accepted_under_a_deleted_number(self):
        # Its operator would be told that a change is in force that no node applies.
        self.accept(3)
        times_s = iter([0.0, 0.0, *[1e6] * 10])
        store, log = self.new_log(clock=lambda: next(times_s))
        write = store.compare_and_swap

        def write_later(key, value, **options):
            store.compare_and_swap = write
            self.accept(30)
            return write(key, value, **options)

        store.compare_and_swap = write_later
        outcome = log.propose(build_change("edit"), base_number=3)
        self.assertIsInstance(outcome, Conflict)
        self.assertEqual(outcome.current.number, 33)
        self.accept()
        self.assertNotIn(4, [entry.number for entry in self.log.history(100)])

    def test_a_conflict_reports_a_pruned_base(self):
        # Compared with an empty base, every preset would be shown as new.
        self.accept(10)
        outcome = self.log.propose(build_change("edit"), base_number=2)
        self.assertIsInstance(outcome, Conflict)
        self.assertIn("only the header is kept", outcome.difference[0])


def map_all(pruner: Pruner, numbers: list[int]) -> None:
    """Prune after each number."""
    for number in numbers:
        pruner.prune_after(number)


class FollowPrunedTest(RetentionCase):
    """Follow the revisions while they are pruned."""

    def setUp(self) -> None:
        super().setUp()
        self.view = ConfigurationView()
        self.client = MemoryStore(state=self.state)

    def follow(self) -> None:
        seen: list[int] = []
        self.view.subscribe(lambda revision, preset: seen.append(revision.number))
        self.seen = seen
        stop = threading.Event()
        task = threading.Thread(
            target=follow_revisions,
            args=(self.client, self.view, stop),
            kwargs={"firm": FIRM, "clock": time.monotonic},
        )
        task.start()
        self.addCleanup(task.join, 5)
        self.addCleanup(stop.set)

    def wait_for(self, number: int) -> None:
        deadline_s = time.monotonic() + 2.0
        while self.view.number != number:
            self.assertLess(time.monotonic(), deadline_s, "not in force in time")
            time.sleep(0.005)
        self.assertEqual(self.seen, sorted(set(self.seen)))

    def test_disconnected_and_new_nodes_never_revert(self):
        # Pruning sends watch events for keys of old revisions.
        self.accept(2)
        self.follow()
        self.wait_for(2)
        for compact in (False, True):
            with self.subTest(compact=compact):
                self.client.faults.down = True
                time.sleep(0.1)
                number = self.accept(25)
                if compact:
                    self.state.compact()
                self.client.faults.down = False
                self.wait_for(number)
        self.view = ConfigurationView()
        self.follow()
        self.wait_for(number)

    def test_an_unreadable_newest_revision_leaves_what_is_in_force(self):
        # Reading it repeatedly would spend the store's call rate, and applying an older
        # revision would be a revert.
        for name, blob in {"newer": MAGIC + b"\x09" + bytes(20), "bad": b"?"}.items():
            with self.subTest(name):
                number = self.accept()
                self.view = ConfigurationView()
                self.view.offer(self.log.newest(), now_s=0.0)
                self.state.put(self.log.key(number + 1), blob)
                reads = self.client.counts.reads
                self.follow()
                time.sleep(0.3)
                self.assertEqual(self.view.number, number)
                self.assertLessEqual(self.client.counts.reads - reads, 1)
                with self.assertRaisesRegex(UnreadableNewest, "can't be read by this"):
                    self.log.propose(build_change("edit"), base_number=number)
                kinds = [type(entry) for entry in self.log.history(2)]
                self.assertEqual(kinds, [UnreadableRevision, RevisionHeader])
                good = build_revision(number + 2)
                self.state.put(
                    self.log.key(number + 2), encode_stored(good, header_of(good))
                )
                self.wait_for(number + 2)

    def test_failures_of_the_loop_are_logged_at_a_bounded_rate(self):
        # Ten lines a second during an outage would bury all other log lines.
        self.client.faults.down = True
        with mock.patch("persimmonyoke.internal.presets.view.log.warning") as warning:
            self.follow()
            time.sleep(0.5)
        self.assertEqual(warning.call_count, 1)
