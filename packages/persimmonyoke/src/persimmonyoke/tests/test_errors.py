"""Tests of the closed list of error kinds."""

import unittest

from persimmonyoke import ERROR_ANSWERS, ErrorKind, Ran, RequestError


class ErrorTableTest(unittest.TestCase):
    def test_each_error_kind_has_an_answer_with_an_http_error_status(self):
        # A kind without a row would end in a KeyError instead of an answer.
        self.assertEqual(set(ERROR_ANSWERS), set(ErrorKind))
        for kind, answer in ERROR_ANSWERS.items():
            with self.subTest(kind=kind):
                self.assertIn(answer.status, range(400, 600))

    def test_refusals_that_ask_to_come_back_are_marked_retryable(self):
        # Callers that read a 429 or 503 as final would give up on an overload.
        for kind, answer in ERROR_ANSWERS.items():
            with self.subTest(kind=kind):
                if answer.status in (429, 503):
                    self.assertTrue(answer.retryable)

    def test_a_request_error_keeps_what_ran(self):
        # A lost "unknown" would let a caller repeat a call that already ran.
        error = RequestError(
            ErrorKind.UPSTREAM_FAILED, "connection lost", ran=Ran.UNKNOWN
        )
        self.assertEqual(error.answer.status, 502)
        self.assertEqual(error.ran, Ran.UNKNOWN)
