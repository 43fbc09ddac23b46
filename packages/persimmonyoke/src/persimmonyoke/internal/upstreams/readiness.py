"""Wait for stream data without a timer and without a read that would block."""

import gevent

READ_EVENTS = 1


class StreamReadiness:
    """Let the current greenlet wait until a descriptor is readable.

    One watcher serves a whole stream and stays active between events, since starting
    it, stopping it and a read that would block cost more for each event than parsing
    it. The watcher has the lowest priority of the event loop: the events that a decode
    step emits for all streams of an engine are handled after new connections, requests
    and first tokens that became ready in the same iteration.
    """

    __slots__ = ("_hub", "_started", "_waiter", "_watcher")

    def __init__(self, descriptor: int) -> None:
        self._hub = gevent.get_hub()
        loop = self._hub.loop
        self._watcher = loop.io(descriptor, READ_EVENTS, priority=loop.MINPRI)
        self._started = False
        self._waiter: gevent.Greenlet | None = None

    def wait(self) -> None:
        """Block until the descriptor is readable; spurious wake-ups are possible."""
        if not self._started:
            self._watcher.start(self._readable)
            self._started = True
        self._waiter = gevent.getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiter = None

    def close(self) -> None:
        """Release the watcher; call this before the descriptor is closed."""
        self._watcher.stop()
        self._watcher.close()

    def _readable(self) -> None:
        waiter = self._waiter
        if waiter is not None:
            waiter.switch()
            return
        # The greenlet is busy, for example with a slow caller. An active watcher would
        # make the event loop spin while the data stays unread.
        self._watcher.stop()
        self._started = False
