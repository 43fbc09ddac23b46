"""Builders for tests of hosts whose process stalls and resumes."""

import time

from gevent import monkey, socket

from persimmonyoke.errors import ErrorKind
from persimmonyoke.internal.delivery.api import NoRoute, RouteChoice, RouteQuery
from persimmonyoke.internal.delivery.placement import EnginesDown
from persimmonyoke_testing.builders_delivery import FakeEngine, FakeFleet

stall = monkey.get_original("time", "sleep")
"""Block this process, including its event loop, for some seconds."""


def connect_blocking(address: tuple[str, int]) -> socket.socket:
    """Connect while blocking the event loop, so that no greenlet can accept yet."""
    blocking = monkey.get_original("socket", "socket")()
    blocking.connect(address)
    return socket.socket(fileno=blocking.detach())


class StallingFleet(FakeFleet):
    """Return no engine for some choices and simulate a 10 s stall of the host."""

    def __init__(self, engines: list[FakeEngine], *, down_choices: int) -> None:
        super().__init__(engines)
        self._down_choices = down_choices
        self.stalled_s = 0.0

    def clock(self) -> float:
        """Return the time, including the simulated stall."""
        return time.monotonic() + self.stalled_s

    def choose(self, query: RouteQuery, *, now_s: float) -> RouteChoice | NoRoute:
        if not self._down_choices:
            return super().choose(query, now_s=now_s)
        self._down_choices -= 1
        self.stalled_s = 10.0
        return EnginesDown(ErrorKind.UPSTREAM_UNAVAILABLE, "engines are down", 1.0)
