"""Test the choice of engines for prefill and decode."""

import random
import unittest
from dataclasses import replace

from persimmonyoke.internal.dispatch.costs import DEFAULT_SPEED, prefill_s
from persimmonyoke.internal.dispatch.limits import ReplicaLimits
from persimmonyoke.internal.dispatch.loads import ReplicaWork, WorkLedger
from persimmonyoke.internal.dispatch.placement import (
    HeldTokens,
    KvSources,
    Placement,
)
from persimmonyoke.internal.dispatch.prefixes import PART_TTL_S, PrefixIndex
from persimmonyoke.internal.dispatch.speeds import SlowdownFactors
from persimmonyoke.internal.fleet.model import Stage
from persimmonyoke_testing.builders_fleet import ENGINE_LIMITS, engine, prompt

NOW_S = 100.0
SEED = 13


class Fleet:
    """Hold engines and the state from which placement decides."""

    def __init__(self, *engines):
        self.engines = engines
        self.ledger = WorkLedger()
        self.prefixes = PrefixIndex()
        self.factors = SlowdownFactors()
        self.placement = Placement(
            self.ledger, self.prefixes, self.factors, DEFAULT_SPEED
        )

    def plan(self, wanted, now_s=NOW_S):
        return self.placement.prefill_plan(
            wanted, self.engines, ENGINE_LIMITS, now_s=now_s
        )


class LimitedEngineTest(unittest.TestCase):
    def setUp(self):
        self.limits = ReplicaLimits("h1")
        self.engines = [engine("p1"), engine("p2"), engine("d1", Stage.DECODE)]
        self.placement = Placement(
            WorkLedger(),
            PrefixIndex(),
            SlowdownFactors(),
            DEFAULT_SPEED,
            limits=self.limits,
        )

    def limit(self, *names):
        for name in names:
            self.limits.note_named(name, 1.0, hosts=("h2",), now_s=NOW_S)
            self.limits.take(name, NOW_S)

    def plan(self):
        return self.placement.prefill_plan(
            prompt(1_000, 500), self.engines, ENGINE_LIMITS, now_s=NOW_S
        )

    def test_an_engine_whose_limit_is_used_up_is_passed_over(self):
        for name, other in (("p1", "p2"), ("p2", "p1")):
            self.limits.forget(other)
            self.limit(name)
            self.assertEqual(self.plan().engine.replica_id, other)

    def test_prompts_wait_for_limited_engines_and_do_not_go_to_decode_engines(self):
        self.limit("p1", "p2")
        plan = self.plan()
        self.assertFalse(plan.local)
        self.assertGreater(plan.wait_s, 1.0)
        self.assertFalse(self.placement.any_accepts_prompt(self.engines, now_s=NOW_S))

    def test_each_waiting_prompt_adds_to_the_wait_for_limited_engines(self):
        # Prompts waited in the queue until their deadline, and were refused then.
        self.limit("p1", "p2")
        waits_s = [
            self.placement.limits_wait_s(self.engines, waiting=count, now_s=NOW_S)
            for count in (0, 10)
        ]
        self.assertGreater(waits_s[1], waits_s[0] + 5.0)


