"""Clocks of this host."""

import time

from persimmonyoke.internal.fleet.term import ClockReading


def read_clocks() -> ClockReading:
    """Read the monotonic clock and the boot-time clock of this host."""
    return ClockReading(time.monotonic(), boot_time_s())


def boot_time_s() -> float:
    """Return the time since boot, in which a suspension counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
