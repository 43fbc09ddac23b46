"""Tests of the key-value stores, shared by the etcd gateway and the in-memory fake."""

import threading
import time
import unittest
from abc import ABC, abstractmethod

from loguru import logger

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.platform import (
    MAX_VALUE_BYTES,
    EtcdGatewayStore,
    KeyValueStore,
    Operation,
    Purpose,
    RateBudget,
    Settlement,
    WatchCompacted,
    WatchEvent,
    WatchNotice,
    WriteApplied,
    WriteConflict,
    WriteNotApplied,
    WriteUnknown,
    settle_write,
)
from persimmonyoke.internal.platform.etcd_json import encode_bytes
from persimmonyoke.internal.platform.http_json import Connections, send
from persimmonyoke_testing.key_value_standin import KeyValueStandIn
from persimmonyoke_testing.key_value_state import StoreFaults
from persimmonyoke_testing.memory_store import MemoryStore

TIMEOUT_S = 0.3
PATIENT_TIMEOUT_S = 10.0
"""Timeout of calls that are answered, beyond any stall of the test process."""

WATCH_IDLE_S = 0.4


class WatchRecorder:
    """Run a watch in a thread and record its notices."""

    def __init__(self, store: KeyValueStore, from_revision: int = 1) -> None:
        self.notices: list[WatchNotice] = []
        self.stop = threading.Event()
        self._task = threading.Thread(
            target=store.watch,
            args=("/p/",),
            kwargs={
                "from_revision": from_revision,
                "on_event": self.notices.append,
                "stop": self.stop,
            },
        )
        self._task.start()

    def values(self) -> list[bytes]:
        """Return the values of the events so far."""
        return [n.key_value.value for n in self.notices if isinstance(n, WatchEvent)]

    def close(self) -> float:
        """Stop the watch and return how long it took to end."""
        started_s = time.monotonic()
        self.stop.set()
        self._task.join(timeout=5)
        return time.monotonic() - started_s


