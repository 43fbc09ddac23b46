"""Tests of the JSON encoding of the engine protocol."""

import unittest

import orjson

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams import wire


class CacheEventsTest(unittest.TestCase):
    def decode(self, numbers, *, since, next_number):
        items = [{"number": n, "stored": True, "piece": "ab"} for n in numbers]
        body = {"events": items, "next_number": next_number, "gap": False}
        return wire.decode_cache_events(orjson.dumps(body), since=since)

    def test_a_missing_number_is_a_gap_even_if_the_engine_reports_none(self):
        # A lost eviction would leave a stale entry in the prefix index permanently.
        self.assertFalse(self.decode([3, 4], since=3, next_number=5).gap)
        self.assertTrue(self.decode([4], since=3, next_number=5).gap)
        self.assertTrue(self.decode([3], since=3, next_number=5).gap)

    def test_malformed_answers_are_protocol_errors(self):
        # A KeyError would be handled as an internal error, not as a failed poll.
        for data in (b"", b"[]", b"{}", b'{"events": [1], "next_number": 1}'):
            with self.assertRaises(ProtocolError):
                wire.decode_cache_events(data, since=0)
            with self.assertRaises(ProtocolError):
                wire.decode_state(data)
