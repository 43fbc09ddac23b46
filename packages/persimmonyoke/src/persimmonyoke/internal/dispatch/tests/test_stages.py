"""Test the planning of stage changes."""

import unittest

from persimmonyoke.internal.dispatch.stages import (
    ORDER_EFFECT_TIMEOUT_S,
    ORDER_RETRY_S,
    SETTLE_S,
    EngineWatch,
    SentOrder,
    plan_changes,
)
from persimmonyoke.internal.fleet.model import ServiceVersions, Stage
from persimmonyoke_testing.builders_fleet import engine

DECODE, PREFILL = Stage.DECODE, Stage.PREFILL


def planned(engines, orders=None, *, unreachable=(), now_s=100.0, versions=None):
    changes = plan_changes(
        engines,
        orders or {},
        unreachable=set(unreachable),
        now_s=now_s,
        versions=versions,
    )
    return [(change.replica.replica_id, change.stage) for change in changes]


class PlanTest(unittest.TestCase):
    def test_a_fleet_that_starts_with_three_decoders_keeps_one(self):
        engines = [engine(f"e{i}", DECODE if i < 3 else PREFILL) for i in range(6)]
        self.assertEqual(planned(engines), [("e0", PREFILL), ("e1", PREFILL)])

    def test_the_last_decode_engine_stays_until_its_replacement_decodes(self):
        # A restarted decode engine was ordered to prefill while its replacement was
        # still changing, so nothing was generated for seconds.
        engines = [engine("new", DECODE), engine("other"), engine("third")]
        orders = {"other": SentOrder(DECODE, 99.0, accepted=True)}
        self.assertEqual(planned(engines, orders), [])

    def test_a_leaving_decode_engine_is_replaced_before_it_has_left(self):
        engines = [engine("old", DECODE, draining=True), engine("e1"), engine("e2")]
        self.assertEqual(planned(engines), [("e1", DECODE)])

    def test_an_unreachable_decode_engine_is_replaced_before_its_entry_ends(self):
        engines = [engine("dark", DECODE), engine("e1"), engine("e2")]
        self.assertEqual(planned(engines, unreachable=["dark"]), [("e1", DECODE)])

    def test_decode_engines_are_spread_over_the_zones(self):
        # A zone that lost three of its seven engines to decode lacked prefill capacity.
        engines = [
            engine(f"e{number:02}", zone=f"zone-{number // 7}") for number in range(28)
        ]
        chosen = [int(name[1:]) // 7 for name, _ in planned(engines)]
        self.assertEqual(len(chosen), 5)
        self.assertEqual(set(chosen), {0, 1, 2, 3})

    def test_an_order_without_answer_is_repeated_to_the_same_engine(self):
        # Engines execute such orders up to twelve seconds later, or never.
        engines = [engine("e1"), engine("e2")]
        orders = {"e2": SentOrder(DECODE, 100.0, accepted=False)}
        self.assertEqual(planned(engines, orders, now_s=100.0 + ORDER_RETRY_S / 2), [])
        repeated = planned(engines, orders, now_s=100.1 + ORDER_RETRY_S)
        self.assertEqual(repeated, [("e2", DECODE)])

    def test_an_accepted_order_is_not_repeated_while_the_engine_changes(self):
        engines = [engine("e1"), engine("e2")]
        orders = {"e2": SentOrder(DECODE, 100.0, accepted=True)}
        self.assertEqual(
            planned(engines, orders, now_s=100.0 + ORDER_EFFECT_TIMEOUT_S), []
        )
        late = planned(engines, orders, now_s=100.1 + ORDER_EFFECT_TIMEOUT_S)
        self.assertEqual(len(late), 1)

    def test_a_fleet_without_engines_needs_no_change(self):
        self.assertEqual(planned([]), [])


def versions(active, *earlier):
    return ServiceVersions("llm", active, earlier, 1)


def fleet(*stages_by_version):
    """Return engines from pairs of a version and the stages of its engines."""
    return [
        engine(f"{version}-{number}", stage, software_version=version)
        for version, stages in stages_by_version
        for number, stage in enumerate(stages)
    ]


class VersionTest(unittest.TestCase):
    def test_the_decode_engine_of_the_version_for_new_streams_stays(self):
        # It was ordered to prefill while decode engines of a version at which no
        # stream could begin stayed, so nothing was generated for six seconds.
        engines = fleet(
            ("v1", (DECODE, PREFILL, PREFILL)), ("v2", (DECODE, DECODE, PREFILL))
        )
        self.assertEqual(
            planned(engines, versions=versions("v1")),
            [("v2-0", PREFILL), ("v2-1", PREFILL)],
        )

    def test_an_earlier_version_keeps_its_decode_engines_for_its_streams(self):
        # Only one was kept, which crashed, while many streams were to be resumed.
        engines = fleet(
            ("v1", (DECODE, DECODE)), ("v2", (DECODE, PREFILL, PREFILL, PREFILL))
        )
        self.assertEqual(planned(engines, versions=versions("v2", "v1")), [])
        ended = planned(engines, versions=versions("v2"))
        self.assertEqual(ended, [("v1-0", PREFILL), ("v1-1", PREFILL)])

    def test_a_version_that_has_become_the_majority_gets_a_decode_engine_first(self):
        # Otherwise the last decode engine of the former version would leave alone.
        engines = fleet(("v1", (DECODE, PREFILL)), ("v2", (PREFILL, PREFILL, PREFILL)))
        self.assertEqual(planned(engines, versions=versions("v1")), [("v2-0", DECODE)])

    def test_one_version_alone_is_planned_without_regard_to_it(self):
        engines = fleet(("v1", (DECODE, DECODE, PREFILL, PREFILL)))
        self.assertEqual(planned(engines, versions=versions("v1")), planned(engines))


class EngineWatchTest(unittest.TestCase):
    def test_no_plan_is_made_while_engines_still_register(self):
        # The plan for the first registered engine ordered it to decode, and three more
        # orders were needed to reverse that.
        watch = EngineWatch()
        watch.observe([engine("e1")], now_s=100.0)
        self.assertFalse(watch.settled([engine("e1")], (), now_s=100.5))
        watch.observe([engine("e1"), engine("e2", DECODE)], now_s=101.0)
        engines = [engine("e1"), engine("e2", DECODE)]
        self.assertFalse(watch.settled(engines, (), now_s=101.0 + SETTLE_S / 2))
        self.assertTrue(watch.settled(engines, (), now_s=101.0 + SETTLE_S))

    def test_the_loss_of_the_last_decode_engine_is_answered_at_once(self):
        watch = EngineWatch()
        watch.observe([engine("e1"), engine("e2", DECODE)], now_s=100.0)
        watch.observe([engine("e1"), engine("e3")], now_s=200.0)
        self.assertTrue(watch.settled([engine("e1"), engine("e3")], (), now_s=200.0))


if __name__ == "__main__":
    unittest.main()
