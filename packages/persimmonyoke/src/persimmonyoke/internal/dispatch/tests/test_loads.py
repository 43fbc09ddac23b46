"""Test the totals of work at engines, with peer reports of different ages."""

import unittest

from persimmonyoke.internal.dispatch.loads import (
    NO_WORK,
    SUM_CACHE_TTL_S,
    ReplicaWork,
    WorkLedger,
)

ENGINE = "engine-1"


def ledger(*reports):
    """Return a ledger with one peer report per pair of arrival and prefill time."""
    work = WorkLedger()
    for number, (heard_s, prefill_s) in enumerate(reports):
        work.note_peer(
            f"host-{number}",
            {ENGINE: ReplicaWork(prefill_s, 1, 100)},
            queued_s=0.0,
            now_s=heard_s,
        )
    return work


class PeerWorkTest(unittest.TestCase):
    def test_prompts_that_were_read_since_a_report_do_not_count(self):
        # With 73 hosts a report is half a second old, so idle engines appeared busy.
        work = ledger((10.0, 0.3))
        self.assertAlmostEqual(work.backlog_s(ENGINE, now_s=10.1), 0.2)
        self.assertEqual(work.backlog_s(ENGINE, now_s=10.4), 0.0)

    def test_prompts_of_several_hosts_are_read_one_after_the_other(self):
        # Subtracting the age from each report would treat five prefills as parallel.
        work = ledger(*[(10.0, 0.1)] * 5)
        self.assertAlmostEqual(work.backlog_s(ENGINE, now_s=10.1), 0.4)

    def test_an_old_report_beside_a_new_one_loses_its_share_only(self):
        work = ledger((10.0, 0.2), (10.2, 0.2))
        self.assertAlmostEqual(work.backlog_s(ENGINE, now_s=10.2), 0.3)

    def test_the_runs_of_a_report_count_until_it_is_too_old(self):
        work = ledger((10.0, 0.0))
        self.assertEqual(work.total(ENGINE, now_s=11.0).running, 1)
        self.assertEqual(work.total(ENGINE, now_s=12.0).running, 0)

    def test_a_sum_that_is_kept_follows_each_change_of_the_work(self):
        # A stale total would send another prompt to an engine that has just got one.
        work = ledger((10.0, 0.1))
        self.assertEqual(work.backlog_s(ENGINE, now_s=10.0), 0.1)
        job = work.begin_prefill(ENGINE, 0.2, now_s=10.0)
        self.assertAlmostEqual(work.backlog_s(ENGINE, now_s=10.0), 0.3)
        report = {ENGINE: ReplicaWork(0.4, 2, 200)}
        work.note_peer("host-0", report, queued_s=0.0, now_s=10.0)
        self.assertAlmostEqual(work.backlog_s(ENGINE, now_s=10.0), 0.6)
        work.end_prefill(job)
        work.begin_run(ENGINE, 50)
        self.assertEqual(work.total(ENGINE, now_s=10.0), ReplicaWork(0.4, 3, 250))
        work.end_run(ENGINE, 50)
        work.note_peer("host-0", {}, queued_s=0.0, now_s=10.0)
        self.assertEqual(work.total(ENGINE, now_s=10.0), NO_WORK)

    def test_a_sum_is_not_kept_for_longer_than_a_few_milliseconds(self):
        work = ledger((10.0, 0.3))
        work.backlog_s(ENGINE, now_s=10.0)
        self.assertAlmostEqual(
            work.backlog_s(ENGINE, now_s=10.0 + SUM_CACHE_TTL_S), 0.295
        )


if __name__ == "__main__":
    unittest.main()
