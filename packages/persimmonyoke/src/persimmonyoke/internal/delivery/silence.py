"""Interrupt a greenlet whose engine stream is idle or whose deadline has passed."""

from types import TracebackType

import gevent

from persimmonyoke.internal.awake_time import StallFreeClock
from persimmonyoke.internal.delivery.api import Clock


class StreamIdleTimeout(BaseException):
    """Report that no event arrived within the idle timeout."""


class DeadlineExceeded(BaseException):
    """Report that the deadline of the request passed while waiting for an event."""


class IdleWatchdog:
    """Throw ``StreamIdleTimeout`` or ``DeadlineExceeded`` into the waiting greenlet.

    One timer serves the stream and compares the time of the last event when it fires,
    because starting and stopping a timer for each event costs more than handling the
    event. The exception is thrown only while ``waiting`` is set, so that a slow caller
    is not mistaken for an idle engine. Idle time excludes stalls of this host: events
    that arrived during a stall have yet to be read.
    """

    __slots__ = (
        "_awake",
        "_clock",
        "_deadline_s",
        "_greenlet",
        "_last_event_s",
        "_timer",
        "idle_s",
        "waiting",
    )

    def __init__(
        self, clock: Clock, awake: StallFreeClock, *, idle_s: float, deadline_s: float
    ) -> None:
        self._clock = clock
        self._awake = awake
        self._deadline_s = deadline_s
        self._greenlet = gevent.getcurrent()
        self._timer = None
        self._last_event_s = 0.0
        self.idle_s = idle_s
        self.waiting = False

    def __enter__(self) -> "IdleWatchdog":
        self._awake.start()
        self.note_event()
        self._start(self._next_check_s())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.waiting = False
        self._stop()
        self._awake.stop()

    def note_event(self) -> None:
        """Restart the idle timeout."""
        self._last_event_s = self._awake.now_s()

    def set_idle(self, idle_s: float) -> None:
        """Replace the idle timeout and count it from the last event."""
        self.idle_s = idle_s
        self._stop()
        self._start(self._next_check_s())

    def _idle_elapsed_s(self) -> float:
        return self._awake.now_s() - self._last_event_s

    def _next_check_s(self) -> float:
        to_deadline_s = self._deadline_s - self._clock()
        return max(0.001, min(self.idle_s - self._idle_elapsed_s(), to_deadline_s))

    def _start(self, delay_s: float) -> None:
        self._timer = gevent.get_hub().loop.timer(delay_s)
        self._timer.start(self._check)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _check(self) -> None:
        self._stop()
        if not self.waiting:
            # The greenlet is busy with the caller; it checks the deadline itself.
            self._start(self.idle_s)
        elif self._clock() >= self._deadline_s:
            self._greenlet.throw(DeadlineExceeded())
        elif self._idle_elapsed_s() >= self.idle_s:
            self._greenlet.throw(StreamIdleTimeout())
        else:
            self._start(self._next_check_s())
