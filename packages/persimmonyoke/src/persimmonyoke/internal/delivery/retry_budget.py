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

BUDGET_SPENT = "retry budget is spent"
"""Reason why a request is not sent again."""


@dataclass(frozen=True)
class RetryUsage:
    """Hold what a budget counts in its window, and how many retries it allows."""

    first_attempts: int
    retries: int
    allowed: int
    """Retries that this share allows, without what is lent and with what is left of
    loans."""


@dataclass(frozen=True)
class SpentRetry:
    """Tell which retry was counted, so that this one can be given back."""

    counted_s: float
    lent_until_s: float | None = None
    """End of the loan that it belongs to, if another host has lent it."""


@dataclass(frozen=True)
class _Retries:
    """Hold retries that are lent or borrowed until a time."""

    count: int
    until_s: float


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
        self._window_s = window_s
        self._bucket_s = window_s / BUCKETS
        self._buckets: deque[list[int]] = deque()
        self._first_attempts = 0
        self._retries = 0
        self._lent: list[_Retries] = []
        self._borrowed: list[_Retries] = []

        # Totals since the start.
        self.first_attempts_total = 0
        self.retries_total = 0
        self.refused = 0

    def note_first_attempt(self, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._current_bucket(now_s)[1] += 1
        self._first_attempts += 1
        self.first_attempts_total += 1

    def try_spend(self, now_s: float, *, loans: bool = False) -> bool:
        """Count a retry and return whether it is allowed."""
        return self.spend(now_s, loans=loans) is not None

    def spend(self, now_s: float, *, loans: bool = False) -> SpentRetry | None:
        """Count a retry and return it, or ``None`` if it is not allowed.

        With ``loans`` one that another host has lent may be used.
        """
        bucket = self._current_bucket(now_s)
        lent_until_s = None
        if self._retries < self._own_allowed(now_s):
            bucket[2] += 1
            self._retries += 1
        elif loans and self._borrowed:
            lent_until_s = self._spend_loan()
        else:
            self.refused += 1
            return None
        self.retries_total += 1
        return SpentRetry(now_s, lent_until_s)

    def lend(self, count: int, *, now_s: float, ttl_s: float) -> int:
        """Lend up to ``count`` retries, at most half of what is left; return how many.

        The borrower sends them within ``ttl_s``. They stay counted here until the
        last of these is in no window with a retry of this host.
        """
        self._current_bucket(now_s)
        spare = (self._own_allowed(now_s) - self._retries) // 2
        lent = max(0, min(count, spare))
        if lent:
            until_s = now_s + ttl_s + self._window_s + self._bucket_s
            self._lent.append(_Retries(lent, until_s))
        return lent

    def borrow(self, count: int, *, until_s: float) -> None:
        """Add retries that another host lends, to be spent before ``until_s``."""
        self._borrowed.append(_Retries(count, until_s))

    def usage(self, now_s: float) -> RetryUsage:
        """Return what is counted in the window that ends now."""
        self._current_bucket(now_s)
        self._drop_expired(now_s)
        allowed = self._own_allowed(now_s) + sum(loan.count for loan in self._borrowed)
        return RetryUsage(self._first_attempts, self._retries, allowed)

    def _own_allowed(self, now_s: float) -> int:
        """Return the retries that this host may make of its own share."""
        self._drop_expired(now_s)
        lent = sum(loan.count for loan in self._lent)
        share = int(self.share * self._first_attempts + self.slack)
        return max(self._floor, share) - lent

    def _spend_loan(self) -> float:
        """Spend a retry that its lender counts; return when the loan ends."""
        loan = self._borrowed.pop(0)
        if loan.count > 1:
            self._borrowed.insert(0, _Retries(loan.count - 1, loan.until_s))
        return loan.until_s

    def _drop_expired(self, now_s: float) -> None:
        """Drop what was lent and borrowed until now or earlier."""
        self._lent = _in_force(self._lent, now_s)
        self._borrowed = _in_force(self._borrowed, now_s)

    def give_back(self, retry: SpentRetry | None = None) -> None:
        """Uncount a retry that was not sent, the newest of this share by default.

        One that was counted a window ago is in no count any more, and a borrowed one
        is of use until its loan ends.
        """
        if retry is not None and retry.lent_until_s is not None:
            self.retries_total -= 1
            self._borrowed.append(_Retries(1, retry.lent_until_s))
            return
        for bucket in reversed(self._buckets):
            if bucket[2] and (retry is None or bucket[0] == self._index(retry)):
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

    def _index(self, retry: SpentRetry) -> int:
        """Return the index of the bucket that counts a retry."""
        return int(retry.counted_s / self._bucket_s)

    def _current_bucket(self, now_s: float) -> list[int]:
        index = int(now_s / self._bucket_s)
        while self._buckets and self._buckets[0][0] <= index - BUCKETS:
            _, first_attempts, retries = self._buckets.popleft()
            self._first_attempts -= first_attempts
            self._retries -= retries
        if not self._buckets or self._buckets[-1][0] < index:
            self._buckets.append([index, 0, 0])
        return self._buckets[-1]


def _in_force(loans: list[_Retries], now_s: float) -> list[_Retries]:
    return [loan for loan in loans if loan.until_s > now_s]
