"""Simulated upstream that answers each connection with given bytes."""

import socket

from gevent.server import StreamServer

from persimmonyoke_testing.held_port import LOOPBACK, HeldPort

READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"


class RawAnswers:
    """Answer the request of each connection with ``answer`` and close it.

    With ``killed`` set, the process appears to be killed after the answer: connections
    are refused before that of the request is closed.
    """

    def __init__(self, answer: bytes = b"", *, killed: bool = False) -> None:
        self.answer = answer
        self.killed = killed
        self.requests = 0
        self._port = HeldPort()
        self._server: StreamServer | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self._port.address

    def start(self) -> None:
        """Accept connections."""
        self._server = StreamServer((LOOPBACK, self._port.number), self._handle)
        self._server.start()

    def stop(self) -> None:
        """Refuse connections."""
        server, self._server = self._server, None
        if server is not None:
            server.close()

    def _handle(self, connection: socket.socket, _: object) -> None:
        with connection:
            if not read_request(connection):
                return
            self.requests += 1
            connection.sendall(self.answer)
            if self.killed:
                self.stop()


def read_request(connection: socket.socket) -> bool:
    """Read a whole request, since closing with unread input would be a reset."""
    data = b""
    while HEAD_END not in data:
        block = connection.recv(READ_BYTES)
        if not block:
            return False
        data += block
    head, _, body = data.partition(HEAD_END)
    missing = _body_bytes(head) - len(body)
    while missing > 0:
        block = connection.recv(READ_BYTES)
        if not block:
            return False
        missing -= len(block)
    return True


def _body_bytes(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0
