"""Sending of large changes at the pace that this host's link bears."""

import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent

from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.fleet.send_budget import SendBudget

MAX_QUEUED = 4_096
"""Datagrams that wait; a host that misses dropped ones asks for the changes."""

SendTo = Callable[[HostEntry, bytes], None]


@dataclass(frozen=True)
class _Pending:
    """Hold a datagram and its receiver."""

    receiver: HostEntry
    data: bytes


class PacedSender:
    """Send datagrams in their order, at once while the budget has room."""

    def __init__(self, send_to: SendTo, budget: SendBudget) -> None:
        self._send_to = send_to
        self._budget = budget
        self._pending: deque[_Pending] = deque(maxlen=MAX_QUEUED)
        self._sending = False

    def send(self, receivers: Sequence[HostEntry], datagrams: Sequence[bytes]) -> None:
        """Send datagrams to one receiver after the other, later where necessary."""
        for receiver in receivers:
            self._pending.extend(_Pending(receiver, data) for data in datagrams)
        if self._sending:
            return
        self._send_while_room()
        if self._pending:
            self._sending = True
            gevent.spawn(self._send_rest)

    def _send_rest(self) -> None:
        try:
            while self._pending:
                gevent.sleep(self._budget.wait_s(time.monotonic()))
                self._send_while_room()
        finally:
            self._sending = False

    def _send_while_room(self) -> None:
        now_s = time.monotonic()
        while self._pending and self._budget.room_bytes(now_s) > 0.0:
            item = self._pending.popleft()
            self._send_to(item.receiver, item.data)
            self._budget.take(len(item.data), now_s)
