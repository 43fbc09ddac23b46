"""Token buckets that limit a workspace in requests and in tokens."""

from dataclasses import dataclass
from math import inf

# A bucket holds this many seconds of its rate, so that a burst within the mean rate
# passes.
BURST_S = 2.0


@dataclass
class TokenBucket:
    """Refill at a rate up to a burst; a charge may drive the level below zero."""

    rate_per_s: float
    level: float
    updated_s: float

    @classmethod
    def full(cls, rate_per_s: float, *, now_s: float) -> "TokenBucket":
        """Return a full bucket."""
        return cls(rate_per_s, cls.burst_of(rate_per_s), now_s)

    @staticmethod
    def burst_of(rate_per_s: float) -> float:
        """Return the capacity; a slow bucket still holds one unit."""
        return max(1.0, rate_per_s * BURST_S)

    def refill(self, now_s: float) -> None:
        """Add what has accrued; a clock that stands still or goes back adds none."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        burst = self.burst_of(self.rate_per_s)
        self.level = min(burst, self.level + elapsed_s * self.rate_per_s)

    def wait_s(self, amount: float) -> float:
        """Return the seconds until the amount passes; zero if it passes now.

        An amount above the burst passes from a full bucket and leaves a debt, because
        a single large request would otherwise never pass.
        """
        missing = min(amount, self.burst_of(self.rate_per_s)) - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else inf

    def charge(self, amount: float) -> None:
        """Take an amount, or give back a negative one."""
        burst = self.burst_of(self.rate_per_s)
        self.level = min(burst, self.level - amount)

    @property
    def is_full(self) -> bool:
        """Say whether forgetting the bucket would change nothing."""
        return self.level >= self.burst_of(self.rate_per_s)
