"""Timers that end a process whose lease expired while it was paused."""

import signal
import time
from abc import ABC, abstractmethod


class LeaseTimer(ABC):
    """End the process at the end of a lease unless re-armed or disarmed."""

    @abstractmethod
    def arm(self, pool: str, deadline_s: float) -> None:
        """Set the monotonic time at which the process must no longer run."""

    @abstractmethod
    def disarm(self, pool: str) -> None:
        """Cancel a pool's deadline; only allowed once no order can be sent."""


class KernelLeaseTimer(LeaseTimer):
    """Let the kernel end the process with SIGALRM at the earliest deadline.

    The default disposition is required: a Python handler would run only after the
    process is resumed, so a process stopped past its lease could execute instructions
    before the handler.
    """

    def __init__(self) -> None:
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        self._deadlines_s: dict[str, float] = {}

    def arm(self, pool: str, deadline_s: float) -> None:
        """Set the monotonic time at which the kernel ends the process."""
        self._deadlines_s[pool] = deadline_s
        self._set_timer()

    def disarm(self, pool: str) -> None:
        """Cancel a pool's deadline."""
        if self._deadlines_s.pop(pool, None) is not None:
            self._set_timer()

    def _set_timer(self) -> None:
        if not self._deadlines_s:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
            return
        remaining_s = min(self._deadlines_s.values()) - time.monotonic()
        # setitimer(0) disarms the timer, so a deadline in the past gets a minimal
        # delay.
        signal.setitimer(signal.ITIMER_REAL, max(remaining_s, 1e-6))


class NullLeaseTimer(LeaseTimer):
    """Do nothing; for processes with many controllers (demo and tests)."""

    def arm(self, pool: str, deadline_s: float) -> None:
        """Ignore the deadline."""

    def disarm(self, pool: str) -> None:
        """Ignore the call."""
