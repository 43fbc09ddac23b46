"""Tests of the fault matrix and its TCP relay."""

import random
import time
import unittest

from persimmonyoke_cli.bench import faults
from persimmonyoke_cli.bench.faults_matrix import (
    STEPS,
    Cell,
    Fault,
    Matrix,
    Outcome,
    all_cells,
    run_cells,
)
from persimmonyoke_cli.bench.faults_relay import Relay
from persimmonyoke_cli.bench.faults_world import VIOLATION, Testbed
from persimmonyoke_testing.builders_deployment import new_pool
from persimmonyoke_testing.builders_membership import wait_until
from persimmonyoke_testing.loopback_server import LoopbackServer

CELL = Cell("claims", "claim", Fault.KILL)


class MatrixTest(unittest.TestCase):
    def test_a_cell_without_a_run_is_listed_as_not_run(self):
        # A cell that was not run must not look like one without violations.
        matrix = Matrix()
        matrix.record(CELL, Outcome(missed=True), seed=1)
        self.assertIn(CELL, matrix.not_run())
        matrix.record(CELL, Outcome(("ran 2 times",), 1.5), seed=1)
        self.assertNotIn(CELL, matrix.not_run())
        self.assertEqual(matrix.violations(), 1)
        self.assertIn("ran 2 times", matrix.table())

    def test_each_cell_is_run_or_excluded_with_a_reason_or_listed(self):
        # A fault that no module knows would silently be missing from the table.
        matrix = Matrix()
        for module in faults.MODULES:
            module.exclude(matrix)
        cells = set(all_cells())
        self.assertEqual(len(cells), len(Fault) * sum(map(len, STEPS.values())))
        for module in faults.MODULES:
            runnable = set(module.cells(None))
            self.assertFalse(runnable & set(matrix.reasons))
            self.assertLessEqual(runnable, cells)

    def test_a_cell_that_does_not_exist_is_refused(self):
        # A benchmark that runs no cell reports no violation, as if all were well.
        for only, cell in (("", "drain x nothing"), ("claims", "drain x pause")):
            with self.subTest(cell), self.assertRaisesRegex(ValueError, "accepted"):
                faults.run(faults.FaultsOptions(only=only, cell=cell))

    def test_a_run_that_fails_counts_as_a_violation(self):
        # A run that is aborted by an error has verified nothing.
        def broken(rng):
            raise TimeoutError("no answer")

        matrix = Matrix()
        end_s = time.monotonic() + 0.05
        run_cells({CELL: broken}, matrix, seed=1, end_s=end_s, longest_run_s=0.0)
        self.assertGreater(matrix.violations(), 0)

    def test_counted_violations_are_found_on_the_metrics_page(self):
        # If the metric were renamed, the pattern would match none of the violations.
        line = (
            'persimmonyoke_invariant_violations_total{host="e",'
            'invariant="at_most_once"} 2\n'
        )
        self.assertEqual(VIOLATION.findall(line), [("at_most_once", "2")])


class RelayTest(unittest.TestCase):
    def test_a_partition_drops_what_is_sent_and_ends_with_heal(self):
        # A relay that closed the connections would simulate a crash, not a partition.
        def answer(environ, start):
            start("200 OK", [])
            return [b"here"]

        server = LoopbackServer(answer)
        server.start()
        self.addCleanup(server.stop)
        relay = Relay(server.address)
        self.addCleanup(relay.close)
        pool, url = new_pool(), f"http://{relay.address}/"
        self.assertEqual(pool.request("GET", url).data, b"here")
        relay.partition()
        with self.assertRaises(Exception) as caught:
            pool.request("GET", url, timeout=0.2)
        self.assertIn("timed out", str(caught.exception))
        relay.heal()
        self.assertEqual(new_pool().request("GET", url).data, b"here")


class ProcessCellsTest(unittest.TestCase):
    """Run a few cells with real processes, as the benchmark does."""

    CELLS = (
        Cell("claims", "dispatch", Fault.ENGINE_CRASH),
        Cell("claims", "settle", Fault.KILL),
        Cell("streams", "resume", Fault.CRASHING_REQUEST),
        Cell("streams", "stream", Fault.KILL),
    )

    def test_important_cells_have_no_violation(self):
        modules = {module.PROTOCOL: module for module in faults.MODULES}
        seed = random.randrange(1 << 30)
        print(f"cells with seed {seed}")
        with Testbed(entries=3) as testbed:
            for cell in self.CELLS:
                run = modules[cell.protocol].cells(testbed)[cell]
                with self.subTest(cell=cell):
                    outcome = run(random.Random(f"{seed}/{cell}"))
                    self.assertEqual(outcome.violations, ())
                    self.assertFalse(outcome.missed)
            self.assertTrue(wait_until(lambda: not testbed.violations()))
