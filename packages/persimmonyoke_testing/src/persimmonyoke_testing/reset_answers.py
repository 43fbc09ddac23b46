"""Simulated upstream that answers a call early and resets its connection."""

import socket
import struct

import gevent
from gevent.server import StreamServer

from persimmonyoke_testing.held_port import LOOPBACK, HeldPort

RECEIVE_BUFFER_BYTES = 65_536
LINGER_WITH_RESET = struct.pack("ii", 1, 0)


class ResetAnswers:
    """Answer the start of each request, and reset the connection after a pause."""

    def __init__(self, answer: bytes, *, pause_s: float) -> None:
        self.answer = answer
        self.pause_s = pause_s
        self.resets = 0
        self._port = HeldPort()
        self._server = StreamServer((LOOPBACK, self._port.number), self._handle)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self._port.address

    def start(self) -> None:
        """Accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Refuse connections."""
        self._server.stop(timeout=0)

    def _handle(self, connection: socket.socket, _: object) -> None:
        with connection:
            connection.recv(RECEIVE_BUFFER_BYTES)
            connection.sendall(self.answer)
            gevent.sleep(self.pause_s)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_WITH_RESET
            )
        self.resets += 1
