"""Tests of answers whose body ends elsewhere than its chunks or length say."""

import unittest

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    ServiceAnswer,
    ServiceOutcomeUnknown,
)
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient
from persimmonyoke.internal.upstreams.service_client import HttpServiceClient
from persimmonyoke.internal.upstreams.sse import (
    ChunkDecoder,
    parse_single_event_chunk,
)
from persimmonyoke_testing.builders_upstreams import service_call
from persimmonyoke_testing.raw_answers import RawAnswers

TIMEOUT_S = 10.0
OK = b"HTTP/1.1 200 X\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
SIZES = (b"+4", b" 4", b"0x4", b"0_4", b"4 ", b"-1", b"-2", b"-5", b"", b"x")
MALFORMED = {
    **{f"size {size}": CHUNKED + size + b"\r\nbody\r\n" + LAST_CHUNK for size in SIZES},
    "chunk without its end": CHUNKED + b"2\r\nboXX" + LAST_CHUNK,
    "size that ends at LF": CHUNKED + b"4\nbody\r\n" + LAST_CHUNK,
    "end in a size": CHUNKED + b"4\r\nbody\r\n0",
    "end before a size": CHUNKED + b"4\r\nbody\r\n",
    "end in a chunk": CHUNKED + b"5\r\nbody",
    "huge size": CHUNKED + b"f" * 15 + b"\r\nbody",
    "overlong size": CHUNKED + b"f" * 40 + b"\r\nbody",
    "endless size": CHUNKED + b"0" * 100_000 + b"\r\n\r\n",
    "endless trailers": CHUNKED + b"0\r\n" + b"N: a\r\n" * 100_000,
    "huge length": OK + b"Content-Length: " + b"9" * 18 + b"\r\n\r\nbody",
}
VALID = {
    "chunks": CHUNKED + b"1\r\nb\r\n3\r\nody\r\n" + LAST_CHUNK,
    "leading zeros": CHUNKED + b"0004\r\nbody\r\n00\r\n\r\n",
    "extensions": CHUNKED + b"4;a=b\r\nbody\r\n0 ;c\r\n\r\n",
    "trailers": CHUNKED + b"4\r\nbody\r\n0\r\nN: a\r\n\r\n",
}


class MalformedBodyTest(unittest.TestCase):
    """Callers got a part of such a body as an answer, or an unexpected exception."""

    def setUp(self):
        self.upstream = RawAnswers()
        self.upstream.start()
        self.addCleanup(self.upstream.stop)
        self.service = HttpServiceClient(self.upstream.address)
        self.addCleanup(self.service.close)
        self.engine = HttpEngineClient(self.upstream.address)
        self.addCleanup(self.engine.close)

    def test_a_call_with_a_malformed_body_has_an_unknown_outcome(self):
        for name, self.upstream.answer in MALFORMED.items():
            with self.subTest(name):
                outcome = self.service.call(service_call(), timeout_s=TIMEOUT_S)
                self.assertIsInstance(outcome, ServiceOutcomeUnknown)

    def test_a_malformed_body_is_no_kv_cache(self):
        for name, self.upstream.answer in MALFORMED.items():
            with self.subTest(name), self.assertRaises(EngineFailure):
                self.engine.export_kv("request-1")

    def test_unusual_chunks_that_http_allows_are_read(self):
        for name, self.upstream.answer in VALID.items():
            with self.subTest(name):
                outcome = self.service.call(service_call(), timeout_s=TIMEOUT_S)
                self.assertIsInstance(outcome, ServiceAnswer)
                self.assertEqual(outcome.body, b"body")

    def test_an_answer_without_a_body_ends_with_its_head(self):
        # Chunks that never come were waited for.
        answers = {"GET": CHUNKED.replace(b"200", b"304"), "HEAD": CHUNKED}
        for method, self.upstream.answer in answers.items():
            call = service_call(None, method=method, body=b"")
            with self.subTest(method):
                outcome = self.service.call(call, timeout_s=TIMEOUT_S)
                self.assertIsInstance(outcome, ServiceAnswer)
                self.assertEqual(outcome.body, b"")


class ChunkSizeTest(unittest.TestCase):
    def test_a_stream_accepts_no_malformed_size(self):
        # A negative size moved the decoder back, which then never returned.
        for size in SIZES:
            with self.subTest(size), self.assertRaises(ProtocolError):
                ChunkDecoder().feed(size + b"\r\nbody\r\n" + LAST_CHUNK)
        with self.assertRaises(ProtocolError):
            ChunkDecoder().feed(b"-2\r\n")

    def test_an_event_in_a_chunk_with_a_malformed_size_is_not_parsed(self):
        event = b"data: a\n\n\r\n"
        self.assertEqual(parse_single_event_chunk(b"9\r\n" + event), b"a")
        for size in (b"+9", b" 9", b"0x9", b"0_9", b"9 "):
            with self.subTest(size):
                self.assertIsNone(parse_single_event_chunk(size + b"\r\n" + event))
