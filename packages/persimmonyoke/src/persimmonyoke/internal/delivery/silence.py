"""Interrupt a greenlet whose engine stream is silent or whose deadline has passed."""

from types import TracebackType

import gevent

from persimmonyoke.internal.delivery.api import Clock

MAX_LATENESS_S = 0.1
"""Lateness of a check from which the event loop of this host was held up."""

CATCH_UP_S = 0.5
"""Time in which events that arrived meanwhile are read."""


class StreamSilent(BaseException):
    """Report that no event arrived within the idle timeout."""


class DeadlinePassed(BaseException):
    """Report that the deadline of the request passed while waiting for an event."""


class SilenceWatch:
    """Throw ``StreamSilent`` or ``DeadlinePassed`` into the greenlet that waits.

    One timer serves a whole stream: it compares the time of the last event when it
    fires, since starting and stopping a timer for each event costs more than the
    bookkeeping of the event itself. The exception is thrown only while ``waiting`` is
    set, so that a slow caller isn't taken for a silent engine. Time in which this host
    stood still is no silence of the engine either: its events may be waiting.
    """

    __slots__ = (
        "_clock",
        "_deadline_s",
        "_due_s",
        "_greenlet",
        "_timer",
        "idle_s",
        "last_event_s",
        "waiting",
    )

    def __init__(self, clock: Clock, *, idle_s: float, deadline_s: float) -> None:
        self._clock = clock
        self._deadline_s = deadline_s
        self._greenlet = gevent.getcurrent()
        self._timer = None
        self._due_s = clock()
        self.idle_s = idle_s
        self.last_event_s = clock()
        self.waiting = False

    def __enter__(self) -> "SilenceWatch":
        self._start(self._next_check_s(self._clock()))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.waiting = False
        self._stop()

    def set_idle(self, idle_s: float) -> None:
        """Replace the idle timeout and count it from the last event."""
        self.idle_s = idle_s
        self._stop()
        self._start(self._next_check_s(self._clock()))

    def _next_check_s(self, now_s: float) -> float:
        check_s = min(self.last_event_s + self.idle_s, self._deadline_s)
        return max(0.001, check_s - now_s)

    def _start(self, delay_s: float) -> None:
        self._due_s = self._clock() + delay_s
        self._timer = gevent.get_hub().loop.timer(delay_s)
        self._timer.start(self._check)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _check(self) -> None:
        self._stop()
        now_s = self._clock()
        if not self.waiting:
            # The greenlet is busy with the caller; it checks the deadline itself.
            self._start(self.idle_s)
            return
        if now_s >= self._deadline_s:
            self._greenlet.throw(DeadlinePassed())
            return
        if now_s - self._due_s > MAX_LATENESS_S:
            catch_up_s = min(self.idle_s, CATCH_UP_S)
            self.last_event_s = max(self.last_event_s, now_s - self.idle_s + catch_up_s)
        if now_s - self.last_event_s >= self.idle_s:
            self._greenlet.throw(StreamSilent())
        else:
            self._start(self._next_check_s(now_s))
