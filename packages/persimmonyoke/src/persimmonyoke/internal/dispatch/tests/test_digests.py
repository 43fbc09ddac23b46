"""Test the aggregation of the work reports of many hosts."""

import unittest

from persimmonyoke.internal.dispatch.digests import (
    REPLICAS_PER_PART,
    DigestAggregator,
    WorkDigest,
    part_of,
    subtract_report,
)
from persimmonyoke.internal.dispatch.loads import PEER_REPORT_TTL_S, ReplicaWork

NOW_S = 100.0


def report(board, host, work, *, sequence=1, queued_s=0.0, now_s=NOW_S):
    board.note_report(host, work, queued_s=queued_s, sequence=sequence, now_s=now_s)


class DigestBoardTest(unittest.TestCase):
    def test_the_sum_holds_the_last_report_of_each_host(self):
        board = DigestAggregator()
        report(board, "a", {"e1": ReplicaWork(0.5, 9, 900)})
        report(board, "a", {"e1": ReplicaWork(0.1, 1, 100)}, queued_s=0.2)
        report(board, "b", {"e1": ReplicaWork(0.2, 2, 50)}, queued_s=0.1)
        (digest,) = board.own_zone_digests(10, now_s=NOW_S)
        self.assertAlmostEqual(digest.work["e1"].prefill_s, 0.3)
        self.assertEqual(digest.work["e1"].running, 3)
        self.assertEqual(digest.work["e1"].tokens, 150)
        self.assertAlmostEqual(digest.queued_s, 0.3)

    def test_what_engines_have_read_since_the_reports_is_taken_off(self):
        board = DigestAggregator()
        report(board, "a", {"e1": ReplicaWork(0.4)})
        (digest,) = board.own_zone_digests(10, now_s=NOW_S + 0.3)
        self.assertAlmostEqual(digest.work["e1"].prefill_s, 0.1)

    def test_the_work_of_a_silent_host_is_dropped(self):
        board = DigestAggregator()
        report(board, "a", {"e1": ReplicaWork(0.0, 1, 1)})
        (digest,) = board.own_zone_digests(10, now_s=NOW_S + PEER_REPORT_TTL_S + 0.1)
        self.assertEqual(digest.work, {})

    def test_other_zones_are_summed_apart(self):
        board = DigestAggregator()
        report(board, "a", {"e1": ReplicaWork(0.0, 1, 1)})
        for zone in ("z1", "z2"):
            remote_digest = WorkDigest(0, {"e1": ReplicaWork(0.0, 5, 10)}, 0.5)
            board.note_zone_digest(zone, remote_digest, now_s=NOW_S)
        (near,) = board.own_zone_digests(10, now_s=NOW_S)
        (far,) = board.remote_digests(10, now_s=NOW_S)
        self.assertEqual(near.work["e1"].running, 1)
        self.assertEqual(far.work["e1"].running, 10)
        self.assertAlmostEqual(far.queued_s, 1.0)

    def test_a_large_sum_comes_in_parts_that_keep_their_replicas(self):
        # A datagram has room for about forty replicas.
        board = DigestAggregator()
        work = {f"e{number}": ReplicaWork(0.0, 1, 1) for number in range(90)}
        report(board, "a", work)
        parts = board.own_zone_digests(90, now_s=NOW_S)
        self.assertEqual(len(parts), 1 + 90 // REPLICAS_PER_PART)
        for digest in parts:
            for replica_id in digest.work:
                self.assertEqual(part_of(replica_id, len(parts)), digest.part)
        self.assertEqual(sum(len(digest.work) for digest in parts), 90)

    def test_suspects_of_another_zone_are_not_sent_back_to_it(self):
        # Otherwise two zones would repeat a suspicion to each other for ever.
        board = DigestAggregator()
        remote_digest = WorkDigest(0, {}, suspects=("e2",))
        board.note_zone_digest("z1", remote_digest, now_s=NOW_S)
        self.assertEqual(board.own_zone_digests(10, now_s=NOW_S)[0].suspects, ())
        self.assertEqual(board.remote_digests(10, now_s=NOW_S)[0].suspects, ("e2",))

    def test_suspects_are_told_while_hosts_repeat_them(self):
        board = DigestAggregator()
        board.note_suspects(["e2"], now_s=NOW_S)
        self.assertEqual(board.own_zone_digests(10, now_s=NOW_S)[0].suspects, ("e2",))
        self.assertEqual(board.own_zone_digests(10, now_s=NOW_S + 1.0)[0].suspects, ())


class OwnShareTest(unittest.TestCase):
    def test_a_host_takes_its_own_report_off_the_sum(self):
        # A host adds its own current work, which would otherwise count twice.
        total = {"e1": ReplicaWork(0.5, 3, 300), "e2": ReplicaWork(0.1, 1, 100)}
        own = {"e1": ReplicaWork(0.2, 1, 100), "e2": ReplicaWork(0.1, 1, 100)}
        rest = subtract_report(total, own)
        self.assertAlmostEqual(rest["e1"].prefill_s, 0.3)
        self.assertEqual(rest["e1"].running, 2)
        self.assertNotIn("e2", rest)

    def test_a_share_that_was_partly_read_leaves_nothing_negative(self):
        rest = subtract_report(
            {"e1": ReplicaWork(0.1, 1, 1)}, {"e1": ReplicaWork(0.3, 0, 0)}
        )
        self.assertEqual(rest["e1"], ReplicaWork(0.0, 1, 1))


if __name__ == "__main__":
    unittest.main()
