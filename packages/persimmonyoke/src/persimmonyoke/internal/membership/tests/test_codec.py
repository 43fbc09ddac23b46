"""Tests of the message codec against malformed and hostile input."""

import unittest
from dataclasses import fields, replace

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode, encode
from persimmonyoke.internal.membership.messages import (
    MESSAGE_TYPES,
    Claim,
    Digest,
    Heartbeat,
    HostBeat,
    Leaving,
    RevisionMessage,
)

HEARTBEAT = Heartbeat((HostBeat("a", "i1", 7, 3, False, 40), HostBeat("b", "i2", 9)))
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
FIELD_NAMES = sorted({f.name for kind in MESSAGE_TYPES.values() for f in fields(kind)})


def document(**changes):
    return cbor2.dumps({**cbor2.loads(encode(HEARTBEAT)), **changes})


class CodecTest(unittest.TestCase):
    def test_messages_keep_all_fields_over_encoding(self):
        # A lost field could, for example, make a leaving host look live again.
        for message in (
            HEARTBEAT,
            RevisionMessage(3, b"x" * 1000),
            Digest(1, 2, b"d"),
            Leaving("llm-1", "i4", "upstream"),
        ):
            self.assertEqual(decode(encode(message)), message)

    @given(st.binary(max_size=300))
    def test_random_bytes_never_raise_anything_but_protocol_error(self, data):
        # Any other exception would end the task that reads the link without closing it.
        self._decode_or_refuse(data)

    @given(
        st.sampled_from(sorted(MESSAGE_TYPES)),
        st.dictionaries(st.sampled_from(FIELD_NAMES), PLAIN),
    )
    def test_random_fields_never_raise_anything_but_protocol_error(self, kind, values):
        # Fields of the wrong type must not reach a handler.
        message = self._decode_or_refuse(cbor2.dumps({"v": 1, "t": kind, **values}))
        if message is not None:
            self.assertEqual(decode(encode(message)), message)

    def _decode_or_refuse(self, data):
        try:
            return decode(data)
        except ProtocolError:
            return None

    def test_malformed_messages_are_refused(self):
        cases = {
            "version": document(v=2),
            "type is no string": document(t=5),
            "bool for an integer": document(beats=[["a", "i", True, 0, False, 0]]),
            "negative number": document(beats=[["a", "i", -1, 0, False, 0]]),
            "short record": document(beats=[["a"]]),
            "long name": document(beats=[["a" * 200, "i", 1, 0, False, 0]]),
            "no map": cbor2.dumps([1]),
            "date tag": cbor2.dumps({"v": 1, "t": cbor2.CBORTag(0, "2026-01-01")}),
            "regular expression tag": cbor2.dumps(cbor2.CBORTag(35, "(a+)+")),
            "big number tag": cbor2.dumps({"v": 2**80, "t": "heartbeat"}),
            "deep nesting": b"\x81" * 100 + b"\x00",
            "missing field": cbor2.dumps({"v": 1, "t": "revision", "number": 1}),
            "cut off": encode(HEARTBEAT)[:-1],
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(ProtocolError):
                decode(data)

    def test_oversized_messages_are_refused_before_decoding(self):
        # An unauthenticated peer must not make the host decode large documents.
        data = encode(RevisionMessage(1, b"x" * 5000))
        with self.assertRaises(ProtocolError):
            decode(data, max_bytes=1024)

    def test_unknown_types_and_fields_are_ignored(self):
        # During a rolling replacement, newer hosts send types and fields that older
        # hosts do not know.
        self.assertIsNone(decode(document(t="from-a-newer-version")))
        self.assertEqual(decode(document(new_field=1)), HEARTBEAT)

    def test_own_messages_over_a_limit_are_not_sent(self):
        # The peer would close the link, and would do so again after each reconnect.
        with self.assertRaises(ProtocolError):
            encode(replace(Claim(b"12345678", b""), correlation_id=b"short"))
