"""Tests of the planners of orders."""

import unittest

from persimmonyoke.internal.authority.controller import PlannedOrder
from persimmonyoke.internal.authority.orders import OrderInDoubt, OrderNotSent
from persimmonyoke.internal.node.planners import (
    DRAIN_NOTICE_S,
    MAX_NOTICE_S,
    SETTLE_S,
    DrainingPlanner,
    ModelPlanner,
    RolePlanner,
)
from persimmonyoke.internal.presets import ModelSpec
from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_testing.builders_node import (
    MODEL,
    FixedChange,
    LimitedWeightStore,
    ListPlanner,
    StateClient,
    build_state,
    build_upstream,
)

NOT_SENT = OrderNotSent("refused")
IN_DOUBT = OrderInDoubt(None, "no answer")


def role_order(engine="engine-1"):
    return PlannedOrder(engine, "a", "change_role", {"role": "decode"}, "test")


class ModelPlannerTest(unittest.TestCase):
    def planner(self, state, *, slots=1):
        models = (ModelSpec(MODEL, "1", ("names",)),)
        self.weights = LimitedWeightStore(slots)
        return ModelPlanner(
            engines=lambda: (build_upstream(),),
            models=lambda: models,
            client_of=lambda engine: StateClient(state),
            weights=self.weights,
        )

    def test_what_is_lacking_is_ordered_in_turn(self):
        # An engine without the model refuses all requests for it.
        cases = (
            (build_state(models=()), "load_model"),
            (build_state(version="0"), "load_version"),
            (build_state(), "load_adapter"),
            (build_state(adapters=("names",)), None),
        )
        for state, action in cases:
            with self.subTest(action):
                planned = self.planner(state).plan(now_s=0.0)
                self.assertEqual(planned and planned.action, action)

    def test_weights_are_loaded_only_with_a_slot_of_the_weight_store(self):
        # Engines that load at the same time would exceed the weight store's rate.
        planner = self.planner(build_state(models=()), slots=0)
        self.assertIsNone(planner.plan(now_s=0.0))
        self.assertIsNone(planner.plan(now_s=1.0))
        self.assertEqual(self.weights.asked, 1)

    def test_a_refused_order_is_not_repeated_at_once(self):
        planner = self.planner(build_state())
        planned = planner.plan(now_s=0.0)
        planner.note_outcome(planned, NOT_SENT)
        self.assertIsNone(planner.plan(now_s=0.0))


class DrainingPlannerTest(unittest.TestCase):
    def setUp(self):
        self.announced = []

    def planner(self, orders):
        planner = DrainingPlanner(ListPlanner(orders), announce=lambda: self.note())
        self.under_test = planner
        return planner

    def note(self):
        self.announced.append(self.under_test.draining_engines(0.0))

    def test_an_engine_is_announced_before_its_order_and_until_it_ended(self):
        # New work would have to wait until the role change is complete.
        planner = self.planner([role_order()])
        self.assertIsNone(planner.plan(now_s=0.0))
        self.assertEqual(self.announced, [("engine-1",)])
        self.assertIsNone(planner.plan(now_s=DRAIN_NOTICE_S / 2))
        planned = planner.plan(now_s=DRAIN_NOTICE_S)
        self.assertEqual(planned, role_order())
        planner.note_outcome(planned, IN_DOUBT)
        self.assertEqual(planner.draining_engines(1.0), ("engine-1",))
        # The controller plans again only when no order is open.
        self.assertIsNone(planner.plan(now_s=9.0))
        # Hosts that have not read the new role yet send requests that it refuses.
        self.assertEqual(planner.draining_engines(9.0), ("engine-1",))
        planner.plan(now_s=9.0 + SETTLE_S)
        self.assertEqual(planner.draining_engines(9.0 + SETTLE_S), ())

    def test_a_change_that_is_never_ordered_gives_its_engine_back(self):
        # Without the store no order is issued, and the engine would stay idle.
        planner = self.planner([role_order()])
        planner.plan(now_s=0.0)
        self.assertEqual(planner.draining_engines(MAX_NOTICE_S + 0.1), ())
        planner.plan(now_s=60.0)
        self.assertEqual(planner.draining_engines(60.0), ("engine-1",))

    def test_an_engine_that_refuses_is_used_again_at_once(self):
        planner = self.planner([role_order()])
        planner.plan(now_s=0.0)
        planner.note_outcome(planner.plan(now_s=DRAIN_NOTICE_S), NOT_SENT)
        self.assertEqual(planner.draining_engines(1.0), ())

    def test_a_drain_that_never_ends_is_given_up(self):
        # An engine that never confirms its order would stay unused forever.
        planner = self.planner([role_order()])
        planner.plan(now_s=0.0)
        self.assertEqual(planner.draining_engines(1e6), ())


class RolePlannerTest(unittest.TestCase):
    def test_a_decision_becomes_an_order_for_the_known_incarnation(self):
        # An order for another incarnation could reach a newer process, for which the
        # decision was not made.
        change = FixedChange("engine-1", Role.DECODE)
        planner = RolePlanner(
            decide=lambda now_s: change, find=lambda name, now_s: build_upstream(name)
        )
        planned = planner.plan(now_s=0.0)
        self.assertEqual(planned.incarnation, "engine-1-a")
        self.assertEqual(planned.arguments, {"role": "decode"})
        leaving = RolePlanner(
            decide=lambda now_s: change,
            find=lambda name, now_s: build_upstream(name, leaving=True),
        )
        self.assertIsNone(leaving.plan(now_s=0.0))
