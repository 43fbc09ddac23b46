"""Load balancing over the replicas of a plain service."""

import random
from collections.abc import Collection, Sequence

from persimmonyoke.internal.dispatch.health import ReplicaHealth
from persimmonyoke.internal.dispatch.loads import WorkLedger
from persimmonyoke.internal.fleet.model import Replica

FAILURE_WEIGHT = 2.0
"""Load that is added to a replica which fails every call."""


def choose_replica(
    replicas: Sequence[Replica],
    *,
    ledger: WorkLedger,
    health: ReplicaHealth,
    excluded: Collection[str],
    own_zone: str,
    now_s: float,
    rng: random.Random,
) -> Replica | None:
    """Return the least loaded replica, preferring healthy ones and the own zone."""
    candidates = [r for r in replicas if r.replica_id not in excluded]
    if not candidates:
        return None

    def rank(replica: Replica) -> tuple[bool, float, bool, float]:
        running = ledger.total(replica.replica_id, now_s=now_s).running
        load = running / max(1, replica.slots)
        load += FAILURE_WEIGHT * health.failure_share(replica.replica_id, now_s)
        return (
            health.paused(replica.replica_id, now_s),
            round(load, 1),
            replica.availability_zone != own_zone,
            rng.random(),
        )

    return min(candidates, key=rank)
