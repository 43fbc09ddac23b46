"""Work that engines and replicas have, as seen by this host and told by its peers."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

PEER_KEEP_S = 1.5
"""Age at which a peer's report of its work is no longer counted."""


@dataclass(frozen=True)
class ReplicaWork:
    """Hold the work that one host has at one replica.

    ``read_s`` is the estimated time of its prompts that are waiting or being read.
    """

    read_s: float = 0.0
    running: int = 0
    tokens: int = 0


NO_WORK = ReplicaWork()


@dataclass(frozen=True)
class PeerWork:
    """Hold a peer's report and when it arrived."""

    heard_s: float
    by_replica: Mapping[str, ReplicaWork]


class WorkLedger:
    """Sum the outstanding work at each replica over all hosts."""

    def __init__(self) -> None:
        self._own: dict[str, ReplicaWork] = defaultdict(ReplicaWork)
        self._peers: dict[str, PeerWork] = {}

    def add(
        self, replica_id: str, *, read_s: float = 0.0, running: int = 0, tokens: int = 0
    ) -> None:
        """Add to the own work at a replica; amounts may be negative."""
        known = self._own[replica_id]
        work = ReplicaWork(
            read_s=max(0.0, known.read_s + read_s),
            running=max(0, known.running + running),
            tokens=max(0, known.tokens + tokens),
        )
        if work.running == 0 and work.read_s < 1e-6:
            self._own.pop(replica_id)
        else:
            self._own[replica_id] = work

    def note_peer(
        self, name: str, by_replica: Mapping[str, ReplicaWork], *, now_s: float
    ) -> None:
        """Replace what a peer told."""
        self._peers[name] = PeerWork(now_s, by_replica)

    def forget_peer(self, name: str) -> None:
        """Drop the report of a peer that is gone."""
        self._peers.pop(name, None)

    def own(self) -> dict[str, ReplicaWork]:
        """Return the own work at each replica."""
        return dict(self._own)

    def own_at(self, replica_id: str) -> ReplicaWork:
        """Return the own work at one replica."""
        return self._own.get(replica_id, NO_WORK)

    def total(self, replica_id: str, *, now_s: float) -> ReplicaWork:
        """Return the work at one replica over all hosts that were heard lately."""
        work = self.own_at(replica_id)
        read_s, running, tokens = work.read_s, work.running, work.tokens
        for peer in self._peers.values():
            if now_s - peer.heard_s > PEER_KEEP_S:
                continue
            other = peer.by_replica.get(replica_id)
            if other is not None:
                read_s += other.read_s
                running += other.running
                tokens += other.tokens
        return ReplicaWork(read_s, running, tokens)
