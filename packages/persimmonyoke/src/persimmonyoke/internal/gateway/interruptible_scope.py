"""Scope of calls that can be cancelled while their connection is being opened."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.upstream_call import CancelScope

OPENING_POLL_S = 0.02
"""Interval at which an opening looks whether its connection is still needed."""


class InterruptibleScope(CancelScope):
    """Cancel calls below the scope of a request, also while they are connecting.

    It shares the used connections of the request.
    """

    def __init__(self, request_scope: CancelScope) -> None:
        super().__init__()
        self.used_connections = request_scope.used_connections
        self.connection_ended = request_scope.connection_ended

    def raise_if_not_needed(self) -> None:
        """Raise why the connection is not needed any more, if it is not."""
        self.raise_if_cancelled()

    def connect(
        self, take_connection: Callable[[], UpstreamConnection]
    ) -> UpstreamConnection:
        """Return a connection; raise why it is not needed if that is known before."""
        outcome: AsyncResult = AsyncResult()
        gevent.spawn(_run, take_connection, outcome)
        try:
            while not outcome.ready():
                self.raise_if_not_needed()
                outcome.wait(OPENING_POLL_S)
        except BaseException:
            gevent.spawn(_close_late, outcome)
            raise
        return outcome.get()


def _run(
    take_connection: Callable[[], UpstreamConnection], outcome: AsyncResult
) -> None:
    try:
        outcome.set(take_connection())
    except Exception as error:
        # ``outcome.get`` raises it in the caller; uncaught, gevent would also print it.
        outcome.set_exception(error)


def _close_late(outcome: AsyncResult) -> None:
    """Close a connection that is opened too late; an error has been logged."""
    outcome.wait()
    if outcome.successful():
        outcome.value.close()
