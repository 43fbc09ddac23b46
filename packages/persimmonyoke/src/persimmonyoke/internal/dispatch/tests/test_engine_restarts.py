"""Test what the start that an engine tells says of its entry."""

import unittest

from persimmonyoke.internal.dispatch.engine_restarts import (
    ENTRY_WAIT_S,
    MAX_RESTARTS,
    EngineRestarts,
    Incarnation,
    judge_incarnation,
)
from persimmonyoke.internal.fleet.interfaces import ToldStart
from persimmonyoke.internal.fleet.model import Stage
from persimmonyoke_testing.builders_fleet import engine

NOW_S = 100.0
FORMER = engine("a", stage=Stage.DECODE, born_unix_ms=5)
AGAIN = engine("a", stage=Stage.DECODE, born_unix_ms=9)


class JudgeIncarnationTest(unittest.TestCase):
    def test_only_an_answer_that_fits_the_entry_lets_a_stream_go_on(self):
        # An engine that did not answer may have started again.
        cases = (
            (ToldStart(5), Incarnation.SAME, True),
            (ToldStart(9), Incarnation.STARTED_AGAIN, False),
            (ToldStart(4), Incarnation.UNKNOWN, False),
            (ToldStart(None), Incarnation.NOT_TOLD, True),
            (None, Incarnation.UNKNOWN, False),
        )
        for told, expected, may_write in cases:
            with self.subTest(told):
                found = judge_incarnation(FORMER, told)
                self.assertIs(found, expected)
                self.assertEqual(found.may_write, may_write)


class EngineRestartsTest(unittest.TestCase):
    def test_an_entry_is_outdated_until_it_names_the_start_that_was_told(self):
        restarts = EngineRestarts()
        self.assertFalse(restarts.is_outdated(FORMER))
        restarts.note("a", 9, now_s=NOW_S)
        self.assertTrue(restarts.is_outdated(FORMER))
        self.assertFalse(restarts.is_outdated(AGAIN))

    def test_a_late_answer_of_a_former_start_does_not_hide_a_newer_one(self):
        restarts = EngineRestarts()
        restarts.note("a", 9, now_s=NOW_S)
        restarts.note("a", 6, now_s=NOW_S + 1.0)
        self.assertTrue(restarts.is_outdated(engine("a", born_unix_ms=8)))

    def test_a_new_entry_is_expected_for_a_bounded_time(self):
        # Streams waited for ever for an engine that crashes before it registers.
        restarts = EngineRestarts()
        restarts.note("a", 9, now_s=NOW_S)
        late_s = NOW_S + ENTRY_WAIT_S
        self.assertTrue(restarts.awaits_entry(FORMER, now_s=late_s - 0.1))
        self.assertFalse(restarts.awaits_entry(FORMER, now_s=late_s))
        self.assertFalse(restarts.awaits_entry(AGAIN, now_s=NOW_S))

    def test_a_bounded_number_of_restarts_is_remembered(self):
        restarts = EngineRestarts()
        for number in range(MAX_RESTARTS + 1):
            restarts.note(f"e{number}", 9, now_s=NOW_S)
        self.assertFalse(restarts.is_outdated(engine("e0", born_unix_ms=5)))
        self.assertTrue(restarts.is_outdated(engine("e1", born_unix_ms=5)))
