"""Token buckets that limit the requests and the tokens of a workspace."""

from dataclasses import dataclass
from math import inf

# A bucket holds this many seconds of its rate, so that a burst within the mean rate
# passes.
BURST_S = 2.0


@dataclass
class TokenBucket:
    """Refill at a rate up to the burst; a charge may make the level negative."""

    rate_per_s: float
    level: float
    updated_s: float

    @classmethod
    def full(cls, rate_per_s: float, *, now_s: float) -> "TokenBucket":
        """Return a full bucket."""
        return cls(rate_per_s, cls.burst_of(rate_per_s), now_s)

    @staticmethod
    def burst_of(rate_per_s: float) -> float:
        """Return the capacity of a bucket, which is at least one unit."""
        return max(1.0, rate_per_s * BURST_S)

    def refill(self, now_s: float) -> None:
        """Add the accrued amount; a clock that stops or goes back adds nothing."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        burst = self.burst_of(self.rate_per_s)
        self.level = min(burst, self.level + elapsed_s * self.rate_per_s)

    def wait_s(self, amount: float) -> float:
        """Return the seconds until the amount is available; zero if it is now.

        An amount above the burst is granted from a full bucket and makes the level
        negative, because a single large request would otherwise never be granted.
        """
        missing = min(amount, self.burst_of(self.rate_per_s)) - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else inf

    def charge(self, amount: float) -> None:
        """Deduct an amount; a negative amount is refunded."""
        burst = self.burst_of(self.rate_per_s)
        self.level = min(burst, self.level - amount)

    @property
    def is_full(self) -> bool:
        """Return whether the bucket can be dropped without any effect."""
        return self.level >= self.burst_of(self.rate_per_s)
