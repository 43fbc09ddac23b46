"""Tests of the datagrams with suspect notices, and of request digests."""

import time
import unittest

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.suspect_types import SuspectNotice
from persimmonyoke.internal.gateway.digest_messages import MAX_DATAGRAM_BYTES
from persimmonyoke.internal.gateway.peer_messages import decode_datagram
from persimmonyoke.internal.gateway.requests import ClientRequest
from persimmonyoke.internal.gateway.suspect_messages import (
    SUSPECTS_FORMAT,
    encode_suspects,
)

LONG_BODY_BYTES = 100_000
"""The largest body in the users' specification."""

LONG_DIGEST_LIMIT_S = 0.002
"""A tenth of the duration of the shortest call in the specification."""


def notice(number=1, **changes):
    values = {
        "digest": number.to_bytes(16, "big"),
        "host": "host-1",
        "crashes": frozenset({"i-db84e0bd50@1700000000001"}),
        "quarantine_left_s": 12.5,
        "isolated_on": "i-db84e0bd50",
        "isolation_left_s": 0.75,
        "number": number,
    }
    return SuspectNotice(**{**values, **changes})


class SuspectMessageTest(unittest.TestCase):
    def test_notices_arrive_as_they_were_sent(self):
        sent = [notice(1), notice(2, cleared=True, isolated_on=None)]
        (datagram,) = encode_suspects(sent)
        self.assertEqual(decode_datagram(datagram, now_s=0.0).notices, tuple(sent))

    def test_many_notices_are_sent_in_datagrams_that_are_not_fragmented(self):
        sent = [notice(number) for number in range(200)]
        datagrams = encode_suspects(sent)
        self.assertTrue(all(len(raw) <= MAX_DATAGRAM_BYTES for raw in datagrams))
        received = [n for d in datagrams for n in decode_datagram(d, now_s=0.0).notices]
        self.assertEqual(received, sent)

    def test_malformed_notices_are_rejected(self):
        # Any other exception would end the task that receives datagrams.
        for values in ([], [1], [[b"\xff"]], [[cbor2.dumps([1, 2])]], [["x"]]):
            with self.subTest(values), self.assertRaises(ProtocolError):
                decode_datagram(cbor2.dumps([SUSPECTS_FORMAT, *values]), now_s=0.0)


class ContentDigestTest(unittest.TestCase):
    def request(self, **changes):
        headers = {
            b"Host": b"a.example",
            b"Request-Id": b"r1",
            b"Deadline-Ms": b"900",
            **changes.pop("headers", {}),
        }
        values = {
            "method": b"POST",
            "target": b"/x/1",
            "headers": tuple(headers.items()),
            "body": b"hello",
            "keep_alive": True,
        }
        return ClientRequest(**{**values, **changes}).content_digest

    def test_retries_of_a_request_have_the_same_digest(self):
        first = self.request()
        for headers in (
            {b"Request-Id": b"r2"},
            {b"Deadline-Ms": b"700"},
            {b"Last-Event-Id": b"3"},
            {b"Connection": b"close"},
        ):
            self.assertEqual(self.request(headers=headers), first)
        self.assertEqual(self.request(keep_alive=False), first)

    def test_requests_with_another_path_caller_or_body_have_other_digests(self):
        # Otherwise one caller's crashing request quarantines requests of others.
        digests = [
            self.request(),
            self.request(target=b"/x/2"),
            self.request(target=b"/x/1?page=2"),
            self.request(body=b"hello!"),
            self.request(method=b"PUT"),
            self.request(headers={b"Host": b"b.example"}),
            self.request(headers={b"Authorization": b"Bearer a"}),
            self.request(target=b"/x/1h", body=b"ello"),
        ]
        self.assertEqual(len(set(digests)), len(digests))

    def test_digest_of_a_long_prompt_is_cheap(self):
        body = b"x" * LONG_BODY_BYTES
        took_s = []
        for _ in range(5):
            started_s = time.perf_counter()
            self.request(body=body)
            took_s.append(time.perf_counter() - started_s)
        self.assertLess(min(took_s), LONG_DIGEST_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
