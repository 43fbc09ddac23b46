"""Test what a host knows of later configurations that its peers have."""

import unittest

from persimmonyoke.internal.fleet.configuration_news import (
    MAX_VERSIONS,
    ConfigurationNews,
)

NOW_S = 100.0


class ConfigurationNewsTest(unittest.TestCase):
    def setUp(self):
        self.news = ConfigurationNews()

    def replaced_for_s(self, *, version=3, revision=20, after_s=0.0, heard_s=-1.0):
        return self.news.replaced_for_s(
            version, revision, heard_since_s=NOW_S + heard_s, now_s=NOW_S + after_s
        )

    def test_the_first_word_of_a_later_version_counts(self):
        # A storm of changes would otherwise keep a host at an old version for ever.
        self.assertTrue(self.news.note(5, 25, heard_s=NOW_S))
        self.assertFalse(self.news.note(5, 26, heard_s=NOW_S + 1.0))
        self.news.note(8, 30, heard_s=NOW_S + 2.0)
        self.assertEqual(self.replaced_for_s(after_s=2.0), 2.0)

    def test_versions_up_to_that_in_force_are_forgotten(self):
        self.news.note(5, 25, heard_s=NOW_S)
        self.news.note(8, 30, heard_s=NOW_S + 1.0)
        self.assertEqual(self.replaced_for_s(version=5, revision=25, after_s=2.0), 1.0)
        self.assertIsNone(self.replaced_for_s(version=8, revision=30, after_s=2.0))

    def test_a_view_as_new_as_that_of_the_peer_is_not_replaced(self):
        # A later version that can't be read must not keep a host from serving.
        self.news.note(5, 25, heard_s=NOW_S)
        self.news.note(5, 24, heard_s=NOW_S)
        self.assertIsNotNone(self.replaced_for_s(revision=23))
        self.assertIsNone(self.replaced_for_s(revision=24))

    def test_peers_that_are_not_heard_any_more_do_not_count(self):
        self.news.note(5, 25, heard_s=NOW_S)
        self.assertIsNone(self.replaced_for_s(after_s=3.0, heard_s=2.0))

    def test_a_flood_of_versions_is_bounded_and_keeps_the_first(self):
        for number in range(10 * MAX_VERSIONS):
            self.news.note(5 + number, 25 + number, heard_s=NOW_S + number)
        self.assertEqual(self.replaced_for_s(after_s=4.0), 4.0)


if __name__ == "__main__":
    unittest.main()
