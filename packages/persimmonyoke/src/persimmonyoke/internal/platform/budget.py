"""Rate limit and count of the calls of one process to the key-value service."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from enum import StrEnum

from persimmonyoke.internal.platform.store import Purpose

DEFAULT_SHARES: Mapping[Purpose, float] = {
    Purpose.CONFIG: 0.2,
    Purpose.CLAIMS: 0.5,
    Purpose.AUTHORITY: 0.2,
    Purpose.OTHER: 0.1,
}
BURST_S = 1.0
"""Bucket capacity of a purpose, as seconds of its share of the rate."""

MIN_RATE_SHARE = 0.5
"""Share of the rate kept for calls, however many watches are waiting."""


class Operation(StrEnum):
    """List the kinds of calls that are counted."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


class RateBudget:
    """Divide a call rate between purposes, with one token bucket for each.

    Tokens that overflow a full bucket go to a shared bucket that all purposes can draw
    from. A burst of claims can thus use idle shares, but not the share that renews the
    lease of an authority.
    """

    def __init__(
        self,
        *,
        calls_per_s: float,
        shares: Mapping[Purpose, float] = DEFAULT_SHARES,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        if calls_per_s <= 0:
            raise ValueError(f"calls_per_s is {calls_per_s}; accepted: above 0")
        if set(shares) != set(Purpose) or abs(sum(shares.values()) - 1.0) > 1e-6:
            raise ValueError(
                f"shares are {dict(shares)}; accepted: one for each purpose, sum 1"
            )
        self._calls_per_s = calls_per_s
        self._shares = dict(shares)
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._capacity = {
            purpose: max(1.0, share * calls_per_s * BURST_S)
            for purpose, share in shares.items()
        }
        self._tokens = dict(self._capacity)
        self._shared_capacity = max(1.0, calls_per_s * BURST_S)
        self._shared_tokens = 0.0
        self._refilled_s = clock()
        self.calls: Counter[tuple[Purpose, Operation]] = Counter()
        self.refused: Counter[Purpose] = Counter()
        self.waiting_watches = 0

    def acquire(
        self, purpose: Purpose, operation: Operation, *, timeout_s: float
    ) -> bool:
        """Wait for a token and count the call; return false after the timeout."""
        deadline_s = self._clock() + timeout_s
        while True:
            wait_s = self._try_acquire(purpose)
            if wait_s == 0.0:
                self.calls[purpose, operation] += 1
                return True
            if self._clock() + wait_s > deadline_s:
                self.refused[purpose] += 1
                return False
            self._sleep(wait_s)

    @contextmanager
    def watching(self) -> Iterator[None]:
        """Count a waiting watch, which the service charges as one call per second."""
        with self._lock:
            self._refill()
            self.waiting_watches += 1
        try:
            yield
        finally:
            with self._lock:
                self._refill()
                self.waiting_watches -= 1

    def count(self, purpose: Purpose, operation: Operation) -> int:
        """Return how many calls were made for a purpose."""
        return self.calls[purpose, operation]

    def _rate_per_s(self) -> float:
        floor = self._calls_per_s * MIN_RATE_SHARE
        return max(floor, self._calls_per_s - self.waiting_watches)

    def _try_acquire(self, purpose: Purpose) -> float:
        """Take a token and return 0, or return the time until the next one."""
        with self._lock:
            self._refill()
            if self._tokens[purpose] >= 1.0:
                self._tokens[purpose] -= 1.0
                return 0.0
            if self._shared_tokens >= 1.0:
                self._shared_tokens -= 1.0
                return 0.0
            missing = 1.0 - self._tokens[purpose]
            return max(0.001, missing / (self._rate_per_s() * self._shares[purpose]))

    def _refill(self) -> None:
        now_s = self._clock()
        added = (now_s - self._refilled_s) * self._rate_per_s()
        self._refilled_s = now_s
        for purpose, share in self._shares.items():
            total = self._tokens[purpose] + added * share
            self._tokens[purpose] = min(total, self._capacity[purpose])
            self._shared_tokens += total - self._tokens[purpose]
        self._shared_tokens = min(self._shared_tokens, self._shared_capacity)
