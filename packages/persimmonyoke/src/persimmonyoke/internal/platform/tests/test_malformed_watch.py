"""Tests of watches whose stream is malformed."""

import threading
import time
import unittest

from persimmonyoke.internal.platform import EtcdGatewayStore, RateBudget
from persimmonyoke_testing.raw_answers import RawAnswers

PATIENCE_S = 10.0
CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZES = (b"-1", b"-5", b"+4", b"x", b"", b"f" * 15, b"f" * 40)


class MalformedWatchTest(unittest.TestCase):
    def setUp(self):
        self.upstream = RawAnswers()
        self.upstream.start()
        self.addCleanup(self.upstream.stop)

    def test_a_watch_is_reopened_after_a_malformed_chunk_size(self):
        # An exception of the chunk reader ended the watch for good.
        for size in SIZES:
            self.upstream.answer = CHUNKED + size + b"\r\n{}\n\r\n"
            with self.subTest(size):
                self.check_reopened()

    def check_reopened(self):
        store = EtcdGatewayStore(
            f"http://{self.upstream.address}", budget=RateBudget(calls_per_s=10_000)
        )
        stop = threading.Event()
        self.upstream.requests = 0
        watch = threading.Thread(target=self.watch, args=(store, stop))
        watch.start()
        try:
            until_s = time.monotonic() + PATIENCE_S
            while watch.is_alive() and self.upstream.requests < 2:
                self.assertLess(time.monotonic(), until_s)
                time.sleep(0.02)
            self.assertTrue(watch.is_alive())
        finally:
            stop.set()
            watch.join()

    @staticmethod
    def watch(store, stop):
        store.watch("/p/", from_revision=1, on_event=lambda _: None, stop=stop)
