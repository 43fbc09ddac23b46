"""Forecast of when a decode engine is available after the last one was lost.

No tokens are generated during the seconds of a stage change. Callers wait longer than
that, so prompts are prefilled meanwhile and decoding starts once the engine is ready.
"""

from dataclasses import dataclass

ENTRY_LAG_S = 0.6
"""Time from the end of a stage change until the engine's new entry is seen."""

ANNOUNCEMENT_WAIT_S = 1.6
"""Time to detect the loss of the last decode engine and order a replacement."""

OVERDUE_S = 2.0
"""Delay past the expected time after which a change is considered lost."""


@dataclass(frozen=True)
class Announcement:
    """Hold an announced change to the decode stage and when it was seen."""

    replica_id: str
    seen_s: float


class DecoderForecast:
    """Predict when an engine completes its announced change to the decode stage."""

    def __init__(self) -> None:
        self._last_announcement: Announcement | None = None

    def note(self, replica_id: str, *, now_s: float) -> None:
        """Record that an engine is being ordered to the decode stage."""
        self._last_announcement = Announcement(replica_id, now_s)

    def expected_in_s(self, *, stage_change_s: float, now_s: float) -> float | None:
        """Return the time until a decode engine is expected, or ``None``."""
        if self._last_announcement is None:
            return None
        due_s = self._last_announcement.seen_s + stage_change_s + ENTRY_LAG_S
        if now_s > due_s + OVERDUE_S:
            return None
        return max(0.1, due_s - now_s)