def wait_until(condition, timeout_s: float = 5.0) -> None:
    """Wait for a condition; raise ``AssertionError`` if it stays false."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError("condition did not come true")
        time.sleep(0.01)


class StoreContract(ABC):
    """Define the tests that each store has to pass."""

    store: KeyValueStore
    faults: StoreFaults

    @abstractmethod
    def set_down(self, down: bool) -> None: ...

    @abstractmethod
    def compact(self) -> None: ...

    def write(self, key: str, value: bytes, revision: int = 0) -> int:
        outcome = self.store.compare_and_swap(key, value, expected_revision=revision)
        self.assertIsInstance(outcome, WriteApplied)
        return outcome.revision

    def test_only_the_expected_revision_is_replaced(self):
        # A write over a newer value would lose the other writer's change.
        first = self.write("/p/a", b"1")
        second = self.write("/p/a", b"2", first)
        outcome = self.store.compare_and_swap("/p/a", b"3", expected_revision=first)
        self.assertIsInstance(outcome, WriteConflict)
        self.assertEqual(outcome.current.value, b"2")
        self.assertEqual(outcome.current.mod_revision, second)
        outcome = self.store.compare_and_swap("/p/a", b"3", expected_revision=0)
        self.assertIsInstance(outcome, WriteConflict)
        outcome = self.store.compare_and_swap("/p/b", b"3", expected_revision=9)
        self.assertEqual(outcome, WriteConflict(None))

    def test_an_empty_value_and_a_deletion_differ(self):
        # The gateway omits empty fields, so an empty value looks like a missing one.
        revision = self.write("/p/a", b"")
        self.assertEqual(self.store.get("/p/a").value, b"")
        deleted = self.store.delete("/p/a", expected_revision=revision + 1)
        self.assertIsInstance(deleted, WriteConflict)
        deleted = self.store.delete("/p/a", expected_revision=revision)
        self.assertIsInstance(deleted, WriteApplied)
        self.assertIsNone(self.store.get("/p/a"))

    def test_a_prefix_is_listed_in_order_and_bounded(self):
        # A neighbour's key or an oldest-first limit would hide the newest revision.
        for number in (2, 10, 1):
            self.write(f"/p/{number:04d}", b"%d" % number)
        self.write("/q/0001", b"other")
        keys = [found.key for found in self.store.list_prefix("/p/")]
        self.assertEqual(keys, ["/p/0001", "/p/0002", "/p/0010"])
        newest = self.store.list_prefix("/p/", limit=1, newest_first=True)
        self.assertEqual([found.value for found in newest], [b"10"])

    def test_a_store_that_is_down_fails_reads_and_has_not_applied_writes(self):
        # Reporting an unsent write as unknown would block its key until it is settled.
        self.write("/p/a", b"1")
        self.set_down(True)
        with self.assertRaises(StoreUnavailable):
            self.store.get("/p/a")
        with self.assertRaises(StoreUnavailable):
            self.store.grant_lease(ttl_s=5)
        outcome = self.store.compare_and_swap("/p/b", b"1", expected_revision=0)
        self.assertIsInstance(outcome, WriteNotApplied)
        self.set_down(False)
        self.assertIsNone(self.store.get("/p/b"))

    def test_a_slow_store_fails_reads_and_leaves_writes_unknown(self):
        # A slow write can take effect after its timeout.
        self.faults.slow_s = 4 * TIMEOUT_S
        with self.assertRaises(StoreUnavailable):
            self.store.get("/p/a")
        outcome = self.store.compare_and_swap("/p/a", b"1", expected_revision=0)
        self.assertIs(type(outcome), WriteUnknown)
        self.faults.slow_s = 0.0
        wait_until(lambda: self.store.get("/p/a") is not None)

    def test_a_write_with_a_lost_answer_settles_as_applied(self):
        # Treating it as failed would run the effect of the write twice.
        self.faults.lose_answers = 1
        outcome = self.store.compare_and_swap("/p/a", b"mine", expected_revision=0)
        self.assertIs(type(outcome), WriteUnknown)
        self.assertIs(self.settle(0), Settlement.APPLIED)

    def test_a_write_lost_before_its_effect_stays_unknown_until_the_key_moves(self):
        # The request may still be in transit, so "not applied" could be wrong.
        self.faults.lose_requests = 1
        outcome = self.store.compare_and_swap("/p/a", b"mine", expected_revision=0)
        self.assertIs(type(outcome), WriteUnknown)
        self.assertIs(self.settle(0), Settlement.UNKNOWN)
        self.write("/p/a", b"theirs")
        self.assertIs(self.settle(0), Settlement.NOT_APPLIED)
        self.set_down(True)
        self.assertIs(self.settle(0), Settlement.UNKNOWN)

    def settle(self, expected_revision: int) -> Settlement:
        return settle_write(
            self.store,
            "/p/a",
            lambda value: value == b"mine",
            expected_revision=expected_revision,
        )

    def test_a_lapsed_lease_deletes_its_key_and_is_not_renewed(self):
        # A holder that resumes after a pause must not keep its authority.
        lease_id = self.store.grant_lease(ttl_s=1)
        self.store.compare_and_swap(
            "/p/a", b"held", expected_revision=0, lease_id=lease_id
        )
        self.assertEqual(self.store.get("/p/a").lease_id, lease_id)
        self.assertGreater(self.store.keep_alive(lease_id), 0)
        wait_until(lambda: self.store.get("/p/a") is None)
        self.assertEqual(self.store.keep_alive(lease_id), 0)
        outcome = self.store.compare_and_swap(
            "/p/a", b"held", expected_revision=0, lease_id=lease_id
        )
        self.assertIsInstance(outcome, WriteNotApplied)

    def test_a_revoked_lease_deletes_its_key(self):
        # A controller that shuts down would otherwise block its successor.
        lease_id = self.store.grant_lease(ttl_s=60)
        self.store.compare_and_swap(
            "/p/a", b"held", expected_revision=0, lease_id=lease_id
        )
        self.store.revoke(lease_id)
        self.assertIsNone(self.store.get("/p/a"))

    def test_a_value_above_the_limit_is_refused_before_it_is_sent(self):
        # The service would answer with an error that looks like an unknown outcome.
        with self.assertRaisesRegex(ValueError, "/p/a"):
            self.store.compare_and_swap(
                "/p/a", bytes(MAX_VALUE_BYTES + 1), expected_revision=0
            )

    def test_a_watch_reports_earlier_and_later_writes_once_and_in_order(self):
        # A gap between reading and watching would lose a revision.
        first = self.write("/p/a", b"1")
        watch = WatchRecorder(self.store, from_revision=first)
        self.addCleanup(watch.close)
        wait_until(lambda: watch.values() == [b"1"])
        second = self.write("/p/a", b"2", first)
        self.write("/q/a", b"other")
        wait_until(lambda: watch.values() == [b"1", b"2"])
        # Longer than the idle timeout, so that the stream is reopened.
        time.sleep(1.5 * WATCH_IDLE_S)
        self.write("/p/a", b"3", second)
        wait_until(lambda: watch.values() == [b"1", b"2", b"3"])

    def test_a_watch_continues_after_an_outage(self):
        # A watch that ends in an outage would never deliver a configuration again.
        watch = WatchRecorder(self.store)
        self.addCleanup(watch.close)
        self.write("/p/a", b"1")
        wait_until(lambda: watch.values() == [b"1"])
        self.set_down(True)
        time.sleep(0.2)
        self.set_down(False)
        self.write("/p/b", b"2")
        wait_until(lambda: watch.values() == [b"1", b"2"])

    def test_a_watch_from_a_compacted_revision_reports_it_and_continues(self):
        # If it skipped silently, the reader would miss the revisions in between.
        self.write("/p/a", b"1")
        self.write("/p/b", b"2")
        self.compact()
        watch = WatchRecorder(self.store, from_revision=1)
        self.addCleanup(watch.close)
        wait_until(lambda: len(watch.notices) >= 1)
        self.assertIsInstance(watch.notices[0], WatchCompacted)
        self.write("/p/c", b"3")
        # The event at the compact revision is not compacted.
        wait_until(lambda: watch.values() == [b"2", b"3"])

    def test_a_stopped_watch_ends_before_its_idle_timeout(self):
        # A shutdown would otherwise wait for the idle timeout of each watch.
        watch = WatchRecorder(self.store)
        time.sleep(0.1)
        self.assertLess(watch.close(), 0.5 * WATCH_IDLE_S)


class MemoryStoreTest(StoreContract, unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore(timeout_s=TIMEOUT_S)
        self.faults = self.store.faults

    def set_down(self, down: bool) -> None:
        self.faults.down = down

    def compact(self) -> None:
        self.store.state.compact()


class EtcdGatewayStoreTest(StoreContract, unittest.TestCase):
    def setUp(self) -> None:
        self.service = KeyValueStandIn()
        self.service.start()
        self.addCleanup(self.service.stop)
        self.faults = self.service.faults
        self.budget = RateBudget(calls_per_s=10_000)
        self.store = EtcdGatewayStore(
            self.service.url,
            budget=self.budget,
            timeout_s=TIMEOUT_S,
            watch_idle_s=WATCH_IDLE_S,
        )

    def set_down(self, down: bool) -> None:
        self.service.set_down(down)

    def compact(self) -> None:
        self.service.compact()

    def test_a_stalled_watch_connection_is_replaced(self):
        # A stalled connection stays open without data and never causes an error.
        watch = WatchRecorder(self.store)
        self.addCleanup(watch.close)
        self.write("/p/a", b"1")
        wait_until(lambda: watch.values() == [b"1"])
        self.service.stall_open_connections()
        # Another client writes, since the connections of this one have stalled too.
        writer = EtcdGatewayStore(self.service.url, budget=self.budget)
        writer.compare_and_swap("/p/b", b"2", expected_revision=0)
        wait_until(lambda: watch.values() == [b"1", b"2"], timeout_s=3 * WATCH_IDLE_S)

    def test_an_outage_logs_one_failure_and_one_end_of_the_watch(self):
        # Ten lines per second from each host would bury all other log lines.
        lines = []
        sink = logger.add(lambda line: lines.append(line.record["message"]))
        self.addCleanup(logger.remove, sink)
        watch = WatchRecorder(self.store)
        self.addCleanup(watch.close)
        self.write("/p/a", b"1")
        wait_until(lambda: watch.values() == [b"1"])
        self.set_down(True)
        time.sleep(1.5)
        self.set_down(False)
        self.write("/p/b", b"2")
        wait_until(lambda: watch.values() == [b"1", b"2"])
        watch_lines = [line for line in lines if line.startswith("watch of")]
        self.assertEqual(len(watch_lines), 2, watch_lines)
        self.assertIn("works again", watch_lines[-1])

    def call_on_connections(self, connections: Connections, count: int) -> None:
        """Make calls that overlap, so that each takes a connection of its own."""
        body = {"key": encode_bytes(b"/p/a")}
        answers = [
            send(
                connections,
                "POST",
                "/v3/kv/range",
                body,
                timeout_s=PATIENT_TIMEOUT_S,
                stream=True,
            )
            for _ in range(count)
        ]
        for answer in answers:
            answer.drain_conn()

    def test_idle_connections_that_stalled_together_cost_one_timeout(self):
        # One timeout for each of them could outlast the lease of an authority. A single
        # later call would not show it: the pool hands out the closed connection first.
        connections = Connections(self.service.url)
        store = EtcdGatewayStore(
            self.service.url,
            budget=self.budget,
            timeout_s=TIMEOUT_S,
            connections=connections,
        )
        self.call_on_connections(connections, 8)
        self.assertEqual(connections.pool.num_connections, 8)
        self.service.stall_open_connections()
        with self.assertRaises(StoreUnavailable):
            store.get("/p/a")
        self.call_on_connections(connections, 8)

    def test_calls_are_counted_by_purpose_as_the_service_sees_them(self):
        # The counts would otherwise not match the load on the service.
        claims = self.store.for_purpose(Purpose.CLAIMS)
        claims.compare_and_swap("/p/a", b"1", expected_revision=0)
        claims.get("/p/a")
        self.store.get("/p/a")
        counted = self.budget.calls
        self.assertEqual(counted[Purpose.CLAIMS, Operation.WRITE], 1)
        self.assertEqual(counted[Purpose.CLAIMS, Operation.READ], 1)
        self.assertEqual(self.service.counts.writes, 1)
        self.assertEqual(self.service.counts.reads, 2)

    def test_an_exhausted_budget_refuses_calls_before_they_are_sent(self):
        # Calls above the budget would slow the service for all hosts.
        store = EtcdGatewayStore(
            self.service.url, budget=RateBudget(calls_per_s=0.1), timeout_s=TIMEOUT_S
        )
        store.get("/p/a")
        with self.assertRaisesRegex(StoreUnavailable, "budget"):
            store.get("/p/a")
        outcome = store.compare_and_swap("/p/a", b"1", expected_revision=0)
        self.assertIsInstance(outcome, WriteNotApplied)
        self.assertEqual(self.service.counts.writes, 0)
