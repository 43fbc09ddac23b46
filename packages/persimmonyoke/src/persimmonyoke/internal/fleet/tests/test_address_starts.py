"""Test which replicas count as ended when several name one address."""

import unittest

from persimmonyoke.internal.fleet.replicas import ReplicaView
from persimmonyoke_testing.builders_fleet import engine

NOW_S = 100.0


def view_of(*replicas):
    view = ReplicaView()
    for replica in replicas:
        view.put(replica, now_s=NOW_S)
    return view


def listed(view):
    return sorted(replica.replica_id for replica in view.usable("llm", now_s=NOW_S))


class AddressStartsTest(unittest.TestCase):
    def test_only_the_latest_start_at_an_address_is_listed_in_any_order(self):
        # The entry of the former start may be written before or after the later one.
        former, later = engine("a", born_unix_ms=5), engine("b", born_unix_ms=9)
        for order in ((former, later), (later, former)):
            with self.subTest(order):
                view = view_of(*order)
                self.assertEqual(listed(view), ["b"])
                self.assertEqual(view.all(), (later,))

    def test_a_former_replica_that_drains_is_no_fallback(self):
        # Its address rejects all requests to it.
        view = view_of(engine("a", born_unix_ms=5))
        view.put(engine("a", born_unix_ms=5, draining=True), now_s=NOW_S)
        self.assertEqual(len(view.leaving("llm", now_s=NOW_S)), 1)
        view.put(engine("b", born_unix_ms=9), now_s=NOW_S)
        self.assertEqual(view.leaving("llm", now_s=NOW_S), [])

    def test_replicas_of_other_addresses_are_listed(self):
        # Different ports of one machine are different replicas.
        view = view_of(engine("a", born_unix_ms=5), engine("b", born_unix_ms=9, port=2))
        self.assertEqual(listed(view), ["a", "b"])

    def test_an_address_may_pass_to_another_service(self):
        # The entry of the service that had the address before was still used.
        view = view_of(
            engine("a", born_unix_ms=5), engine("b", born_unix_ms=9, service="other")
        )
        self.assertEqual(listed(view), [])

    def test_entries_that_name_no_or_the_same_start_are_listed(self):
        # Nothing shows which of them has ended.
        for former_ms, later_ms in ((0, 9), (9, 9)):
            with self.subTest(former_ms):
                view = view_of(
                    engine("a", born_unix_ms=former_ms),
                    engine("b", born_unix_ms=later_ms),
                )
                self.assertEqual(listed(view), ["a", "b"])

    def test_a_replica_is_listed_after_the_later_one_has_moved_or_gone(self):
        # A start that is told wrongly must not rule an address out forever.
        former, later = engine("a", born_unix_ms=5), engine("b", born_unix_ms=9)
        view = view_of(former, later)
        view.remove("b", now_s=NOW_S)
        self.assertEqual(listed(view), ["a"])
        view = view_of(former, later, engine("b", born_unix_ms=10, port=2))
        self.assertEqual(listed(view), ["a", "b"])


if __name__ == "__main__":
    unittest.main()
