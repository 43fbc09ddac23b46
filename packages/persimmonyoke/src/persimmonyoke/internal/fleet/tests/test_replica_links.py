"""Test what this host concludes from the failures of its own connections."""

import unittest
from dataclasses import dataclass

from persimmonyoke.internal.fleet.replica_links import (
    DIRECT_RETRY_S,
    PEER_ANSWER_TTL_S,
    TRIAL_INTERVAL_S,
    LinkState,
)
from persimmonyoke_testing.builders_links import (
    answered,
    connected,
    failed,
    reached_by_peer,
    replica_links,
    silent,
    timed_out,
    unanswered,
    unreached_by_peer,
)


@dataclass(frozen=True)
class Case:
    """Hold observations, oldest first, and the state that follows from them."""

    name: str
    observations: tuple
    state: LinkState
    known: int = 9


CASES = (
    Case("a host that has just started", (), LinkState.INTACT),
    Case(
        "no new connection, no byte, and peers reach the replicas",
        (connected("a", 1.0), answered("a", 1.5), failed("a", 2.0))
        + (failed("b", 2.1), reached_by_peer("a", 2.2), reached_by_peer("b", 2.3)),
        LinkState.CUT_OFF,
    ),
    Case(
        "connections hang, and a peer connects while they do",
        (reached_by_peer("a", 2.1), reached_by_peer("b", 2.2))
        + (timed_out("a", 2.0, 2.4), timed_out("b", 2.1, 2.5)),
        LinkState.CUT_OFF,
    ),
    Case(
        "the same, and peers say nothing",
        (connected("a", 1.0), failed("a", 2.0), failed("b", 2.1)),
        LinkState.UNCONFIRMED,
    ),
    Case(
        "the same, and peers cannot reach the replicas either",
        (failed("a", 2.0), failed("b", 2.1), unreached_by_peer("a", 2.2)),
        LinkState.UNCONFIRMED,
    ),
    Case(
        "all replicas of one service fail, those of others answer",
        (failed("a", 2.0), failed("b", 2.1), failed("c", 2.2), answered("x", 2.3)),
        LinkState.INTACT,
    ),
    Case(
        "all replicas of one service fail, those of others accept connections",
        (failed("a", 2.0), failed("b", 2.1), connected("x", 2.3)),
        LinkState.INTACT,
    ),
    Case(
        "one replica fails",
        (connected("b", 1.0), failed("a", 2.0), failed("a", 3.0)),
        LinkState.INTACT,
    ),
    Case(
        "one replica fails here and is reached by a peer",
        (connected("b", 1.0), failed("a", 2.0), reached_by_peer("a", 2.1)),
        LinkState.INTACT,
    ),
    Case(
        "one replica is silent for a second or so, then answers",
        (silent("a", 1.0, 1.5), answered("a", 2.3)),
        LinkState.INTACT,
    ),
    Case(
        "open connections live on, new ones are refused",
        (failed("a", 2.0), reached_by_peer("a", 2.1), failed("b", 2.2))
        + (reached_by_peer("b", 2.3), answered("a", 2.4)),
        LinkState.NO_NEW_CONNECTIONS,
    ),
    Case(
        "a slow host sees all its timeouts, then a connection succeeds",
        (failed("a", 2.0), failed("b", 2.0), connected("c", 2.01)),
        LinkState.INTACT,
    ),
    Case(
        "the cut ends",
        (failed("a", 2.0), reached_by_peer("a", 2.1), failed("b", 2.2))
        + (reached_by_peer("b", 2.3), connected("a", 5.0)),
        LinkState.INTACT,
    ),
    Case(
        "the cut ends and comes again, and only one replica has failed since",
        (failed("a", 2.0), reached_by_peer("a", 2.1), failed("b", 2.2))
        + (reached_by_peer("b", 2.3), connected("a", 5.0), failed("a", 7.0)),
        LinkState.INTACT,
    ),
    Case(
        "the cut comes again",
        (failed("a", 2.0), reached_by_peer("a", 2.1), failed("b", 2.2))
        + (reached_by_peer("b", 2.3), connected("a", 5.0), failed("a", 7.0))
        + (reached_by_peer("a", 7.1), failed("b", 7.2), reached_by_peer("b", 7.3)),
        LinkState.CUT_OFF,
    ),
    Case(
        "a replica that failed long before the others does not hide the cut",
        (failed("z", 0.5), connected("a", 1.0), answered("a", 1.5), failed("a", 2.0))
        + (failed("b", 2.1), reached_by_peer("a", 2.2), reached_by_peer("b", 2.3)),
        LinkState.CUT_OFF,
    ),
    Case(
        "the only replica fails and is reached by a peer",
        (failed("a", 2.0), reached_by_peer("a", 2.1)),
        LinkState.CUT_OFF,
        known=1,
    ),
)


class LinkStateTest(unittest.TestCase):
    def test_the_state_follows_from_what_connections_and_peers_show(self):
        # Hosts that were cut off took each replica for one that had failed.
        for case in CASES:
            with self.subTest(case.name):
                links = replica_links(*case.observations)
                self.assertIs(links.state(case.known), case.state)


CUT_OFF = (failed("a", 2.0), reached_by_peer("a", 2.1), failed("b", 2.2)) + (
    reached_by_peer("b", 2.3),
)


