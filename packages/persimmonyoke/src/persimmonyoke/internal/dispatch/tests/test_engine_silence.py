"""Test when streams leave engines that are silent."""

import random
import unittest

from persimmonyoke.internal.dispatch.engine_silence import (
    ENGINE_SILENCE_S,
    ENGINES_PROBED,
    LOOK_AGAIN_S,
    PROBE_AFTER_S,
    RECOVERY_S,
    STREAM_SILENCE_S,
    EngineSilences,
    engines_to_continue,
    engines_to_probe,
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
    def test_an_engine_that_was_not_heard_is_not_taken_for_one_that_answers(self):
        # Streams of a large fleet left for engines that were silent as well.
        silences = EngineSilences()
        self.assertFalse(silences.answers(A, NOW_S))
        silences.note_answer(A, NOW_S)
        self.assertTrue(silences.answers(A, NOW_S + ENGINE_SILENCE_S / 2))
        self.assertFalse(silences.answers(A, NOW_S + ENGINE_SILENCE_S))

    def test_an_engine_answers_while_one_of_its_streams_brings_bytes(self):
        silences = EngineSilences()
        silences.begin(A, NOW_S)
        silences.begin(A, NOW_S)
        later_s = NOW_S + ENGINE_SILENCE_S / 2
        self.assertTrue(silences.answers(A, later_s))
        silences.note_answer(A, later_s)
        silences.end(A)
        self.assertTrue(silences.answers(A, NOW_S + ENGINE_SILENCE_S))
        self.assertFalse(silences.answers(A, later_s + ENGINE_SILENCE_S))

    def test_an_engine_that_was_silent_has_time_to_go_on(self):
        # The first stream that went on let all others of the engine be moved.
        silences = EngineSilences()
        silences.begin(A, NOW_S)
        later_s = NOW_S + ENGINE_SILENCE_S
        silences.note_answer(A, later_s)
        self.assertFalse(silences.answers(A, later_s + RECOVERY_S / 2))
        self.assertTrue(silences.answers(A, later_s + RECOVERY_S + 0.01))

    def test_an_engine_that_answered_late_has_time_to_go_on(self):
        # A probe that is answered as a silence ends let streams be moved to others
        # whose own engines went on at the same moment.
        silences = EngineSilences()
        silences.note_answer(A, NOW_S, waited_s=ENGINE_SILENCE_S)
        self.assertFalse(silences.answers(A, NOW_S + RECOVERY_S / 2))
        self.assertTrue(silences.answers(A, NOW_S + RECOVERY_S + 0.01))

    def test_an_idle_engine_that_answers_is_not_taken_for_one_that_was_silent(self):
        # Nothing is heard of an idle engine, and its first answer counts.
        silences = EngineSilences()
        silences.begin(A, NOW_S)
        silences.end(A)
        later_s = NOW_S + 2 * ENGINE_SILENCE_S
        silences.note_answer(A, later_s)
        self.assertTrue(silences.answers(A, later_s))

    def test_the_end_of_a_stream_of_a_forgotten_engine_is_ignored(self):
        # An engine may be gone before this host has noticed that its stream ended.
        silences = EngineSilences()
        silences.begin(A, NOW_S)
        silences.forget(A)
        silences.end(A)
        self.assertIsNone(silences.age_s(A, NOW_S))


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
            ("another was not heard", [A, B], {"silent": [A]}, []),
            ("another answers", [A, B], {"silent": [A], "lively": [B]}, [B]),
            ("all are silent", [A, B], {"silent": [A, B]}, []),
            ("it failed on the other", [A, B], {"lively": [B], "avoided": "b"}, []),
            ("one answer is lost", [A], {"lively": [A]}, [A]),
            ("it was restarted", [RESTARTED], {"lively": [A]}, []),
            (
                "its new start answers",
                [RESTARTED],
                {"lively": [RESTARTED]},
                [RESTARTED],
            ),
            ("the other only prefills", [A, PREFILL], {"lively": [PREFILL]}, []),
        )
        for name, engines, facts, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.continuations(engines, **facts), expected)

    def probed(self, engines, *, avoided=()):
        return engines_to_probe(engines, left=A, avoided=avoided, rng=random.Random(1))

    def test_some_engines_that_may_continue_a_stream_are_probed(self):
        # Hosts of a large fleet would wait for a dead engine although others are idle.
        others = [engine(f"e{number}", stage=Stage.DECODE) for number in range(9)]
        first, *rest = self.probed([A, *others, PREFILL])
        self.assertEqual(first, A)
        self.assertEqual(len(rest), ENGINES_PROBED)
        self.assertLess(set(rest), set(others))
        self.assertEqual(self.probed([A, B], avoided={"a"}), [A, B])
        self.assertEqual(self.probed([A, B], avoided={"b"}), [A])


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
