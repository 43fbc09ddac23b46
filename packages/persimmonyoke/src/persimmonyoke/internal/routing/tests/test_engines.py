"""Test the selection of engines."""

import unittest
from collections import Counter
from math import inf
from random import Random

from persimmonyoke.internal.routing import (
    EngineChoice,
    NoEngine,
    NoEngineReason,
    PrefixIndex,
    choose_engine,
)
from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_testing.builders_decisions import (
    LoadTable,
    engine,
    engines,
    route_request,
)
from persimmonyoke_testing.model_routing import FixedLoad

SEED = 20


def choose(request, candidates, loads=None, index=None, rng=None):
    return choose_engine(
        request,
        candidates,
        LoadTable(loads or {}),
        index or PrefixIndex(),
        now_s=100.0,
        rng=rng or Random(SEED),
    )


class RefusalTest(unittest.TestCase):
    def test_each_way_to_have_no_engine_is_named_and_none_raises(self):
        # An empty or unusable pool must become an error response, not an exception.
        leaving = [engine("a", leaving=True)]
        cases = [
            ([], NoEngineReason.NO_CANDIDATES),
            (leaving, NoEngineReason.ALL_LEAVING),
            ([engine("a", models=("other",))], NoEngineReason.NO_MODEL),
            ([engine("excluded")], NoEngineReason.ALL_EXCLUDED),
            (engines(2, Role.DECODE), NoEngineReason.ROLE_MISSING),
            (engines(2, Role.PREFILL), NoEngineReason.ROLE_MISSING),
        ]
        request = route_request(exclude=frozenset({"excluded"}))
        for candidates, reason in cases:
            with self.subTest(reason=reason):
                self.assertEqual(choose(request, candidates), NoEngine(reason))

    def test_a_leaving_engine_gets_no_work_even_if_it_is_the_only_idle_one(self):
        # Guards invariant no_new_work_when_leaving.
        busy = FixedLoad(queued_prefill_tokens=80_000)
        candidates = [engine("leaving", leaving=True), engine("busy")]
        choice = choose(route_request(), candidates, {"busy": busy})
        self.assertEqual(choice.engine.name, "busy")


class LoadTest(unittest.TestCase):
    def test_a_cache_hit_wins_only_while_it_saves_more_than_the_queue_costs(self):
        # If a hit always outweighs load, a popular prefix overloads one engine.
        pieces = (b"one", b"two")
        index = PrefixIndex()
        index.note_dispatch("holder", pieces, 100.0)
        candidates = [engine("holder"), engine("idle")]
        saved_s = 4_000 / FixedLoad().prefill_tokens_per_s
        for queue_s, winner in ((saved_s * 0.5, "holder"), (saved_s * 2.0, "idle")):
            tokens = queue_s * FixedLoad().prefill_tokens_per_s
            loads = {"holder": FixedLoad(tokens), "idle": FixedLoad()}
            request = route_request(pieces=pieces)
            with self.subTest(queue_s=queue_s):
                choice = choose(request, candidates, loads, index)
                self.assertEqual(choice.engine.name, winner)

    def test_an_engine_that_looks_idle_on_a_late_report_draws_a_bounded_share(self):
        # The engine that looks idle is overloaded if all hosts act on an old report.
        candidates = engines(6)
        loads = {e.name: FixedLoad(8_000, age_s=2.0) for e in candidates}
        loads["mixed-3"] = FixedLoad(0, age_s=2.0)
        rng = Random(SEED)
        drawn = Counter(
            choose(route_request(), candidates, loads, rng=rng).engine.name
            for _ in range(3_000)
        )
        print(f"seed {SEED}: {drawn['mixed-3']} of 3000 requests to the idle engine")
        # Two random candidates of six contain a given engine in a third of the draws.
        self.assertLess(drawn["mixed-3"] / 3_000, 0.37)

    def test_requests_spread_over_all_engines_when_none_has_ever_reported(self):
        # Without reports, a fixed order would send all requests to one engine.
        candidates = engines(6)
        silent = FixedLoad(age_s=inf, prefill_tokens_per_s=0, decode_tokens_per_s=0)
        for loads in ({}, {e.name: silent for e in candidates}):
            rng = Random(SEED)
            drawn = Counter(
                choose(route_request(), candidates, loads, rng=rng).engine.name
                for _ in range(1_200)
            )
            self.assertEqual(len(drawn), 6)
            self.assertLess(max(drawn.values()), 1.5 * 1_200 / 6)

    def test_a_full_engine_loses_to_one_with_a_free_decode_slot(self):
        # A request on a full engine waits for another sequence to end.
        loads = {
            "mixed-0": FixedLoad(running_sequences=40),
            "mixed-1": FixedLoad(running_sequences=10),
        }
        choice = choose(route_request(), engines(2), loads)
        self.assertEqual(choice.engine.name, "mixed-1")

    def test_an_engine_alone_in_its_pool_is_chosen_however_loaded(self):
        # Overload is refused by admission, not by routing.
        choice = choose(route_request(), engines(1), {"mixed-0": FixedLoad(1e6)})
        self.assertEqual(choice.engine.name, "mixed-0")
        self.assertGreater(choice.first_token_s, 100)


