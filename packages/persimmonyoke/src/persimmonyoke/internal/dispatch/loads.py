"""Work that engines and replicas have, as seen by this host and told by its peers."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

PEER_REPORT_TTL_S = 1.5
"""Age at which a peer's report of its work is no longer counted."""

OVERDUE_S = 0.03
"""Time that a prompt still counts whose answer is overdue."""

SUM_CACHE_TTL_S = 0.005
"""Time for which a sum over all peers is kept while no work was added or ended.

Engines read on by as much meanwhile; planning asks for each sum dozens of times.
"""


@dataclass(frozen=True)
class ReplicaWork:
    """Hold the work that one host has at one replica.

    ``read_s`` is the time that its prompts still need to be read.
    """

    prefill_s: float = 0.0
    running: int = 0
    tokens: int = 0


NO_WORK = ReplicaWork()


@dataclass(frozen=True)
class PrefillJob:
    """Hold a prompt that was sent to an engine, and when it should be read."""

    replica_id: str
    prefill_s: float
    expected_done_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return the time that the engine still needs if this job is read now."""
        return min(self.prefill_s, max(OVERDUE_S, self.expected_done_s - now_s))


@dataclass
class _Runs:
    """Hold the number and the tokens of the own runs at one replica."""

    running: int = 0
    tokens: int = 0


@dataclass(frozen=True)
class PeerWork:
    """Hold a peer's report and when it arrived."""

    heard_s: float
    by_replica: Mapping[str, ReplicaWork]
    queued_s: float


NO_PEER_WORK = PeerWork(float("-inf"), {}, 0.0)


@dataclass(frozen=True)
class _WorkSum:
    """Hold the work of all hosts at one replica, and when it was summed up."""

    work: ReplicaWork
    summed_s: float


