"""Clients that connect at once, send what a script says and stay."""

from collections.abc import Callable, Iterator

import gevent
from gevent import socket

from persimmonyoke_testing.held_port import LOOPBACK

CONNECT_TIMEOUT_S = 5.0
RECONNECT_S = 0.05
Parts = Callable[[int], Iterator[bytes]]
"""Return what a client of a crowd sends, by its number."""


class Crowd:
    """Keep a number of connections open, each of which sends its parts and stays.

    With ``returns`` a client that is disconnected connects again and sends its parts
    once more.
    """

    def __init__(
        self,
        port: int,
        size: int,
        parts: Parts,
        *,
        returns: bool = False,
    ) -> None:
        self._port = port
        self._parts = parts
        self._returns = returns
        self._sockets: dict[int, socket.socket] = {}
        self.sent = 0
        """Clients that have sent all of their parts, or were disconnected before."""

        self._tasks = [gevent.spawn(self._run, number) for number in range(size)]

    def wait_sent(self, timeout_s: float) -> None:
        """Wait until all clients have sent their parts; raise ``AssertionError``."""
        with gevent.Timeout(timeout_s, AssertionError("the crowd could not send")):
            while self.sent < len(self._tasks):
                gevent.sleep(0.02)

    def leave(self) -> None:
        """Close all connections."""
        gevent.killall(self._tasks)
        for sock in self._sockets.values():
            sock.close()

    def _run(self, number: int) -> None:
        is_first = True
        while is_first or self._returns:
            self._play(number)
            self.sent += is_first
            is_first = False
            if self._returns:
                self._wait_for_close(number)

    def _play(self, number: int) -> None:
        try:
            sock = self._connect(number)
            for part in self._parts(number):
                sock.sendall(part)
                gevent.sleep(0)
        except OSError:
            # The host may refuse or close any connection of the crowd.
            return

    def _connect(self, number: int) -> socket.socket:
        former = self._sockets.pop(number, None)
        if former is not None:
            former.close()
        sock = socket.socket()
        self._sockets[number] = sock
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect((LOOPBACK, self._port))
        sock.settimeout(None)
        return sock

    def _wait_for_close(self, number: int) -> None:
        """Discard what the host sends until it closes the connection."""
        try:
            while self._sockets[number].recv(65_536):
                continue
        except OSError:
            # A reset ends the connection as well.
            return
        gevent.sleep(RECONNECT_S)
