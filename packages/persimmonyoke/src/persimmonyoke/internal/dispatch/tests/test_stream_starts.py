"""Test when new streams may begin by a record of software versions."""

import unittest

from persimmonyoke.internal.dispatch.stream_starts import (
    MAX_RECORD_AGE_S,
    MIN_AWAKE_S,
    RecordEvidence,
    StartBasis,
    start_basis,
)
from persimmonyoke.internal.dispatch.stream_versions import LIFE_MARGIN_S


class StartBasisTest(unittest.TestCase):
    """Streams began at a version that other hosts had replaced and forgotten."""

    def basis(self, **changes):
        """Return the basis of a host with an outdated record, and nothing else."""
        evidence = {
            "record_age_s": MAX_RECORD_AGE_S + 0.1,
            "store_connected": False,
            "most_hosts_without_store": False,
            "peer_knows_more": False,
            "one_version_known": False,
            "awake_s": MIN_AWAKE_S,
        }
        return start_basis(RecordEvidence(**{**evidence, **changes}))

    def test_a_record_that_was_the_latest_a_moment_ago_is_enough(self):
        self.assertIs(self.basis(record_age_s=MAX_RECORD_AGE_S), StartBasis.CURRENT)

    def test_other_hosts_remember_a_version_for_longer_than_streams_begin_at_it(self):
        # A stream that begins by an outdated record must end before it is forgotten.
        self.assertLess(MAX_RECORD_AGE_S, LIFE_MARGIN_S)

    def test_an_outdated_record_alone_begins_no_stream(self):
        self.assertIs(self.basis(), StartBasis.NONE)

    def test_no_record_is_replaced_while_most_hosts_are_without_the_store(self):
        basis = self.basis(most_hosts_without_store=True)
        self.assertIs(basis, StartBasis.NO_STORE)

    def test_a_host_that_is_alone_begins_streams_at_the_only_version(self):
        self.assertIs(self.basis(one_version_known=True), StartBasis.ONE_VERSION)

    def test_a_host_that_has_just_gone_on_is_not_taken_for_alone(self):
        # Its calls time out late and its peers seem silent, as it stood still itself.
        basis = self.basis(one_version_known=True, awake_s=MIN_AWAKE_S - 0.1)
        self.assertIs(basis, StartBasis.NONE)

    def test_a_store_or_a_peer_that_can_tell_the_record_is_asked_first(self):
        for known in ("store_connected", "peer_knows_more"):
            for basis in ("most_hosts_without_store", "one_version_known"):
                with self.subTest(known=known, basis=basis):
                    found = self.basis(**{known: True, basis: True})
                    self.assertIs(found, StartBasis.NONE)


if __name__ == "__main__":
    unittest.main()
