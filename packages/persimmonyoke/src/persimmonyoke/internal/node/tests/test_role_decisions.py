"""Tests of the role decisions of one pool."""

import unittest

from persimmonyoke.internal.node.offered_load import OfferedLoad, offered_message
from persimmonyoke.internal.node.role_decisions import RECHECK_S
from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_testing.builders_roles import (
    OfferedCounts,
    build_decisions,
    offer_prefill,
)

PREFILL, DECODE, MIXED = Role.PREFILL, Role.DECODE, Role.MIXED


class RoleDecisionsTest(unittest.TestCase):
    def test_offered_work_that_shifts_changes_a_role(self):
        # Unchanged roles leave engines idle after a shift of the mix.
        fixture = build_decisions([PREFILL, DECODE, DECODE, DECODE, DECODE, MIXED])
        now_s = offer_prefill(fixture, until_s=60.0)
        change = fixture.decisions.decide(now_s)
        self.assertIsNotNone(change)
        self.assertGreater(change.gain, 0)

    def test_a_role_that_has_changed_since_the_report_is_not_changed_again(self):
        # Because of a lagging report the same change would be ordered twice.
        fixture = build_decisions([PREFILL, DECODE, DECODE, DECODE, DECODE, MIXED])
        now_s = offer_prefill(fixture, until_s=60.0)
        changed = [PREFILL] * 4 + [DECODE, MIXED]
        for name, role in zip(list(fixture.roles), changed, strict=True):
            fixture.roles[name] = role
        self.assertIsNone(fixture.decisions.decide(now_s))
        asked = fixture.state_calls
        self.assertIsNone(fixture.decisions.decide(now_s + RECHECK_S / 2))
        self.assertEqual(fixture.state_calls, asked)

    def test_a_crashed_engine_does_not_count_as_the_last_one_of_its_phase(self):
        # The only other decode engine is down: draining this one would stop the pool.
        fixture = build_decisions([PREFILL, DECODE, DECODE])
        fixture.down = {"engine-3"}
        now_s = offer_prefill(fixture, until_s=60.0)
        change = fixture.decisions.decide(now_s)
        self.assertNotEqual(getattr(change, "engine", None), "engine-2")

    def test_an_open_order_at_any_engine_holds_back_the_next_change(self):
        # Two concurrent changes would remove twice the capacity from the pool.
        fixture = build_decisions([PREFILL, DECODE, DECODE, DECODE, DECODE, MIXED])
        now_s = offer_prefill(fixture, until_s=60.0)
        fixture.open_order = "order-1"
        self.assertIsNone(fixture.decisions.decide(now_s))


class OfferedLoadTest(unittest.TestCase):
    def test_work_is_counted_once_over_messages_and_restarts(self):
        # Otherwise a restarted host would add its whole history again.
        offered = OfferedLoad()
        for incarnation, prefill in (("a", 100), ("a", 150), ("b", 20), ("b", 50)):
            totals = {"llm-pool": OfferedCounts(prefill, 0, 1)}
            offered.receive(offered_message("entry-1", incarnation, totals), 1.0)
        self.assertEqual(offered.totals("llm-pool").prefill_tokens, 80)
