"""Test when streams leave engines that are silent."""

import unittest

from persimmonyoke.internal.dispatch.engine_silence import (
    ENGINE_SILENCE_S,
    LOOK_AGAIN_S,
    PROBE_AFTER_S,
    RECOVERY_S,
    STREAM_SILENCE_S,
    EngineSilences,
    engines_to_continue,
    may_leave,
    next_look_s,
)
from persimmonyoke.internal.fleet.model import Stage
from persimmonyoke_testing.builders_fleet import engine

NOW_S = 100.0
A, B = engine("a", stage=Stage.DECODE), engine("b", stage=Stage.DECODE)
RESTARTED = engine("a", stage=Stage.DECODE, born_unix_ms=9)
PREFILL = engine("p", stage=Stage.PREFILL)


class EngineSilencesTest(unittest.TestCase):
    def test_an_engine_without_streams_is_not_taken_for_silent(self):
        # A stream on a dead engine would not be moved to an idle one.
        silences = EngineSilences()
        self.assertFalse(silences.silent(A, NOW_S))
        silences.begin(A, NOW_S)
        silences.end(A)
        self.assertFalse(silences.silent(A, NOW_S + ENGINE_SILENCE_S))

    def test_an_engine_is_silent_if_none_of_its_streams_brings_bytes(self):
        silences = EngineSilences()
        silences.begin(A, NOW_S)
        silences.begin(A, NOW_S)
        later_s = NOW_S + ENGINE_SILENCE_S
        self.assertTrue(silences.silent(A, later_s))
        silences.note_answer(A, later_s)
        silences.end(A)
        self.assertTrue(silences.silent(A, later_s + ENGINE_SILENCE_S))

    def test_an_engine_that_was_silent_has_time_to_go_on(self):
        # The first stream that went on let all others of the engine be moved.
        silences = EngineSilences()
        silences.begin(A, NOW_S)
        later_s = NOW_S + ENGINE_SILENCE_S
        silences.note_answer(A, later_s)
        self.assertTrue(silences.silent(A, later_s + RECOVERY_S / 2))
        recovered_s = later_s + RECOVERY_S + 0.01
        self.assertFalse(silences.silent(A, recovered_s))

    def test_an_answer_of_an_engine_without_streams_is_ignored(self):
        # A probe may be answered after the last stream has ended.
        silences = EngineSilences()
        silences.note_answer(A, NOW_S)
        self.assertFalse(silences.silent(A, NOW_S))


class ContinuationTest(unittest.TestCase):
    def continuations(self, engines, *, avoided=(), silent=(), lively=()):
        silences = EngineSilences()
        for streaming in (*silent, *lively):
            silences.begin(streaming, NOW_S - ENGINE_SILENCE_S)
        for streaming in lively:
            silences.note_answer(streaming, NOW_S - ENGINE_SILENCE_S / 2)
        found = engines_to_continue(
            engines, left=A, avoided=avoided, silences=silences, now_s=NOW_S
        )
        return found

    def test_which_engines_may_continue_a_stream(self):
        # Streams were ended or moved although no engine could go on with them.
        cases = (
            ("the only engine is silent", [A], {"silent": [A]}, []),
            ("another is idle", [A, B], {"silent": [A]}, [B]),
            ("another brings events", [A, B], {"silent": [A], "lively": [B]}, [B]),
            ("all are silent", [A, B], {"silent": [A, B]}, []),
            ("it failed on the other", [A, B], {"silent": [A], "avoided": "b"}, []),
            ("one answer is lost", [A], {"lively": [A]}, [A]),
            ("it was restarted", [RESTARTED], {"silent": [A]}, [RESTARTED]),
            ("the other only prefills", [A, PREFILL], {"silent": [A]}, []),
        )
        for name, engines, facts, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.continuations(engines, **facts), expected)


class MayLeaveTest(unittest.TestCase):
    def test_when_a_stream_leaves_its_engine(self):
        # A stream that is left too late ends, as its client waits no longer.
        cases = (
            ("silent for too short a time", STREAM_SILENCE_S - 0.1, 1.0, [B], False),
            ("silent, and another engine is there", STREAM_SILENCE_S, 1.0, [B], True),
            ("silent, and no other engine is there", 2.2, 1.0, [], False),
            ("the client leaves before an event comes", 1.9, 0.1, [B], False),
        )
        for name, silent_s, left_s, engines, expected in cases:
            with self.subTest(name):
                leaves = may_leave(
                    silent_since_s=NOW_S - silent_s,
                    event_wait_left_s=left_s,
                    first_event_s=0.11,
                    engines=engines,
                    now_s=NOW_S,
                )
                self.assertIs(leaves, expected)

    def test_a_waiting_stream_looks_for_an_engine_at_intervals(self):
        # Polling without a pause would take the processor's time.
        probe_s = NOW_S + PROBE_AFTER_S + 0.01
        self.assertAlmostEqual(next_look_s(NOW_S, NOW_S), PROBE_AFTER_S)
        left_s = STREAM_SILENCE_S - PROBE_AFTER_S - 0.01
        self.assertAlmostEqual(next_look_s(NOW_S, probe_s), left_s)
        later_s = NOW_S + 2 * STREAM_SILENCE_S
        self.assertEqual(next_look_s(NOW_S, later_s), LOOK_AGAIN_S)


if __name__ == "__main__":
    unittest.main()
