"""Tests with an unmodified client of the OpenAI API."""

import unittest

import openai

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke_testing.builders_callers import KEY, start_host
from persimmonyoke_testing.builders_delivery import Fault, answer_text

CHAT_PROMPT = "<|user|>\nhello\n<|assistant|>\n"
MESSAGES = [{"role": "user", "content": "hello"}]


class OpenAiClientTest(unittest.TestCase):
    def setUp(self):
        self.host = start_host()
        self.addCleanup(self.host.server.stop)
        self.client = openai.OpenAI(
            api_key=KEY, base_url=self.host.base_url, max_retries=0
        )
        self.addCleanup(self.client.close)

    def test_models_are_listed_and_retrieved(self):
        ids = [model.id for model in self.client.models.list()]
        self.assertEqual(ids, ["desk-lm", "desk-lm:faults"])
        self.assertEqual(self.client.models.retrieve("desk-lm").id, "desk-lm")

    def test_a_completion_has_the_whole_text_and_usage(self):
        answer = self.client.completions.create(
            model="desk-lm", prompt="one two", max_tokens=5, temperature=0.2
        )
        self.assertEqual(answer.choices[0].text, answer_text("one two", 5))
        self.assertEqual(answer.choices[0].finish_reason, "length")
        self.assertEqual(answer.usage.prompt_tokens, 2)
        self.assertEqual(answer.usage.completion_tokens, 5)

    def test_a_chat_has_the_whole_text(self):
        answer = self.client.chat.completions.create(
            model="desk-lm:faults", messages=MESSAGES, max_completion_tokens=5
        )
        self.assertEqual(answer.choices[0].message.content, answer_text(CHAT_PROMPT, 5))
        call = next(c for e in self.host.fleet.engines.values() for c in e.calls)
        self.assertEqual((call.model, call.adapter), ("desk-lm", "faults"))

    def test_a_streamed_completion_has_the_whole_text(self):
        stream = self.client.completions.create(
            model="desk-lm", prompt="one two", max_tokens=5, stream=True
        )
        chunks = list(stream)
        text = "".join(chunk.choices[0].text for chunk in chunks)
        self.assertEqual(text, answer_text("one two", 5))
        self.assertEqual(chunks[-1].choices[0].finish_reason, "length")

    def test_a_streamed_chat_has_role_text_finish_reason_and_usage(self):
        # Clients wait for the usage chunk if they asked for it.
        stream = self.client.chat.completions.create(
            model="desk-lm",
            messages=MESSAGES,
            max_tokens=5,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        deltas = [chunk.choices[0].delta for chunk in chunks if chunk.choices]
        self.assertEqual(deltas[0].role, "assistant")
        text = "".join(delta.content or "" for delta in deltas)
        self.assertEqual(text, answer_text(CHAT_PROMPT, 5))
        self.assertEqual(chunks[-1].usage.completion_tokens, 5)
        self.assertEqual(chunks[-1].choices, [])

    def test_refusals_become_the_exceptions_of_the_client(self):
        # A wrong status or body would surface as a connection error.
        with self.assertRaises(openai.NotFoundError) as caught:
            self.client.completions.create(model="other", prompt="x")
        self.assertEqual(caught.exception.code, "unknown_model")
        self.host.gate.error = RequestError(
            ErrorKind.WORKSPACE_OVER_LIMIT, "too many requests", retry_after_s=2.0
        )
        with self.assertRaises(openai.RateLimitError) as caught:
            self.client.completions.create(model="desk-lm", prompt="x")
        self.assertIn(caught.exception.response.headers["Retry-After"], ("2", "3"))

    def test_an_error_within_a_stream_is_raised_and_not_read_as_its_end(self):
        # A truncated answer must not be taken for a complete one.
        for engine in self.host.fleet.engines.values():
            engine.script = lambda e, call, offset: Fault.CRASH if offset == 2 else None
        stream = self.client.completions.create(
            model="desk-lm", prompt="x", max_tokens=5, stream=True
        )
        texts = []
        with self.assertRaises(openai.APIError) as caught:
            for chunk in stream:
                texts.append(chunk.choices[0].text)
        self.assertEqual(caught.exception.code, "quarantined")
        self.assertEqual("".join(texts), answer_text("x", 2))
