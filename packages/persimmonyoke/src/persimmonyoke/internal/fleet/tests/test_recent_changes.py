"""Test what a host keeps of its last changes for others."""

import unittest

from persimmonyoke.internal.fleet.interfaces import RelayedChanges, StoreChanges
from persimmonyoke.internal.fleet.recent_changes import (
    MAX_BYTES,
    MAX_CHANGES,
    RecentChanges,
)
from persimmonyoke.internal.fleet.store_revision import join_revision


def kept(after_revision, encoded):
    """Return changes that confirm no view, or an old one would seem current."""
    return RelayedChanges(after_revision, encoded, is_recent=False)


class RecentChangesTest(unittest.TestCase):
    def setUp(self):
        self.recent = RecentChanges()
        self.recent.note(10, 12, b"to 12")
        self.recent.note(12, 13, b"to 13")
        self.recent.note(13, 20, b"to 20")

    def encoded_after(self, revision):
        return [changes.encoded for changes in self.recent.after(revision)]

    def test_the_changes_after_a_revision_are_consecutive(self):
        first, second = self.recent.after(12)
        self.assertEqual(first, kept(12, b"to 13"))
        self.assertEqual(second, kept(13, b"to 20"))

    def test_changes_that_begin_before_the_revision_follow_it(self):
        # Hosts read changes in batches of different sizes.
        first, _ = self.recent.after(11)[:2]
        self.assertEqual(first, kept(11, b"to 12"))

    def test_nothing_is_given_unless_all_that_follows_is_known(self):
        # A host that applies changes after a gap keeps outdated entries for good.
        self.assertEqual(self.encoded_after(9), [])
        self.assertEqual(self.encoded_after(20), [])
        self.recent.note(25, 26, b"to 26")
        self.assertEqual(self.encoded_after(13), [])
        self.assertEqual(self.encoded_after(25), [b"to 26"])

    def test_an_answer_without_changes_is_not_kept(self):
        self.recent.note(20, 20, b"nothing")
        self.assertEqual(self.encoded_after(13), [b"to 20"])

    def test_what_is_kept_is_bounded_by_number_and_size(self):
        # A store that changes all the time would fill the memory of each host.
        for revision in range(20, 20 + 2 * MAX_CHANGES):
            self.recent.note(revision, revision + 1, b"x")
        newest = 20 + 2 * MAX_CHANGES
        self.assertEqual(len(self.recent.after(newest - MAX_CHANGES)), MAX_CHANGES)
        self.assertEqual(self.recent.after(newest - MAX_CHANGES - 1), [])
        self.recent.note(newest, newest + 1, b"x" * MAX_BYTES)
        self.assertEqual(len(self.recent.after(newest)), 1)
        self.assertEqual(self.recent.after(newest - 1), [])

    def test_entries_are_given_with_the_changes_after_them(self):
        self.recent.note_entries(StoreChanges((), 30, b"all"))
        self.recent.note(30, 31, b"to 31")
        given = self.recent.entries_after(12)
        self.assertEqual([c.encoded for c in given], [b"all", b"to 31"])
        self.assertEqual([c.after_revision for c in given], [12, 30])
        self.assertEqual(self.recent.after(12), [])
        self.assertEqual(self.recent.entries_after(30), [])

    def test_entries_of_another_era_or_before_a_gap_are_not_given(self):
        # A host would keep entries that were removed in between.
        self.recent.note_entries(StoreChanges((), join_revision(2, 30), b"all"))
        self.assertEqual(self.recent.entries_after(12), [])
        self.recent.note_entries(StoreChanges((), 30, b"all"))
        for number in range(30, 40 + MAX_CHANGES):
            self.recent.note(number, number + 1, b"one")
        self.assertEqual(self.recent.entries_after(12), [])
        self.recent.note_entries(StoreChanges((), 30, b"all"))
        self.recent.note(35, 36, b"after a gap")
        self.assertEqual(self.recent.entries_after(12), [])

    def test_entries_over_the_limit_are_not_kept(self):
        self.recent.note_entries(StoreChanges((), 30, b"x" * (MAX_BYTES + 1)))
        self.assertIsNone(self.recent.revision)


if __name__ == "__main__":
    unittest.main()
