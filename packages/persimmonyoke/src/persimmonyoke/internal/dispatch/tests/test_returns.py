"""Test the recognition of retried requests."""

import unittest

from persimmonyoke.internal.dispatch.returns import (
    REFUSAL_TTL_S,
    RefusedRequests,
    request_key,
)
from persimmonyoke_testing.builders_fleet import prompt

KEY = request_key("/chat/1", prompt(100, 50))


class ReturnsTest(unittest.TestCase):
    def test_a_refused_request_is_known_when_it_comes_back(self):
        # A caller that was refused twice had waited in vain, although newer requests
        # were served.
        returns = RefusedRequests()
        returns.note_refused(KEY, now_s=100.0)
        same = request_key("/chat/1", prompt(100, 50))
        self.assertTrue(returns.is_retry(same, now_s=101.0))
        self.assertFalse(returns.is_retry(same, now_s=100.1 + REFUSAL_TTL_S))

    def test_another_prompt_or_path_is_another_request(self):
        returns = RefusedRequests()
        returns.note_refused(KEY, now_s=100.0)
        for other in (
            request_key("/chat/2", prompt(100, 50)),
            request_key("/chat/1", prompt(100, 51)),
            request_key("/chat/1", prompt(100, 50, name="q")),
        ):
            self.assertFalse(returns.is_retry(other, now_s=100.0))

    def test_a_request_that_comes_back_to_another_host_is_known_there(self):
        first, second = RefusedRequests(), RefusedRequests()
        first.note_refused(KEY, now_s=100.0)
        second.note_peer(first.take_unshared(10), now_s=50.0)
        self.assertTrue(second.is_retry(KEY, now_s=51.0))
        self.assertEqual(first.take_unshared(10), ())


if __name__ == "__main__":
    unittest.main()
