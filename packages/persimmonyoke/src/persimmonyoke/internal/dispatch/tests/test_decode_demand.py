"""Test how the number of decode engines follows the load."""

import math
import unittest

from persimmonyoke.internal.dispatch.costs import DEFAULT_SPEED
from persimmonyoke.internal.dispatch.decode_demand import (
    FALL_TIME_CONSTANT_S,
    LIMIT_HOLD_S,
    MAX_UTILISATION,
    RISE_TIME_CONSTANT_S,
    TARGET_UTILISATION,
    DecodeDemand,
    StageLoad,
)
from persimmonyoke.internal.dispatch.loads import WorkLedger
from persimmonyoke.internal.dispatch.placement import Placement
from persimmonyoke.internal.dispatch.prefixes import PrefixIndex
from persimmonyoke.internal.dispatch.speeds import SlowdownFactors
from persimmonyoke.internal.dispatch.stages import decoders_wanted
from persimmonyoke.internal.fleet.model import Stage
from persimmonyoke_testing.builders_fleet import ENGINE_LIMITS, engine

STEP_S = 0.25


class DecodeDemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = DecodeDemand()
        self.now_s = 100.0

    def load(self, decoding, duration_s, *, prefilling=2.0, engine_count=6):
        """Return the decode engines required at each step of a constant load."""
        wanted = []
        for _ in range(int(duration_s / STEP_S)):
            self.now_s += STEP_S
            self.demand.note(StageLoad(decoding, prefilling), now_s=self.now_s)
            wanted.append(self.demand.wanted(engine_count))
        return wanted

    def test_the_load_of_the_deployment_sheets_keeps_the_default(self):
        self.assertEqual(set(self.load(0.33, 20.0)), {decoders_wanted(6)})

    def test_bursts_of_the_sheets_keep_the_default(self):
        # Bursts of 1.9 times the load alternate every 2.8 s, while a stage change takes
        # an engine out of service for 3 s.
        for _ in range(4):
            self.assertEqual(set(self.load(0.62, 2.8)), {1})
            self.assertEqual(set(self.load(0.25, 2.8)), {1})

    def test_long_answers_get_more_engines_within_seconds(self):
        # Outputs four times as long overloaded the one decode engine of six, and 38% of
        # the requests failed without an event in time.
        self.load(0.3, 5.0)
        wanted = self.load(1.5, 4 * RISE_TIME_CONSTANT_S, prefilling=2.4)
        self.assertEqual(wanted[-1], 2)

    def test_engines_are_not_taken_from_prompts_that_need_them_as_well(self):
        # With three decode engines, 17% of the requests of this load were refused for
        # lack of prefill capacity.
        wanted = self.load(2.6, 20.0, prefilling=4.0)
        self.assertEqual(wanted[-1], 2)

    def test_engines_are_released_when_the_mix_turns_back_to_prompts(self):
        self.load(2.9, 10.0, prefilling=1.0)
        self.assertEqual(self.demand.wanted(6), 4)
        wanted = self.load(0.3, 4 * FALL_TIME_CONSTANT_S, prefilling=4.0)
        self.assertEqual(wanted[-1], 1)
        self.assertEqual(wanted, sorted(wanted, reverse=True))

    def test_an_engine_is_not_ordered_to_and_fro_at_the_edge(self):
        edge = 2 * TARGET_UTILISATION
        self.load(edge + 0.02, 20.0, prefilling=1.0)
        held = self.demand.wanted(6)
        for _ in range(10):
            self.assertEqual(set(self.load(edge - 0.05, 1.0, prefilling=1.0)), {held})
            self.assertEqual(set(self.load(edge + 0.02, 1.0, prefilling=1.0)), {held})

    def test_another_engine_decodes_if_the_only_one_has_a_limit(self):
        # The only decode engine took a third of the requests, and five were idle.
        self.demand.note_limits([9.0], [math.inf] * 5, now_s=0.0)
        self.assertEqual(self.demand.wanted(6), 2)
        self.assertEqual(self.demand.wanted(1), 1)

    def test_engines_that_all_have_the_same_limit_are_split_evenly_in_one_step(self):
        # The second engine took part seconds later, when the third was ordered.
        self.demand.note_limits([9.0], [9.0] * 5, now_s=0.0)
        self.assertEqual(self.demand.wanted(6), 3)

    def test_no_engine_decodes_if_that_leaves_fewer_prompts_to_decode(self):
        # Prefill engines get fewer requests, and named lower limits accordingly.
        self.demand.note_limits([9.0], [1.5] * 5, now_s=0.0)
        self.assertEqual(self.demand.wanted(6), 1)

    def test_limits_of_prefill_engines_alone_change_no_stage(self):
        self.demand.note_limits([math.inf], [2.0] * 5, now_s=0.0)
        self.assertEqual(self.demand.wanted(6), 1)

    def test_an_engine_that_replaced_a_limited_one_is_not_released_at_once(self):
        self.demand.note_limits([9.0], [math.inf] * 5, now_s=0.0)
        self.demand.note_limits([math.inf] * 2, [math.inf] * 4, now_s=LIMIT_HOLD_S / 2)
        self.assertEqual(self.demand.wanted(6), 2)
        self.demand.note_limits([math.inf] * 2, [math.inf] * 4, now_s=LIMIT_HOLD_S)
        self.assertEqual(self.demand.wanted(6), 1)

    def test_one_engine_at_least_reads_prompts(self):
        self.assertEqual(self.load(50.0, 20.0, prefilling=0.0)[-1], 5)


class StageLoadTest(unittest.TestCase):
    def setUp(self):
        self.ledger = WorkLedger()
        self.placement = Placement(
            self.ledger, PrefixIndex(), SlowdownFactors(), DEFAULT_SPEED
        )
        self.engines = [engine("d1", Stage.DECODE), engine("p1"), engine("p2")]

    def measured(self, waiting_s=0.0):
        return self.placement.stage_load(
            self.engines, ENGINE_LIMITS, waiting_s=waiting_s, now_s=100.0
        )

    def test_runs_and_prompts_are_measured_in_engines(self):
        for _ in range(32):
            self.ledger.begin_run("d1", 10)
        self.ledger.begin_prefill("p1", 0.3, now_s=100.0)
        self.assertEqual(self.measured(), StageLoad(decoding=0.5, prefilling=1.0))
        self.assertEqual(self.measured(waiting_s=0.5).prefilling, 1.5)

    def test_runs_that_pile_up_on_a_full_engine_count_up_to_a_bound(self):
        for _ in range(400):
            self.ledger.begin_run("d1", 10)
        self.assertEqual(self.measured(waiting_s=60.0).decoding, MAX_UTILISATION)
        self.assertEqual(self.measured(waiting_s=60.0).prefilling, 2 * MAX_UTILISATION)


if __name__ == "__main__":
    unittest.main()
