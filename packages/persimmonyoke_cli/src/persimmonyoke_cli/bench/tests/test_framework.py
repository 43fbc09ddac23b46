"""Tests of the bench framework."""

import contextlib
import io
import json
import unittest
from dataclasses import dataclass, field
from unittest import mock

from persimmonyoke_cli.__main__ import main
from persimmonyoke_cli.bench import catalogue
from persimmonyoke_cli.bench.framework import (
    Bench,
    BenchOptions,
    BenchResult,
    Target,
)


@dataclass(frozen=True, kw_only=True)
class SampleOptions(BenchOptions):
    size: int = field(default=3, metadata={"help": "figure to report"})


def measure(options: SampleOptions) -> BenchResult:
    print("progress")
    return BenchResult({"size": options.size}, {"size": Target("<=", 5)})


def run_main(*arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    bench = Bench("sample-bench", "Measure nothing.", measure, SampleOptions)
    with (
        mock.patch.dict(catalogue.BENCHES, {"sample-bench": "Measure nothing."}),
        mock.patch.object(catalogue, "load", return_value=bench),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(io.StringIO()),
    ):
        status = main(["bench", "sample-bench", *arguments])
    return status, output.getvalue()


class BenchCommandTest(unittest.TestCase):
    def test_json_output_is_one_object_although_the_bench_prints_progress(self):
        """Guards against progress output on stdout that makes the JSON unparseable."""
        status, output = run_main("--seed", "7", "--json")
        expected = {
            "bench": "sample-bench",
            "seed": 7,
            "figures": {"size": 3},
            "targets": {"size": ["<=", 5]},
            "met": True,
        }
        self.assertEqual((status, json.loads(output)), (0, expected))

    def test_a_missed_target_gives_exit_status_1_in_both_forms(self):
        """Guards against a missed target that a script would take for success."""
        status, output = run_main("--json", "--size", "6")
        self.assertEqual((status, json.loads(output)["met"]), (1, False))
        status, output = run_main("--size", "6")
        self.assertEqual(status, 1)
        self.assertIn("MISSED", output)
        self.assertIn("seed", output)

    def test_a_target_without_its_figure_is_missed(self):
        """Guards against a bench that passes because it measured nothing."""
        self.assertFalse(BenchResult({}, {"size": Target("<=", 5)}).met)

    def test_an_infinite_figure_is_refused(self):
        """Guards against JSON output that standard parsers reject."""
        with self.assertRaisesRegex(ValueError, "figure wait_s is inf"):
            BenchResult({"wait_s": float("inf")})

    def test_each_catalogued_bench_has_its_module_and_name(self):
        """Guards against a bench that is listed but can't be run."""
        for name in catalogue.BENCHES:
            self.assertEqual(catalogue.load(name).name, name)
