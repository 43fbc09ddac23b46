"""Tests of the clock that excludes stalls of the event loop."""

import time
import unittest

import gevent

from persimmonyoke.internal.awake_time import (
    MAX_TICK_S,
    StallFreeClock,
    sleep_excluding_stalls,
)
from persimmonyoke_testing.builders_stalls import stall

STALL_S = 0.5
TOLERANCE_S = 2.0
"""Allowed lateness of timers on a busy machine."""


class StallFreeClockTest(unittest.TestCase):
    def test_without_stalls_it_equals_the_monotonic_clock(self):
        # Time lost between ticks would delay the detection of a silent engine.
        now_s = [100.0]
        with StallFreeClock(lambda: now_s[0]) as clock:
            started_s = clock.now_s()
            for _ in range(200):
                now_s[0] += 0.05
                clock._tick()
            self.assertAlmostEqual(clock.now_s() - started_s, 10.0)

    def test_a_stall_counts_as_one_late_tick(self):
        with StallFreeClock() as clock:
            begun_s, started_s = time.monotonic(), clock.now_s()
            gevent.sleep(0.01)
            stall(STALL_S)
            counted_s = clock.now_s() - started_s
            elapsed_s = time.monotonic() - begun_s
            self.assertLessEqual(counted_s, elapsed_s - STALL_S + MAX_TICK_S)

    def test_the_sleep_continues_after_a_stall_for_the_remaining_time(self):
        # A listener that closed right after a stall dropped the callers in its backlog.
        started_s = time.monotonic()
        sleeping = gevent.spawn(sleep_excluding_stalls, STALL_S)
        gevent.sleep(0.01)
        stall(STALL_S)
        sleeping.get(timeout=5.0)
        slept_s = time.monotonic() - started_s
        self.assertGreaterEqual(slept_s, 2 * STALL_S - 0.06 - MAX_TICK_S)
        self.assertLess(slept_s, 2 * STALL_S + TOLERANCE_S)

    def test_no_timer_runs_without_users(self):
        # An idle host would be woken 20 times per second.
        clock = StallFreeClock()
        clock.start()
        clock.start()
        clock.stop()
        self.assertIsNotNone(clock._timer)
        clock.stop()
        self.assertIsNone(clock._timer)

    def test_time_without_users_is_not_counted_for_the_next_user(self):
        now_s = [0.0]
        clock = StallFreeClock(lambda: now_s[0])
        with clock:
            now_s[0] += 0.05
        now_s[0] += 60.0
        with clock:
            started_s = clock.now_s()
            now_s[0] += 0.05
            self.assertAlmostEqual(clock.now_s() - started_s, 0.05)


if __name__ == "__main__":
    unittest.main()
