"""Tests of the clients of the host list and the weight store."""

import time
import unittest

from persimmonyoke.errors import PlatformUnavailable
from persimmonyoke.internal.platform import (
    HostEntry,
    HostRole,
    HostState,
    HttpHostList,
    HttpWeightStore,
)
from persimmonyoke_testing.platform_standins import (
    HostListStandIn,
    WeightStoreStandIn,
)

HOST = HostEntry(
    name="llm-1",
    role=HostRole.ENGINE,
    pool="llm-pool",
    address="127.0.0.1:9001",
    availability_zone="accra-a",
    region="gh-south",
)


class HostListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = HostListStandIn([HOST])
        self.service.start()
        self.addCleanup(self.service.stop)
        self.client = HttpHostList(self.service.url, timeout_s=0.5)

    def test_the_list_lags_behind_a_leaving_mark(self):
        # Tests that rely on a list without lag would hide late leaving marks.
        self.assertEqual(self.client.list_hosts(), (HOST,))
        self.service.lag_s = 0.2
        self.service.mark_leaving("llm-1")
        self.assertEqual(self.client.list_hosts()[0].state, HostState.LIVE)
        time.sleep(0.25)
        self.assertEqual(self.client.list_hosts()[0].state, HostState.LEAVING)

    def test_an_unchanged_list_is_not_sent_again(self):
        # Resending it took more than a quarter of the traffic of an idle host.
        lists = [self.client.list_hosts() for _ in range(3)]
        self.assertEqual((lists, self.service.lists_sent), ([(HOST,)] * 3, 1))
        self.service.mark_leaving("llm-1")
        self.assertEqual(self.client.list_hosts()[0].state, HostState.LEAVING)
        self.service.remove("llm-1")
        self.assertEqual(self.client.list_hosts(), ())

    def test_a_list_that_is_down_is_not_an_empty_list(self):
        # An empty list would look as if the whole fleet had left.
        self.service.set_down(True)
        with self.assertRaises(PlatformUnavailable):
            self.client.list_hosts()
        self.service.set_down(False)
        self.assertEqual(len(self.client.list_hosts()), 1)

    def test_one_invalid_entry_makes_the_whole_list_invalid(self):
        # Leaving the entry out would look as if that host had left.
        self.service.put(HostEntry(**{**vars(HOST), "role": "toaster", "name": "x"}))
        with self.assertRaisesRegex(PlatformUnavailable, "toaster"):
            self.client.list_hosts()


class WeightStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = WeightStoreStandIn(slots_per_s=10, versions=[("m", "1")])
        self.service.start()
        self.addCleanup(self.service.stop)
        self.client = HttpWeightStore(self.service.url, timeout_s=0.5)

    def test_slots_are_given_at_the_rate_of_the_store(self):
        # Loading faster than the store allows would fail all loads at once.
        started_s = time.monotonic()
        for _ in range(3):
            self.assertIsNotNone(self.client.wait_for_slot("m", "1", timeout_s=5))
        self.assertGreaterEqual(time.monotonic() - started_s, 0.2)

    def test_no_slot_within_the_timeout_is_none_and_down_is_an_error(self):
        # An order must not wait for a slot beyond its deadline.
        self.service.slots_per_s = 0.01
        self.client.wait_for_slot("m", "1", timeout_s=1)
        self.assertIsNone(self.client.wait_for_slot("m", "1", timeout_s=0.2))
        self.service.stop()
        with self.assertRaises(PlatformUnavailable):
            self.client.wait_for_slot("m", "1", timeout_s=0.2)

    def test_an_unknown_version_is_none(self):
        # A misspelt version must not look like an outage that is retried.
        self.assertEqual(self.client.describe("m", "1").size_bytes, 1_000_000)
        self.assertIsNone(self.client.describe("m", "2"))
