"""Detection of store outages from this host's own contact with the store."""

OUTAGE_S = 2.0
"""Time without a response after which entries may have expired meanwhile.

The host renews its lease every 1.2 s.
"""


class StoreContact:
    """Track the last response of the store and the last outage."""

    def __init__(self, started_s: float) -> None:
        self.last_answer_s = started_s
        self.outage_ended_s = float("-inf")
        self._contact_since_s: float | None = None

    def silent_s(self, now_s: float) -> float:
        """Return the time since the last response of the store."""
        return now_s - self.last_answer_s

    def note_answer(self, now_s: float) -> None:
        """Record a response; the first one after an outage marks its end."""
        after_outage = self.silent_s(now_s) > OUTAGE_S
        if after_outage:
            self.outage_ended_s = now_s
        if after_outage or self._contact_since_s is None:
            self._contact_since_s = now_s
        self.last_answer_s = now_s

    def continuous_contact_s(self, now_s: float) -> float | None:
        """Return the duration of the current contact; ``None`` out of contact."""
        if self._contact_since_s is None or self.silent_s(now_s) > OUTAGE_S:
            return None
        return now_s - self._contact_since_s
