"""Tests of the metrics of one node."""

import unittest

from persimmonyoke.internal.observability import NodeMetrics, render


class MetricsTest(unittest.TestCase):
    def test_two_nodes_in_one_process_have_separate_counts(self):
        # A shared registry would reject the metrics of the second node in a process.
        first, second = NodeMetrics(), NodeMetrics()
        first.counter("refused_requests_total", "Refused.").add(3)
        second.counter("refused_requests_total", "Refused.").add(1)
        self.assertIn(b"persimmonyoke_refused_requests_total 3.0", render(first))
        self.assertIn(b"persimmonyoke_refused_requests_total 1.0", render(second))

    def test_label_values_beyond_the_bound_are_counted_as_other(self):
        # Label values taken from requests could otherwise grow without limit.
        metrics = NodeMetrics()
        counter = metrics.counter(
            "calls_total", "Calls.", {"workspace": 2, "kind": ("ok", "failed")}
        )
        for number in range(10):
            counter.add(workspace=f"w{number}", kind="odd")
        self.assertEqual(counter.value(workspace="w0", kind="odd"), 1)
        self.assertEqual(counter.value(workspace="w9", kind="odd"), 8)
        self.assertEqual(render(metrics).count(b"persimmonyoke_calls_total{"), 3)

    def test_quotes_and_line_breaks_in_a_label_do_not_break_the_page(self):
        # One bad label would make the whole page unparsable for the scraper.
        metrics = NodeMetrics()
        metrics.counter("calls_total", "Calls.", {"model": 4}).add(model='a"\nb\\')
        self.assertIn(b'{model="a__b_"} 1.0', render(metrics))

    def test_a_name_without_its_unit_is_refused(self):
        # Without the unit, seconds can't be told from milliseconds.
        with self.assertRaisesRegex(ValueError, "accepted endings"):
            NodeMetrics().gauge("queue_time", "Queue time.")
        with self.assertRaisesRegex(ValueError, "total"):
            NodeMetrics().counter("requests_seconds", "Requests.")

    def test_a_histogram_counts_cumulatively_and_renders_repeatedly(self):
        # Rendering twice must not count an observation twice.
        metrics = NodeMetrics()
        wait = metrics.histogram("wait_seconds", "Wait.", bounds=(0.1, 1.0))
        for value in (0.05, 0.1, 0.5, 3.0):
            wait.observe(value)
        render(metrics)
        page = render(metrics).decode()
        self.assertIn('wait_seconds_bucket{le="0.1"} 2.0', page)
        self.assertIn('wait_seconds_bucket{le="1.0"} 3.0', page)
        self.assertIn('wait_seconds_bucket{le="+Inf"} 4.0', page)
        self.assertIn("wait_seconds_count 4.0", page)

    def test_a_gauge_read_on_rendering_shows_the_present_value(self):
        # A gauge that kept its first value would hide a growing queue.
        metrics = NodeMetrics()
        queue = [1]
        metrics.gauge_from("queued_requests", "Queued.", lambda: float(len(queue)))
        self.assertIn(b"queued_requests 1.0", render(metrics))
        queue.append(2)
        self.assertIn(b"queued_requests 2.0", render(metrics))
