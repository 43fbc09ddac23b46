"""Test the detection of outages from a host's contact with the store."""

import unittest

from persimmonyoke.internal.fleet.store_contact import OUTAGE_S, StoreContact

STARTED_S = 100.0


def contact(*answers_s):
    """Return the contact of a host started at ``STARTED_S``, with these answers."""
    result = StoreContact(STARTED_S)
    for now_s in answers_s:
        result.note_answer(now_s)
    return result


class StoreContactTest(unittest.TestCase):
    def test_a_silence_of_the_store_is_an_outage_until_its_next_answer(self):
        silent = contact(100.1, 101.3, 107.0)
        self.assertEqual(silent.outage_ended_s, 107.0)
        self.assertEqual(silent.continuous_contact_s(107.5), 0.5)

    def test_answers_in_short_intervals_are_no_outage(self):
        steady = contact(100.5, 101.5, 102.5)
        self.assertEqual(steady.outage_ended_s, float("-inf"))
        self.assertEqual(steady.continuous_contact_s(103.0), 2.5)

    def test_a_host_that_starts_takes_no_outage_for_granted(self):
        # Otherwise entries removed in the first seconds of a process stayed in use.
        self.assertEqual(contact(100.3).outage_ended_s, float("-inf"))

    def test_a_host_that_waits_for_the_store_since_its_start_has_seen_an_outage(self):
        self.assertEqual(contact(105.0).outage_ended_s, 105.0)

    def test_a_host_out_of_contact_claims_nothing(self):
        # Peers would take an outage that has just begun for a fault of their own link.
        self.assertIsNone(contact().continuous_contact_s(100.1))
        self.assertIsNone(
            contact(100.1, 101.0).continuous_contact_s(101.0 + OUTAGE_S + 0.1)
        )


if __name__ == "__main__":
    unittest.main()
