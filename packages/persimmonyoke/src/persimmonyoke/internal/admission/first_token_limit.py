"""Limit requests in flight to keep the time to first token of the engines low."""

from math import exp

# Share of the first-token deadline for the engines. The rest is for the wait in this
# queue, which is fair between workspaces and refuses requests that would be late.
TARGET_SHARE = 0.5
# The limit falls if more than this share of the first tokens is over the target.
MAX_LATE_SHARE = 0.15
DECREASE, INCREASE = 0.94, 0.03
MIN_FACTOR = 0.1
# Unless this share of the limit is in use, samples do not show whether a higher limit
# would hold.
MIN_USED_SHARE = 0.8
MIN_SAMPLES = 4
# Time constant with which the measured wait decays without new samples. Otherwise, a
# long wait would refuse all requests, so no sample could correct it.
DECAY_S = 1.0


class FirstTokenLimit:
    """Lower a limit while first tokens of the engines are late, raise it otherwise.

    The time is measured, because the rates and queues that engines report do not show
    how much decoding slows down a prefill on the same engine.
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
        # Rises faster than it falls, so that it approximates a high quantile.
        weight = 0.2 if excess_s > self._excess_s else 0.05
        self._excess_s += weight * (excess_s - self._excess_s)
        self._noted_s = now_s

    def adjust(self, *, used_share: float) -> None:
        """Adjust the factor by the samples since the last adjustment."""
        if self._samples < MIN_SAMPLES:
            return
        if self._late > MAX_LATE_SHARE * self._samples:
            self.factor = max(MIN_FACTOR, self.factor * DECREASE)
        elif used_share >= MIN_USED_SHARE:
            self.factor = min(1.0, self.factor + INCREASE)
        self._samples = self._late = 0

    def wait_s(self, now_s: float) -> float:
        """Return the wait at the engines, estimated from recent first tokens."""
        return self._excess_s * exp(-max(0.0, now_s - self._noted_s) / DECAY_S)
