"""Log lines on changes of what a host believes of a replica."""

from persimmonyoke.internal.fleet.replicas import (
    ReplicaChange,
    ReplicaGone,
    ReplicaMissing,
)
from persimmonyoke.internal.fleet.view_age import ViewAge
from persimmonyoke.internal.gateway.journal import Journal


def log_replica_change(
    journal: Journal, change: ReplicaChange, view: ViewAge, *, now_s: float
) -> None:
    """Log a change with the reason and the age of the view behind it."""
    replica = change.replica
    reason = change.reason if isinstance(change, ReplicaGone) else None
    outage_ended_ms = None
    if isinstance(change, ReplicaMissing):
        outage_ended_ms = int(change.outage_ended_ago_s * 1_000)
    journal.event(
        "replica",
        replica=replica.replica_id,
        change=type(change).__name__,
        service=replica.service,
        address=replica.address,
        stage=replica.stage,
        draining=replica.draining,
        software_version=replica.software_version,
        born_unix_ms=replica.born_unix_ms,
        reason=reason,
        outage_ended_ms=outage_ended_ms,
        store_revision=view.revision,
        view_age_ms=int(view.age_s(now_s) * 1_000),
    )
