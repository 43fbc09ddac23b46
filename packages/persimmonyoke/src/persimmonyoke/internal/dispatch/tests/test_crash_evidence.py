"""Test which lost responses count as crashes of their replica."""

import unittest
from dataclasses import replace

from persimmonyoke.internal.dispatch.crash_evidence import (
    MAX_OPEN_LOSSES,
    OPEN_LOSS_TTL_S,
    Loss,
    LossKind,
    OpenLosses,
    ProbeResult,
    Verdict,
    judge_loss,
    needs_probe,
)
from persimmonyoke_testing.builders_fleet import engine

NOW_S = 100.0
ENGINE = engine("a")


def loss(running_on=ENGINE, *, lost_s=NOW_S):
    return Loss(b"d", running_on, lost_s - 0.1, lost_s, alone=False)


class VerdictTest(unittest.TestCase):
    def test_only_an_unplanned_end_speaks_against_a_request(self):
        # Requests that crashed nothing would be withheld after connection resets,
        # drains, network partitions and malformed responses.
        ended, silent = LossKind.ENDED, LossKind.SILENT
        for kind, probe, leaving, expected in (
            (ended, ProbeResult.REFUSED, False, Verdict.CRASHED),
            (ended, ProbeResult.CONNECTED, False, Verdict.NOT_CRASHED),
            (ended, ProbeResult.SILENT, False, Verdict.OPEN),
            (ended, ProbeResult.NOT_MADE, True, Verdict.NOT_CRASHED),
            (silent, ProbeResult.NOT_MADE, False, Verdict.OPEN),
            (silent, ProbeResult.NOT_MADE, True, Verdict.NOT_CRASHED),
            (LossKind.MALFORMED, ProbeResult.NOT_MADE, False, Verdict.NOT_CRASHED),
        ):
            with self.subTest(kind=kind, probe=probe, leaving=leaving):
                verdict = judge_loss(kind, probe, leaving=leaving, restarted=False)
                self.assertIs(verdict, expected)

    def test_a_silent_replica_whose_next_start_is_known_has_crashed(self):
        # A request times out only seconds after its replica has lost power, so the
        # restart may be known by then.
        for kind, probe, leaving, expected in (
            (LossKind.SILENT, ProbeResult.NOT_MADE, False, Verdict.CRASHED),
            (LossKind.SILENT, ProbeResult.NOT_MADE, True, Verdict.NOT_CRASHED),
            (LossKind.ENDED, ProbeResult.CONNECTED, False, Verdict.NOT_CRASHED),
            (LossKind.MALFORMED, ProbeResult.NOT_MADE, False, Verdict.NOT_CRASHED),
        ):
            verdict = judge_loss(kind, probe, leaving=leaving, restarted=True)
            self.assertIs(verdict, expected)

    def test_a_replica_is_asked_only_where_that_tells_more(self):
        self.assertTrue(needs_probe(LossKind.ENDED, leaving=False))
        self.assertFalse(needs_probe(LossKind.ENDED, leaving=True))
        self.assertFalse(needs_probe(LossKind.SILENT, leaving=False))
        self.assertFalse(needs_probe(LossKind.MALFORMED, leaving=False))


class OpenLossesTest(unittest.TestCase):
    def test_a_silent_replica_that_starts_again_has_crashed(self):
        # A replica that loses power does not reset its connections.
        for started in (
            replace(ENGINE, born_unix_ms=ENGINE.born_unix_ms + 1),
            replace(ENGINE, replica_id="b"),
        ):
            losses = OpenLosses()
            losses.add(loss())
            self.assertEqual(losses.take_restarted(started, now_s=NOW_S + 2), [loss()])
            self.assertEqual(losses.take_restarted(started, now_s=NOW_S + 2), [])

    def test_the_same_incarnation_and_others_tell_nothing(self):
        losses = OpenLosses()
        losses.add(loss())
        elsewhere = replace(ENGINE, replica_id="b", port=ENGINE.port + 1)
        for started in (ENGINE, elsewhere):
            self.assertEqual(losses.take_restarted(started, now_s=NOW_S + 2), [])

    def test_losses_are_kept_for_a_bounded_time_and_number(self):
        losses = OpenLosses()
        for number in range(MAX_OPEN_LOSSES + 5):
            losses.add(loss(lost_s=NOW_S + number / 1_000))
        started = replace(ENGINE, born_unix_ms=ENGINE.born_unix_ms + 1)
        found = losses.take_restarted(started, now_s=NOW_S + 1)
        self.assertEqual(len(found), MAX_OPEN_LOSSES)
        losses.add(loss())
        late_s = NOW_S + OPEN_LOSS_TTL_S + 0.1
        self.assertEqual(losses.take_restarted(started, now_s=late_s), [])


if __name__ == "__main__":
    unittest.main()
