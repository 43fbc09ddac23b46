"""Tests that simulators keep their ports reserved while they are down."""

import socket
import unittest

import gevent

from persimmonyoke_testing.engine import EngineStandIn
from persimmonyoke_testing.held_port import LOOPBACK
from persimmonyoke_testing.platform_standins import HostListStandIn
from persimmonyoke_testing.service import ServiceStandIn


class HeldPortTest(unittest.TestCase):
    def test_no_other_socket_takes_the_port_of_a_stand_in_that_is_down(self):
        # If another socket takes the port meanwhile, the restart fails with "address
        # already in use" and the run aborts.
        for name, standin in {
            "engine": EngineStandIn(),
            "service": ServiceStandIn(),
            "host list": HostListStandIn(),
        }.items():
            with self.subTest(name):
                standin.start()
                self.addCleanup(standin.stop)
                address = self.address(standin)
                standin.stop()
                with socket.socket() as other, self.assertRaises(OSError):
                    other.bind(address)
                with self.assertRaises(ConnectionRefusedError):
                    socket.create_connection(address)
                standin.start()
                socket.create_connection(address).close()

    def test_two_tasks_that_start_a_stand_in_at_once_start_it_once(self):
        # If a start blocks on a DNS lookup, a second task can begin its own start,
        # which fails and replaces the server of the first.
        for standin in (EngineStandIn(), ServiceStandIn()):
            with self.subTest(standin.name):
                self.addCleanup(standin.stop)
                tasks = [gevent.spawn(self.start_if_down, standin) for _ in range(2)]
                gevent.joinall(tasks, raise_error=True)
                self.assertTrue(standin.running)

    def start_if_down(self, standin):
        if not standin.running:
            standin.start()

    def address(self, standin):
        address = getattr(standin, "address", None) or standin.url
        return LOOPBACK, int(address.rpartition(":")[2])


if __name__ == "__main__":
    unittest.main()
