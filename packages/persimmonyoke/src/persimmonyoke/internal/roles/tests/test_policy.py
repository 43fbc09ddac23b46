"""Test the role policy."""

import unittest
from dataclasses import replace

from persimmonyoke.internal.roles import (
    ChangeRole,
    HysteresisRolePolicy,
    KeepReason,
    KeepRoles,
    Split,
)
from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_testing.builders_decisions import (
    pool_state,
    role_preset,
    steady_mix,
)


def decide(state, mix, preset=None):
    return HysteresisRolePolicy().decide(state, mix, preset or role_preset(), now_s=0)


def apply_until_stable(split, mix, preset=None):
    """Apply decisions until one keeps the roles; return the splits on the way."""
    splits = []
    decision = decide(pool_state(split), mix, preset)
    while isinstance(decision, ChangeRole) and len(splits) < 20:
        roles = {engine.name: engine.role for engine in pool_state(split).engines}
        split = split.changed(roles[decision.engine], decision.role)
        splits.append(split)
        decision = decide(pool_state(split), mix, preset)
    return splits


class HysteresisRolePolicyTest(unittest.TestCase):
    def test_a_lasting_shift_changes_a_role_and_a_short_one_does_not(self):
        # A change for a mix that ends before the engine is available again only loses
        # capacity.
        state = pool_state(Split(2, 4, 0))
        lasting = steady_mix(5.0, 0.7)
        change = decide(state, lasting)
        self.assertIsInstance(change, ChangeRole)
        self.assertTrue(change.engine.startswith("decode"))
        short = replace(
            steady_mix(5.0, 0.25), fast=lasting.fast, expected_duration_s=4.0
        )
        self.assertIsInstance(decide(state, short), KeepRoles)

    def test_weights_decide_between_goodput_and_role_changes(self):
        # At Kereru, available engines matter more than the last share of goodput.
        state = pool_state(Split(2, 4, 0))
        mix = steady_mix(5.0, 0.45, expected_duration_s=90.0)
        eager = decide(state, mix, role_preset(goodput_weight=3.0))
        careful = decide(state, mix, role_preset(role_change_weight=200.0))
        self.assertIsInstance(eager, ChangeRole)
        self.assertEqual(careful, KeepRoles(KeepReason.GAIN_BELOW_COST))

    def test_only_one_change_is_in_flight(self):
        # Protects the invariant single_order_per_engine and the capacity of the pool.
        state = pool_state(Split(1, 5, 0), change_in_flight=True)
        decision = decide(state, steady_mix(5.0, 0.8))
        self.assertEqual(decision, KeepRoles(KeepReason.CHANGE_IN_FLIGHT))

    def test_the_engine_whose_drain_costs_least_is_selected(self):
        # Draining a busy engine makes it unavailable for longer.
        state = pool_state(Split(1, 5, 0))
        engines = tuple(
            replace(engine, running_sequences=0 if engine.name == "decode-4" else 30)
            for engine in state.engines
        )
        decision = decide(replace(state, engines=engines), steady_mix(5.0, 0.8))
        self.assertEqual(decision.engine, "decode-4")

    def test_bounds_of_the_preset_hold_for_any_mix(self):
        # Operators may require mixed engines or limit prefill for reasons outside the
        # model.
        mix = steady_mix(5.0, 0.8)
        preset = role_preset(max_prefill_share=1 / 3, min_mixed_share=1 / 3)
        for split in apply_until_stable(Split(2, 2, 2), mix, preset):
            self.assertLessEqual(split.prefill, 2)
            self.assertGreaterEqual(split.mixed, 2)

    def test_a_preset_edit_that_forbids_the_split_is_applied_at_any_cost(self):
        # Otherwise, an operator's bound would apply only once the mix requires it.
        preset = role_preset(min_mixed_share=0.34, role_change_weight=1e9)
        decision = decide(pool_state(Split(2, 4, 0)), steady_mix(1.0, 0.3), preset)
        self.assertEqual(decision.role, Role.MIXED)

    def test_a_pool_that_lost_a_phase_is_repaired_without_any_work_offered(self):
        # After a crash of the only prefill engine, every request would be refused.
        for split in (Split(0, 3, 0), Split(1, 0, 0)):
            decision = decide(pool_state(split), steady_mix(0.0, 0.5))
            self.assertEqual(decision.role, Role.MIXED)

    def test_pools_of_no_or_one_engine_do_not_change(self):
        # Draining the only engine would take the pool out of service.
        empty = decide(pool_state(Split(0, 0, 0)), steady_mix(1.0, 0.5))
        self.assertEqual(empty, KeepRoles(KeepReason.NO_ENGINES))
        single = decide(pool_state(Split(0, 0, 1)), steady_mix(1.0, 0.8))
        self.assertEqual(single, KeepRoles(KeepReason.NO_BETTER_SPLIT))

    def test_the_last_engine_of_a_phase_is_not_taken_out_of_service(self):
        # While it drains and changes, the pool would refuse every request.
        mix = steady_mix(2.0, 0.5)
        self.assertIsInstance(decide(pool_state(Split(1, 1, 0)), mix), KeepRoles)
        decision = decide(pool_state(Split(1, 4, 0)), steady_mix(4.0, 0.5))
        self.assertTrue(decision.engine.startswith("decode"))

    def test_an_idle_pool_keeps_its_roles(self):
        # Otherwise, the noise of a few requests would change roles in quiet hours.
        decision = decide(pool_state(Split(2, 4, 0)), steady_mix(0.0, 0.5))
        self.assertEqual(decision, KeepRoles(KeepReason.NO_WORK))

    def test_applying_each_decision_under_a_steady_mix_converges(self):
        # A policy that oscillates between two splits would drain engines all the time.
        for share in (0.1, 0.3, 0.45, 0.6, 0.8):
            splits = apply_until_stable(Split(3, 3, 0), steady_mix(5.0, share))
            self.assertLessEqual(len(splits), 4, f"share {share}: {splits}")
