"""Test prompt pieces and the prefix index."""

import time
import unittest

from persimmonyoke.internal.routing import PrefixIndex, prompt_pieces
from persimmonyoke_testing.builders_decisions import cache_batch

PIECES = (b"one", b"two", b"three")


def words(count, word="word"):
    return " ".join(f"{word}{number}" for number in range(count))


class PromptPiecesTest(unittest.TestCase):
    def test_only_full_pieces_count_and_a_shared_start_gives_shared_digests(self):
        # A digest of the remainder would never match: engines cache full pieces only.
        self.assertEqual(prompt_pieces(words(1_999)), ())
        self.assertEqual(len(prompt_pieces(words(4_001))), 2)
        longer = prompt_pieces(words(4_000) + " more" * 2_000)
        self.assertEqual(longer[:2], prompt_pieces(words(4_000)))

    def test_a_piece_after_a_different_start_has_another_digest(self):
        # Unchained digests would report a hit where the KV cache differs.
        first = prompt_pieces(words(2_000, "a") + " " + words(2_000))
        second = prompt_pieces(words(2_000, "b") + " " + words(2_000))
        self.assertFalse(set(first) & set(second))

    def test_digests_of_a_long_prompt_cost_little_more_than_splitting_it(self):
        # Hashing is part of each request and must not delay the first token.
        prompt = words(10_000)

        def best_s(call):
            times = []
            for _ in range(15):
                start_s = time.perf_counter()
                call()
                times.append(time.perf_counter() - start_s)
            return min(times)

        ratio = best_s(lambda: prompt_pieces(prompt)) / best_s(prompt.split)
        print(f"prompt_pieces takes {ratio:.2f} times as long as str.split")
        self.assertLess(ratio, 5)


class PrefixIndexTest(unittest.TestCase):
    def test_a_lost_stored_event_of_an_early_piece_does_not_hide_later_ones(self):
        # A fifth of the events is lost, but a chained digest implies earlier pieces.
        index = PrefixIndex()
        index.note_events("engine", cache_batch(PIECES[2:]), 0.0)
        self.assertEqual(index.matched_pieces("engine", PIECES, 1.0), 3)
        self.assertEqual(index.holders(PIECES, 1.0), {"engine": 3})

    def test_evictions_shorten_the_match(self):
        # A stale entry routes the prompt to an engine that has to prefill it again.
        index = PrefixIndex()
        index.note_dispatch("engine", PIECES, 0.0)
        index.note_events("engine", cache_batch(evicted=PIECES[2:]), 1.0)
        self.assertEqual(index.matched_pieces("engine", PIECES, 1.0), 2)

    def test_a_gap_drops_only_old_entries_of_its_own_engine(self):
        # A gap may hide evictions, which affect the least recently used pieces first.
        index = PrefixIndex(gap_max_age_s=60.0)
        index.note_dispatch("engine", PIECES[:1], 0.0)
        index.note_dispatch("other", PIECES[:1], 0.0)
        index.note_dispatch("engine", (b"recent",), 90.0)
        index.note_events("engine", cache_batch(gap=True), 100.0)
        self.assertEqual(index.holders(PIECES, 100.0), {"other": 1})
        self.assertEqual(index.matched_pieces("engine", (b"recent",), 100.0), 1)

    def test_entries_age_out_and_a_clock_that_stands_still_keeps_them(self):
        # Without cache events, an entry must not stay valid for ever.
        index = PrefixIndex(max_age_s=10.0)
        index.note_dispatch("engine", PIECES, 5.0)
        self.assertEqual(index.matched_pieces("engine", PIECES, 5.0), 3)
        self.assertEqual(index.matched_pieces("engine", PIECES, 15.1), 0)
        index.note_dispatch("engine", (b"new",), 30.0)
        self.assertEqual(len(index), 1)

    def test_memory_stays_bounded_and_the_least_recently_used_pieces_go(self):
        # Prompts without a shared prefix would add pieces without bound.
        index = PrefixIndex(max_entries=100)
        for number in range(10_000):
            index.note_dispatch("engine", (b"kept",), number * 0.001)
            index.note_dispatch("engine", (b"%d" % number,), number * 0.001)
        self.assertEqual(len(index), 100)
        self.assertEqual(index.matched_pieces("engine", (b"kept",), 10.0), 1)

    def test_a_restarted_engine_loses_all_its_entries(self):
        # The cache of a restarted engine is empty, but no event reports that.
        index = PrefixIndex()
        index.note_dispatch("engine", PIECES, 0.0)
        index.note_dispatch("other", PIECES[:1], 0.0)
        index.forget_engine("engine")
        self.assertEqual(index.holders(PIECES, 0.0), {"other": 1})
        self.assertEqual(len(index), 1)
