"""Test when the pool's connections show which process a replica is."""

import unittest
from dataclasses import replace

from persimmonyoke.internal.fleet.model import Replica, Stage
from persimmonyoke.internal.gateway.connection_pool import ConnectionPool, Dialer
from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.transports import Transport

ENGINE = Replica(
    replica_id="e1",
    service="llm",
    host="127.0.0.1",
    port=1,
    availability_zone="zone-a",
    slots=1,
    draining=False,
    stage=Stage.DECODE,
    born_unix_ms=1,
    software_version="v1",
)


class EndingTransport(Transport):
    """Carry nothing, and end when the process at the other end does."""

    def __init__(self):
        self.ended = False

    def send(self, data, *, timeout_s):
        raise AssertionError("nothing is sent")

    def receive(self, *, timeout_s):
        return b""

    def set_user_timeout(self, user_timeout_ms):
        pass

    def has_input(self):
        return self.ended

    def has_bytes(self):
        return False

    def interrupt(self):
        pass

    def close(self, *, discard=False):
        self.ended = True


class EngineDialer(Dialer):
    """Open connections to a process that can end."""

    def __init__(self):
        self.trusted = True
        self._transports = []

    def open(self, replica, timeout_s, *, repeatable=False):
        self._transports.append(EndingTransport())
        return UpstreamConnection(replica, transport=self._transports[-1])

    def open_directly(self, replica, timeout_s):
        return self.open(replica, timeout_s)

    def trusts(self, connection):
        return self.trusted

    def end_process(self):
        for transport in self._transports:
            transport.ended = True


class KnownIncarnationTest(unittest.TestCase):
    """Streams began at engines that had started again at another version."""

    def setUp(self):
        self.dialer = EngineDialer()
        self.pool = ConnectionPool(self.dialer)

    def open(self, replica=ENGINE):
        return self.pool.open(replica, 1.0)

    def test_an_open_connection_alone_does_not_show_the_process(self):
        connection = self.open()
        self.assertFalse(self.pool.knows_incarnation(ENGINE))
        self.assertFalse(connection.incarnation_known)

    def test_connections_lead_to_the_process_that_has_told_its_start(self):
        connection = self.open()
        self.pool.note_incarnation(ENGINE)
        self.assertTrue(self.pool.knows_incarnation(ENGINE))
        self.assertTrue(connection.incarnation_known)

    def test_a_connection_beside_an_open_one_leads_to_the_same_process(self):
        # Otherwise each stream would ask its engine.
        former = self.open()
        self.pool.note_incarnation(ENGINE)
        connection = self.open()
        former.close()
        self.assertTrue(connection.incarnation_known)
        self.assertTrue(self.pool.knows_incarnation(ENGINE))

    def test_a_connection_after_the_end_of_the_others_may_lead_to_another(self):
        # The end of idle connections shows only when they are looked at.
        former = self.open()
        self.pool.note_incarnation(ENGINE)
        self.dialer.end_process()
        connection = self.open()
        self.assertFalse(connection.incarnation_known)
        self.assertFalse(self.pool.knows_incarnation(ENGINE))
        self.assertFalse(former.is_alive)

    def test_connections_over_links_that_may_be_cut_show_nothing(self):
        # The end of a process does not arrive over them.
        former = self.open()
        self.pool.note_incarnation(ENGINE)
        self.dialer.trusted = False
        self.assertFalse(self.open().incarnation_known)
        self.assertTrue(former.is_alive)

    def test_a_new_entry_is_another_process(self):
        former = self.open()
        self.pool.note_incarnation(ENGINE)
        started_again = replace(ENGINE, born_unix_ms=2)
        self.assertFalse(self.open(started_again).incarnation_known)
        self.assertTrue(former.is_alive)


if __name__ == "__main__":
    unittest.main()
