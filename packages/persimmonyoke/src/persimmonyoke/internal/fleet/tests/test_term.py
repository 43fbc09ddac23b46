"""Test the term of the host that orders stage changes."""

import random
import unittest

from persimmonyoke.internal.fleet.store_lease import StoreLease
from persimmonyoke.internal.fleet.store_revision import join_revision
from persimmonyoke.internal.fleet.term import (
    ORDER_WINDOW_S,
    AttemptSchedule,
    ClockReading,
    OrderRecord,
    OrderTerm,
)

MIN_HANDOVER_S = 3.0
LEASE = StoreLease(number=1, era=0)
LATEST = join_revision(1 << 10, 0)
"""Revision of a view that holds all records."""

SEED = 11
# Time of three writes and a watch event, over links between zones.
SEEN_AFTER_S = 0.012
STEP_S = 0.05


def clocks(steady_s: float, *, suspended_s: float = 0.0) -> ClockReading:
    return ClockReading(steady_s, steady_s + suspended_s)


def record(holder: str, revision: int) -> OrderRecord:
    return OrderRecord(holder, 7, "engine-1", "prefill", revision)


def held_term() -> OrderTerm:
    term = OrderTerm("host-a", min_handover_s=MIN_HANDOVER_S)
    term.acquired(fencing_number=9, lease=LEASE)
    return term


def may_announce(term: OrderTerm, now_s: float) -> bool:
    """Return whether a host whose view holds all records may announce an order."""
    return term.may_announce(now_s, view_revision=LATEST)


class TakeoverTest(unittest.TestCase):
    def test_a_holder_whose_predecessor_ordered_long_ago_orders_at_once(self):
        # A fixed wait left the fleet without a decode engine for five more seconds.
        term = OrderTerm("host-a", min_handover_s=MIN_HANDOVER_S)
        term.note_record(record("host-b", 5), now_s=50.0)
        term.acquired(fencing_number=9, lease=LEASE)
        self.assertTrue(may_announce(term, 100.0))

    def test_a_holder_waits_after_an_order_of_another_host(self):
        # Engines that ignore fencing numbers would get orders of two holders.
        term = held_term()
        term.note_record(record("host-b", 5), now_s=100.0)
        self.assertFalse(may_announce(term, 100.0 + MIN_HANDOVER_S))
        self.assertTrue(may_announce(term, 100.0 + term.takeover_wait_s))
        self.assertGreater(term.takeover_wait_s, MIN_HANDOVER_S + ORDER_WINDOW_S)

    def test_a_holder_orders_only_once_its_view_is_as_new_as_its_key(self):
        # A host that regained the store took the free key before it read the record of
        # the last order, and ordered the same engine half a second after it.
        term = held_term()
        self.assertFalse(term.may_announce(100.0, view_revision=8))
        term.note_record(record("host-b", 8), now_s=100.0)
        self.assertFalse(term.may_announce(100.1, view_revision=9))
        now_s = 100.0 + term.takeover_wait_s
        self.assertTrue(term.may_announce(now_s, view_revision=9))

    def test_a_restarted_holder_need_not_wait_for_itself(self):
        term = held_term()
        term.note_record(record("host-a", 5), now_s=100.0)
        self.assertTrue(may_announce(term, 100.0))

    def test_an_old_record_seen_again_does_not_start_the_wait_anew(self):
        term = held_term()
        term.note_record(record("host-b", 5), now_s=100.0)
        term.note_record(record("host-b", 5), now_s=103.0)
        self.assertTrue(may_announce(term, 100.0 + term.takeover_wait_s))


