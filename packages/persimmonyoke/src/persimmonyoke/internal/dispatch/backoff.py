"""Replicas that asked this host to send them nothing for a while."""


class ReplicaBackoff:
    """Remember until when each replica wants no requests from this host.

    A replica that turned a request away knows its own queue; asking again before the
    time that it named makes the queue longer.
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def note(self, replica_id: str, retry_after_s: float, *, now_s: float) -> None:
        """Note that a replica turned a request away; a longer time stays in force."""
        known_s = self._until_s.get(replica_id, now_s)
        self._until_s[replica_id] = max(known_s, now_s + retry_after_s)

    def active(self, replica_id: str, now_s: float) -> bool:
        """Return whether nothing may be sent to a replica now."""
        return self.remaining_s(replica_id, now_s) > 0.0

    def remaining_s(self, replica_id: str, now_s: float) -> float:
        """Return for how long nothing may be sent to a replica."""
        return max(0.0, self._until_s.get(replica_id, now_s) - now_s)

    def forget(self, replica_id: str) -> None:
        """Drop the time of a replica that is gone."""
        self._until_s.pop(replica_id, None)
