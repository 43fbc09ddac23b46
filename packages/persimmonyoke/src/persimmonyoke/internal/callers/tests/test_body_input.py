"""Tests of the input stream of a body."""

import io
import unittest

import gevent

from persimmonyoke.internal.callers.body_input import BodyInput

LIMIT = 1_000_000


def receive(data, size=LIMIT, **framing):
    rfile = io.BufferedReader(io.BytesIO(data))
    return BodyInput(rfile, **{"length": 0, "chunked": True, **framing}).receive(size)


class BodyInputTest(unittest.TestCase):
    def test_chunked_bodies_are_joined_up_to_the_limit(self):
        # A body that is longer than the limit must not be received further.
        data = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\nnext"
        self.assertEqual(receive(data), b"abcde")
        self.assertEqual(receive(data, 4), b"abcd")
        self.assertEqual(receive(b"0\r\n\r\n"), b"")

    def test_a_body_with_a_length_ends_before_the_next_request(self):
        # The rest belongs to the next request of the connection.
        self.assertEqual(receive(b"abcdef", length=4, chunked=False), b"abcd")

    def test_malformed_and_incomplete_bodies_are_refused(self):
        # Two parsers that disagree on the end of a body allow request smuggling.
        for data in (
            b"",
            b"3\r\nab",
            b"3\r\nabcd\r\n0\r\n\r\n",
            b"3\nabc\r\n0\r\n\r\n",
            b"+3\r\nabc\r\n0\r\n\r\n",
            b"0x3\r\nabc\r\n0\r\n\r\n",
            b" 3\r\nabc\r\n0\r\n\r\n",
            b"-1\r\nabc\r\n0\r\n\r\n",
            b"\r\nabc\r\n0\r\n\r\n",
            b"00000000000000003\r\nabc\r\n0\r\n\r\n",
            b"3;" + b"x" * 9_000 + b"\r\nabc\r\n0\r\n\r\n",
            b"0\r\n: x\r\n\r\n",
            b"0\r\n" + b"a: b\r\n" * 9_000 + b"\r\n",
        ):
            with self.subTest(data[:30]), self.assertRaises(OSError):
                receive(data)
        with self.assertRaises(OSError):
            receive(b"abc", length=4, chunked=False)

    def test_receiving_lets_other_greenlets_run(self):
        # Input that is always there kept all other connections from being served.
        steps = []
        gevent.spawn(steps.append, "other")
        receive(b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\n")
        self.assertEqual(steps, ["other"])


if __name__ == "__main__":
    unittest.main()
