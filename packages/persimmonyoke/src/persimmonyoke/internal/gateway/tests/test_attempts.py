"""Test the attempts in the log line of a request."""

import unittest

from persimmonyoke.internal.gateway.attempts import AttemptStart, end_attempt


class AttemptTest(unittest.TestCase):
    def test_an_attempt_records_the_age_of_the_view_that_chose_its_replica(self):
        # Without the age, a request sent to a replica that had left could not be
        # traced to a stale view.
        start = AttemptStart("plain", "a", started_s=10.0, view_age_s=0.9)
        attempt = end_attempt(start, "200", now_s=10.0625)
        self.assertEqual(str(attempt), "plain:a:200:62:900")


if __name__ == "__main__":
    unittest.main()
