"""Tests of the list of error kinds."""

import unittest

from persimmonyoke import ERROR_ANSWERS, ErrorKind, Ran, RequestError


class ErrorTableTest(unittest.TestCase):
    def test_each_error_kind_has_an_answer_with_an_http_error_status(self):
        # An error kind without an answer would raise a KeyError.
        self.assertEqual(set(ERROR_ANSWERS), set(ErrorKind))
        for kind, answer in ERROR_ANSWERS.items():
            with self.subTest(kind=kind):
                self.assertIn(answer.status, range(400, 600))

    def test_statuses_that_ask_for_a_retry_are_marked_retryable(self):
        # Callers that take a 429 or 503 for final would not retry after an overload.
        for kind, answer in ERROR_ANSWERS.items():
            with self.subTest(kind=kind):
                if answer.status in (429, 503):
                    self.assertTrue(answer.retryable)

    def test_a_request_error_keeps_what_ran(self):
        # Without "unknown", a caller could repeat a call that already ran.
        error = RequestError(
            ErrorKind.UPSTREAM_FAILED, "connection lost", ran=Ran.UNKNOWN
        )
        self.assertEqual(error.answer.status, 502)
        self.assertEqual(error.ran, Ran.UNKNOWN)
