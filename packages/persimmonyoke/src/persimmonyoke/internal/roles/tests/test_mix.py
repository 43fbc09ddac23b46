"""Test the mix estimator and the goodput model."""

import unittest

from persimmonyoke.internal.presets.model import Deadlines
from persimmonyoke.internal.roles import (
    EngineRates,
    GoodputModel,
    MixEstimator,
    OfferedWork,
    Split,
)
from persimmonyoke_testing.builders_decisions import RATES


def feed(estimator, share_at, *, end_s, start_s=0.0):
    """Offer the work of one engine in steps of half a second."""
    steps = int((end_s - start_s) * 2)
    for step in range(steps):
        now_s = start_s + step / 2
        share = share_at(now_s)
        estimator.note(
            share * RATES.prefill_tokens_per_s / 2,
            (1 - share) * RATES.decode_tokens_per_s / 2,
            now_s=now_s,
        )
    return estimator.estimate(end_s)


class MixEstimatorTest(unittest.TestCase):
    def test_the_fast_average_follows_a_step_and_the_slow_one_lags(self):
        # A single average is either too noisy or too slow.
        estimator = MixEstimator(RATES)
        feed(estimator, lambda now_s: 0.2, end_s=600)
        mix = feed(estimator, lambda now_s: 0.8, start_s=600, end_s=630)
        self.assertGreater(mix.fast.prefill_share, 0.75)
        self.assertLess(mix.slow.prefill_share, 0.35)
        self.assertAlmostEqual(mix.fast.engines, 1.0, delta=0.1)

    def test_the_first_seconds_are_not_underestimated(self):
        # An average that starts at zero would report an idle pool after a restart.
        mix = feed(MixEstimator(RATES), lambda now_s: 0.5, end_s=3)
        self.assertAlmostEqual(mix.fast.engines, 1.0, delta=0.25)
        self.assertAlmostEqual(mix.slow.engines, 1.0, delta=0.25)

    def test_a_flipping_mix_has_a_short_duration_and_two_bands(self):
        # Its average looks like a lasting mix that never occurs.
        flip = lambda now_s: 0.15 if now_s % 10 < 5 else 0.75
        mix = feed(MixEstimator(RATES), flip, end_s=600)
        self.assertLess(mix.expected_duration_s, 15)
        self.assertGreater(sum(mix.band_weights[:3] + mix.band_weights[6:]), 0.6)
        steady = feed(MixEstimator(RATES), lambda now_s: 0.45, end_s=600)
        self.assertGreater(steady.expected_duration_s, 400)
        self.assertGreater(steady.band_weights[4], 0.9)

    def test_a_clock_that_stops_or_goes_back_changes_no_weight(self):
        # There must be no division by a time difference of zero, and a negative one
        # must not increase the weights.
        estimator = MixEstimator(RATES)
        feed(estimator, lambda now_s: 0.5, end_s=20)
        first = estimator.estimate(20.0)
        self.assertEqual(estimator.estimate(20.0), first)
        self.assertEqual(estimator.estimate(15.0), first)

    def test_an_estimator_without_any_work_reports_none(self):
        # A new controller requests an estimate before the first report.
        mix = MixEstimator(RATES).estimate(5.0)
        self.assertEqual(mix.fast.engines, 0.0)
        self.assertAlmostEqual(sum(mix.band_weights), 1.0)


class GoodputModelTest(unittest.TestCase):
    def setUp(self):
        self.model = GoodputModel(RATES, Deadlines())

    def test_the_scarcer_phase_limits_what_a_split_serves(self):
        # Requests need both phases; spare prefill does not serve decode.
        work = OfferedWork(1.0, 4.0)
        self.assertAlmostEqual(
            self.model.served_share(Split(4, 2, 0), work), 0.5, delta=0.01
        )
        self.assertEqual(self.model.served_share(Split(2, 4, 0), work), 1.0)

    def test_mixed_engines_serve_any_mix_at_the_cost_of_interference(self):
        # Without that cost, the policy would always make all engines mixed.
        balanced = OfferedWork(2.5, 2.5)
        mixed = self.model.served_share(Split(0, 0, 5), balanced)
        split = self.model.served_share(Split(3, 2, 0), balanced)
        self.assertLess(mixed, split)
        skewed = OfferedWork(0.5, 4.5)
        self.assertGreater(
            self.model.served_share(Split(0, 0, 5), skewed),
            self.model.served_share(Split(3, 2, 0), skewed),
        )

    def test_a_split_that_lacks_a_phase_serves_nothing(self):
        # If such a split had a gain, the pool could be left without a phase.
        for split in (Split(5, 0, 0), Split(0, 5, 0), Split(0, 0, 0)):
            self.assertEqual(self.model.served_share(split, OfferedWork(1, 1)), 0.0)

    def test_a_tighter_first_token_deadline_leaves_less_usable_prefill(self):
        # Near full utilisation, the wait in the queue alone exceeds the deadline.
        tight = GoodputModel(RATES, Deadlines(first_token_s=0.4))
        work = OfferedWork(3.0, 0.1)
        split = Split(3, 1, 0)
        self.assertLess(
            tight.served_share(split, work), self.model.served_share(split, work)
        )

    def test_rates_of_zero_are_refused(self):
        # They would cause a division by zero in the control loop.
        with self.assertRaises(ValueError):
            EngineRates(prefill_tokens_per_s=0, decode_tokens_per_s=1)
