"""Tests of the encoding of store changes as datagrams."""

import random
import unittest

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.fleet.interfaces import ChangesRequest, RelayedChanges
from persimmonyoke.internal.gateway.change_parts import (
    CHANGES_REQUEST_FORMAT,
    MAX_PARTIAL_CHANGES,
    ChangesAssembler,
    ChangesPart,
    encode_changes,
    encode_changes_request,
)
from persimmonyoke.internal.gateway.digest_messages import MAX_DATAGRAM_BYTES
from persimmonyoke.internal.gateway.peer_messages import decode_datagram

NOW_S = 100.0


def changes(size, after_revision=7, seed=1):
    """Return changes that are almost incompressible."""
    return RelayedChanges(after_revision, random.Random(seed).randbytes(size))


def decode(datagrams):
    return [decode_datagram(data, now_s=NOW_S) for data in datagrams]


class ChangesTest(unittest.TestCase):
    def test_a_configuration_passes_in_several_datagrams_in_any_order(self):
        # A configuration of 29 routes does not fit into one datagram. If it cannot be
        # sent, every host that does not watch has to query the store at each change.
        sent = changes(9_000)
        datagrams = encode_changes(sent)
        self.assertGreater(len(datagrams), 6)
        self.assertLessEqual(max(map(len, datagrams)), MAX_DATAGRAM_BYTES)
        assembler = ChangesAssembler()
        random.Random(1).shuffle(datagrams)
        *early, last = decode(datagrams)
        for part in early:
            self.assertIsNone(assembler.add(part))
        self.assertEqual(assembler.add(last), sent)

    def test_the_same_parts_from_two_hosts_make_the_changes_once_each(self):
        sent = changes(3_000)
        assembler, parts = ChangesAssembler(), decode(encode_changes(sent))
        joined = [assembler.add(part) for part in [*parts, *parts]]
        self.assertEqual([c for c in joined if c is not None], [sent, sent])

    def test_parts_of_other_changes_after_the_same_revision_are_kept_apart(self):
        first, second = changes(3_000, seed=1), changes(3_000, seed=2)
        assembler = ChangesAssembler()
        mixed = zip(
            decode(encode_changes(first)), decode(encode_changes(second)), strict=True
        )
        joined = [assembler.add(part) for pair in mixed for part in pair]
        self.assertEqual([c for c in joined if c is not None], [first, second])

    def test_changes_with_lost_parts_are_evicted_for_later_ones(self):
        assembler = ChangesAssembler()
        for revision in range(MAX_PARTIAL_CHANGES + 5):
            assembler.add(decode(encode_changes(changes(3_000, revision)))[0])
        sent = changes(100, 99)
        (part,) = decode(encode_changes(sent))
        self.assertEqual(assembler.add(part), sent)

    def test_changes_are_no_newer_than_their_first_part(self):
        # A host that stood still reads parts that were sent long before.
        first, last = decode(encode_changes(changes(1_500)))
        assembler = ChangesAssembler()
        assembler.add(first, after_boot_s=50.0)
        joined = assembler.add(last, after_boot_s=90.0)
        self.assertEqual(joined.current_boot_s, 50.0)

    def test_changes_that_a_host_has_kept_confirm_no_view(self):
        # There may be later ones that this host does not know.
        kept = RelayedChanges(7, b"kept", is_recent=False)
        (part,) = decode(encode_changes(kept))
        joined = ChangesAssembler().add(part, after_boot_s=90.0)
        self.assertEqual(joined, kept)
        self.assertEqual(joined.current_boot_s, float("-inf"))

    def test_a_request_round_trip(self):
        request = ChangesRequest("host-2", 1 << 41, "key")
        decoded = decode_datagram(encode_changes_request(request), now_s=NOW_S)
        self.assertEqual(decoded, request)

    def test_malformed_requests_are_rejected(self):
        for values in ([], ["host-2"], ["host-2", "x", "key"], ["h", 1, "key", 4]):
            with self.subTest(values), self.assertRaises(ProtocolError):
                decode_datagram(
                    cbor2.dumps([CHANGES_REQUEST_FORMAT, *values]), now_s=NOW_S
                )

    def test_malformed_parts_are_rejected(self):
        for values in ([1, 2, 3, 3, b""], [1, 2, 0, 99, b""], [1, 2, 0, 1]):
            with self.subTest(values), self.assertRaises(ProtocolError):
                decode_datagram(cbor2.dumps([9, *values]), now_s=NOW_S)
        with self.assertRaises(ProtocolError):
            ChangesAssembler().add(ChangesPart(1, 5, 0, 1, b"no such checksum"))


if __name__ == "__main__":
    unittest.main()
