"""Test that crowds of clients outside the limits end or hang no entry process.

Each test starts a process of its own. What is checked does not depend on the speed of
the machine.
"""

import itertools
import unittest

from persimmonyoke_testing.builders_crowds import BODY_BYTES, CrowdHost

MEMORY_MB = 256
"""Memory of a machine: half for received bodies, half for everything else."""

FEW_DESCRIPTORS = 300
RESERVED_DESCRIPTORS = 50
"""Descriptors for files, listeners and connections to other processes."""

OPERATOR_BODY_BYTES = 1_000_000
BLOCK_BYTES = 65_536
SEND_LIMIT_S = 60.0
CALLERS, OPERATORS = "callers", "operators"
PATHS = {CALLERS: "/v1/completions", OPERATORS: "/operators/changes"}


def head(port, *lines):
    """Return the head of a request without a key."""
    names = (f"POST {PATHS[port]} HTTP/1.1", "Host: host", *lines)
    return ("\r\n".join(names) + "\r\n\r\n").encode()


def chunked_head(port):
    """Return the head of a request whose body comes in chunks."""
    return head(port, "Transfer-Encoding: chunked")


def chunks(size_bytes, body_bytes):
    """Return a body in chunks of one size, without its end."""
    block = b"%x\r\n%b\r\n" % (size_bytes, b"c" * size_bytes)
    return block * (body_bytes // size_bytes)


def nothing(_number):
    """Send nothing."""
    yield from ()


class CrowdTest(unittest.TestCase):
    def host(self, *, descriptors=4_200):
        host = CrowdHost(descriptors=descriptors)
        self.addCleanup(host.stop)
        self.descriptors = descriptors
        return host

    def check(self, host):
        """Check what must hold however fast the machine is."""
        self.assertTrue(host.answers_caller(), "no ordinary caller was answered")
        self.assertTrue(host.answers_operator(), "no operator was answered")
        self.assertTrue(host.process.running, "the process has ended")
        self.assertLessEqual(host.peak_mb, MEMORY_MB)
        sockets = self.descriptors - RESERVED_DESCRIPTORS
        self.assertLessEqual(host.open_descriptors, sockets)

    def check_bodies_that_stop_short(self, port, size, body_bytes):
        host = self.host()

        def parts(_number):
            yield chunked_head(port)
            for _ in range(body_bytes // BLOCK_BYTES - 1):
                yield chunks(BLOCK_BYTES, BLOCK_BYTES)
            yield b"%x\r\n%b" % (BLOCK_BYTES, b"c" * (BLOCK_BYTES - 1))

        host.crowd(port, size, parts).wait_sent(SEND_LIMIT_S)
        self.check(host)

    def check_bodies_without_end(self, port, size, body_bytes, *lines):
        host = self.host()

        def parts(_number):
            yield head(port, *lines)
            for _ in range(4 * body_bytes // BLOCK_BYTES):
                yield chunks(BLOCK_BYTES, BLOCK_BYTES)

        host.crowd(port, size, parts, returns=True).wait_sent(SEND_LIMIT_S)
        self.check(host)

    def test_whole_bodies_of_idle_callers_stay_within_the_memory(self):
        # An idle connection kept the body of its last request.
        host = self.host()

        def parts(_number):
            yield head(CALLERS, f"Content-Length: {BODY_BYTES}")
            for _ in range(BODY_BYTES // BLOCK_BYTES):
                yield b"c" * BLOCK_BYTES

        host.crowd(CALLERS, 200, parts).wait_sent(SEND_LIMIT_S)
        self.check(host)

    def check_chunks_of_one_byte(self, port):
        host = self.host()

        def parts(_number):
            yield chunked_head(port)
            block = chunks(1, 10_000)
            for _ in itertools.count():
                yield block

        host.crowd(port, 60, parts, returns=True)
        self.check(host)

    def check_idle_connections(self, port):
        host = self.host(descriptors=FEW_DESCRIPTORS)
        host.crowd(port, 400, nothing, returns=True).wait_sent(SEND_LIMIT_S)
        self.check(host)

    def check_unread_answers(self, port, size, path):
        host = self.host(descriptors=FEW_DESCRIPTORS)
        request = f"GET {path} HTTP/1.1\r\nHost: host\r\n\r\n".encode()

        def parts(_number):
            for _ in itertools.count():
                yield request * max(1, BLOCK_BYTES // len(request))

        crowd = host.crowd(port, size, parts)
        with self.assertRaisesRegex(AssertionError, "could not send"):
            crowd.wait_sent(5.0)
        self.check(host)

    def test_chunked_bodies_of_callers_that_stop_short_stay_within_the_memory(self):
        # Nothing bounded the sum of the bodies that a host receives.
        self.check_bodies_that_stop_short(CALLERS, 200, BODY_BYTES)

    def test_chunked_bodies_of_operators_that_stop_short_stay_within_the_memory(self):
        # Each place of the operators' port may hold a body of the largest size.
        self.check_bodies_that_stop_short(OPERATORS, 200, OPERATOR_BODY_BYTES)

    def test_chunked_bodies_of_callers_without_end_stay_within_the_memory(self):
        # A refused body must not stay in memory while its client sends on.
        line = "Transfer-Encoding: chunked"
        self.check_bodies_without_end(CALLERS, 60, BODY_BYTES, line)

    def test_chunked_bodies_of_operators_without_end_do_not_hang_the_port(self):
        # A refused body must not stay in memory while its client sends on.
        line = "Transfer-Encoding: chunked"
        self.check_bodies_without_end(OPERATORS, 100, OPERATOR_BODY_BYTES, line)

    def test_bodies_of_callers_announced_over_the_limit_stay_within_the_memory(self):
        # A body that is announced over the limit must not be kept.
        line = "Content-Length: 10000000000"
        self.check_bodies_without_end(CALLERS, 60, BODY_BYTES, line)

    def test_bodies_of_operators_announced_over_the_limit_stay_within_the_memory(self):
        # A body that is announced over the limit must not be kept.
        line = "Content-Length: 10000000000"
        self.check_bodies_without_end(OPERATORS, 100, OPERATOR_BODY_BYTES, line)

    def test_chunks_of_one_byte_of_callers_do_not_hang_the_host(self):
        # Parsing them took all of the host's time, and nobody else was answered.
        self.check_chunks_of_one_byte(CALLERS)

    def test_chunks_of_one_byte_of_operators_do_not_hang_the_host(self):
        # Parsing them took all of the host's time, and nobody else was answered.
        self.check_chunks_of_one_byte(OPERATORS)

    def test_idle_connections_of_callers_do_not_use_up_the_descriptors(self):
        # The host accepted no other client until the idle limit had passed.
        self.check_idle_connections(CALLERS)

    def test_idle_connections_of_operators_do_not_use_up_the_places(self):
        # Silent clients must not hold all places of the operators' port.
        self.check_idle_connections(OPERATORS)

    def test_unread_answers_of_callers_do_not_hang_the_host(self):
        # Callers that read nothing must not keep their connections.
        self.check_unread_answers(CALLERS, 100, "/metrics")

    def test_unread_answers_of_operators_do_not_hang_the_port(self):
        # Nothing bounded the time of a write, and each place stayed taken.
        self.check_unread_answers(OPERATORS, 100, "/" + 4_000 * "x")


if __name__ == "__main__":
    unittest.main()