class ConnectionChoiceTest(unittest.TestCase):
    def test_a_host_that_is_cut_off_opens_all_connections_through_peers(self):
        links = replica_links(*CUT_OFF)
        for replica_id in ("a", "b", "never-tried"):
            self.assertTrue(links.prefers_peer(replica_id, known=9, now_s=60.0))

    def test_a_single_link_that_fails_is_tried_again_after_a_while(self):
        links = replica_links(failed("a", 2.0), reached_by_peer("a", 2.1))
        self.assertTrue(links.prefers_peer("a", known=9, now_s=2.2))
        self.assertFalse(links.prefers_peer("b", known=9, now_s=2.2))
        later_s = 2.0 + DIRECT_RETRY_S
        self.assertFalse(links.prefers_peer("a", known=9, now_s=later_s))

    def test_a_replica_that_a_peer_could_not_reach_is_not_asked_for_again_at_once(self):
        links = replica_links(unreached_by_peer("a", 2.0))
        self.assertFalse(links.may_ask_peer("a", 2.1))
        self.assertTrue(links.may_ask_peer("b", 2.1))
        self.assertTrue(links.may_ask_peer("a", 2.0 + PEER_ANSWER_TTL_S))

    def test_connections_that_were_idle_when_the_cut_began_are_not_used(self):
        links = replica_links(*CUT_OFF)
        self.assertFalse(links.trusts_idle("a", idle_since_s=1.9, known=9))
        links.note_answer("c", 2.5)
        self.assertTrue(links.trusts_idle("a", idle_since_s=1.9, known=9))

    def test_idle_connections_to_a_replica_that_stayed_silent_are_not_used(self):
        # Open connections may be silent for good while new ones work.
        links = replica_links(
            answered("a", 1.0), answered("b", 2.0), silent("a", 1.5, 3.0)
        )
        self.assertFalse(links.trusts_idle("a", idle_since_s=2.9, known=9))
        self.assertTrue(links.trusts_idle("a", idle_since_s=3.1, known=9))
        self.assertTrue(links.trusts_idle("b", idle_since_s=1.0, known=9))

    def test_idle_connections_are_not_used_after_all_replicas_were_silent(self):
        # Each retry went to another connection that had been cut as well.
        links = replica_links(answered("b", 1.0), silent("a", 1.5, 1.8))
        self.assertFalse(links.trusts_idle("b", idle_since_s=1.0, known=9))
        self.assertTrue(links.trusts_idle("b", idle_since_s=1.9, known=9))
        links.note_answer("c", 2.0)
        self.assertTrue(links.trusts_idle("b", idle_since_s=1.0, known=9))

    def test_a_lost_answer_of_a_replica_that_answers_others_says_nothing(self):
        links = replica_links(answered("a", 2.0), silent("a", 1.5, 3.0))
        self.assertTrue(links.trusts_idle("a", idle_since_s=2.0, known=9))

    def test_silence_of_all_replicas_is_told_from_that_of_one(self):
        links = replica_links(answered("a", 2.0))
        self.assertTrue(links.silent_since(2.5))
        self.assertFalse(links.silent_since(1.5))

    def test_a_replica_that_was_removed_is_no_evidence(self):
        links = replica_links(*CUT_OFF)
        links.forget("a")
        self.assertIs(links.state(9), LinkState.INTACT)


@dataclass(frozen=True)
class UnansweredCase:
    """Hold observations, oldest first, and whether no replica answers then."""

    name: str
    observations: tuple
    unanswered: bool


UNANSWERED_CASES = (
    UnansweredCase("a host that has just started", (), False),
    UnansweredCase(
        "two replicas accept connections and stay silent",
        (answered("a", 1.0), unanswered("a", 2.0, 2.4), unanswered("b", 2.1, 2.5)),
        True,
    ),
    UnansweredCase(
        "the same, and further connections are accepted",
        (unanswered("a", 2.0, 2.4), connected("c", 2.45), unanswered("b", 2.1, 2.5))
        + (connected("a", 2.6), connected("b", 2.7)),
        True,
    ),
    UnansweredCase(
        "one replica crashed and resets each connection",
        (unanswered("a", 2.0, 2.0), unanswered("a", 2.1, 2.1)),
        False,
    ),
    UnansweredCase(
        "two replicas are busy, and a third answers meanwhile",
        (unanswered("a", 2.0, 2.4), answered("c", 2.45), unanswered("b", 2.1, 2.5)),
        False,
    ),
    UnansweredCase(
        "all were silent for a second or so, then one answers",
        (unanswered("a", 2.0, 2.4), unanswered("b", 2.1, 2.5), answered("c", 3.3)),
        False,
    ),
    UnansweredCase(
        "one answered between the losses of two",
        (unanswered("a", 2.0, 2.4), answered("c", 3.0), unanswered("b", 4.0, 4.4)),
        False,
    ),
)


class UnansweredLinksTest(unittest.TestCase):
    def test_accepted_connections_without_an_answer_tell_that_links_fail(self):
        # Where a proxy accepts connections for the replicas, each connection that it
        # accepted showed that the links work.
        for case in UNANSWERED_CASES:
            with self.subTest(case.name):
                links = replica_links(*case.observations)
                self.assertIs(links.unanswered, case.unanswered)
                self.assertIs(links.state(9), LinkState.INTACT)

    def test_a_replica_that_was_removed_is_no_evidence(self):
        links = replica_links(unanswered("a", 2.0, 2.4), unanswered("b", 2.1, 2.5))
        links.forget("a")
        self.assertFalse(links.unanswered)

    def test_one_connection_at_a_time_tries_the_own_links_again(self):
        # All requests of the time in which the links are tried would hang.
        links = replica_links(unanswered("a", 2.0, 2.4), unanswered("b", 2.1, 2.5))
        self.assertFalse(links.claim_trial(2.6))
        later_s = 2.5 + TRIAL_INTERVAL_S
        self.assertTrue(links.claim_trial(later_s))
        self.assertFalse(links.claim_trial(later_s))


if __name__ == "__main__":
    unittest.main()
