"""Handover of a silent stream, which keeps its engine until the next one accepts."""

from collections.abc import Callable

from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.hedge import AnswerWait
from persimmonyoke.internal.gateway.interruptible_scope import InterruptibleScope
from persimmonyoke.internal.gateway.upstream_call import CancelScope

MAX_OVERLAP_S = 0.2
"""Time in which two engines may hold a stream; an engine rejects a run at once.

Beyond 0.4 s a stream would count as run twice, and reading a rejection may take 0.2 s.
"""


class EngineResumed(Exception):
    """Signal that a silent engine goes on with its stream."""


class Handover(AnswerWait):
    """Keep the silent connection while the next engine may still reject the run.

    ``on_late`` is called when the silent engine is left for one without an answer.
    """

    def __init__(
        self,
        silent: UpstreamConnection,
        *,
        deadline_s: float,
        on_late: Callable[[], None],
    ) -> None:
        self._silent = silent
        self._deadline_s = deadline_s
        self._on_late = on_late
        self.has_left = False
        """Whether the silent engine was left before the next one answered."""

        self.has_given_up = False
        """Whether the run that was sent is given up, as the silent engine goes on."""

    def first_limit_s(self, sent_s: float, deadline_s: float) -> float:
        """Return until when both engines may hold the stream."""
        if self.has_left:
            return deadline_s
        return min(deadline_s, sent_s + MAX_OVERLAP_S)

    def leave(self) -> None:
        """Close the silent connection."""
        self.has_left = True
        self._silent.close()

    def wait_until_s(self, now_s: float) -> float | None:
        """Leave the silent engine; raise ``EngineResumed`` if it goes on."""
        if self.has_left:
            return None
        if self._silent.goes_on:
            self.has_given_up = True
            raise EngineResumed("engine goes on")
        self.leave()
        self._on_late()
        return self._deadline_s


class HandoverScope(InterruptibleScope):
    """Cancel the call to the next engine if the silent one goes on before."""

    def __init__(self, request_scope: CancelScope, silent: UpstreamConnection) -> None:
        super().__init__(request_scope)
        self._silent = silent

    def attach(self, connection: UpstreamConnection) -> None:
        """Register the connection; raise ``EngineResumed`` if it is not needed."""
        self.raise_if_not_needed()
        super().attach(connection)

    def raise_if_not_needed(self) -> None:
        """Raise ``EngineResumed`` if the silent engine goes on."""
        super().raise_if_not_needed()
        if not self._silent.is_closed and self._silent.goes_on:
            raise EngineResumed("engine goes on")
