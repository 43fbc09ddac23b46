"""Aggregation of work reports, done by one host for its availability zone."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from zlib import crc32

from persimmonyoke.internal.dispatch.loads import NO_WORK, ReplicaWork, WorkLedger

REPLICAS_PER_PART = 40
"""Number of replicas whose work fits into one datagram."""

SUSPECT_TTL_S = 0.5
"""Time for which a suspicion is passed on; hosts repeat it while it holds."""

MAX_SUSPECTS = 8
NO_SEQUENCE = 0
"""Sequence number of a host that has sent no report."""


@dataclass(frozen=True)
class WorkDigest:
    """Hold the total work of several hosts at some replicas.

    A digest of many replicas is split into parts; a replica is always in the same part.
    """

    part: int
    work: Mapping[str, ReplicaWork]
    queued_s: float = 0.0
    suspects: tuple[str, ...] = ()


@dataclass(frozen=True)
class _Report:
    """Hold when a host last reported, and the sequence number of that report."""

    heard_s: float
    sequence: int


class Suspects:
    """Track replicas that could not be reached, for ``SUSPECT_TTL_S``."""

    def __init__(self) -> None:
        self._noted_s: dict[str, float] = {}

    def note(self, replica_ids: Collection[str], *, now_s: float) -> None:
        """Record replicas that could not be reached."""
        for replica_id in replica_ids:
            self._noted_s[replica_id] = now_s

    def fresh(self, now_s: float) -> tuple[str, ...]:
        """Return at most ``MAX_SUSPECTS`` replicas that were recorded recently."""
        self._noted_s = {
            replica_id: noted_s
            for replica_id, noted_s in self._noted_s.items()
            if now_s - noted_s < SUSPECT_TTL_S
        }
        return tuple(sorted(self._noted_s))[:MAX_SUSPECTS]


class DigestAggregator:
    """Aggregate the reports of the own zone and the digests of other zones."""

    def __init__(self) -> None:
        self._near = WorkLedger()
        self._far = WorkLedger()
        self._reports: dict[str, _Report] = {}
        self._near_suspects = Suspects()
        self._far_suspects = Suspects()

    def note_report(
        self,
        host: str,
        work: Mapping[str, ReplicaWork],
        *,
        queued_s: float,
        sequence: int,
        now_s: float,
    ) -> None:
        """Replace the report of a host of the own zone."""
        self._near.note_peer(host, work, queued_s=queued_s, now_s=now_s)
        self._reports[host] = _Report(now_s, sequence)

    def note_zone_digest(self, zone: str, digest: WorkDigest, *, now_s: float) -> None:
        """Replace one part of the digest of another zone."""
        name = f"{zone}/{digest.part}"
        self._far.note_peer(name, digest.work, queued_s=digest.queued_s, now_s=now_s)
        self._far_suspects.note(digest.suspects, now_s=now_s)

    def note_suspects(self, replica_ids: Collection[str], *, now_s: float) -> None:
        """Record replicas that a host of the own zone can't reach."""
        self._near_suspects.note(replica_ids, now_s=now_s)

    def sequence_of(self, host: str) -> int:
        """Return the sequence number of the latest report of a host."""
        report = self._reports.get(host)
        return report.sequence if report else NO_SEQUENCE

    def own_zone_digests(self, replica_count: int, *, now_s: float) -> list[WorkDigest]:
        """Return the aggregate over the hosts of the own zone."""
        suspects = self._near_suspects.fresh(now_s)
        return self._digest(self._near, replica_count, suspects, now_s)

    def remote_digests(self, replica_count: int, *, now_s: float) -> list[WorkDigest]:
        """Return the aggregate over all other zones."""
        suspects = self._far_suspects.fresh(now_s)
        return self._digest(self._far, replica_count, suspects, now_s)

    @staticmethod
    def _digest(
        ledger: WorkLedger,
        replica_count: int,
        suspects: tuple[str, ...],
        now_s: float,
    ) -> list[WorkDigest]:
        parts = 1 + replica_count // REPLICAS_PER_PART
        by_part: list[dict[str, ReplicaWork]] = [{} for _ in range(parts)]
        for replica_id, work in ledger.peer_totals(now_s=now_s).items():
            by_part[part_of(replica_id, parts)][replica_id] = work
        queued_s = ledger.peers_queued_s(now_s=now_s)
        first = WorkDigest(0, by_part[0], queued_s, suspects)
        rest = [WorkDigest(n, by_part[n]) for n in range(1, parts)]
        return [first, *rest]


def part_of(replica_id: str, parts: int) -> int:
    """Return the part of a digest that holds a replica."""
    return crc32(replica_id.encode()) % parts


def subtract_report(
    work: Mapping[str, ReplicaWork], reported: Mapping[str, ReplicaWork]
) -> dict[str, ReplicaWork]:
    """Return an aggregate less the report of one host that it includes."""
    rest = dict(work)
    for replica_id, own in reported.items():
        total = rest.get(replica_id, NO_WORK)
        left = ReplicaWork(
            prefill_s=max(0.0, total.prefill_s - own.prefill_s),
            running=max(0, total.running - own.running),
            tokens=max(0, total.tokens - own.tokens),
        )
        if left == NO_WORK:
            rest.pop(replica_id, None)
        else:
            rest[replica_id] = left
    return rest
