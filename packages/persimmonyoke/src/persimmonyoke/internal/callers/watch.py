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

    The socket is watched by the event loop, so that a caller that leaves is noticed
    although nothing is written to it.
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
        # A caller that sends its next request early makes the socket readable for
        # good; watching on would spin the event loop.
        self._stop()
        if self._is_disconnected():
            self._greenlet.throw(CallerGone())

    def _is_disconnected(self) -> bool:
        poll = _poll()
        poll.register(self._descriptor, _DISCONNECT_EVENTS)
        return bool(poll.poll(0))
