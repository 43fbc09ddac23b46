"""Expectation of when an engine will decode after the last one was lost.

A stage change takes seconds in which nobody generates. Callers wait longer than that,
so prompts are read meanwhile and their runs begin when the engine is there.
"""

from dataclasses import dataclass

ENTRY_LAG_S = 0.6
"""Time from the end of a stage change until its entry is seen."""

ANNOUNCEMENT_WAIT_S = 1.6
"""Time in which the loss of the last decode engine is noticed and answered."""

OVERDUE_S = 2.0
"""Time after which an announced change is no longer expected."""


@dataclass(frozen=True)
class Announcement:
    """Hold when a change to the decode stage was announced."""

    replica_id: str
    seen_s: float


class DecoderForecast:
    """Remember announced changes to the decode stage."""

    def __init__(self) -> None:
        self._last_announcement: Announcement | None = None

    def note(self, replica_id: str, *, now_s: float) -> None:
        """Note that an engine is being ordered to decode."""
        self._last_announcement = Announcement(replica_id, now_s)

    def expected_in_s(self, *, stage_change_s: float, now_s: float) -> float | None:
        """Return the time until a decode engine is expected, if one is."""
        if self._last_announcement is None:
            return None
        due_s = self._last_announcement.seen_s + stage_change_s + ENTRY_LAG_S
        if now_s > due_s + OVERDUE_S:
            return None
        return max(0.1, due_s - now_s)
