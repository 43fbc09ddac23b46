"""Exponential backoff for upstreams that failed recently."""

from collections import OrderedDict
from dataclasses import dataclass

# A restarting engine is available again after about a second. Each trial call to a
# broken upstream costs a retry, and a factor of 2 exhausted the retry budget.
INITIAL_BACKOFF_S = 1.0
BACKOFF_FACTOR = 4
MAX_BACKOFF_S = 16.0
MAX_UPSTREAMS = 4_096


@dataclass
class _FailureRecord:
    incarnation: str
    failures: int
    failed_s: float
    backoff_until_s: float


class UpstreamHealth:
    """Apply backoff to upstreams whose last call from this host failed.

    After the backoff, which grows with each consecutive failure, one trial call is
    allowed. The upstream is used again once a call that started after the failure
    succeeds.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, _FailureRecord] = OrderedDict()

    def note_failure(self, name: str, now_s: float, *, incarnation: str = "") -> None:
        """Count a failed call; concurrent calls that fail together count once."""
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _FailureRecord(incarnation, 0, now_s, now_s)
            if len(self._records) > MAX_UPSTREAMS:
                self._records.popitem(last=False)
        elif now_s - record.failed_s < INITIAL_BACKOFF_S / 2:
            return
        record.failures += 1
        record.failed_s = now_s
        record.backoff_until_s = now_s + _backoff_s(record)

    def note_success(self, name: str, started_s: float) -> None:
        """Reset the upstream unless it has failed since the call started."""
        record = self._records.get(name)
        if record is not None and started_s > record.failed_s:
            del self._records[name]

    def note_dispatch(self, name: str, now_s: float) -> None:
        """Extend the backoff so that only one trial call is in flight."""
        record = self._records.get(name)
        if record is not None:
            record.backoff_until_s = max(
                record.backoff_until_s, now_s + _backoff_s(record)
            )

    def forget(self, name: str) -> None:
        """Drop the record of an upstream that was replaced by another process."""
        self._records.pop(name, None)

    def in_backoff(self, name: str, now_s: float, *, incarnation: str = "") -> bool:
        """Return whether the upstream must not be called now.

        An incarnation other than the one that failed is not in backoff.
        """
        record = self._records.get(name)
        if record is None:
            return False
        if record.incarnation != incarnation:
            del self._records[name]
            return False
        return record.backoff_until_s > now_s

    def is_failing(self, name: str) -> bool:
        """Return whether no call has succeeded since the last failure."""
        return name in self._records


def _backoff_s(record: _FailureRecord) -> float:
    return min(
        MAX_BACKOFF_S, INITIAL_BACKOFF_S * BACKOFF_FACTOR ** (record.failures - 1)
    )
