"""Detection of callers that close the connection while an answer is prepared."""

import select
from types import TracebackType

import gevent
from gevent import monkey

from persimmonyoke.internal.delivery.api import CallerGone

READ_EVENTS = 1
_poll = monkey.get_original("select", "poll")
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class DisconnectWatcher:
    """Throw ``CallerGone`` into the current greenlet when its caller disconnects.

    The event loop watches the socket, so that a disconnect is noticed even while
    nothing is written to it.
    """

    def __init__(self, descriptor: int | None) -> None:
        self._descriptor = descriptor
        self._greenlet = gevent.getcurrent()
        self._watcher = None

    def __enter__(self) -> "DisconnectWatcher":
        if self._descriptor is not None:
            loop = gevent.get_hub().loop
            self._watcher = loop.io(self._descriptor, READ_EVENTS)
            self._watcher.start(self._readable)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop()

    def _stop(self) -> None:
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _readable(self) -> None:
        # A pipelined request keeps the socket readable, so the event loop would spin
        # if the watcher stayed active.
        self._stop()
        if self._is_disconnected():
            self._greenlet.throw(CallerGone())

    def _is_disconnected(self) -> bool:
        poll = _poll()
        poll.register(self._descriptor, _DISCONNECT_EVENTS)
        return bool(poll.poll(0))
