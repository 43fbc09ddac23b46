"""Test that the loss of this host's links is no evidence against replicas."""

import json
import time
import unittest

from persimmonyoke.internal.fleet.replica_links import LinkState
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    AnswerTimeout,
    ConnectionEnded,
    LostCall,
    UpstreamConnection,
)
from persimmonyoke.internal.gateway.dialer import (
    MIN_SILENCE_S,
    STALL_S,
    ReplicaDialer,
)
from persimmonyoke.internal.gateway.peers import PeerLink
from persimmonyoke.internal.gateway.transports import Transport
from persimmonyoke_testing.builders_fleet import engine
from persimmonyoke_testing.builders_gateway import gateway_state

REPLICAS = tuple(engine(name) for name in "abc")


class LinksTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.state = gateway_state(log=self.log)
        for replica in REPLICAS:
            changes = self.state.replicas.put(replica, now_s=1.0)
            self.state.apply_replica_changes(changes, now_s=1.0)
        self.log.clear()

    def fail_all(self, now_s):
        for replica in REPLICAS:
            self.state.health.note_unreachable(replica.replica_id, now_s)
            self.state.links.note_connect_failed(replica, begun_s=now_s, now_s=now_s)

    def reach_by_peer(self, now_s):
        for replica in REPLICAS[:2]:
            self.state.links.note_reached_by_peer(replica, now_s)

    def test_replicas_that_peers_reach_are_no_longer_paused(self):
        # Requests were refused without an attempt, since all replicas were paused.
        self.fail_all(2.0)
        self.assertEqual(len(self.state.health.all_paused(2.1)), 3)
        self.reach_by_peer(2.1)
        self.assertIs(self.state.links.state, LinkState.CUT_OFF)
        self.assertEqual(self.state.health.all_paused(2.1), [])

    def test_replicas_are_used_again_as_soon_as_the_links_work(self):
        # Pauses of up to 4 s went on after the partition.
        self.fail_all(2.0)
        self.state.links.note_connected(REPLICAS[0], 2.2)
        self.assertIs(self.state.links.state, LinkState.INTACT)
        self.assertEqual(self.state.health.all_paused(2.2), [])

    def test_a_host_that_may_be_cut_off_reports_no_replica_to_its_peers(self):
        # Peers took the replicas that a cut-off host could not reach for suspects.
        link, now_s = PeerLink(self.state), time.monotonic()
        self.state.health.note_unreachable("a", now_s)
        self.assertEqual(link.state_message().suspects, ("a",))
        self.fail_all(now_s)
        self.assertEqual(link.state_message().suspects, ())

    def leave_unanswered(self, now_s):
        for replica in REPLICAS[:2]:
            self.state.links.note_unanswered(replica, sent_s=now_s, now_s=now_s)

    def test_a_host_that_no_replica_answers_reports_none_to_its_peers(self):
        # A proxy that accepts connections for the replicas made them all suspects.
        link, now_s = PeerLink(self.state), time.monotonic()
        self.state.health.note_unreachable("a", now_s)
        self.leave_unanswered(now_s)
        self.assertEqual(link.state_message().suspects, ())

    def test_pauses_end_only_when_a_replica_has_answered_through_a_peer(self):
        # A tunnel may lead to a proxy that accepts in vain as well.
        self.leave_unanswered(2.0)
        self.state.health.note_unreachable("a", 2.0)
        for replica in REPLICAS:
            self.state.links.note_reached_by_peer(replica, 2.1)
        self.assertEqual(self.state.health.all_paused(2.1), ["a"])
        self.state.links.note_answer_by_peer()
        self.assertEqual(self.state.health.all_paused(2.1), [])

    def test_an_answer_through_a_peer_while_the_links_work_ends_no_pause(self):
        self.state.health.note_unreachable("a", 2.0)
        self.state.links.note_answer_by_peer()
        self.assertEqual(self.state.health.all_paused(2.1), ["a"])

    def test_each_change_of_whether_replicas_answer_is_logged_once(self):
        self.leave_unanswered(2.0)
        self.leave_unanswered(2.1)
        self.state.links.note_answer(REPLICAS[2], 3.0)
        self.state.links.note_answer(REPLICAS[2], 3.1)
        lines = [json.loads(line) for line in self.log]
        changes = [line for line in lines if line["event"] == "links_answers"]
        self.assertEqual([line["unanswered"] for line in changes], [True, False])

    def test_a_change_of_the_links_is_logged_with_its_evidence(self):
        self.fail_all(2.0)
        self.reach_by_peer(2.5)
        lines = [json.loads(line) for line in self.log]
        changes = [line for line in lines if line["event"] == "links"]
        states = [(line["former"], line["state"]) for line in changes]
        self.assertEqual(
            states, [("intact", "unconfirmed"), ("unconfirmed", "cut_off")]
        )
        self.assertEqual((changes[1]["failing"], changes[1]["confirmed"]), (3, 2))
        self.assertEqual(changes[1]["failing_ms"], 500)


class SilentTransport(Transport):
    """Carry nothing."""

    def __init__(self, peer=None):
        self.peer = peer

    def send(self, data, *, timeout_s):
        """Drop the bytes."""

    def receive(self, *, timeout_s):
        """Raise, as nothing arrives."""
        raise TimeoutError

    def set_user_timeout(self, user_timeout_ms):
        """Ignore the time."""

    def has_input(self):
        """Return false."""
        return False

    def has_bytes(self):
        return False

    def interrupt(self):
        """Do nothing."""

    def close(self, *, discard=False):
        """Do nothing."""


class LostCallTest(unittest.TestCase):
    """Lose one call at each of two replicas."""

    def shows_no_answer(self, error, *, age_s, late_s=0.0, answered=False, peer=None):
        """Return whether calls that ended now tell that no replica answers."""
        state = gateway_state(log=[])
        dialer, now_s = ReplicaDialer(state), time.monotonic()
        for replica in REPLICAS[:2]:
            transport = SilentTransport(peer)
            connection = UpstreamConnection(replica, transport=transport)
            connection.answered = answered
            call = LostCall(connection, error, now_s - age_s, now_s - late_s)
            dialer.note_call_lost(call)
        return state.links.unanswered

    def test_silent_and_ended_calls_on_new_connections_are_evidence(self):
        self.assertTrue(
            self.shows_no_answer(AnswerTimeout("lost"), age_s=MIN_SILENCE_S)
        )
        self.assertTrue(self.shows_no_answer(ConnectionEnded("lost"), age_s=0.001))

    def test_a_call_with_little_time_left_is_no_evidence(self):
        self.assertFalse(self.shows_no_answer(AnswerTimeout("lost"), age_s=0.05))

    def test_timeouts_after_a_standstill_of_this_host_are_no_evidence(self):
        error = AnswerTimeout("lost")
        self.assertFalse(self.shows_no_answer(error, age_s=1.0, late_s=STALL_S))

    def test_malformed_answers_are_no_evidence(self):
        self.assertFalse(self.shows_no_answer(AnswerLost("lost"), age_s=1.0))

    def test_a_used_connection_that_a_replica_closes_is_no_evidence(self):
        error = ConnectionEnded("lost")
        self.assertFalse(self.shows_no_answer(error, age_s=1.0, answered=True))

    def test_calls_through_a_peer_tell_nothing_of_the_own_links(self):
        error = AnswerTimeout("lost")
        self.assertFalse(self.shows_no_answer(error, age_s=1.0, peer="host-2"))


if __name__ == "__main__":
    unittest.main()
