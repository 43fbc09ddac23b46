"""Outstanding work at replicas, from own requests and the reports of peers."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

PEER_REPORT_TTL_S = 1.5
"""Age at which a peer's work report is ignored."""

OVERDUE_S = 0.03
"""Remaining time assumed for a prompt whose prefill response is overdue."""

SUM_CACHE_TTL_S = 0.005
"""Time for which the total of a replica is cached if its work does not change.

Planning asks for each total dozens of times. A cached total is at most this much too
high, since engines continue with their prefills meanwhile.
"""


@dataclass(frozen=True)
class ReplicaWork:
    """Hold the work that one host has at one replica.

    ``prefill_s`` is the remaining prefill time of its prompts.
    """

    prefill_s: float = 0.0
    running: int = 0
    tokens: int = 0


NO_WORK = ReplicaWork()


@dataclass(frozen=True)
class PrefillJob:
    """Hold a prefill that was sent to an engine, and when it should be done."""

    replica_id: str
    prefill_s: float
    expected_done_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining time, assuming that the engine is running this job."""
        return min(self.prefill_s, max(OVERDUE_S, self.expected_done_s - now_s))


@dataclass
class _Runs:
    """Hold the number and the tokens of this host's running requests at one replica."""

    running: int = 0
    tokens: int = 0


@dataclass(frozen=True)
class PeerWork:
    """Hold a peer's report and its time of arrival."""

    heard_s: float
    by_replica: Mapping[str, ReplicaWork]
    queued_s: float


NO_PEER_WORK = PeerWork(float("-inf"), {}, 0.0)


@dataclass(frozen=True)
class _WorkSum:
    """Hold the cached total of one replica, and when it was computed."""

    work: ReplicaWork
    summed_s: float


class WorkLedger:
    """Total the outstanding work at each replica over all hosts."""

    def __init__(self) -> None:
        self._jobs: dict[str, list[PrefillJob]] = {}
        self._runs: dict[str, _Runs] = {}
        self._peers: dict[str, PeerWork] = {}
        self._peers_at: dict[str, set[str]] = {}
        self._sums: dict[str, _WorkSum] = {}
        self.own_changes = 0
        """Number of changes to this host's own work so far."""

    def begin_prefill(
        self, replica_id: str, prefill_s: float, *, now_s: float
    ) -> PrefillJob:
        """Record a prefill that is being sent to an engine."""
        wait_s = self.backlog_s(replica_id, now_s=now_s)
        job = PrefillJob(replica_id, prefill_s, now_s + wait_s + prefill_s)
        self._jobs.setdefault(replica_id, []).append(job)
        self._note_own_change(replica_id)
        return job

    def end_prefill(self, job: PrefillJob) -> None:
        """Remove a prefill that is done or cancelled."""
        jobs = self._jobs[job.replica_id]
        jobs.remove(job)
        self._note_own_change(job.replica_id)
        if not jobs:
            del self._jobs[job.replica_id]

    def begin_run(self, replica_id: str, tokens: int = 0) -> None:
        """Record a request that starts at a replica."""
        runs = self._runs.setdefault(replica_id, _Runs())
        runs.running += 1
        runs.tokens += tokens
        self._note_own_change(replica_id)

    def end_run(self, replica_id: str, tokens: int = 0) -> None:
        """Remove a request; ``tokens`` must equal those of ``begin_run``."""
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
        """Replace the report of a peer."""
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
        """Return the work of this host at each replica."""
        return {
            replica_id: self._own_at(replica_id, now_s)
            for replica_id in self._jobs.keys() | self._runs.keys()
        }

    def peer_totals(self, *, now_s: float) -> dict[str, ReplicaWork]:
        """Return the non-zero totals of the replicas that peers reported on."""
        totals = {
            replica_id: self.total(replica_id, now_s=now_s)
            for replica_id in self._peers_at
        }
        return {r: work for r, work in totals.items() if work != NO_WORK}

    def total(self, replica_id: str, *, now_s: float) -> ReplicaWork:
        """Return the work at one replica, over this host and all fresh peer reports."""
        known = self._sums.get(replica_id)
        if known is None or not 0.0 <= now_s - known.summed_s < SUM_CACHE_TTL_S:
            known = _WorkSum(self._sum_up(replica_id, now_s), now_s)
            self._sums[replica_id] = known
        return known.work

    def forget(self, replica_id: str) -> None:
        """Drop the cached total of a replica that was removed."""
        self._sums.pop(replica_id, None)

    def _sum_up(self, replica_id: str, now_s: float) -> ReplicaWork:
        own = self._own_at(replica_id, now_s)
        reported_s, running, tokens = own.prefill_s, own.running, own.tokens
        unfinished: list[tuple[float, float]] = []
        # A hot path: one plan computes this for dozens of engines, each with the
        # reports of dozens of peers.
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
                unfinished.append((work.prefill_s, age_s))
        peers_prefill_s = sum(
            _remaining_peer_s(prefill_s, age_s, reported_s)
            for prefill_s, age_s in unfinished
        )
        return ReplicaWork(own.prefill_s + peers_prefill_s, running, tokens)

    def backlog_s(self, replica_id: str, *, now_s: float) -> float:
        """Return the remaining prefill time of the prompts sent to an engine."""
        return self.total(replica_id, now_s=now_s).prefill_s

    def peers_queued_s(self, *, now_s: float) -> float:
        """Return the prefill time of the prompts that are queued at peers."""
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
    """Return the remaining time of jobs that an engine runs one after the other.

    Only the first job can be partly done. The others count in full even after their
    expected end, because an engine that is late with one job is late with all of them.
    """
    if not jobs:
        return 0.0
    return jobs[0].remaining_s(now_s) + sum(job.prefill_s for job in jobs[1:])


def _remaining_peer_s(prefill_s: float, age_s: float, reported_s: float) -> float:
    """Return the remaining part of prefill work that a peer reported ``age_s`` ago.

    The engine has continued since then; its progress is split over all reported work
    in proportion. With many peers a report is half a second old, as long as the
    prefills that it covers.
    """
    return prefill_s * max(0.0, 1.0 - age_s / reported_s)
