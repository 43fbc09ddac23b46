"""Seeded schedules of claims under pairs of faults of hosts, links and store."""

import random
import time
from collections import Counter

import gevent
from gevent.pool import Pool
from loguru import logger

from persimmonyoke.errors import InvariantViolation
from persimmonyoke.internal.once import outcomes as once
from persimmonyoke_testing.builders_once import ClaimCluster, RandomFaults, uuid7

HOSTS = 3
CALLERS = 14
CONCURRENT = 25
CALLS_S = 0.15
FAULT_S = 0.1
RECOVERY_S = 0.03
FAULT_KINDS = (
    "lost_before",
    "lost_after",
    "late",
    "failed_read",
    "slow",
    "down",
    "forward_loss",
    "confused",
    "kill",
)
ANSWER = once.StoredAnswer.of(200, "text/plain", b"ran")


class ClaimSchedule:
    """Run callers that retry a few keys at three hosts under two faults.

    The faults act at once, end, and act again while the hosts recover.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = ClaimCluster(HOSTS, seed=seed)
        self.faults = self.rng.sample(FAULT_KINDS, 2)
        now_s = time.time()
        timed = [uuid7(now_s, self.rng) for _ in range(2)]
        self.keys = [*timed, "plain-a", "plain-b"]
        self.runs: Counter[str] = Counter()
        self.false_not_run: list[str] = []
        self._finished: set[tuple[str, str]] = set()
        self._lost: set[str] = set()

    def run(self) -> list[str]:
        """Run the schedule and return the problems found."""
        callers = [gevent.spawn(self._call) for _ in range(CALLERS)]
        gevent.sleep(self.rng.uniform(0, RECOVERY_S))
        for _ in range(2):
            self._start_faults()
            gevent.sleep(self.rng.uniform(0.02, FAULT_S))
            self._end_faults()
            gevent.sleep(self.rng.uniform(0, RECOVERY_S))
        gevent.joinall(callers, raise_error=True)
        if not self.cluster.settle():
            return ["operations did not settle"]
        gevent.sleep(0.05)
        return [problem for key in self.keys for problem in self._check(key)]

    def _start_faults(self) -> None:
        store, rates = self.cluster.store, RandomFaults()
        for kind in self.faults:
            if kind in ("lost_before", "lost_after", "late", "failed_read"):
                setattr(rates, kind, self.rng.choice((0.1, 0.3, 0.6)))
            elif kind == "slow":
                store.latency_s = self.rng.choice((0.002, 0.02))
            elif kind == "down":
                store.faults.down = True
            elif kind == "forward_loss":
                self.cluster.forward_loss = self.rng.choice((0.3, 1.0))
            elif kind == "confused":
                self.cluster.split_brain_hosts = {"host-0", "host-1"}
            elif "host-2" not in self.cluster.dead:
                self.cluster.kill("host-2")
        store.random_faults = rates

    def _end_faults(self) -> None:
        self.cluster.heal()
        self.cluster.store.latency_s = 0.0

    def _call(self) -> None:
        gevent.sleep(self.rng.uniform(0, CALLS_S))
        host, key = f"host-{self.rng.randrange(HOSTS)}", self.rng.choice(self.keys)
        service, dead = self.cluster.services[host], self.cluster.dead
        if host in dead:
            return
        outcome = service.claim("w", key, b"body", now_unix_s=time.time())
        if host in dead or not isinstance(outcome, once.ClaimGranted):
            return
        draw = self.rng.random()
        if draw < 0.3:
            service.release(outcome.claim)
            return
        self.runs[key] += 1
        gevent.sleep(self.rng.uniform(0, 0.01))
        if host in dead:
            return
        if draw < 0.45:
            self._lost.add(key)
            service.abandon(outcome.claim)
            return
        service.finish(outcome.claim, ANSWER)
        self._finished.add((host, key))

    def _check(self, key: str) -> list[str]:
        runs, outcome = self.runs[key], self.cluster.claim_until_known(key)
        detail = f"{key} ran {runs} times, then {outcome}"
        problems = [detail] if runs > 1 else []
        granted = isinstance(outcome, once.ClaimGranted)
        # While every host is alive, a key that never ran must be claimable.
        if granted != (not runs) and (runs or not self.cluster.dead):
            problems.append(detail)
        dead = self.cluster.dead
        stored = any(h not in dead for h, k in self._finished if k == key)
        if stored and outcome != once.ClaimReplay(ANSWER):
            problems.append(f"answer lost: {detail}")
        lost = key in self._lost and not isinstance(outcome, once.ClaimOutcomeUnknown)
        if lost and not dead:
            problems.append(f"a lost call is not reported as unknown: {detail}")
        return problems


def run_schedules(count: int, first_seed: int = 0) -> tuple[dict[int, list[str]], str]:
    """Return the problems by seed, and a summary of the pairs of faults."""
    failed: dict[int, list[str]] = {}
    pairs: Counter[str] = Counter()

    def run(seed: int) -> None:
        schedule = ClaimSchedule(seed)
        pairs[" + ".join(sorted(schedule.faults))] += 1
        try:
            problems = schedule.run()
        except InvariantViolation as error:
            problems = [repr(error)]
        if problems:
            failed[seed] = problems

    logger.disable("persimmonyoke")
    try:
        Pool(CONCURRENT).map(run, range(first_seed, first_seed + count))
    finally:
        logger.enable("persimmonyoke")
    return failed, f"{count} schedules, {len(pairs)} pairs of faults"
