"""Test how hosts share the limits that replicas name."""

import itertools
import random
import unittest

from persimmonyoke.internal.dispatch.limits import (
    CONFIRM_S,
    MAX_INTERVAL_S,
    ReplicaLimits,
)

WINDOW_S = 4.0
STEP_S = 0.01


def allowed(limit_per_s):
    """Return the most requests in a window that the users' rule allows."""
    return 1.5 * limit_per_s * WINDOW_S + 5


class Fleet:
    """Send as much as the limits allow from several hosts, in simulated time."""

    def __init__(self, size):
        self.names = [f"h{number}" for number in range(size)]
        self.limits = {name: ReplicaLimits(name) for name in self.names}
        self.sent_s = []
        self.now_s = 0.0

    def name_limit(self, limit_per_s):
        for limits in self.limits.values():
            limits.note_named("r", limit_per_s, hosts=self.names, now_s=self.now_s)

    def run(self, duration_s, *, idle_share=0.0, rng=None):
        """Let each host send whenever it may, or idle for a share of the steps."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            for limits in self.limits.values():
                if rng is not None and rng.random() < idle_share:
                    continue
                if limits.try_take("r", self.now_s):
                    self.sent_s.append(self.now_s)
            self.now_s += STEP_S

    def most_in_window(self):
        sent_s = self.sent_s
        return max(
            sum(end_s - WINDOW_S < at_s <= end_s for at_s in sent_s) for end_s in sent_s
        )


class ShareTest(unittest.TestCase):
    def test_all_hosts_together_keep_a_limit(self):
        # Each host kept the limit for itself, or sent one request at once with others.
        for size in (1, 5, 7, 30, 195):
            for limit_per_s in (0.5, 1.0, 2.5, 6.0, 40.0):
                with self.subTest(size=size, limit_per_s=limit_per_s):
                    fleet = Fleet(size)
                    fleet.name_limit(limit_per_s)
                    fleet.run(20.0)
                    most = fleet.most_in_window()
                    self.assertLessEqual(most, allowed(limit_per_s))
                    self.assertGreaterEqual(len(fleet.sent_s), 0.7 * limit_per_s * 20)

    def test_hosts_that_were_idle_do_not_send_too_much_at_once(self):
        for size in (7, 195):
            fleet, rng = Fleet(size), random.Random(3)
            fleet.name_limit(6.0)
            fleet.run(10.0, idle_share=0.999, rng=rng)
            fleet.run(10.0)
            self.assertLessEqual(fleet.most_in_window(), allowed(6.0))

    def test_a_lower_limit_applies_from_the_next_answer_on(self):
        fleet = Fleet(7)
        fleet.name_limit(8.0)
        fleet.run(8.0)
        fleet.name_limit(2.0)
        fleet.sent_s.clear()
        fleet.run(12.0)
        self.assertLessEqual(fleet.most_in_window(), allowed(2.0))

    def test_a_higher_limit_is_used_at_once(self):
        fleet = Fleet(7)
        fleet.name_limit(0.5)
        fleet.run(8.0)
        fleet.name_limit(20.0)
        fleet.sent_s.clear()
        fleet.run(2.0)
        self.assertGreaterEqual(len(fleet.sent_s), 20)

    def test_a_replica_that_takes_nothing_is_still_asked_now_and_then(self):
        # Only an answer shows that the limit has ended.
        fleet = Fleet(7)
        fleet.name_limit(0.0)
        fleet.run(2 * MAX_INTERVAL_S)
        self.assertGreater(len(fleet.sent_s), 0)
        self.assertLessEqual(fleet.most_in_window(), allowed(0.0))


class LimitTest(unittest.TestCase):
    def setUp(self):
        self.limits = ReplicaLimits("a")

    def name_limit(self, replica_id="r", per_s=2.0, now_s=0.0):
        self.limits.note_named(replica_id, per_s, hosts=(), now_s=now_s)

    def test_a_replica_without_a_limit_takes_any_number_of_requests(self):
        self.assertTrue(all(self.limits.try_take("r", 0.0) for _ in range(100)))

    def test_an_answer_without_a_limit_ends_it(self):
        self.name_limit()
        self.limits.note_unnamed("r", sent_s=1.0, now_s=1.1)
        self.assertFalse(self.limits.is_limited("r"))

    def test_an_answer_to_an_earlier_request_does_not_end_a_limit(self):
        # Answers on different connections overtake each other.
        self.name_limit(now_s=1.0)
        self.limits.note_unnamed("r", sent_s=0.9, now_s=2.0)
        self.assertTrue(self.limits.is_limited("r"))

    def test_a_limit_that_only_some_answers_name_holds(self):
        for step in range(20):
            now_s = step * CONFIRM_S / 2
            self.name_limit(now_s=now_s)
            self.limits.note_unnamed("r", sent_s=now_s, now_s=now_s + 0.1)
        self.assertTrue(self.limits.is_limited("r"))

    def test_slots_are_given_one_after_the_other_and_only_soon_ones(self):
        self.name_limit(per_s=2.0)
        slots = []
        while slot := self.limits.reserve(["r"], now_s=0.0, patience_s=2.0):
            slots.append(slot.at_s)
        self.assertEqual(len(slots), 4)
        gaps_s = [later - earlier for earlier, later in itertools.pairwise(slots)]
        self.assertTrue(all(0.4 < gap_s < 0.6 for gap_s in gaps_s), gaps_s)

    def test_a_slot_that_is_given_back_is_taken_by_a_later_request(self):
        # Requests that were refused for another reason used up the limit.
        self.name_limit(per_s=2.0)
        first = self.limits.reserve(["r"], now_s=0.0, patience_s=2.0)
        self.limits.reserve(["r"], now_s=0.0, patience_s=2.0)
        self.limits.give_back(first)
        third = self.limits.reserve(["r"], now_s=0.0, patience_s=2.0)
        self.assertLess(third.at_s, first.at_s + 0.6)

    def test_refused_requests_are_told_different_times(self):
        # All of them came back for the same slot, and all but one were refused again.
        self.name_limit(per_s=2.0)
        self.limits.reserve(["r"], now_s=0.0, patience_s=10.0)
        told_s = [self.limits.retry_after_s("s", ["r"], now_s=0.0) for _ in range(4)]
        gaps_s = [later - earlier for earlier, later in itertools.pairwise(told_s)]
        self.assertTrue(all(gap_s >= 0.49 for gap_s in gaps_s), told_s)

    def test_a_queue_waits_for_nothing_while_one_replica_has_no_limit(self):
        self.name_limit("r", per_s=1.0)
        now_s = 0.0
        for waiting in (0, 50):
            wait_s = self.limits.queue_wait_s(["r", "s"], waiting=waiting, now_s=now_s)
            self.assertEqual(wait_s, 0.0)
        self.assertGreater(self.limits.queue_wait_s(["r"], waiting=50, now_s=now_s), 49)


if __name__ == "__main__":
    unittest.main()
