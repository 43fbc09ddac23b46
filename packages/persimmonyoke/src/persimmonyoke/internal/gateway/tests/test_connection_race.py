"""Test which connection wins, and that none is left open."""

import unittest
from unittest.mock import create_autospec

import gevent

from persimmonyoke.internal.gateway.connection_race import ConnectionRace
from persimmonyoke.internal.gateway.connections import (
    NotConnected,
    UpstreamConnection,
)
from persimmonyoke.internal.gateway.tunnel_client import NoTunnel


class RaceTest(unittest.TestCase):
    def setUp(self):
        self.disposed = []
        self.race = ConnectionRace(self.disposed.append)

    def attempt(self, delay_s, error=None):
        """Start an attempt and return the connection that it opens."""
        connection = create_autospec(UpstreamConnection)

        def run():
            gevent.sleep(delay_s)
            if error is not None:
                raise error
            return connection

        self.race.start(run)
        return connection

    def test_the_first_connection_wins_and_a_late_one_is_disposed_of(self):
        late, early = self.attempt(0.06), self.attempt(0.01)
        self.assertIs(self.race.winner(1.0), early)
        self.race.end()
        gevent.sleep(0.1)
        self.assertEqual(self.disposed, [late])

    def test_connections_that_are_opened_after_the_time_are_disposed_of(self):
        # They stayed open until the process ended.
        late = self.attempt(0.05)
        self.assertIsNone(self.race.winner(0.01))
        self.race.end()
        gevent.sleep(0.1)
        self.assertEqual(self.disposed, [late])

    def test_two_connections_at_once_leave_none_open(self):
        first, second = self.attempt(0.0), self.attempt(0.0)
        gevent.sleep(0.02)
        self.assertIs(self.race.winner(1.0), first)
        self.race.end()
        self.assertEqual(self.disposed, [second])

    def test_failed_attempts_are_waited_for_no_longer_than_needed(self):
        direct, tunnel = NotConnected("refused"), NoTunnel("no peer")
        self.attempt(0.0, direct)
        self.attempt(0.01, tunnel)
        with gevent.Timeout(1.0):
            self.assertIsNone(self.race.winner(30.0))
        self.assertIs(self.race.direct_error, direct)
        self.assertIs(self.race.peer_error, tunnel)


if __name__ == "__main__":
    unittest.main()