class WorkLedger:
    """Sum the outstanding work at each replica over all hosts."""

    def __init__(self) -> None:
        self._jobs: dict[str, list[PrefillJob]] = {}
        self._runs: dict[str, _Runs] = {}
        self._peers: dict[str, PeerWork] = {}
        self._peers_at: dict[str, set[str]] = {}
        self._sums: dict[str, _WorkSum] = {}
        self.own_changes = 0
        """Number of the changes of the own work."""

    def begin_prefill(
        self, replica_id: str, prefill_s: float, *, now_s: float
    ) -> PrefillJob:
        """Note a prompt that is sent to an engine now."""
        wait_s = self.backlog_s(replica_id, now_s=now_s)
        job = PrefillJob(replica_id, prefill_s, now_s + wait_s + prefill_s)
        self._jobs.setdefault(replica_id, []).append(job)
        self._note_own_change(replica_id)
        return job

    def end_prefill(self, job: PrefillJob) -> None:
        """Note that a prompt was read, or will not be."""
        jobs = self._jobs[job.replica_id]
        jobs.remove(job)
        self._note_own_change(job.replica_id)
        if not jobs:
            del self._jobs[job.replica_id]

    def begin_run(self, replica_id: str, tokens: int = 0) -> None:
        """Note a request that runs at a replica from now on."""
        runs = self._runs.setdefault(replica_id, _Runs())
        runs.running += 1
        runs.tokens += tokens
        self._note_own_change(replica_id)

    def end_run(self, replica_id: str, tokens: int = 0) -> None:
        """Note the end of a request that was begun with the same tokens."""
        runs = self._runs[replica_id]
        runs.running -= 1
        runs.tokens -= tokens
        self._note_own_change(replica_id)
        if runs.running == 0:
            del self._runs[replica_id]

    def _note_own_change(self, replica_id: str) -> None:
        self.own_changes += 1
        self._sums.pop(replica_id, None)

    def note_peer(
        self,
        name: str,
        by_replica: Mapping[str, ReplicaWork],
        *,
        queued_s: float,
        now_s: float,
    ) -> None:
        """Replace what a peer told."""
        known = self._peers.get(name, NO_PEER_WORK).by_replica
        for replica_id in known.keys() - by_replica.keys():
            self._forget_peer_at(replica_id, name)
        for replica_id in by_replica.keys() - known.keys():
            self._peers_at.setdefault(replica_id, set()).add(name)
        for replica_id in known.keys() | by_replica.keys():
            self._sums.pop(replica_id, None)
        self._peers[name] = PeerWork(now_s, by_replica, queued_s)

    def _forget_peer_at(self, replica_id: str, name: str) -> None:
        names = self._peers_at[replica_id]
        names.discard(name)
        if not names:
            del self._peers_at[replica_id]

    def own_work(self, *, now_s: float) -> dict[str, ReplicaWork]:
        """Return the own work at each replica."""
        return {
            replica_id: self._own_at(replica_id, now_s)
            for replica_id in self._jobs.keys() | self._runs.keys()
        }

    def peer_totals(self, *, now_s: float) -> dict[str, ReplicaWork]:
        """Return the work at each replica that peers told of lately."""
        totals = {
            replica_id: self.total(replica_id, now_s=now_s)
            for replica_id in self._peers_at
        }
        return {r: work for r, work in totals.items() if work != NO_WORK}

    def total(self, replica_id: str, *, now_s: float) -> ReplicaWork:
        """Return the work at one replica over all hosts that were heard lately."""
        known = self._sums.get(replica_id)
        if known is None or not 0.0 <= now_s - known.summed_s < SUM_CACHE_TTL_S:
            known = _WorkSum(self._sum_up(replica_id, now_s), now_s)
            self._sums[replica_id] = known
        return known.work

    def forget(self, replica_id: str) -> None:
        """Drop the sum of a replica that is gone."""
        self._sums.pop(replica_id, None)

    def _sum_up(self, replica_id: str, now_s: float) -> ReplicaWork:
        own = self._own_at(replica_id, now_s)
        reported_s, running, tokens = own.prefill_s, own.running, own.tokens
        unread: list[tuple[float, float]] = []
        # One plan sums up dozens of engines with the reports of dozens of peers.
        for name in self._peers_at.get(replica_id, ()):
            peer = self._peers[name]
            age_s = now_s - peer.heard_s
            if age_s > PEER_REPORT_TTL_S:
                continue
            work = peer.by_replica[replica_id]
            running += work.running
            tokens += work.tokens
            if work.prefill_s > 0.0:
                reported_s += work.prefill_s
                unread.append((work.prefill_s, age_s))
        left_s = sum(
            _remaining_peer_s(prefill_s, age_s, reported_s)
            for prefill_s, age_s in unread
        )
        return ReplicaWork(own.prefill_s + left_s, running, tokens)

    def backlog_s(self, replica_id: str, *, now_s: float) -> float:
        """Return the time of the prompts that an engine has still to read."""
        return self.total(replica_id, now_s=now_s).prefill_s

    def peers_queued_s(self, *, now_s: float) -> float:
        """Return the time of the prompts that wait at peers for an engine."""
        return sum(peer.queued_s for peer in self._fresh_peers(now_s))

    def _fresh_peers(self, now_s: float) -> list[PeerWork]:
        return [
            p for p in self._peers.values() if now_s - p.heard_s <= PEER_REPORT_TTL_S
        ]

    def _own_at(self, replica_id: str, now_s: float) -> ReplicaWork:
        jobs = self._jobs.get(replica_id, ())
        runs = self._runs.get(replica_id)
        return ReplicaWork(
            prefill_s=_remaining_s(jobs, now_s),
            running=runs.running if runs else 0,
            tokens=runs.tokens if runs else 0,
        )


def _remaining_s(jobs: Sequence[PrefillJob], now_s: float) -> float:
    """Return the time of jobs that an engine reads one after the other.

    Only the first one can have been read in part. The others count in full even when
    they should be done by now, since an engine that is late is late with all of them.
    """
    if not jobs:
        return 0.0
    return jobs[0].remaining_s(now_s) + sum(job.prefill_s for job in jobs[1:])


def _remaining_peer_s(prefill_s: float, age_s: float, reported_s: float) -> float:
    """Return what is left of a peer's prompts that an engine had to read ``age_s`` ago.

    The engine has read on since then, also prompts of others; each had its share.
    With many peers a report is half a second old, as long as the prompts it tells of.
    """
    return prefill_s * max(0.0, 1.0 - age_s / reported_s)