class CountingIndex(PrefixIndex):
    """Count the lookups of fetchable tokens."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def fetchable_tokens(self, *arguments, **options):
        self.lookups += 1
        return super().fetchable_tokens(*arguments, **options)


class SourceTest(unittest.TestCase):
    def test_a_plan_over_many_engines_asks_only_those_that_hold_the_first_part(self):
        # Comparing each pair of engines took thousands of lookups for a plan, and one
        # lookup for each engine still took a sixth of the planning time.
        engines = [engine(f"e{number}") for number in range(70)]
        index = CountingIndex()
        placement = Placement(WorkLedger(), index, SlowdownFactors(), DEFAULT_SPEED)
        wanted = prompt(13_300, 3_700)
        index.note("e3", wanted.parts[:1], now_s=NOW_S)
        placement.prefill_plan(wanted, engines, ENGINE_LIMITS, now_s=NOW_S)
        self.assertEqual(index.lookups, 1)

    def test_the_source_is_the_one_that_a_comparison_with_each_engine_finds(self):
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        for _ in range(300):
            engines = [
                engine(f"e{n}", zone=f"zone-{rng.randrange(3)}") for n in range(6)
            ]
            held = [HeldTokens(e, rng.choice((500, 900))) for e in engines[:4]]
            holders = rng.sample(held, rng.randrange(5))
            sources = KvSources(holders)
            for prefill_engine in engines:
                found = sources.best_for(prefill_engine)
                key = None if found is None else self.key(found, prefill_engine)
                others = [h for h in holders if h.engine is not prefill_engine]
                keys = [self.key(h, prefill_engine) for h in others]
                self.assertEqual(key, max(keys, default=None))

    def key(self, held, prefill_engine):
        same_zone = held.engine.availability_zone == prefill_engine.availability_zone
        return held.tokens, same_zone


class ManyEnginesTest(unittest.TestCase):
    def fleet(self, rng):
        """Return engines with random backlogs and cached parts."""
        engines = [engine(f"e{n}", zone=f"zone-{n % 3}") for n in range(12)]
        fleet = Fleet(*engines)
        wanted = prompt(13_300, 3_700)
        for item in engines:
            name = item.replica_id
            fleet.ledger.begin_prefill(name, rng.choice((0.0, 0.1, 0.4)), now_s=NOW_S)
            if rng.random() < 0.3:
                fleet.prefixes.note(name, wanted.parts[:1], now_s=NOW_S)
        fleet.placement.set_remote_report_age(rng.choice((0.0, 0.4)))
        return fleet, wanted

    def test_no_engine_that_is_passed_over_would_read_the_prompt_sooner(self):
        # Engines are ruled out by their backlog before their plan is computed.
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        for _ in range(200):
            fleet, wanted = self.fleet(rng)
            best = fleet.plan(wanted)
            for item in fleet.engines:
                # With the others as decode engines, which only serve as sources, the
                # result is the plan of this engine.
                others = [
                    replace(e, stage=Stage.DECODE) for e in fleet.engines if e != item
                ]
                alone = fleet.placement.prefill_plan(
                    wanted, [item, *others], ENGINE_LIMITS, now_s=NOW_S
                )
                self.assertLessEqual(best.rank_s, alone.rank_s)


class ReadPlanTest(unittest.TestCase):
    def test_the_engine_with_the_shortest_backlog_reads_a_new_prompt(self):
        fleet = Fleet(engine("e1"), engine("e2"))
        fleet.ledger.begin_prefill("e1", 0.5, now_s=NOW_S)
        self.assertEqual(fleet.plan(prompt(1_000)).engine.replica_id, "e2")

    def test_work_of_peers_counts(self):
        fleet = Fleet(engine("e1"), engine("e2"))
        work = {"e1": ReplicaWork(prefill_s=0.5)}
        fleet.ledger.note_peer("host-2", work, queued_s=0.0, now_s=NOW_S)
        self.assertEqual(fleet.plan(prompt(1_000)).engine.replica_id, "e2")

    def test_a_cached_shared_part_outweighs_a_short_backlog(self):
        # Placement by load alone prefills the 13,300 shared tokens again and again.
        fleet = Fleet(engine("e1"), engine("e2"))
        wanted = prompt(13_300, 3_700)
        fleet.prefixes.note("e1", wanted.parts[:1], now_s=NOW_S)
        fleet.ledger.begin_prefill("e1", 0.1, now_s=NOW_S)
        self.assertEqual(fleet.plan(wanted).engine.replica_id, "e1")

    def test_a_long_backlog_moves_a_shared_part_instead_of_reading_it_again(self):
        fleet = Fleet(engine("e1"), engine("e2"))
        wanted = prompt(13_300, 3_700)
        fleet.prefixes.note("e1", wanted.parts[:1], now_s=NOW_S)
        fleet.ledger.begin_prefill("e1", 2.0, now_s=NOW_S)
        plan = fleet.plan(wanted)
        self.assertEqual(plan.engine.replica_id, "e2")
        self.assertEqual(plan.fetch_from.replica_id, "e1")
        self.assertLess(plan.prefill_s, prefill_s(17_000, 0, DEFAULT_SPEED) / 2)

    def test_a_part_that_is_being_read_is_not_read_twice(self):
        # At a cold start, two requests with one shared part had it prefilled on two
        # engines.
        fleet = Fleet(engine("e1"), engine("e2"))
        wanted = prompt(13_300, 3_700)
        fleet.ledger.begin_prefill("e1", 0.3, now_s=NOW_S)
        fleet.prefixes.note("e1", wanted.parts[:1], now_s=NOW_S, ready_in_s=0.35)
        self.assertEqual(fleet.plan(wanted).engine.replica_id, "e1")

    def test_a_part_that_is_being_read_cannot_be_fetched_yet(self):
        fleet = Fleet(engine("e1"), engine("e2"))
        wanted = prompt(13_300, 3_700)
        fleet.ledger.begin_prefill("e1", 3.0, now_s=NOW_S)
        fleet.prefixes.note("e1", wanted.parts[:1], now_s=NOW_S, ready_in_s=3.0)
        plan = fleet.plan(wanted)
        self.assertEqual((plan.engine.replica_id, plan.fetch_from), ("e2", None))

    def test_an_old_part_counts_as_evicted(self):
        fleet = Fleet(engine("e1"))
        wanted = prompt(13_300)
        fleet.prefixes.note("e1", wanted.parts, now_s=NOW_S)
        fresh = fleet.plan(wanted).prefill_s
        old = fleet.plan(wanted, now_s=NOW_S + PART_TTL_S + 1).prefill_s
        self.assertLess(fresh, old)

    def test_a_slow_engine_is_expected_to_be_slow(self):
        fleet = Fleet(engine("e1"), engine("e2"))
        for _ in range(30):
            fleet.factors.note("e1", expected_s=0.1, actual_s=0.2)
        self.assertEqual(fleet.plan(prompt(5_000)).engine.replica_id, "e2")

    def test_without_prefill_engines_decode_engines_read(self):
        fleet = Fleet(engine("e1", Stage.DECODE))
        plan = fleet.plan(prompt(1_000))
        self.assertTrue(plan.local)

    def test_without_engines_there_is_no_plan(self):
        self.assertIsNone(Fleet().plan(prompt(1_000)))


class DecoderTest(unittest.TestCase):
    def test_the_decode_engine_with_more_room_is_chosen(self):
        fleet = Fleet(engine("d1", Stage.DECODE), engine("d2", Stage.DECODE))
        for _ in range(20):
            fleet.ledger.begin_run("d1", 10_000)
        chosen = fleet.placement.decoder(
            fleet.engines, ENGINE_LIMITS, zone="zone-a", now_s=NOW_S
        )
        self.assertEqual(chosen.replica_id, "d2")

    def test_the_zone_decides_between_equal_engines(self):
        # Transfers between zones take twice as long and cost more.
        fleet = Fleet(
            engine("d1", Stage.DECODE, zone="zone-b"),
            engine("d2", Stage.DECODE, zone="zone-a"),
        )
        chosen = fleet.placement.decoder(
            fleet.engines, ENGINE_LIMITS, zone="zone-a", now_s=NOW_S
        )
        self.assertEqual(chosen.replica_id, "d2")


if __name__ == "__main__":
    unittest.main()
