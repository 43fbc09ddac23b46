"""Clock that excludes the time in which the event loop of this process stalled."""

import time
from collections.abc import Callable

import gevent

TICK_S = 0.05
MAX_TICK_S = 0.1
"""Maximum time counted between two ticks; the excess is taken for a stall."""


class StallFreeClock:
    """Add up the time between the ticks of a timer, at most ``MAX_TICK_S`` for each.

    The timer runs only while the clock has users, so that an idle process isn't woken.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._users = 0
        self._timer = None
        self._elapsed_s = 0.0
        self._last_tick_s = clock()

    def __enter__(self) -> "StallFreeClock":
        self.start()
        return self

    def __exit__(self, *_error: object) -> None:
        self.stop()

    def now_s(self) -> float:
        """Return the time without stalls; only differences are meaningful."""
        return self._elapsed_s + min(self._clock() - self._last_tick_s, MAX_TICK_S)

    def start(self) -> None:
        """Register a user; the first one starts the timer."""
        self._users += 1
        if self._users == 1:
            self._last_tick_s = self._clock()
            self._timer = gevent.get_hub().loop.timer(TICK_S, TICK_S)
            self._timer.start(self._tick)

    def stop(self) -> None:
        """Unregister a user; the last one stops the timer."""
        self._users -= 1
        if not self._users:
            self._tick()
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _tick(self) -> None:
        self._elapsed_s = self.now_s()
        self._last_tick_s = self._clock()


def sleep_excluding_stalls(duration_s: float) -> None:
    """Sleep for a time without stalls, in which work that a stall delayed can run."""
    with StallFreeClock() as clock:
        end_s = clock.now_s() + duration_s
        while (left_s := end_s - clock.now_s()) > 0:
            gevent.sleep(left_s)
