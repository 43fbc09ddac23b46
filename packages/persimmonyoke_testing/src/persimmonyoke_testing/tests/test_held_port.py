"""Tests that stand-ins keep their ports while they are down."""

import socket
import unittest

from persimmonyoke_testing.engine import EngineStandIn
from persimmonyoke_testing.held_port import LOOPBACK
from persimmonyoke_testing.platform_standins import HostListStandIn
from persimmonyoke_testing.service import ServiceStandIn


class HeldPortTest(unittest.TestCase):
    def test_no_other_socket_takes_the_port_of_a_stand_in_that_is_down(self):
        # Its next start failed with "address already in use", and the run broke off.
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

    def address(self, standin):
        place = getattr(standin, "address", None) or standin.url
        return LOOPBACK, int(place.rpartition(":")[2])


if __name__ == "__main__":
    unittest.main()
