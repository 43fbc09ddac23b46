"""Simulate many hosts that choose engines by reports of different ages."""

import random
import statistics
import unittest
from dataclasses import dataclass, field

from persimmonyoke.internal.dispatch.costs import DEFAULT_SPEED
from persimmonyoke.internal.dispatch.loads import PrefillJob, WorkLedger
from persimmonyoke.internal.dispatch.placement import Placement
from persimmonyoke.internal.dispatch.prefixes import PrefixIndex
from persimmonyoke.internal.dispatch.speeds import SlowdownFactors
from persimmonyoke_testing.builders_fleet import ENGINE_LIMITS, engine, prompt

SEED = 5
ZONES = ("akl", "ham", "wlg", "npl")
HOSTS_PER_ZONE = 18
ENGINES_PER_ZONE = 6
NEAR_INTERVAL_S, FAR_INTERVAL_S = 0.08, 0.6
STEP_S = 0.02
LENGTH_S = 4.0
UTILISATION = 0.6
TOKENS = 5_000


@dataclass
class Host:
    """Hold the ledger of one host and its jobs with their end times."""

    name: str
    zone: str
    ledger: WorkLedger = field(default_factory=WorkLedger)
    jobs: list[tuple[float, PrefillJob]] = field(default_factory=list)

    def placement(self, remote_age_s: float) -> Placement:
        placement = Placement(
            self.ledger,
            PrefixIndex(),
            SlowdownFactors(),
            DEFAULT_SPEED,
            own_zone=self.zone,
        )
        placement.set_remote_report_age(remote_age_s)
        return placement

    def end_jobs(self, now_s: float) -> None:
        for end_s, job in self.jobs:
            if end_s <= now_s:
                self.ledger.end_prefill(job)
        self.jobs = [item for item in self.jobs if item[0] > now_s]


def replay_waits(remote_age_s: float, lost: frozenset[str] = frozenset()):
    """Return how long each prompt waited at its engine."""
    rng = random.Random(SEED)
    hosts = [Host(f"{z}-{n}", z) for z in ZONES for n in range(HOSTS_PER_ZONE)]
    placements = [host.placement(remote_age_s) for host in hosts]
    engines = [
        engine(f"{z}-e{n}", zone=z)
        for z in ZONES
        for n in range(ENGINES_PER_ZONE)
        if f"{z}-e{n}" not in lost
    ]
    free_s = {e.replica_id: 0.0 for e in engines}
    prefill_s = TOKENS / DEFAULT_SPEED.prefill_tokens_per_s
    arrivals = UTILISATION * len(engines) / prefill_s * STEP_S
    reported_s = {}
    for host in hosts:
        for peer in hosts:
            interval_s = NEAR_INTERVAL_S if peer.zone == host.zone else FAR_INTERVAL_S
            reported_s[host.name, peer.name] = rng.uniform(-interval_s, 0.0)
    waits, now_s = [], 0.0
    while now_s < LENGTH_S:
        now_s += STEP_S
        for host in hosts:
            host.end_jobs(now_s)
        _report_to_peers(hosts, reported_s, now_s)
        for _ in range(int(arrivals + rng.random())):
            index = rng.randrange(len(hosts))
            plan = placements[index].prefill_plan(
                prompt(TOKENS), engines, ENGINE_LIMITS, now_s=now_s
            )
            name = plan.engine.replica_id
            waits.append(max(0.0, free_s[name] - now_s))
            free_s[name] = max(now_s, free_s[name]) + prefill_s
            job = hosts[index].ledger.begin_prefill(name, prefill_s, now_s=now_s)
            hosts[index].jobs.append((free_s[name], job))
    return waits


def _report_to_peers(hosts, reported_s, now_s):
    for host in hosts:
        work = host.ledger.own_work(now_s=now_s)
        for peer in hosts:
            interval_s = NEAR_INTERVAL_S if peer.zone == host.zone else FAR_INTERVAL_S
            if peer is host or now_s - reported_s[host.name, peer.name] < interval_s:
                continue
            reported_s[host.name, peer.name] = now_s
            peer.ledger.note_peer(host.name, work, queued_s=0.0, now_s=now_s)


class ZonePreferenceTest(unittest.TestCase):
    def test_hosts_that_know_each_other_late_do_not_meet_at_the_same_engines(self):
        # 72 hosts share 24 engines, and the reports of other zones are older than a
        # prefill takes, so hosts of different zones chose the same idle engines.
        print(f"seed {SEED}")
        without_preference_s = statistics.fmean(replay_waits(0.0))
        with_preference_s = statistics.fmean(
            replay_waits(FAR_INTERVAL_S - NEAR_INTERVAL_S)
        )
        print(
            f"mean wait: {without_preference_s:.3f} s without zone preference, "
            f"{with_preference_s:.3f} s with it"
        )
        self.assertLess(with_preference_s, 0.7 * without_preference_s)

    def test_a_zone_that_lost_most_of_its_engines_uses_those_of_others(self):
        lost = frozenset(f"akl-e{n}" for n in range(1, ENGINES_PER_ZONE))
        waits = replay_waits(FAR_INTERVAL_S - NEAR_INTERVAL_S, lost)
        p95_s = statistics.quantiles(waits, n=20)[-1]
        print(f"95% of the waits are below {p95_s:.3f} s")
        # The backlog of the remaining engine may grow to the age of remote reports.
        self.assertLess(p95_s, 2 * FAR_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