class RoleTest(unittest.TestCase):
    def test_split_roles_give_a_pair_and_prefer_the_near_decode_engine(self):
        # A KV transfer to another region costs more than a few running sequences.
        far = engine("far", role=Role.DECODE, region="other", availability_zone="z")
        near = engine("near", role=Role.DECODE)
        loads = {"near": FixedLoad(running_sequences=8)}
        choice = choose(route_request(), [*engines(1, Role.PREFILL), far, near], loads)
        self.assertEqual(choice.engine.role, Role.PREFILL)
        self.assertEqual(choice.decode_engine.name, "near")

    def test_a_mixed_engine_takes_both_phases_unless_the_pair_is_faster(self):
        # A fixed preference for pairs or for mixed engines would leave the others idle.
        split = [engine("p", role=Role.PREFILL), engine("d", role=Role.DECODE)]
        candidates = [engine("m"), *split]
        idle = choose(route_request(), candidates)
        self.assertEqual((idle.engine.name, idle.decode_engine), ("m", None))
        loads = {"m": FixedLoad(queued_prefill_tokens=16_000)}
        busy = choose(route_request(), candidates, loads)
        self.assertEqual((busy.engine.name, busy.decode_engine.name), ("p", "d"))

    def test_mixed_engines_stand_in_for_a_role_that_no_engine_has(self):
        # After a crash of the only decode engine, the pool must continue to serve.
        busy = {"mixed-0": FixedLoad(80_000)}
        prefill_left = choose(
            route_request(), [*engines(1, Role.PREFILL), *engines(1)], busy
        )
        self.assertIsInstance(prefill_left, EngineChoice)
        self.assertEqual(prefill_left.engine.role, Role.PREFILL)
        self.assertEqual(prefill_left.decode_engine.role, Role.MIXED)

    def test_exclusions_and_isolation_hold_for_both_engines_of_a_pair(self):
        # A retry must avoid excluded engines, and a suspect engines with other
        # suspects, in the second phase too.
        candidates = [*engines(2, Role.PREFILL), *engines(2, Role.DECODE)]
        names = frozenset({"prefill-0", "decode-1"})
        retry = choose(route_request(exclude=names), candidates)
        suspect = choose(
            route_request(exclusive=True, suspect_engines=names), candidates
        )
        for choice in (retry, suspect):
            self.assertEqual(choice.engine.name, "prefill-1")
            self.assertEqual(choice.decode_engine.name, "decode-0")

    def test_a_suspect_still_runs_if_every_engine_holds_another_suspect(self):
        # Isolation is a preference; a refusal here would fail an innocent request.
        request = route_request(
            exclusive=True, suspect_engines=frozenset({"mixed-0", "mixed-1"})
        )
        self.assertIsInstance(choose(request, engines(2)), EngineChoice)

    def test_zones_under_maintenance_are_used_only_as_a_last_resort(self):
        # Requests that only the drained zone can run must not be refused.
        request = route_request(avoid_zones=frozenset({"zone-a"}))
        other = engine("other", availability_zone="zone-b")
        self.assertEqual(choose(request, [*engines(3), other]).engine.name, "other")
        self.assertIsInstance(choose(request, engines(2)), EngineChoice)
