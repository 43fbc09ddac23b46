"""Test the election of the collector of a zone."""

import unittest

from persimmonyoke.internal.fleet.collectors import (
    MAX_REPORT_COPIES,
    REPORT_COPIES,
    TAKEOVER_S,
    WARM_UP_S,
    CollectorElection,
)

HOSTS = [f"host-{number}" for number in range(8)]
NOW_S = 100.0


def election(name):
    return CollectorElection(name, now_s=NOW_S - 60.0)


class CollectorElectionTest(unittest.TestCase):
    def test_the_first_host_collects_and_the_others_hear_it(self):
        self.assertTrue(election("host-0").collects(HOSTS, now_s=NOW_S))
        for name in HOSTS[1:]:
            other = election(name)
            other.note_heard("host-0", now_s=NOW_S - 0.1)
            self.assertFalse(other.collects(HOSTS, now_s=NOW_S), name)

    def test_the_next_host_takes_over_when_the_first_falls_silent(self):
        # A killed host stays registered for seconds.
        second, third = election("host-1"), election("host-2")
        for waiting in (second, third):
            waiting.note_heard("host-0", now_s=NOW_S)
        after_s = NOW_S + TAKEOVER_S
        self.assertTrue(second.collects(HOSTS, now_s=after_s))
        self.assertFalse(third.collects(HOSTS, now_s=after_s))
        third.note_heard("host-1", now_s=after_s)
        self.assertFalse(third.collects(HOSTS, now_s=after_s + TAKEOVER_S))

    def test_hosts_take_over_one_by_one_when_the_collector_leaves_the_list(self):
        # Its registration ended. All others began to collect in the same moment, as
        # each counted the silence of preceding hosts, which never collect, as its own.
        waiting = [election(name) for name in HOSTS[1:]]
        for other in waiting:
            other.note_heard("host-0", now_s=NOW_S)
        collecting = [e.collects(HOSTS[1:], now_s=NOW_S + 0.1) for e in waiting]
        self.assertEqual(collecting, [True] + [False] * 6)
        after_s = NOW_S + TAKEOVER_S
        self.assertTrue(waiting[1].collects(HOSTS[1:], now_s=after_s))
        self.assertFalse(waiting[2].collects(HOSTS[1:], now_s=after_s))

    def test_a_host_stops_collecting_when_an_earlier_one_is_back(self):
        second = election("host-1")
        self.assertTrue(second.collects(HOSTS, now_s=NOW_S))
        second.note_heard("host-0", now_s=NOW_S)
        self.assertFalse(second.collects(HOSTS, now_s=NOW_S + 0.1))

    def test_a_host_that_has_just_started_does_not_collect_yet(self):
        # The hosts that would report to it do not know of it yet.
        fresh = CollectorElection("host-0", now_s=NOW_S)
        self.assertFalse(fresh.collects(HOSTS, now_s=NOW_S + WARM_UP_S / 2))
        self.assertTrue(fresh.collects(HOSTS, now_s=NOW_S + WARM_UP_S))

    def test_a_host_that_is_not_registered_does_not_collect(self):
        self.assertFalse(election("host-9").collects(HOSTS, now_s=NOW_S))

    def test_two_senders_at_once_are_not_both_believed(self):
        # Otherwise the totals would alternate between aggregates of different reports.
        member = election("host-5")
        member.note_heard("host-0", now_s=NOW_S)
        self.assertTrue(member.accepts("host-0", HOSTS, now_s=NOW_S))
        self.assertFalse(member.accepts("host-1", HOSTS, now_s=NOW_S))
        self.assertTrue(member.accepts("host-1", HOSTS, now_s=NOW_S + TAKEOVER_S))
        self.assertFalse(member.accepts("stranger", HOSTS, now_s=NOW_S))

    def test_reports_reach_the_host_that_will_take_over(self):
        # A new collector must already know the work of the others at takeover.
        member = election("host-7")
        member.note_heard("host-0", now_s=NOW_S)
        self.assertEqual(member.report_to(HOSTS, now_s=NOW_S), HOSTS[:REPORT_COPIES])
        for rank in range(REPORT_COPIES, MAX_REPORT_COPIES):
            before_turn_s = NOW_S + (rank - 0.5) * TAKEOVER_S
            reported = member.report_to(HOSTS, now_s=before_turn_s)
            self.assertIn(HOSTS[rank], reported)

    def test_many_silent_hosts_do_not_draw_reports_to_all(self):
        reported = election("host-7").report_to(HOSTS, now_s=NOW_S)
        self.assertEqual(len(reported), MAX_REPORT_COPIES)

    def test_the_host_that_is_heard_gets_reports_whatever_its_rank(self):
        member = election("host-7")
        member.note_heard("host-6", now_s=NOW_S)
        self.assertIn("host-6", member.report_to(HOSTS, now_s=NOW_S))


if __name__ == "__main__":
    unittest.main()
