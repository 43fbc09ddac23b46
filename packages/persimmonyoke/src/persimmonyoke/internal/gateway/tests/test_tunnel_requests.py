"""Test the format of requests for tunnels."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.gateway.transports import LAST_CHUNK, encode_chunk
from persimmonyoke.internal.gateway.tunnel_requests import (
    MAX_HEAD_BYTES,
    TunnelRequest,
    TunnelRequestParser,
    encode_tunnel_request,
)

REQUEST = TunnelRequest("10.0.0.1:8080", "key", "host-1/7")


class ParserTest(unittest.TestCase):
    @given(
        st.lists(st.binary(min_size=1, max_size=300), max_size=5), st.integers(1, 400)
    )
    def test_bytes_for_the_replica_arrive_whole_however_they_are_cut(self, parts, step):
        data = encode_tunnel_request(REQUEST) + b"".join(map(encode_chunk, parts))
        parser, received = TunnelRequestParser(), b""
        for first in range(0, len(data), step):
            parser.feed(data[first : first + step])
            received += parser.take_body()
        self.assertEqual(parser.request, REQUEST)
        self.assertEqual(received, b"".join(parts))
        self.assertFalse(parser.ended)
        parser.feed(LAST_CHUNK)
        self.assertTrue(parser.ended)

    @given(st.binary(max_size=600))
    def test_other_bytes_raise_only_a_protocol_error(self, data):
        # One unexpected error must not end the task that serves all tunnels.
        parser = TunnelRequestParser()
        try:
            parser.feed(data)
        except ProtocolError:
            return
        self.assertLessEqual(len(data), MAX_HEAD_BYTES)

    def test_an_endless_head_is_rejected(self):
        parser = TunnelRequestParser()
        parser.feed(b"POST /tunnels/a HTTP/1.1\r\nX: ")
        with self.assertRaises(ProtocolError):
            parser.feed(b"y" * MAX_HEAD_BYTES)

    def test_a_request_for_something_else_names_no_replica(self):
        parser = TunnelRequestParser()
        parser.feed(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(parser.request, TunnelRequest("", "", ""))


if __name__ == "__main__":
    unittest.main()
