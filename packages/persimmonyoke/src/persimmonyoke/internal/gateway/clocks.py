"""Clocks of this host."""

import time

from persimmonyoke.internal.fleet.term import ClockReading


def read_clocks() -> ClockReading:
    """Read the monotonic clock and the boot-time clock of this host."""
    return ClockReading(time.monotonic(), boot_time_s())


def boot_time_s() -> float:
    """Return the time since boot, in which a suspension counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def logged_ms(duration_s: float) -> int | None:
    """Return a duration in milliseconds for the log, none if it has no beginning."""
    return None if duration_s == float("inf") else int(duration_s * 1_000)
