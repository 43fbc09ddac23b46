"""TCP relay that can partition or silence the connections through it."""

import socket

import gevent
from gevent.event import Event


class Relay:
    """Forward TCP connections to a target; drop their data on request."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open = Event()
        self._open.set()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._silenced: set[tuple[socket.socket, socket.socket]] = set()
        self._acceptor = gevent.spawn(self._accept)

    def partition(self) -> None:
        """Drop the data of open connections and hold new ones; close none of them."""
        self._open.clear()
        self.silence()

    def silence(self) -> None:
        """Drop all data on the connections that are open now; new ones work."""
        self._silenced |= self._pairs

    def heal(self) -> None:
        """Resume forwarding; close the connections whose data was dropped."""
        for pair in tuple(self._silenced):
            self._close(pair)
        self._silenced.clear()
        self._open.set()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._acceptor.kill()
        self._listener.close()
        for pair in tuple(self._pairs):
            self._close(pair)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            gevent.spawn(self._connect, client)

    def _connect(self, client: socket.socket) -> None:
        self._open.wait()
        try:
            server = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        pair = (client, server)
        self._pairs.add(pair)
        gevent.spawn(self._forward, pair, client, server)
        gevent.spawn(self._forward, pair, server, client)

    def _forward(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        target: socket.socket,
    ) -> None:
        try:
            while data := source.recv(65536):
                if pair not in self._silenced:
                    target.sendall(data)
        except OSError:
            pass
        if pair not in self._silenced:
            self._close(pair)

    def _close(self, pair: tuple[socket.socket, socket.socket]) -> None:
        self._pairs.discard(pair)
        for end in pair:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The peer has already closed the connection.
                pass
            end.close()
