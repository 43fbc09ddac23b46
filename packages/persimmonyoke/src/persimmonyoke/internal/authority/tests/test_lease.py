"""Test the lease of a pool."""

import time
import unittest

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke_testing.builders_authority import (
    LEASE_S,
    REAL_LEASE_S,
    SlowRenewals,
    build_pair,
    wait_until,
)


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.first, self.second, self.engine = build_pair()
        self.clock = self.first.clock

    def test_only_one_of_two_controllers_acquires_the_lease(self):
        # Two holders at once would send conflicting orders.
        self.assertTrue(self.first.acquire())
        self.assertFalse(self.second.acquire())
        self.assertEqual(self.second.lease.recorded_holder(), "c1")

    def test_a_successor_gets_a_higher_fencing_number_after_the_lease_lapsed(self):
        # With an equal number, an engine would accept orders of the former holder.
        self.first.acquire()
        self.clock.advance(LEASE_S + 0.1)
        self.assertTrue(self.second.acquire())
        first, second = self.first.lease.authority, self.second.lease.authority
        self.assertGreater(second.fencing, first.fencing)

    def test_authority_ends_for_the_holder_before_the_lease_ends_in_the_store(self):
        # Counting from the answer instead of the request would overlap with a
        # successor.
        self.first.store.faults.slow_s = 0.5
        started_s = self.clock()
        self.assertTrue(self.first.acquire())
        self.assertGreater(self.clock(), started_s)
        self.assertLess(self.first.lease.authority.expires_s, started_s + LEASE_S)
        self.clock.now_s = self.first.lease.authority.expires_s
        self.assertIsNone(self.first.lease.check(now_s=self.clock()))

    def test_the_kernel_timer_ends_the_process_before_a_successor_can_acquire(self):
        # A holder paused past its lease must not run again.
        self.first.acquire()
        deadline_s = self.first.timer.deadline_s
        self.assertLess(deadline_s, self.clock() + LEASE_S)
        self.assertGreater(deadline_s, self.first.lease.authority.expires_s)

    def test_a_renewal_moves_the_end_and_the_timer(self):
        self.first.acquire()
        before = self.first.timer.deadline_s
        self.clock.advance(1.0)
        self.assertTrue(self.first.lease.renew(now_s=self.clock()))
        self.assertAlmostEqual(self.first.timer.deadline_s, before + 1.0)

    def test_a_renewal_during_an_outage_keeps_the_old_end(self):
        # Extending without the store would let two controllers hold authority.
        self.first.acquire()
        expires_s = self.first.lease.authority.expires_s
        self.clock.advance(1.0)
        self.first.store.faults.down = True
        self.assertTrue(self.first.lease.renew(now_s=self.clock()))
        self.assertEqual(self.first.lease.authority.expires_s, expires_s)

    def test_relinquishing_authority_after_an_outage_cancels_the_timer(self):
        # A running process that knows it has lost authority need not be ended.
        self.first.acquire()
        self.clock.advance(LEASE_S)
        self.assertIsNone(self.first.lease.check(now_s=self.clock()))
        self.assertIsNone(self.first.timer.deadline_s)

    def test_a_renewal_of_a_lapsed_lease_ends_authority(self):
        self.first.acquire()
        self.first.state.revoke(self.first.lease.authority.lease_id)
        self.assertFalse(self.first.lease.renew(now_s=self.clock()))
        self.assertIsNone(self.first.lease.authority)

    def test_an_acquisition_with_a_lost_answer_is_settled_by_its_write_id(self):
        # Treating the lost answer as a failure would block the pool for a whole lease.
        self.first.store.faults.lose_answers = 1
        self.assertFalse(self.first.acquire())
        started_s = self.clock()
        self.clock.advance(0.5)
        self.assertTrue(self.first.acquire())
        expires_s = self.first.lease.authority.expires_s
        self.assertLess(expires_s, started_s + LEASE_S)

    def test_an_acquisition_with_a_lost_request_is_tried_again(self):
        self.first.store.faults.lose_requests = 1
        self.assertFalse(self.first.acquire())
        self.assertFalse(self.first.acquire())
        self.assertTrue(self.first.acquire())

    def test_an_acquisition_confirmed_too_late_is_revoked(self):
        # Too little of the lease would be left to rely on it.
        self.first.store.faults.lose_answers = 1
        self.first.acquire()
        self.clock.advance(LEASE_S * 0.6)
        self.assertFalse(self.first.acquire())
        self.assertTrue(self.second.acquire())

    def test_a_released_lease_is_free_at_once(self):
        # A planned stop must not leave the pool without a controller until the lease
        # ends.
        self.first.acquire()
        self.first.lease.release()
        self.assertTrue(self.second.acquire())

    def test_acquiring_while_the_store_is_down_raises(self):
        self.first.store.faults.down = True
        with self.assertRaises(StoreUnavailable):
            self.first.acquire()

    def test_a_renewal_that_waits_for_an_unresponsive_store_does_not_end_the_process(
        self,
    ):
        # If the store is paused for longer than the lease, a running process must give
        # up authority by itself before the kernel timer expires.
        with SlowRenewals(self.first) as (lease, timer, stop):
            wait_until(lambda: lease.authority is not None)
            deadline_s = timer.deadline_s
            wait_until(lambda: lease.authority is None, timeout_s=2 * REAL_LEASE_S)
            self.assertLess(time.monotonic(), deadline_s)
            self.assertIsNone(timer.deadline_s)
            stop.set()

    def test_authority_relinquished_during_a_renewal_is_not_restored(self):
        self.first.acquire()
        lease = self.first.lease
        keep_alive = self.first.store.keep_alive

        def relinquish_meanwhile(lease_id):
            lease.relinquish()
            return keep_alive(lease_id)

        self.first.store.keep_alive = relinquish_meanwhile
        self.assertFalse(lease.renew(now_s=self.clock()))
        self.assertIsNone(lease.authority)
        self.assertIsNone(self.first.timer.deadline_s)
        self.assertTrue(self.second.acquire())

    def test_an_acquisition_that_took_longer_than_the_lease_arms_no_timer(self):
        # A timer with a deadline in the past would end the process at once.
        self.first.store.faults.slow_s = LEASE_S * 0.3
        self.assertFalse(self.first.acquire())
        self.assertIsNone(self.first.timer.deadline_s)
