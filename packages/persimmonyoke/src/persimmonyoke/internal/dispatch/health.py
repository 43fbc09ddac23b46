"""Replica health derived from the outcomes of this host's calls."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
FAILURE_WINDOW = 12
"""Number of recent calls over which the failure share is computed."""

FAILURE_TTL_S = 4.0
"""Time for which a failure counts.

A replica that is avoided because of failures gets no call that could show its recovery.
"""

FAILING_SHARE = 0.25
"""Failure share at which other replicas, if there are any, are preferred."""

SUSPICION_TTL_S = 0.6
"""Time for which a peer's report counts; peers repeat it while they can't connect."""


@dataclass
class _Record:
    """Hold the recent outcomes of one replica and until when it is paused.

    An outcome is the time of a failure, or ``None`` for a success.
    """

    outcomes: deque[float | None]
    pause_s: float = FIRST_PAUSE_S
    paused_until_s: float = 0.0


class ReplicaHealth:
    """Track failures, and pause replicas that cannot be reached.

    A paused replica is used only if no other one is left. The first call after the
    pause serves as the probe.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._suspected_s: dict[str, float] = {}

    def note_success(self, replica_id: str) -> None:
        """Record a successful call and end the pause of the replica."""
        record = self._record(replica_id)
        record.outcomes.append(None)
        record.pause_s = FIRST_PAUSE_S
        record.paused_until_s = 0.0

    def note_failure(self, replica_id: str, now_s: float) -> None:
        """Record a call that failed after the connection was established."""
        self._record(replica_id).outcomes.append(now_s)

    def note_unreachable(self, replica_id: str, now_s: float) -> None:
        """Record a failed connection; each one after a pause doubles the next pause."""
        record = self._record(replica_id)
        record.outcomes.append(now_s)
        if now_s < record.paused_until_s:
            return
        record.paused_until_s = now_s + record.pause_s
        record.pause_s = min(MAX_PAUSE_S, record.pause_s * 2)

    def note_suspected(self, replica_ids: Iterable[str], now_s: float) -> None:
        """Record replicas that a peer can't reach."""
        for replica_id in replica_ids:
            self._suspected_s[replica_id] = now_s

    def suspected(self, replica_id: str, now_s: float) -> bool:
        """Return whether this host or a peer recently failed to reach a replica."""
        told_s = self._suspected_s.get(replica_id, float("-inf"))
        return now_s - told_s < SUSPICION_TTL_S or self.paused(replica_id, now_s)

    def all_paused(self, now_s: float) -> list[str]:
        """Return the replicas that are paused at this host."""
        return [r for r in self._records if self.paused(r, now_s)]

    def paused(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is paused."""
        record = self._records.get(replica_id)
        return record is not None and now_s < record.paused_until_s

    def failure_share(self, replica_id: str, now_s: float) -> float:
        """Return recent failures as a share of ``FAILURE_WINDOW`` calls."""
        record = self._records.get(replica_id)
        if record is None:
            return 0.0
        failures = sum(
            1
            for failed_s in record.outcomes
            if failed_s is not None and now_s - failed_s < FAILURE_TTL_S
        )
        return failures / FAILURE_WINDOW

    def failing(self, replica_id: str, now_s: float) -> bool:
        """Return whether the failure share is high enough to prefer other replicas."""
        return self.failure_share(replica_id, now_s) >= FAILING_SHARE

    def forget_failures(self) -> None:
        """Drop all failures, which were those of this host's links."""
        self._records.clear()

    def forget(self, replica_id: str) -> None:
        """Drop the record of a replica that was removed."""
        self._records.pop(replica_id, None)
        self._suspected_s.pop(replica_id, None)

    def _record(self, replica_id: str) -> _Record:
        record = self._records.get(replica_id)
        if record is None:
            record = self._records[replica_id] = _Record(deque(maxlen=FAILURE_WINDOW))
        return record
