"""Forecast of when a decode engine is available after the last one was lost.

No tokens are generated during the seconds of a stage change. Callers wait longer than
that, so prompts are prefilled meanwhile and decoding starts once the engine is ready.
"""

from collections.abc import Collection

ENTRY_LAG_S = 0.6
"""Time from the end of a stage change until the engine's new entry is seen."""

ANNOUNCEMENT_WAIT_S = 1.6
"""Time to detect the loss of the last decode engine and order a replacement."""

OVERDUE_S = 2.0
"""Delay past the expected time after which a change is considered lost."""

MAX_ANNOUNCEMENTS = 64
"""Announcements that are remembered; the largest deployment has 70 engines."""


class DecoderForecast:
    """Predict when an engine completes its announced change to the decode stage."""

    def __init__(self) -> None:
        self._announced_s: dict[str, float] = {}

    def note(self, replica_id: str, *, now_s: float) -> None:
        """Record that an engine is being ordered to the decode stage."""
        self._announced_s.pop(replica_id, None)
        self._announced_s[replica_id] = now_s
        if len(self._announced_s) > MAX_ANNOUNCEMENTS:
            del self._announced_s[next(iter(self._announced_s))]

    def expected_in_s(
        self,
        *,
        stage_change_s: float,
        now_s: float,
        among: Collection[str] | None = None,
    ) -> float | None:
        """Return the time until a decode engine is expected, or ``None``.

        The newest announcement counts, of the engines ``among`` if it is given.
        """
        seen_s = next(
            (
                seen_s
                for replica_id, seen_s in reversed(self._announced_s.items())
                if among is None or replica_id in among
            ),
            None,
        )
        if seen_s is None:
            return None
        due_s = seen_s + stage_change_s + ENTRY_LAG_S
        if now_s > due_s + OVERDUE_S:
            return None
        return max(0.1, due_s - now_s)
