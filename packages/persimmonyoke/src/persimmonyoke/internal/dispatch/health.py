"""Health of replicas as this host's own calls show it."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
FAILURE_WINDOW = 12
"""Number of the last calls that the failure share is taken over."""

FAILURE_TTL_S = 4.0
"""Time for which a failure counts.

A replica that is avoided for its failures gets no call to show that it has recovered.
"""

FAILING_SHARE = 0.25
"""Share of failures from which work goes elsewhere, if there is another replica."""

SUSPICION_TTL_S = 0.6
"""Time for which a peer's word counts; peers repeat it while they can't connect."""


@dataclass
class _Record:
    """Hold the last outcomes of one replica and until when it is avoided.

    An outcome is the time of a failure, or ``None`` for a success.
    """

    outcomes: deque[float | None]
    pause_s: float = FIRST_PAUSE_S
    paused_until_s: float = 0.0


class ReplicaHealth:
    """Remember failures; a replica that cannot be reached is avoided for a while.

    A paused replica is used again only if no other one is left, and its next call
    after the pause is the probe.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._suspected_s: dict[str, float] = {}

    def note_success(self, replica_id: str) -> None:
        """Note an answer of a working replica."""
        record = self._record(replica_id)
        record.outcomes.append(None)
        record.pause_s = FIRST_PAUSE_S
        record.paused_until_s = 0.0

    def note_failure(self, replica_id: str, now_s: float) -> None:
        """Note a call that failed after the replica was reached."""
        self._record(replica_id).outcomes.append(now_s)

    def note_unreachable(self, replica_id: str, now_s: float) -> None:
        """Note that a replica cannot be reached; repeated notes double the pause."""
        record = self._record(replica_id)
        record.outcomes.append(now_s)
        if now_s < record.paused_until_s:
            return
        record.paused_until_s = now_s + record.pause_s
        record.pause_s = min(MAX_PAUSE_S, record.pause_s * 2)

    def note_suspected(self, replica_ids: Iterable[str], now_s: float) -> None:
        """Note which replicas a peer can't reach."""
        for replica_id in replica_ids:
            self._suspected_s[replica_id] = now_s

    def suspected(self, replica_id: str, now_s: float) -> bool:
        """Return whether this host or a peer could not reach a replica lately."""
        told_s = self._suspected_s.get(replica_id, float("-inf"))
        return now_s - told_s < SUSPICION_TTL_S or self.paused(replica_id, now_s)

    def all_paused(self, now_s: float) -> list[str]:
        """Return the replicas that this host avoids now."""
        return [r for r in self._records if self.paused(r, now_s)]

    def paused(self, replica_id: str, now_s: float) -> bool:
        """Return whether the replica is avoided now."""
        record = self._records.get(replica_id)
        return record is not None and now_s < record.paused_until_s

    def failure_share(self, replica_id: str, now_s: float) -> float:
        """Return the share of recent failures among the last calls."""
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
        """Return whether so many calls failed that others are to be preferred."""
        return self.failure_share(replica_id, now_s) >= FAILING_SHARE

    def forget(self, replica_id: str) -> None:
        """Drop the record of a replica that is gone."""
        self._records.pop(replica_id, None)
        self._suspected_s.pop(replica_id, None)

    def _record(self, replica_id: str) -> _Record:
        record = self._records.get(replica_id)
        if record is None:
            record = self._records[replica_id] = _Record(deque(maxlen=FAILURE_WINDOW))
        return record
