"""Test the health records of replicas."""

import unittest

from persimmonyoke.internal.dispatch.health import (
    FAILURE_TTL_S,
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    SUSPICION_TTL_S,
    ReplicaHealth,
)


class PauseTest(unittest.TestCase):
    def test_a_replica_that_cannot_be_reached_is_avoided_for_a_while(self):
        health = ReplicaHealth()
        health.note_unreachable("a", 100.0)
        self.assertTrue(health.paused("a", 100.0 + FIRST_PAUSE_S / 2))
        self.assertFalse(health.paused("a", 100.0 + FIRST_PAUSE_S))

    def test_repeated_failures_lengthen_the_pause_up_to_a_bound(self):
        health, now_s = ReplicaHealth(), 100.0
        for _ in range(10):
            health.note_unreachable("a", now_s)
            now_s += MAX_PAUSE_S
        health.note_unreachable("a", now_s)
        self.assertTrue(health.paused("a", now_s + MAX_PAUSE_S - 0.1))
        self.assertFalse(health.paused("a", now_s + MAX_PAUSE_S))

    def test_a_success_ends_the_pause(self):
        health = ReplicaHealth()
        health.note_unreachable("a", 100.0)
        health.note_success("a")
        self.assertFalse(health.paused("a", 100.0))

    def test_a_burst_of_failures_counts_as_one(self):
        health = ReplicaHealth()
        for _ in range(20):
            health.note_unreachable("a", 100.0)
        self.assertFalse(health.paused("a", 100.0 + FIRST_PAUSE_S))

    def test_a_replica_that_fails_some_requests_has_a_share_of_failures(self):
        health = ReplicaHealth()
        for _ in range(3):
            health.note_success("a")
            health.note_failure("a", 100.0)
        self.assertAlmostEqual(health.failure_share("a", 100.0), 0.25)
        self.assertEqual(health.failure_share("b", 100.0), 0.0)

    def test_a_replica_that_recovers_unseen_is_not_avoided_for_ever(self):
        # An avoided replica gets no call that could show its recovery.
        health = ReplicaHealth()
        for _ in range(12):
            health.note_failure("a", 100.0)
        self.assertTrue(health.failing("a", 100.0 + FAILURE_TTL_S / 2))
        self.assertFalse(health.failing("a", 100.0 + FAILURE_TTL_S))
        self.assertEqual(health.failure_share("a", 100.0 + FAILURE_TTL_S), 0.0)

    def test_a_single_failure_does_not_move_work_elsewhere(self):
        health = ReplicaHealth()
        health.note_failure("a", 100.0)
        self.assertFalse(health.failing("a", 100.0))


class SuspicionTest(unittest.TestCase):
    def test_the_word_of_a_peer_makes_a_replica_suspect_for_a_moment(self):
        # The host that orders stage changes learnt of a crash only from its own next
        # call, although other hosts had failed to connect for half a second.
        health = ReplicaHealth()
        health.note_suspected(["a"], 100.0)
        self.assertTrue(health.suspected("a", 100.1))
        self.assertFalse(health.paused("a", 100.1))
        self.assertFalse(health.suspected("a", 100.1 + SUSPICION_TTL_S))

    def test_a_host_tells_its_peers_whom_it_avoids(self):
        health = ReplicaHealth()
        health.note_unreachable("a", 100.0)
        health.note_failure("b", 100.0)
        self.assertEqual(health.all_paused(100.1), ["a"])


if __name__ == "__main__":
    unittest.main()
