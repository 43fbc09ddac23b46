"""Tests of the choice of the connection that gives its place to a new one."""

import unittest
from dataclasses import dataclass

from persimmonyoke.internal.callers.connection_places import (
    Connection,
    ConnectionPlaces,
)

NOW_S = 100.0


@dataclass(eq=False)
class FakeConnection(Connection):
    """Record whether it was shut down."""

    busy: bool = False
    has_received: bool = True
    idle_since_s: float = NOW_S - 10.0
    is_shut_down: bool = False

    def shut_down(self) -> None:
        self.is_shut_down = True


class ConnectionPlacesTest(unittest.TestCase):
    def check(self, connections, closed):
        places = ConnectionPlaces(len(connections))
        for connection in connections:
            self.assertTrue(places.take(connection, NOW_S))
        new = FakeConnection()
        self.assertEqual(places.take(new, NOW_S), closed is not None)
        shut_down = [c for c in connections if c.is_shut_down]
        self.assertEqual(shut_down, [] if closed is None else [closed])
        self.assertLessEqual(len(places.taken), len(connections))

    def test_the_oldest_connection_that_has_sent_nothing_is_closed_first(self):
        # Silent clients must not keep others from a host.
        silent = FakeConnection(has_received=False, idle_since_s=NOW_S - 0.8)
        newer = FakeConnection(has_received=False, idle_since_s=NOW_S - 0.7)
        self.check([FakeConnection(), newer, silent, FakeConnection()], silent)

    def test_the_connection_that_was_idle_longest_is_closed_next(self):
        # An idle connection must not keep a new caller from a host.
        idle = FakeConnection(idle_since_s=NOW_S - 20.0)
        self.check([FakeConnection(), idle, FakeConnection(busy=True)], idle)

    def test_no_request_is_broken_off_for_a_new_connection(self):
        # A request may be in transit on a connection that became idle just now.
        recent = FakeConnection(idle_since_s=NOW_S - 0.9)
        new = FakeConnection(has_received=False, idle_since_s=NOW_S - 0.4)
        self.check([FakeConnection(busy=True), recent, new], None)


if __name__ == "__main__":
    unittest.main()
