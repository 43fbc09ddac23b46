"""Reading of datagrams, with the earliest time at which each may have arrived."""

from dataclasses import dataclass

from gevent import socket

from persimmonyoke.internal.gateway.clocks import boot_time_s

DATAGRAM_BUFFER_BYTES = 8_192

Address = tuple[str, int]
"""Address of a socket, as the socket calls return and take it."""


@dataclass(frozen=True)
class ReceivedDatagram:
    """Hold a datagram that arrived after a boot time, and may have been queued since.

    A host that was suspended or stopped reads old ones when it goes on.
    """

    raw: bytes
    sender: Address
    after_boot_s: float


class DatagramInbox:
    """Read the datagrams of a socket without waiting."""

    def __init__(self, sock: socket.socket) -> None:
        # The underlying socket does not block; gevent's wrapper would wait.
        self._socket = sock._sock
        self._drained_boot_s = boot_time_s()

    def next(self) -> ReceivedDatagram | None:
        """Return the next datagram that has arrived, or ``None``."""
        asked_boot_s = boot_time_s()
        try:
            raw, sender = self._socket.recvfrom(DATAGRAM_BUFFER_BYTES)
        except BlockingIOError:
            self._drained_boot_s = asked_boot_s
            return None
        return ReceivedDatagram(raw, sender, self._drained_boot_s)
