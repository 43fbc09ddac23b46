"""Test which placements a collector relays."""

import unittest

from persimmonyoke.internal.dispatch.prefixes import MAX_PARTS, PART_TTL_S
from persimmonyoke.internal.gateway.placement_filter import REPEAT_S, PlacementFilter
from persimmonyoke.internal.gateway.state import PartPlacement

NOW_S = 100.0


class PlacementFilterTest(unittest.TestCase):
    def setUp(self):
        self.starts = {"e1": 1, "e2": 1}
        self.filter = PlacementFilter(self.starts.get)

    def select(self, part="p", engine="e1", *, after_s=0.0):
        items = (PartPlacement(part, engine, 0),)
        return self.filter.select(items, now_s=NOW_S + after_s)

    def relayed(self, *arguments, **options):
        selected = self.select(*arguments, **options)
        return bool(selected.shared or selected.first_seen)

    def test_what_receivers_know_is_not_repeated(self):
        # Each use of a part that hundreds of requests share went to all hosts.
        self.assertTrue(self.relayed())
        self.assertFalse(self.relayed(after_s=REPEAT_S / 2))
        self.assertTrue(self.relayed(engine="e2", after_s=REPEAT_S / 2))

    def test_a_part_that_stays_in_use_does_not_expire_at_the_receivers(self):
        self.relayed()
        self.assertTrue(self.relayed(after_s=REPEAT_S))
        self.assertFalse(self.relayed(after_s=1.5 * REPEAT_S))
        self.assertLess(2 * REPEAT_S, PART_TTL_S)

    def test_an_engine_that_lost_its_cache_is_told_of_again(self):
        self.relayed()
        self.starts["e1"] = 2
        self.assertTrue(self.relayed(after_s=0.1))

    def test_parts_that_are_met_again_are_told_apart(self):
        self.assertEqual(len(self.select().first_seen), 1)
        self.assertEqual(len(self.select(engine="e2").shared), 1)

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_PARTS):
            self.select(f"p{number}")
        self.assertLessEqual(len(self.filter._parts), MAX_PARTS)
        self.assertLessEqual(len(self.filter._relayed_s), MAX_PARTS)


if __name__ == "__main__":
    unittest.main()
