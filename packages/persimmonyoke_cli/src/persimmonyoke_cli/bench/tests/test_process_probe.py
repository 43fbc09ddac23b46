"""Tests of the probes of child processes."""

import os
import socket
import unittest

from persimmonyoke_cli.bench.process_probe import TcpBytes, cpu_s, pss_mb


class ProcessProbeTest(unittest.TestCase):
    def test_bytes_of_a_connection_count_in_both_ways(self):
        """Guards against a control-plane cost that omits one traffic direction."""
        listener = socket.create_server(("127.0.0.1", 0))
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        probe = TcpBytes(os.getpid())
        before = probe.update()
        client.sendall(b"x" * 10_000)
        received = 0
        while received < 10_000:
            received += len(server.recv(10_000))
        after = probe.update()
        probe.close()
        for sock in (listener, client, server):
            sock.close()
        self.assertAlmostEqual(after[0] - before[0], 10_000, delta=10)
        self.assertAlmostEqual(after[1] - before[1], 10_000, delta=10)

    def test_processor_time_and_memory_of_a_process_are_above_zero(self):
        """Guards against a target that is met because nothing was measured."""
        self.assertGreater(cpu_s(os.getpid()), 0)
        self.assertGreater(pss_mb(os.getpid()), 1)
