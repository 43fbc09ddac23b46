"""Test the backoff of replicas that reject requests."""

import unittest

from persimmonyoke.internal.dispatch.backoff import ReplicaBackoff


class BackoffTest(unittest.TestCase):
    def test_a_replica_is_left_alone_for_as_long_as_it_asked(self):
        backoff = ReplicaBackoff()
        backoff.note("a", 2.0, now_s=100.0)
        self.assertTrue(backoff.active("a", 101.9))
        self.assertFalse(backoff.active("a", 102.0))
        self.assertAlmostEqual(backoff.remaining_s("a", 101.5), 0.5)

    def test_a_later_answer_with_a_shorter_time_does_not_end_the_longer_one(self):
        # Responses on several connections can arrive out of order.
        backoff = ReplicaBackoff()
        backoff.note("a", 5.0, now_s=100.0)
        backoff.note("a", 0.5, now_s=100.1)
        self.assertTrue(backoff.active("a", 104.0))

    def test_a_replica_is_asked_once_in_a_backoff_and_again_in_the_next_one(self):
        # Guards against more calls in a backoff than the replica allows.
        backoff = ReplicaBackoff()
        self.assertFalse(backoff.claim_question("a", 100.0))
        backoff.note("a", 2.0, now_s=100.0)
        self.assertTrue(backoff.claim_question("a", 100.5))
        backoff.note("a", 2.0, now_s=101.0)
        self.assertFalse(backoff.claim_question("a", 102.5))
        self.assertFalse(backoff.claim_question("a", 103.0))
        backoff.note("a", 1.0, now_s=104.0)
        self.assertTrue(backoff.claim_question("a", 104.5))

    def test_other_replicas_and_new_incarnations_are_not_concerned(self):
        backoff = ReplicaBackoff()
        backoff.note("a", 5.0, now_s=100.0)
        self.assertFalse(backoff.active("b", 100.0))
        backoff.forget("a")
        self.assertFalse(backoff.active("a", 100.0))
