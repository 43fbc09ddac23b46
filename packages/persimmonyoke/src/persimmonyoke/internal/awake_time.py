"""Time in which the event loop of this process ran, without its stalls."""

import time
from collections.abc import Callable

import gevent

TICK_S = 0.05
MAX_TICK_S = 0.1
"""Longest part of the time between two ticks that counts as awake."""


class StallFreeClock:
    """Count the time from tick to tick of a timer, a late tick only up to a bound.

    The timer runs only while somebody needs the time, so that an idle process sleeps.
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
        """Return the awake time up to now; only differences have a meaning."""
        return self._elapsed_s + min(self._clock() - self._last_tick_s, MAX_TICK_S)

    def start(self) -> None:
        """Count time for one more user."""
        self._users += 1
        if self._users == 1:
            self._last_tick_s = self._clock()
            self._timer = gevent.get_hub().loop.timer(TICK_S, TICK_S)
            self._timer.start(self._tick)

    def stop(self) -> None:
        """Count time for one user less."""
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
    """Sleep for an awake time, so that what arrived in a stall is served in it."""
    with StallFreeClock() as clock:
        end_s = clock.now_s() + duration_s
        while (left_s := end_s - clock.now_s()) > 0:
            gevent.sleep(left_s)
