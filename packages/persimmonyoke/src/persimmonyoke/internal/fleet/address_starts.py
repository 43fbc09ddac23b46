"""Find the entries of replicas whose address a later start has taken."""

from persimmonyoke.internal.fleet.model import Replica


class AddressStarts:
    """Compare the starts of the replicas that name the same address.

    One process listens at an address, so the replica with the earlier start has ended.
    Its entry stays for some heartbeats, and a late write may bring it back.
    """

    def __init__(self) -> None:
        self._at: dict[str, dict[str, int]] = {}
        self.former: set[str] = set()
        """Replicas at whose address another one has started later."""

    def put(self, replica: Replica, previous: Replica | None) -> None:
        """Record the entry of a replica in place of its previous one."""
        if previous is not None and previous.address != replica.address:
            self.remove(previous)
        starts = self._at.setdefault(replica.address, {})
        starts[replica.replica_id] = replica.born_unix_ms
        self._compare(starts)

    def remove(self, replica: Replica) -> None:
        """Remove the entry of a replica."""
        self.former.discard(replica.replica_id)
        starts = self._at.get(replica.address, {})
        starts.pop(replica.replica_id, None)
        if starts:
            self._compare(starts)
        else:
            self._at.pop(replica.address, None)

    def _compare(self, starts: dict[str, int]) -> None:
        """Find the former replicas of one address.

        An entry that names no start can't be compared.
        """
        latest_ms = max(starts.values())
        self.former.difference_update(starts)
        self.former.update(r for r, born in starts.items() if 0 < born < latest_ms)
