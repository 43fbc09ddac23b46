"""Test routing on a model of hosts and engines with late and lost reports."""

import unittest
from random import Random

from persimmonyoke.internal.routing import NoReplica, ServiceRoute, choose_service
from persimmonyoke_testing.builders_decisions import LoadTable, engine, engines
from persimmonyoke_testing.model_routing import (
    FixedLoad,
    FleetModel,
    FleetSettings,
    least_loaded,
)

SEEDS = (3, 4)


class FleetTest(unittest.TestCase):
    def test_late_and_lost_events_keep_nine_tenths_of_the_hits_without_queues(self):
        # Target: hits >= 0.9 of perfect knowledge, queues as with least-loaded.
        settings = FleetSettings(utilisation=2.0, cache_pieces=60)
        for seed in SEEDS:
            real = FleetModel(settings, seed=seed).run()
            exact = FleetModel(settings, seed=seed, exact_index=True).run()
            least = FleetModel(settings, seed=seed, choose=least_loaded).run()
            ratio = real.hit_pieces / exact.hit_pieces
            print(f"seed {seed}: hits {ratio:.3f} of exact, queue {real.mean_queue_s}")
            self.assertGreaterEqual(ratio, 0.9)
            self.assertLessEqual(real.mean_queue_s, least.mean_queue_s)

    def test_reports_two_seconds_late_leave_no_engine_with_a_long_queue(self):
        # Target: worst engine's queue <= 1.5 of the mean; no prefix is shared here.
        for scaled in (True, False):
            settings = FleetSettings(
                families=100_000, utilisation=0.9, scaled_to_hosts=scaled
            )
            for seed in SEEDS:
                figures = FleetModel(settings, seed=seed).run()
                print(f"seed {seed}: worst {figures.worst_engine_over_mean:.2f}")
                self.assertLessEqual(figures.worst_engine_over_mean, 1.5)


class ServiceTest(unittest.TestCase):
    def test_the_less_loaded_replica_wins_and_the_own_zone_breaks_ties(self):
        # Needless cross-zone calls add latency to each lookup.
        near = engine("near", availability_zone="zone-b")
        replicas = [*engines(1), near]
        route = ServiceRoute(availability_zone="zone-b")
        rng = Random(SEEDS[0])
        idle = choose_service(route, replicas, LoadTable(), now_s=0.0, rng=rng)
        self.assertEqual(idle.replica, near)
        load = LoadTable({"near": FixedLoad(running_sequences=3)})
        busy = choose_service(route, replicas, load, now_s=0.0, rng=rng)
        self.assertEqual(busy.replica.name, "mixed-0")

    def test_leaving_and_excluded_replicas_are_never_chosen(self):
        # Guards invariant no_new_work_when_leaving and retries on the failed replica.
        replicas = [engine("leaving", leaving=True), engine("failed")]
        route = ServiceRoute(exclude=frozenset({"failed"}))
        for candidates in (replicas, replicas[:1], []):
            choice = choose_service(
                route, candidates, LoadTable(), now_s=0.0, rng=Random(1)
            )
            self.assertIsInstance(choice, NoReplica)
