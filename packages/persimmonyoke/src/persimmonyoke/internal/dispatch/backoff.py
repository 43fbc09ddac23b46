"""Backoff for replicas that rejected a request with a retry-after time."""


class ReplicaBackoff:
    """Track until when this host must not send requests to each replica.

    A replica chooses the retry-after time from the state of its queue, and retrying
    earlier makes the queue longer.
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def note(self, replica_id: str, retry_after_s: float, *, now_s: float) -> None:
        """Record a rejection; a longer backoff that is already active is kept."""
        known_s = self._until_s.get(replica_id, now_s)
        self._until_s[replica_id] = max(known_s, now_s + retry_after_s)

    def active(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is in backoff."""
        return self.remaining_s(replica_id, now_s) > 0.0

    def remaining_s(self, replica_id: str, now_s: float) -> float:
        """Return the remaining backoff of a replica, 0 if there is none."""
        return max(0.0, self._until_s.get(replica_id, now_s) - now_s)

    def forget(self, replica_id: str) -> None:
        """Drop the backoff of a replica that was removed."""
        self._until_s.pop(replica_id, None)
