"""Backoff for replicas that rejected a request with a retry-after time."""


class ReplicaBackoff:
    """Track until when this host must not send requests to each replica.

    A replica chooses the retry-after time from the state of its queue, and retrying
    earlier makes the queue longer.
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}
        self._asked: set[str] = set()
        """Replicas that were asked for their start during their backoff."""

    def note(self, replica_id: str, retry_after_s: float, *, now_s: float) -> None:
        """Record a rejection; a longer backoff that is already active is kept."""
        if not self.active(replica_id, now_s):
            self._asked.discard(replica_id)
        known_s = self._until_s.get(replica_id, now_s)
        self._until_s[replica_id] = max(known_s, now_s + retry_after_s)

    def active(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is in backoff."""
        return self.remaining_s(replica_id, now_s) > 0.0

    def claim_question(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica in backoff may be asked for its start, and count it.

        More than two calls in a backoff are forbidden, and a run may have crossed its
        beginning, so it is one question for all streams.
        """
        if not self.active(replica_id, now_s) or replica_id in self._asked:
            return False
        self._asked.add(replica_id)
        return True

    def remaining_s(self, replica_id: str, now_s: float) -> float:
        """Return the remaining backoff of a replica, 0 if there is none."""
        return max(0.0, self._until_s.get(replica_id, now_s) - now_s)

    def forget(self, replica_id: str) -> None:
        """Drop the backoff of a replica that was removed."""
        self._until_s.pop(replica_id, None)
        self._asked.discard(replica_id)
