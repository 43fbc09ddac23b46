"""Tests of the ``mix`` and ``overload`` benchmarks that need no engines."""

import unittest

from persimmonyoke_cli.bench.mix import TraceResult
from persimmonyoke_cli.bench.mix_client import (
    FIRST_TOKEN_S,
    INTER_TOKEN_S,
    Arrival,
    Outcome,
    _AnswerReader,
)
from persimmonyoke_cli.bench.mix_engines import (
    DECODE_HEAVY,
    PREFILL_HEAVY,
    arrivals,
    likely_best_splits,
    phase_work,
    request_rates,
)

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b'id: 1\ndata: {"choices": [{"text": "%s"}]}\n\n'


class ClientTest(unittest.TestCase):
    def read(self, *parts):
        outcome = Outcome(Arrival(0.0, 10, 3))
        reader = _AnswerReader(outcome, 100.0)
        for at_s, data in parts:
            reader.feed(data, 100.0 + at_s)
        outcome.complete = reader.done
        return outcome

    def test_only_answers_within_all_deadlines_count(self):
        # Counting late or truncated responses as goodput would hide an overload.
        late_s, gap_s = FIRST_TOKEN_S + 0.01, 2 * INTER_TOKEN_S
        done = b"data: [DONE]\n\n"
        in_time = self.read((0.5, HEAD + EVENT % b"a"), (0.5 + gap_s, EVENT % b" b c"))
        self.assertFalse(in_time.good, "truncated response counted as good")
        cases = [
            (True, 0.5, gap_s - 0.01),
            (False, late_s, gap_s - 0.01),
            (False, 0.5, gap_s + 0.01),
        ]
        for good, first_s, later_s in cases:
            with self.subTest(first_s=first_s, later_s=later_s):
                second = EVENT % b" b c" + done
                outcome = self.read(
                    (first_s, HEAD + EVENT % b"a"), (first_s + later_s, second)
                )
                self.assertEqual(outcome.good, good)

    def test_a_refusal_is_read_with_its_time_and_retry_after(self):
        # The latency of a refusal ends with the last header byte; an earlier time would
        # make delayed refusals look prompt.
        head = b"HTTP/1.1 429 Too Many\r\nRetry-After: 3\r\n\r\n"
        outcome = self.read((0.2, head[:20]), (0.3, head[20:]))
        self.assertEqual((outcome.status, outcome.retry_after_s), (429, 3.0))
        self.assertAlmostEqual(outcome.last_s, 0.3)


class LoadTest(unittest.TestCase):
    def test_the_arrivals_offer_the_work_and_share_asked_for(self):
        # A mix that differs from the trace would compare the policies on a wrong load.
        for share in (0.1, 0.41, 0.8):
            prefill = decode = 0.0
            planned = arrivals([share] * 400, [5.0] * 400, 0.5, 3)
            for arrival in planned:
                work = phase_work((arrival.prompt_tokens, arrival.output_tokens))
                prefill, decode = prefill + work[0], decode + work[1]
            with self.subTest(share=share):
                self.assertAlmostEqual((prefill + decode) / 200, 5.0, delta=0.4)
                self.assertAlmostEqual(prefill / (prefill + decode), share, delta=0.03)

    def test_rates_of_a_pure_kind_leave_the_other_out(self):
        # A negative rate produces no arrivals, which would shift the prefill share.
        for kind, index in ((PREFILL_HEAVY, 0), (DECODE_HEAVY, 1)):
            prefill, decode = phase_work(kind)
            rates = request_rates(1.0, prefill / (prefill + decode))
            self.assertAlmostEqual(rates[1 - index], 0.0)
            self.assertAlmostEqual(rates[index], 1 / (prefill + decode))

    def test_the_best_static_splits_follow_the_trace(self):
        # Comparing with splits that do not suit the trace would overstate the shipped
        # policy.
        much, little = (likely_best_splits(6, [s] * 50, each=2) for s in (0.75, 0.15))
        self.assertGreater(
            max(split.prefill for split in much),
            max(split.prefill for split in little),
        )


class RatioTest(unittest.TestCase):
    def test_the_static_start_counts_among_the_static_splits(self):
        # The initial split is a static split, so the best one is at least as good.
        good = {"shipped": 90, "reactive": 200, "static": 100, "(1, 1, 4)": 80}
        trace = TraceResult("kente", {n: {"good": g} for n, g in good.items()})
        self.assertAlmostEqual(trace.goodput_over_best_static(), 0.9)
        self.assertAlmostEqual(trace.goodput_over("static"), 0.9)
