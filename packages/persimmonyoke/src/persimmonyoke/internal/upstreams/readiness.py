"""Wait for data of a stream without a timer and without a failing read."""

import gevent

READ_EVENTS = 1


class StreamReadiness:
    """Let the current greenlet wait until a descriptor is readable.

    One watcher serves a whole stream and stays started between events, since starting,
    stopping and a failing read for each event cost more than parsing the event. It has
    the lowest priority of the event loop: the events that a decode step emits for all
    streams of an engine are handled after new connections, requests and first tokens
    that became ready in the same iteration.
    """

    __slots__ = ("_hub", "_started", "_waiter", "_watcher")

    def __init__(self, descriptor: int) -> None:
        self._hub = gevent.get_hub()
        loop = self._hub.loop
        self._watcher = loop.io(descriptor, READ_EVENTS, priority=loop.MINPRI)
        self._started = False
        self._waiter: gevent.Greenlet | None = None

    def wait(self) -> None:
        """Return when the descriptor is readable; it may return early."""
        if not self._started:
            self._watcher.start(self._readable)
            self._started = True
        self._waiter = gevent.getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiter = None

    def close(self) -> None:
        """Release the watcher; must precede the close of the descriptor."""
        self._watcher.stop()
        self._watcher.close()

    def _readable(self) -> None:
        waiter = self._waiter
        if waiter is not None:
            waiter.switch()
            return
        # The greenlet is busy, for example with a slow caller. Watching on would spin
        # the event loop while the data stays unread.
        self._watcher.stop()
        self._started = False
