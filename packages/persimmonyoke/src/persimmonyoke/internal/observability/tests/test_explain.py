"""Test the collection of the log lines of one request."""

import json
import unittest

from persimmonyoke.internal.observability.explain import explain, parse_line


def line(time_s, event, *, host="h1", prefix="", **fields):
    record = {"time_unix_s": time_s, "level": "INFO", "host": host, "event": event}
    return prefix + json.dumps({**record, **fields})


REQUEST = line(
    100.0,
    "request",
    request_id="r1",
    ms=500,
    attempts=["prefill:e1:answered:80", "decode:e2:lost:300"],
)


class ExplainTest(unittest.TestCase):
    def events(self, *texts):
        return [(x.event, x.host) for x in explain("r1", [REQUEST, *texts])]

    def test_the_event_that_ended_a_stream_is_shown_before_its_request(self):
        gone = line(99.9, "replica", replica="e2", change="ReplicaGone", stage="decode")
        self.assertEqual(self.events(gone), [("replica", "h1"), ("request", "h1")])

    def test_orders_of_another_host_are_shown(self):
        order = line(101.0, "order", host="h2", replica="e9", stage="decode")
        self.assertIn(("order", "h2"), self.events(order))

    def test_events_of_other_hosts_and_other_requests_are_left_out(self):
        other = line(100.0, "request", request_id="r2")
        elsewhere = line(100.0, "store_lost", host="h2")
        unrelated = line(100.0, "replica", replica="e7", stage="prefill")
        self.assertEqual(self.events(other, elsewhere, unrelated), [("request", "h1")])

    def test_events_long_before_the_request_are_left_out(self):
        self.assertEqual(len(self.events(line(90.0, "store_lost"))), 1)

    def test_the_tunnels_of_a_request_and_the_state_of_its_links_are_shown(self):
        texts = [
            line(100.2, "request", request_id="r1", tunnels=["h2:h1/7"]),
            line(80.0, "tunnel_opened", tunnel="h1/7", peer="h2"),
            line(110.0, "tunnel", host="h2", tunnel="h1/7", replica="e2"),
            line(110.0, "tunnel", host="h2", tunnel="h1/8", replica="e2"),
            line(70.0, "links", state="unconfirmed"),
            line(75.0, "links", state="cut_off"),
            line(75.0, "links", host="h3", state="cut_off"),
            line(101.0, "links", state="intact"),
        ]
        found = explain("r1", texts)
        self.assertEqual(
            [(x.event, x.host, x.time_unix_s) for x in found],
            [
                ("links", "h1", 75.0),
                ("tunnel_opened", "h1", 80.0),
                ("request", "h1", 100.2),
                ("links", "h1", 101.0),
                ("tunnel", "h2", 110.0),
            ],
        )

    def test_lines_with_a_prefix_are_parsed_and_others_skipped(self):
        found = parse_line(line(5.0, "started", prefix="  12.5 host "))
        self.assertEqual((found.event, found.time_unix_s), ("started", 5.0))
        for text in ("", "no json", "{broken", "[1]", '{"other": 1}'):
            self.assertIsNone(parse_line(text))

    def test_an_unknown_request_has_no_lines(self):
        self.assertEqual(explain("r9", [REQUEST]), [])


if __name__ == "__main__":
    unittest.main()
