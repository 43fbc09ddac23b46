"""Tests of the operators' server with a small application."""

import gc
import socket
import unittest
import weakref

from persimmonyoke.internal.node.operator_server import OperatorServer


class OperatorServerTest(unittest.TestCase):
    def setUp(self):
        self.bodies = []
        server = OperatorServer(
            ("127.0.0.1", 0), self.answer, receive_s=5.0, max_body_bytes=1_000
        )
        server.start()
        self.addCleanup(server.stop)
        self.address = server.address

    def answer(self, environ, start_response):
        self.bodies.append(weakref.ref(environ["wsgi.input"]))
        start_response("200 OK", [])
        return [b"done"]

    def test_a_body_is_freed_with_its_answer(self):
        # Large bodies stayed until the next collection of reference cycles.
        gc.disable()
        self.addCleanup(gc.enable)
        with socket.create_connection(self.address, timeout=5.0) as client:
            client.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
            )
            self.assertTrue(client.recv(1_000).startswith(b"HTTP/1.1 200"))
            self.assertEqual([body() for body in self.bodies], [None])


if __name__ == "__main__":
    unittest.main()
