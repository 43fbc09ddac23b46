"""Test how long a prompt that no engine has used is kept."""

import unittest
from unittest.mock import create_autospec

from persimmonyoke.internal.fleet.interfaces import PrefillResult
from persimmonyoke.internal.gateway.kept_prompt import MAX_HANDLE_AGE_S, KeptPrompt
from persimmonyoke.internal.gateway.prefill import PrefillCaller, PrefilledPrompt
from persimmonyoke.internal.gateway.run_outcomes import RunInterrupted, RunRejected
from persimmonyoke_testing.builders_fleet import engine

NOT_SENT = RunRejected("connection refused", sent=False)
REJECTED = RunRejected("engine answered 503", sent=True)
DONE_S = 100.0


class KeptPromptTest(unittest.TestCase):
    def setUp(self):
        self.prefill = create_autospec(PrefillCaller, instance=True)
        self.kept = KeptPrompt(self.prefill)
        result = PrefillResult("handle", 10)
        self.prompt = PrefilledPrompt(engine("p1"), result, done_s=DONE_S)

    def end_run(self, outcome, *, begun=True):
        """End a run of the prompt; return whether the next run may use it."""
        self.kept.after_run(self.prompt, outcome, keep_rejected=begun)
        return self.kept.take([self.prompt.engine], now_s=DONE_S) is not None

    def test_a_prompt_outlasts_several_engines_that_can_not_be_reached(self):
        # The prompt was read again, with a retry, after the second such engine.
        self.assertEqual([self.end_run(NOT_SENT) for _ in range(4)], [True] * 4)
        self.prefill.release.assert_not_called()

    def test_a_rejected_prompt_is_kept_once(self):
        # The engines may reject it as they can't get it.
        self.assertTrue(self.end_run(REJECTED))
        self.assertFalse(self.end_run(REJECTED))
        self.prefill.release.assert_called_once_with(self.prompt)

    def test_an_engine_that_can_not_be_reached_does_not_use_up_the_next_rejection(self):
        self.assertEqual(
            [self.end_run(o) for o in (NOT_SENT, REJECTED, REJECTED)],
            [True, True, False],
        )

    def test_a_prompt_outlasts_several_waits_for_an_engine(self):
        # A stream that waited for an engine had its prompt read again, with a retry,
        # after two attempts 0.1 s apart.
        for _ in range(4):
            self.kept.keep(self.prompt)
            taken = self.kept.take([self.prompt.engine], now_s=DONE_S)
            self.assertIs(taken, self.prompt)
        self.prefill.release.assert_not_called()

    def test_a_wait_for_an_engine_does_not_use_up_the_rejection_of_a_prompt(self):
        self.assertTrue(self.end_run(REJECTED))
        self.kept.keep(self.prompt)
        self.assertIsNotNone(self.kept.take([self.prompt.engine], now_s=DONE_S))
        self.assertFalse(self.end_run(REJECTED))

    def test_a_prompt_of_a_request_without_an_answer_is_released_by_a_rejection(self):
        self.assertFalse(self.end_run(REJECTED, begun=False))

    def test_a_used_prompt_is_not_kept(self):
        self.assertFalse(self.end_run(RunInterrupted("reset")))

    def test_an_old_prompt_is_released(self):
        self.kept.after_run(self.prompt, NOT_SENT, keep_rejected=True)
        late_s = DONE_S + MAX_HANDLE_AGE_S
        self.assertIsNone(self.kept.take([self.prompt.engine], now_s=late_s))
        self.prefill.release.assert_called_once_with(self.prompt)


if __name__ == "__main__":
    unittest.main()
