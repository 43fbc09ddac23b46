"""Decision when a call without an answer is given up for another replica."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.former_call import CallResumed, FormerCall

LOOK_AGAIN_S = 0.1
"""Interval at which a call that waits for its replica looks for another one."""

MAX_OVERLAP_S = 0.2
"""Time in which two replicas may hold a request; a replica rejects one at once.

Beyond 0.4 s a request would count as run twice.
"""


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

    ``try_spend`` counts a retry and returns whether the call may be sent again now. The
    former call stays open while the replica of this one may reject it at once.
    """

    def __init__(
        self,
        *,
        last_s: float,
        try_spend: Callable[[], bool],
        former: FormerCall | None = None,
    ) -> None:
        self.retry_counted = False
        self.extended = False
        self.last_s = last_s
        self._try_spend = try_spend
        self._former = former or FormerCall()
        self._deadline_s = 0.0

    def first_limit_s(self, sent_s: float, deadline_s: float) -> float:
        """Return the deadline of the attempt, or when the former call is closed."""
        self._deadline_s = deadline_s
        if self._former.is_open:
            return min(deadline_s, sent_s + MAX_OVERLAP_S)
        return deadline_s

    def wait_until_s(self, now_s: float) -> float | None:
        """Return how long to wait further, or ``None`` if the call is given up.

        Raises ``CallResumed`` if the former call is answered.
        """
        if self._former.goes_on:
            raise CallResumed("former replica answers")
        self._former.close()
        if now_s >= self.last_s:
            return None
        if now_s < self._deadline_s:
            return self._deadline_s
        self.retry_counted = self._try_spend()
        if self.retry_counted:
            return None
        self.extended = True
        return min(self.last_s, now_s + LOOK_AGAIN_S)

    def keep(self, connection: UpstreamConnection) -> bool:
        """Hold the call open while the next replica may reject it."""
        if self.retry_counted:
            self._former.hold(connection)
        return self.retry_counted
