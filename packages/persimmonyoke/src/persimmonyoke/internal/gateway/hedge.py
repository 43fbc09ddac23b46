"""Decision when a call without an answer is given up for another replica."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from persimmonyoke.internal.gateway.connections import UpstreamConnection

LOOK_AGAIN_S = 0.1
"""Interval at which a call that waits for its replica looks for another one."""


class AnswerWait(ABC):
    """Decide how long a call that was sent waits for the head of its answer."""

    @abstractmethod
    def first_limit_s(self, sent_s: float, deadline_s: float) -> float:
        """Return until when a call waits at first."""

    @abstractmethod
    def wait_until_s(self, now_s: float) -> float | None:
        """Return how long to wait further, or ``None`` if the call is given up."""

    def keep(self, connection: UpstreamConnection) -> bool:
        """Return whether the connection of a call that was given up stays open."""
        return False


class Hedge(AnswerWait):
    """Keep a call waiting for its replica while it can't be sent to another one.

    ``try_spend`` counts a retry and returns whether the call may be sent again now.
    """

    def __init__(self, *, last_s: float, try_spend: Callable[[], bool]) -> None:
        self.retry_counted = False
        self.extended = False
        self.last_s = last_s
        self._try_spend = try_spend

    def first_limit_s(self, sent_s: float, deadline_s: float) -> float:
        """Return the deadline of the attempt."""
        return deadline_s

    def wait_until_s(self, now_s: float) -> float | None:
        """Return how long to wait further, or ``None`` if the call is given up."""
        if now_s >= self.last_s:
            return None
        self.retry_counted = self._try_spend()
        if self.retry_counted:
            return None
        self.extended = True
        return min(self.last_s, now_s + LOOK_AGAIN_S)