class StoreRestoredTest(unittest.TestCase):
    """A copy may lack the record of the last order, or hold an older one."""

    def term_in_era(self, era, *, since_s):
        term = OrderTerm("host-a", min_handover_s=MIN_HANDOVER_S)
        term.note_era(era, since_s)
        term.acquired(
            fencing_number=join_revision(era, 9), lease=StoreLease(number=1, era=era)
        )
        return term

    def test_holder_without_a_record_waits_for_orders_that_the_copy_lacks(self):
        # Two hosts gave orders within the time of a lease.
        term = self.term_in_era(2, since_s=100.0)
        self.assertFalse(may_announce(term, 100.0 + MIN_HANDOVER_S))
        self.assertTrue(may_announce(term, 100.0 + term.takeover_wait_s))

    def test_holder_whose_own_record_is_of_an_earlier_era_waits(self):
        # Another host may have ordered since that record, in the time that is lost.
        term = self.term_in_era(2, since_s=100.0)
        own = OrderRecord(
            "host-a", join_revision(1, 7), "e", "decode", join_revision(2, 5)
        )
        term.note_record(own, now_s=100.0)
        self.assertFalse(may_announce(term, 100.0 + MIN_HANDOVER_S))
        self.assertTrue(may_announce(term, 100.0 + term.takeover_wait_s))

    def test_record_of_the_new_era_shows_that_its_writer_has_waited(self):
        term = self.term_in_era(2, since_s=100.0)
        own = OrderRecord(
            "host-a", join_revision(2, 7), "e", "decode", join_revision(2, 8)
        )
        term.note_record(own, now_s=101.0)
        self.assertTrue(may_announce(term, 101.0))

    def test_record_with_a_lower_number_in_a_later_era_is_the_newer_one(self):
        # Revisions are given out again, and the wait was skipped.
        term = self.term_in_era(1, since_s=0.0)
        for era, number, seen_s in ((1, 46, 50.0), (2, 33, 100.0)):
            revision = join_revision(era, number)
            term.note_era(era, seen_s - 10.0)
            term.note_record(
                OrderRecord("host-b", revision, "e", "decode", revision), now_s=seen_s
            )
        self.assertFalse(may_announce(term, 100.0 + MIN_HANDOVER_S))
        self.assertTrue(may_announce(term, 100.0 + term.takeover_wait_s))


class AttemptTest(unittest.TestCase):
    def test_a_host_that_has_just_started_leaves_a_free_key_to_others(self):
        # After an outage, such a host acquired the key and waited four seconds before
        # it sent orders. Hosts that knew the age of the record need not have waited.
        term = OrderTerm("host-a", min_handover_s=MIN_HANDOVER_S)
        term.note_record(record("host-b", 5), now_s=100.0)
        self.assertGreater(term.attempt_delay_s(100.5), 0)
        self.assertEqual(term.attempt_delay_s(100.0 + term.takeover_wait_s), 0)

    def test_a_fleet_without_any_record_takes_the_key_at_once(self):
        self.assertEqual(
            OrderTerm("host-a", min_handover_s=MIN_HANDOVER_S).attempt_delay_s(5.0), 0
        )


class SendingTest(unittest.TestCase):
    def test_an_order_announced_before_a_suspension_is_not_sent(self):
        # The steady clock stops while a host is suspended; the boot clock does not.
        term = held_term()
        self.assertTrue(term.may_send(clocks(101.0), clocks(101.1)))
        self.assertFalse(term.may_send(clocks(101.0), clocks(101.1, suspended_s=5.0)))

    def test_a_lost_term_sends_nothing(self):
        term = held_term()
        term.lost()
        self.assertFalse(term.may_send(clocks(101.0), clocks(101.0)))
        self.assertFalse(may_announce(term, 200.0))


class AttemptScheduleTest(unittest.TestCase):
    def schedules(self, count):
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        return [AttemptSchedule(random.Random(rng.random())) for _ in range(count)]

    def test_a_free_key_is_tried_by_few_of_many_hosts(self):
        # 85 hosts that see the key become free would make 255 calls at once.
        schedules = self.schedules(85)
        for schedule in schedules:
            schedule.note_free(0.0)
        steps = [number / 1_000 for number in range(400)]
        first_s = next(t for t in steps if any(s.due(t) for s in schedules))
        self.assertLess(first_s, 0.02)
        tried = [s for s in schedules if s.due(first_s + SEEN_AFTER_S)]
        self.assertLess(len(tried), 15)

    def test_a_held_key_is_looked_at_rarely(self):
        # Hosts tried a held key every six seconds, with three billed calls per attempt.
        checks = 0
        for schedule in self.schedules(10):
            now_s = 0.0
            schedule.note_held(now_s)
            while now_s < 60.0:
                now_s += STEP_S
                if schedule.due(now_s):
                    checks += 1
                    self.assertFalse(schedule.seen_free)
                    schedule.note_held(now_s)
        self.assertLessEqual(checks, 10 * 14)

    def test_an_attempt_without_an_answer_is_repeated_soon(self):
        # After a short outage of the store, the key must not stay free for long.
        (schedule,) = self.schedules(1)
        schedule.note_free(10.0)
        schedule.note_failed(10.2)
        self.assertTrue(schedule.due(11.3))


if __name__ == "__main__":
    unittest.main()
