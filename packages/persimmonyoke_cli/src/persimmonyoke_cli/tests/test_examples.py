"""Tests of the files in the ``examples`` directory."""

import tempfile
import unittest
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path

from persimmonyoke_cli.__main__ import main
from persimmonyoke_testing.deployment_settings import write_examples
from persimmonyoke_testing.firms import EXAMPLES, FIRMS


class ExamplesTest(unittest.TestCase):
    def test_the_check_command_accepts_every_example(self):
        files = sorted(EXAMPLES.rglob("*.toml"))
        self.assertGreaterEqual(len(files), 24)
        for file in files:
            with self.subTest(file.name), redirect_stdout(StringIO()):
                self.assertEqual(main(["check", str(file)]), 0)

    def test_examples_match_the_settings_of_the_simulators(self):
        # With ports other than those of platform_process, a node started from the
        # examples could not reach the simulated platform.
        for name, firm in FIRMS.items():
            with tempfile.TemporaryDirectory() as folder:
                for written in write_examples(firm, Path(folder)):
                    kept = EXAMPLES / name / written.name
                    self.assertEqual(kept.read_bytes(), written.read_bytes())
