"""Test that bodies in many small chunks are assembled within the limits."""

import unittest

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.fleet.model import ClientLimits
from persimmonyoke.internal.gateway.held_memory import HeldMemory
from persimmonyoke.internal.gateway.requests import RequestParser

MAX_BODY_BYTES = 1_000
LIMITS = ClientLimits(4_096, MAX_BODY_BYTES, 5.0, 30.0)
END = b"0\r\n\r\n"


def chunked(body):
    """Return a request whose body comes in chunks of one byte, without its end."""
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"1\r\n%c\r\n" % byte for byte in body)


class ChunkedBodyTest(unittest.TestCase):
    """The parts of a body are joined once for each block of input."""

    def setUp(self):
        self.memory = HeldMemory()
        self.parser = RequestParser(LIMITS, self.memory)

    def test_the_bodies_of_pipelined_requests_stay_apart(self):
        data = b"".join(chunked(body) + END for body in (b"first", b"second", b""))
        for size in (1, 7, len(data)):
            with self.subTest(size=size):
                parser = RequestParser(LIMITS)
                for start in range(0, len(data), size):
                    parser.feed(data[start : start + size])
                bodies = [parser.next_request().body for _ in range(3)]
                self.assertEqual(bodies, [b"first", b"second", b""])

    def test_a_body_is_counted_while_it_is_received(self):
        self.parser.feed(chunked(b"x" * 100))
        self.assertEqual(self.memory.held_bytes, 100)
        self.parser.release()
        self.assertEqual(self.memory.held_bytes, 0)

    def test_a_body_of_the_largest_size_is_accepted(self):
        self.parser.feed(chunked(b"x" * MAX_BODY_BYTES) + END)
        self.assertEqual(len(self.parser.next_request().body), MAX_BODY_BYTES)

    def test_a_body_over_the_limit_is_rejected_with_and_without_its_end(self):
        for end in (b"", END):
            with self.subTest(end=end):
                parser = RequestParser(LIMITS)
                with self.assertRaises(RequestError) as caught:
                    parser.feed(chunked(b"x" * (MAX_BODY_BYTES + 1)) + end)
                self.assertIs(caught.exception.kind, ErrorKind.BODY_TOO_LARGE)
                parser.release()

    def test_a_request_before_one_over_the_limit_is_served(self):
        self.parser.feed(chunked(b"a") + END + chunked(b"x" * (MAX_BODY_BYTES + 1)))
        self.assertEqual(self.parser.next_request().body, b"a")
        with self.assertRaises(RequestError):
            self.parser.next_request()


if __name__ == "__main__":
    unittest.main()
