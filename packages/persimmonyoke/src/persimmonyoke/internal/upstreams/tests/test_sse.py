"""Tests of the incremental stream decoders."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams.sse import ChunkDecoder, EventDecoder


class DecoderTest(unittest.TestCase):
    @given(
        texts=st.lists(st.binary(max_size=20).map(bytes.hex), max_size=8),
        chunk=st.integers(1, 40),
        part=st.integers(1, 50),
    )
    def test_events_survive_any_division_into_chunks_and_reads(
        self, texts, chunk, part
    ):
        # The network can split data at any byte, even inside a chunk-size line.
        events = [text.encode() for text in texts]
        body = b"".join(b"data: %b\n\n" % event for event in events)
        wire = b"".join(
            b"%x\r\n%b\r\n" % (len(body[i : i + chunk]), body[i : i + chunk])
            for i in range(0, len(body), chunk)
        )
        wire += b"0\r\n\r\n"
        chunks, decoder, found = ChunkDecoder(), EventDecoder(), []
        for i in range(0, len(wire), part):
            found += decoder.feed(chunks.feed(wire[i : i + part]))
        self.assertEqual(found, events)
        self.assertTrue(chunks.ended and decoder.complete)

    def test_comments_and_other_fields_are_not_data(self):
        # A keep-alive comment mistaken for an event would break the stream.
        block = b": ping\n\nid: 1\ndata: a\ndata:b\n\nevent: x\n\n"
        self.assertEqual(EventDecoder().feed(block), [b"a\nb"])

    def test_a_malformed_chunk_size_is_a_protocol_error(self):
        # A guessed length would deliver text from the middle of another event.
        with self.assertRaises(ProtocolError):
            ChunkDecoder().feed(b"zz\r\nabc\r\n")
