"""Test that greenlets that read much let those that wait for input run."""

import time
import unittest
from unittest.mock import Mock

import gevent
from gevent import socket

from persimmonyoke.internal.fleet.model import ClientLimits
from persimmonyoke.internal.gateway.client_connection import ClientConnection
from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.held_memory import HeldMemory
from persimmonyoke.internal.gateway.transports import READ_BYTES, Transport
from persimmonyoke.internal.gateway.tunnel_requests import TunnelRequestParser
from persimmonyoke.internal.gateway.tunnel_server import _pass_to_peer, _Tunnel
from persimmonyoke.internal.gateway.yielding import yield_to_io
from persimmonyoke_testing.builders_fleet import engine

FLOODS = 6
ECHOES = 10
READS_PER_ECHO = 4 * FLOODS
"""An echo waits for input twice; each wait may span the end of a pass and another."""

MAX_READS = 20_000
"""Reads after which the answers end, so that a test that fails ends as well."""

MAX_CLIENT_READS = 500
REQUEST_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n"
)
LIMITS = ClientLimits(4_096, 1_000_000_000, 5.0, 30.0)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n"


class FloodingTransport(Transport):
    """Have input at all times, and count how often it is read."""

    def __init__(self, reads):
        self._reads = reads
        self._next = HEAD

    def receive(self, *, timeout_s):
        self._reads.append(self)
        if len(self._reads) > MAX_READS:
            return b""
        data, self._next = self._next, b"b" * READ_BYTES
        return data

    def send(self, data, *, timeout_s):
        """Accept everything."""

    def set_user_timeout(self, user_timeout_ms):
        """Have none."""

    def has_input(self):
        return True

    def has_bytes(self):
        return True

    def interrupt(self):
        """Have no reader that waits."""

    def close(self, *, discard=False):
        """Hold nothing."""


class FloodingSocket:
    """Have input of a client at all times, and count how often it is read."""

    def __init__(self, reads):
        self._reads = reads
        self._next = REQUEST_HEAD

    def settimeout(self, _timeout_s):
        """Accept any time limit."""

    def recv(self, size_bytes):
        """Return the next part of a body without end."""
        self._reads.append(self)
        if len(self._reads) > MAX_CLIENT_READS:
            return b""
        data, self._next = self._next, b"b" * size_bytes
        return data


def read_on(connection):
    connection.read_head(timeout_s=5.0)
    while connection.read_part(timeout_s=5.0):
        continue


def echo(sock):
    while data := sock.recv(1):
        sock.sendall(data)


class YieldTest(unittest.TestCase):
    def check(self, flood):
        """Count the reads of floods of replicas until other input is read."""
        self.check_floods(lambda reads: flood(FloodingTransport(reads)))

    def check_floods(self, flood):
        """Count the reads of floods until other input is read."""
        reads = []
        tasks = [gevent.spawn(flood, reads) for _ in range(FLOODS)]
        near, far = socket.socketpair()
        tasks.append(gevent.spawn(echo, far))
        for _ in range(ECHOES):
            before = len(reads)
            near.sendall(b"x")
            near.recv(1)
            self.assertLessEqual(len(reads) - before, READS_PER_ECHO)
        gevent.killall(tasks)
        near.close()
        far.close()

    def test_answers_without_end_are_read_once_for_each_look_at_other_input(self):
        # Guards against another request that waits for 50 reads of each input.
        self.check(
            lambda transport: read_on(
                UpstreamConnection(engine("r"), transport=transport)
            )
        )

    def test_a_tunnel_that_carries_an_answer_without_end_lets_other_input_be_read(self):
        # Guards against a host that serves nothing while a replica sends and a peer
        # reads without a pause.
        self.check(
            lambda transport: _pass_to_peer(
                _Tunnel(
                    request=Mock(),
                    replica=engine("r"),
                    peer_sock=Mock(),
                    transport=transport,
                    parser=TunnelRequestParser(),
                    opened_s=0.0,
                    on_answer=Mock(),
                    is_refused=Mock(),
                )
            )
        )

    def test_a_client_that_sends_without_a_pause_lets_other_input_be_read(self):
        # Guards against a host that serves nothing while a few clients send fast.
        self.check_floods(
            lambda reads: ClientConnection(
                FloodingSocket(reads), lambda: LIMITS, HeldMemory()
            ).next_request()
        )

    def test_a_yield_does_not_wait_for_input(self):
        started_s = time.monotonic()
        gevent.spawn(gevent.sleep, 1.0)
        for _ in range(10):
            yield_to_io()
        self.assertLess(time.monotonic() - started_s, 0.5)

    def test_a_greenlet_that_is_killed_while_it_yields_leaves_no_watcher(self):
        def yield_on():
            while True:
                yield_to_io()

        task = gevent.spawn(yield_on)
        gevent.sleep(0.01)
        task.kill()
        before_s = time.thread_time()
        gevent.sleep(0.3)
        self.assertLess(time.thread_time() - before_s, 0.1)


if __name__ == "__main__":
    unittest.main()
