"""Limit on requests in flight that keeps the time to the first token at the engines."""

from math import exp

# Engines get this share of the first-token deadline; the rest is for the wait here,
# where the queue is fair between workspaces and refuses what would be late.
TARGET_SHARE = 0.5
# Share of the first tokens over the target above which the limit falls.
MAX_LATE_SHARE = 0.15
DECREASE, INCREASE = 0.94, 0.03
MIN_FACTOR = 0.1
# A limit that is not used says nothing about a higher one.
MIN_USED_SHARE = 0.8
MIN_SAMPLES = 4
# Without first tokens the last ones lose their meaning; otherwise a high time would
# refuse all requests and so never be corrected.
DECAY_S = 1.0


class FirstTokenLimit:
    """Lower a limit while first tokens are late at the engines, raise it otherwise.

    Rates and queues that engines report do not tell how much a prefill is slowed down
    by the decoding on the same engine, so the time is measured.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self._samples = 0
        self._late = 0
        self._excess_s = 0.0
        self._noted_s = 0.0

    def note(
        self, first_token_s: float, *, idle_s: float, deadline_s: float, now_s: float
    ) -> None:
        """Record the time from a dispatch to its first token.

        ``idle_s`` is the time that an idle engine needs.
        """
        self._samples += 1
        self._late += first_token_s > max(TARGET_SHARE * deadline_s, 1.5 * idle_s)
        excess_s = max(0.0, first_token_s - idle_s)
        # Rises faster than it falls, so that it stands for a high quantile.
        weight = 0.2 if excess_s > self._excess_s else 0.05
        self._excess_s += weight * (excess_s - self._excess_s)
        self._noted_s = now_s

    def adjust(self, *, used_share: float) -> None:
        """Change the factor after the samples since the last change."""
        if self._samples < MIN_SAMPLES:
            return
        if self._late > MAX_LATE_SHARE * self._samples:
            self.factor = max(MIN_FACTOR, self.factor * DECREASE)
        elif used_share >= MIN_USED_SHARE:
            self.factor = min(1.0, self.factor + INCREASE)
        self._samples = self._late = 0

    def wait_s(self, now_s: float) -> float:
        """Return the wait at the engines that recent first tokens show."""
        return self._excess_s * exp(-max(0.0, now_s - self._noted_s) / DECAY_S)
