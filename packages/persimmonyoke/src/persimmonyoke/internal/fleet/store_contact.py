"""Contact of this host with the store, and the outages that it shows."""

OUTAGE_S = 2.0
"""Time without an answer after which entries may have lapsed meanwhile.

The renewals of the host's lease come each 1.2 s.
"""


class StoreContact:
    """Keep when the store answered this host, and since when without a break."""

    def __init__(self, started_s: float) -> None:
        self.last_answer_s = started_s
        self.outage_ended_s = float("-inf")
        self._contact_since_s: float | None = None

    def silent_s(self, now_s: float) -> float:
        """Return how long ago the store answered."""
        return now_s - self.last_answer_s

    def note_answer(self, now_s: float) -> None:
        """Note an answer, also if it is the first one after an outage."""
        after_outage = self.silent_s(now_s) > OUTAGE_S
        if after_outage:
            self.outage_ended_s = now_s
        if after_outage or self._contact_since_s is None:
            self._contact_since_s = now_s
        self.last_answer_s = now_s

    def continuous_contact_s(self, now_s: float) -> float | None:
        """Return for how long the store has answered; ``None`` out of contact."""
        if self._contact_since_s is None or self.silent_s(now_s) > OUTAGE_S:
            return None
        return now_s - self._contact_since_s
