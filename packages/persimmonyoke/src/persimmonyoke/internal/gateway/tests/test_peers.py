"""Test how datagrams of peers are received."""

import unittest

import gevent
from gevent import socket

from persimmonyoke.internal.dispatch.loads import ReplicaWork
from persimmonyoke.internal.gateway.peer_messages import encode_message
from persimmonyoke.internal.gateway.peers import MAX_RECEIVED_AT_ONCE, PeerLink
from persimmonyoke_testing.builders_gateway import gateway_state, peer_message

SENT = 200


class ReceiveTest(unittest.TestCase):
    def setUp(self):
        self.state = gateway_state(log=[])
        self.pumped = 0
        self.state.on_peer_work = self.count_pump
        self.link = PeerLink(self.state)
        self.address = ("127.0.0.1", self.link.start("127.0.0.1", 0))
        self.addCleanup(self.link.stop)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)

    def count_pump(self):
        self.pumped += 1

    def send(self, number):
        work = {f"replica-{number}": ReplicaWork(0.0, running=1)}
        message = peer_message(f"host-{number + 2}", work=work)
        self.sender.sendto(encode_message(message), self.address)

    def heard(self):
        totals = (
            self.state.ledger.total(f"replica-{number}", now_s=0.0)
            for number in range(SENT)
        )
        return sum(total.running for total in totals)

    def wait_until_all_are_heard(self):
        with gevent.Timeout(5):
            while self.heard() < SENT:
                gevent.sleep(0.01)

    def test_datagrams_that_arrive_together_wake_the_host_once(self):
        # One wake-up and one look at the queue for each datagram took a day of the
        # largest deployment past its processor time.
        for number in range(SENT):
            self.send(number)
        self.wait_until_all_are_heard()
        self.assertLessEqual(self.pumped, SENT // MAX_RECEIVED_AT_ONCE + 2)

    def test_datagrams_after_a_silence_are_heard(self):
        # A reader that has found nothing must wake up again.
        self.send(0)
        gevent.sleep(0.1)
        for number in range(1, SENT):
            self.send(number)
        self.wait_until_all_are_heard()

    def test_other_tasks_run_while_datagrams_keep_arriving(self):
        # A flood of datagrams must not keep requests from being served.
        for number in range(SENT):
            self.send(number)
        gevent.sleep(0)
        gevent.sleep(0)
        self.assertLess(self.heard(), SENT)
        self.wait_until_all_are_heard()


if __name__ == "__main__":
    unittest.main()
