"""Question to a silent engine for its start, asked beside the run that it holds."""

from collections.abc import Callable

import gevent

from persimmonyoke.internal.dispatch.engine_restarts import Incarnation
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import UpstreamConnection


class StartQuestion:
    """Ask an engine for its start until it answers, while its run has no answer.

    The engine told its start before the run, and a connection belongs to one
    incarnation. If it tells the same start after the run was sent over the connection,
    that incarnation holds the run, and no restart can write its answer.
    """

    def __init__(
        self,
        engine: Replica,
        connection: UpstreamConnection,
        ask: Callable[[], Incarnation],
    ) -> None:
        self._engine = engine
        self._connection = connection
        self._asking = gevent.spawn(ask)

    def concerns(self, engine: Replica, connection: UpstreamConnection) -> bool:
        """Return whether it is about the engine at the end of a connection."""
        return engine == self._engine and connection is self._connection

    def found(self, timeout_s: float) -> Incarnation:
        """Return what the engine told, after a wait, and ask no more."""
        self._asking.join(timeout_s)
        self.end()
        if not self._asking.dead or not isinstance(self._asking.value, Incarnation):
            return Incarnation.UNKNOWN
        return self._asking.value

    def end(self) -> None:
        """Ask no more."""
        self._asking.kill(block=False)
