"""Tests of the linear fit and of the probes for time and memory."""

import unittest

from persimmonyoke_cli.bench.fit import Series, allocated_bytes, cpu_s, fit_line


class FitTest(unittest.TestCase):
    def test_an_exact_line_gives_its_slope_and_no_residual(self):
        """Guards against an extrapolation that omits the intercept."""
        fit = fit_line((1, 2, 4, 8), (5, 7, 11, 19))
        self.assertAlmostEqual(fit.slope, 2)
        self.assertAlmostEqual(fit.intercept, 3)
        self.assertAlmostEqual(fit.residual, 0)
        self.assertAlmostEqual(fit.at(100), 203)

    def test_the_residual_is_the_rms_error_over_the_mean(self):
        """Guards against a non-linear figure that is reported as a good fit."""
        fit = fit_line((0, 1, 2, 3), (1, -1, -1, 1))
        self.assertAlmostEqual(fit.slope, 0)
        self.assertAlmostEqual(fit.residual, 1.0)
        curved = fit_line((1, 2, 3, 4), (1, 4, 9, 16))
        self.assertAlmostEqual(curved.residual, 1 / 7.5)

    def test_fewer_than_four_sizes_are_refused(self):
        """Guards against an extrapolation from too few points."""
        for sizes, values in (((1, 2, 3), (1, 2, 3)), ((1, 1, 2, 3), (1, 1, 2, 3))):
            with self.assertRaisesRegex(ValueError, "4 or more"):
                fit_line(sizes, values)

    def test_a_series_reports_each_target_size(self):
        """Guards against a report that lacks the figure at a target size."""
        figures = Series("x_us", (1, 2, 3, 4), (2, 4, 6, 8), (183, 1_100)).figures()
        self.assertAlmostEqual(figures["x_us_at_183"], 366)
        self.assertAlmostEqual(figures["x_us_at_1100"], 2_200)

    def test_measured_memory_and_time_grow_with_the_work(self):
        """Guards against probes whose results include their own overhead."""
        small = allocated_bytes(lambda: bytearray(100_000))
        large = allocated_bytes(lambda: bytearray(1_000_000))
        self.assertAlmostEqual(large / small, 10, delta=0.5)
        self.assertGreater(
            cpu_s(lambda: sum(range(20_000))), 3 * cpu_s(lambda: sum(range(2_000)))
        )
