"""Tests of log lines and the redaction of secrets."""

import io
import json
import unittest

from loguru import logger

from persimmonyoke.internal.observability import (
    LogFormat,
    configure_logging,
    part_logger,
    redact,
    register_secret,
)


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        self.addCleanup(logger.remove)

    def lines(self, log_format: LogFormat) -> list[str]:
        configure_logging(log_format=log_format, stream=self.stream)
        log = part_logger("callers").bind(request_id="r-1")
        log.info("request refused")
        try:
            raise ValueError("Authorization: Bearer abcdefghijk")
        except ValueError:
            log.exception("parse failed")
        return self.stream.getvalue().splitlines()

    def test_a_stream_that_is_no_terminal_gets_json_lines_with_part_and_request(self):
        # Log collectors can't parse the fields of lines that are not JSON.
        records = [json.loads(line) for line in self.lines(LogFormat.AUTO)]
        self.assertEqual(records[0]["part"], "callers")
        self.assertEqual(records[0]["request_id"], "r-1")
        self.assertNotIn("abcdefghijk", records[1]["exception"])

    def test_the_human_form_starts_with_the_part_and_holds_no_token(self):
        # The text of an exception, which may contain a token, is part of the traceback.
        text = "\n".join(self.lines(LogFormat.HUMAN))
        self.assertIn("[callers] request refused request_id=r-1", text)
        self.assertNotIn("abcdefghijk", text)

    def test_keys_in_each_usual_form_are_removed(self):
        # A key that was logged stays in every copy of the log.
        register_secret("correct-horse-battery")
        for text in (
            "Authorization: Bearer s3cr3tvalue",
            "key sk-s3cr3tvalue used",
            '{"token": "s3cr3tvalue"}',
            "shared_key=s3cr3tvalue",
        ):
            with self.subTest(text=text):
                self.assertNotIn("s3cr3tvalue", redact(text))
        self.assertNotIn("horse", redact("sent correct-horse-battery"))
        self.assertEqual(redact("tokens_per_s=20"), "tokens_per_s=20")

    def test_the_value_of_a_bound_field_named_token_is_redacted(self):
        # A JSON field holds only the value, which matches no pattern by itself.
        configure_logging(log_format=LogFormat.JSON, stream=self.stream)
        logger.bind(token="s3cr3tvalue").info("operator connected")
        self.assertNotIn("s3cr3tvalue", self.stream.getvalue())

    def test_a_secret_too_short_to_recognise_is_refused(self):
        # Replacing a short word everywhere would make the logs unreadable.
        with self.assertRaisesRegex(ValueError, "at least 8"):
            register_secret("abc")
