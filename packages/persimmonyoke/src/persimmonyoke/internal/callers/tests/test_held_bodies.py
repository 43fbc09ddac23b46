"""Tests of the bound of all bodies of a host."""

import unittest

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.callers.held_bodies import HeldBodies


class HeldBodiesTest(unittest.TestCase):
    def check_refused(self, step, *arguments):
        with self.assertRaises(RequestError) as caught:
            step(*arguments)
        self.assertEqual(caught.exception.kind, ErrorKind.OVERLOADED)

    def test_the_longest_body_in_transit_gives_its_room_to_a_shorter_one(self):
        # Clients that stop within large bodies must not keep small ones from a host.
        bodies = HeldBodies(100)
        large, small = bodies.open(), bodies.open()
        large.write(b"l" * 90)
        small.write(b"s" * 20)
        self.assertEqual(bodies.held_bytes, 20)
        self.check_refused(large.write, b"l")
        self.check_refused(large.finish)
        self.assertEqual(small.finish(), b"s" * 20)

    def test_a_body_that_would_be_the_longest_is_refused(self):
        # A large body must not displace bodies that are nearly complete.
        bodies = HeldBodies(100)
        first, second = bodies.open(), bodies.open()
        first.write(b"f" * 50)
        second.write(b"s" * 50)
        self.check_refused(second.write, b"s")
        self.assertEqual(first.finish(), b"f" * 50)

    def test_a_complete_body_keeps_its_room_until_it_is_closed(self):
        # The request that is served still needs it.
        bodies = HeldBodies(100)
        first, second = bodies.open(), bodies.open()
        first.write(b"f" * 90)
        first.finish()
        self.check_refused(second.write, b"s" * 20)
        first.close()
        first.close()
        self.assertEqual(bodies.held_bytes, 0)
        bodies.open().write(b"t" * 100)


if __name__ == "__main__":
    unittest.main()
