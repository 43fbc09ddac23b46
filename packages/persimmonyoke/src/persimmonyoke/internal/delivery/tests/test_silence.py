"""Test when the stream of an engine counts as idle."""

import time
import unittest

import gevent
from gevent.event import Event

from persimmonyoke.internal.awake_time import StallFreeClock
from persimmonyoke.internal.delivery.silence import IdleWatchdog, StreamIdleTimeout
from persimmonyoke_testing.builders_stalls import stall

IDLE_S = 0.5
STALL_S = 1.5


class IdleWatchdogTest(unittest.TestCase):
    def wait(self, event):
        """Return whether the idle timeout fired, and after how many seconds."""
        now_s = time.monotonic()
        watch = IdleWatchdog(
            time.monotonic,
            StallFreeClock(time.monotonic),
            idle_s=IDLE_S,
            deadline_s=now_s + 60.0,
        )
        silent = False
        try:
            with watch:
                watch.waiting = True
                event.wait(10.0)
        except StreamIdleTimeout:
            silent = True
        return silent, time.monotonic() - now_s

    def test_a_stall_of_this_host_is_not_an_idle_timeout(self):
        # Otherwise, a stall would break all streams of the host at once and use up the
        # retry budget.
        event = Event()
        waiting = gevent.spawn(self.wait, event)
        gevent.sleep(0.05)
        stall(STALL_S)
        # The event arrived during the stall; the loop reads it after the overdue timer.
        gevent.spawn_later(0.01, event.set)
        silent, _ = waiting.get(timeout=5.0)
        self.assertFalse(silent)

    def test_a_stall_that_ends_before_the_check_is_not_an_idle_timeout(self):
        # The timer is not late here, so its lateness does not show the stall, and the
        # engine would get only the rest of the timeout.
        event = Event()
        waiting = gevent.spawn(self.wait, event)
        gevent.sleep(0.02)
        stall(0.8 * IDLE_S)
        gevent.get_hub().loop.update_now()
        gevent.spawn_later(0.5 * IDLE_S, event.set)
        silent, _ = waiting.get(timeout=5.0)
        self.assertFalse(silent)

    def test_an_engine_that_stays_silent_after_a_stall_times_out(self):
        waiting = gevent.spawn(self.wait, Event())
        gevent.sleep(0.05)
        stall(STALL_S)
        silent, after_s = waiting.get(timeout=5.0)
        self.assertTrue(silent)
        self.assertLess(after_s, STALL_S + 3 * IDLE_S)


if __name__ == "__main__":
    unittest.main()
