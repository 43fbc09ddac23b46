"""Limit retries to a share of first attempts."""

from collections import deque
from dataclasses import dataclass

DEFAULT_SHARE = 0.10
DEFAULT_WINDOW_S = 30.0
# One crash of an engine interrupts about 10 streams of one entry node at the target
# size (26 requests/s for 2 s over 6 engines). A node with little traffic must be able
# to retry them.
DEFAULT_FLOOR = 10
BUCKETS = 30


@dataclass(frozen=True)
class RetryUsage:
    """Hold what a budget counts in its window, and how many retries it allows."""

    first_attempts: int
    retries: int
    allowed: int


class RetryBudget:
    """Allow ``share`` of the first attempts of a sliding window as retries.

    The limit is the larger of ``floor`` and the share plus ``slack``. Without slack,
    the share applies once the window holds ``floor / share`` first attempts.
    """

    def __init__(
        self,
        *,
        share: float = DEFAULT_SHARE,
        window_s: float = DEFAULT_WINDOW_S,
        floor: int = DEFAULT_FLOOR,
        slack: float = 0.0,
    ) -> None:
        if not 0 <= share <= 1:
            raise ValueError(f"share must be between 0 and 1, not {share}")
        if window_s <= 0:
            raise ValueError(f"window_s must be positive, not {window_s}")
        if floor < 0:
            raise ValueError(f"floor must not be negative, not {floor}")
        if slack < 0:
            raise ValueError(f"slack must not be negative, not {slack}")
        self.share = share
        self.slack = slack
        self._floor = floor
        self._bucket_s = window_s / BUCKETS
        self._buckets: deque[list[int]] = deque()
        self._first_attempts = 0
        self._retries = 0
        # Totals since the start.
        self.first_attempts_total = 0
        self.retries_total = 0
        self.refused = 0

    def note_first_attempt(self, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._current_bucket(now_s)[1] += 1
        self._first_attempts += 1
        self.first_attempts_total += 1

    def try_spend(self, now_s: float) -> bool:
        """Count a retry and return whether it is allowed."""
        bucket = self._current_bucket(now_s)
        if self._retries >= self._allowed:
            self.refused += 1
            return False
        bucket[2] += 1
        self._retries += 1
        self.retries_total += 1
        return True

    def usage(self, now_s: float) -> RetryUsage:
        """Return what is counted in the window that ends now."""
        self._current_bucket(now_s)
        return RetryUsage(self._first_attempts, self._retries, self._allowed)

    @property
    def _allowed(self) -> int:
        """Return the retries that the first attempts in the window allow."""
        return max(self._floor, int(self.share * self._first_attempts + self.slack))

    def give_back(self) -> None:
        """Uncount the newest retry, which was not sent."""
        for bucket in reversed(self._buckets):
            if bucket[2]:
                bucket[2] -= 1
                self._retries -= 1
                self.retries_total -= 1
                return

    def seconds_until_available(self, now_s: float) -> float:
        """Return when the oldest counted retry leaves the window, in seconds."""
        self._current_bucket(now_s)
        for index, _, retries in self._buckets:
            if retries:
                end_s = (index + BUCKETS) * self._bucket_s
                return max(self._bucket_s, end_s - now_s)
        return self._bucket_s

    def _current_bucket(self, now_s: float) -> list[int]:
        index = int(now_s / self._bucket_s)
        while self._buckets and self._buckets[0][0] <= index - BUCKETS:
            _, first_attempts, retries = self._buckets.popleft()
            self._first_attempts -= first_attempts
            self._retries -= retries
        if not self._buckets or self._buckets[-1][0] < index:
            self._buckets.append([index, 0, 0])
        return self._buckets[-1]
