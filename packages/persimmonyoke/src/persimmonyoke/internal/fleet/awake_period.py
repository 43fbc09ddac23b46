"""Time for which this process has run without standing still."""

MAX_GAP_S = 1.0
"""Time between two notes above which the process stood still.

A record is at most 1.6 s old while the store answers, so 2.6 s after a shorter gap, and
other hosts remember a replaced version for 4 s longer than its streams take.
"""


class AwakePeriod:
    """Track since when this process has run without a long gap.

    A host that was stopped or suspended finds all its calls timed out and all peers
    silent when it goes on. This says nothing about them until it has listened again.
    """

    def __init__(self, started_boot_s: float) -> None:
        self._since_boot_s = started_boot_s
        self._noted_boot_s = started_boot_s

    def note(self, boot_s: float) -> float:
        """Note that the process runs; return the time for which it stood still."""
        gap_s = boot_s - self._noted_boot_s
        self._noted_boot_s = boot_s
        if gap_s <= MAX_GAP_S:
            return 0.0
        self._since_boot_s = boot_s
        return gap_s

    def duration_s(self, boot_s: float) -> float:
        """Return the time for which the process has run, 0 right after a gap."""
        if boot_s - self._noted_boot_s > MAX_GAP_S:
            return 0.0
        return boot_s - self._since_boot_s
