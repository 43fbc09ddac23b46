"""JSON bodies and server-sent events of the OpenAI API.

The JSON around the text of a streamed chunk is encoded once for each stream, because
encoding the whole chunk for each token costs several times as much.
"""

from dataclasses import dataclass
from json.encoder import encode_basestring_ascii

import orjson

DONE_EVENT = b"data: [DONE]\n\n"
# Placeholder that JSON encoding leaves unchanged and that no model id contains.
_TEXT_PLACEHOLDER = "\x7f#text#\x7f"


@dataclass(frozen=True)
class Usage:
    """Count the tokens of one answer."""

    prompt_tokens: int
    completion_tokens: int

    def as_json(self) -> dict:
        """Return the usage object of the OpenAI API."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }


@dataclass(frozen=True)
class ResponseEncoder:
    """Encode the body or the stream chunks of one answer."""

    request_id: str
    model_id: str
    created_unix_s: int
    chat: bool
    include_usage: bool = False

    def full_body(self, text: str, finish_reason: str, usage: Usage) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict = {"index": 0, "logprobs": None, "finish_reason": finish_reason}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text, "refusal": None}
        else:
            choice["text"] = text
        return orjson.dumps(
            {
                **self._head("chat.completion" if self.chat else "text_completion"),
                "choices": [choice],
                "usage": usage.as_json(),
            }
        )

    def chunk_affixes(self) -> tuple[bytes, bytes]:
        """Return the bytes before and after the encoded text of a chunk."""
        before, _, after = self._chunk(_TEXT_PLACEHOLDER, None).partition(
            orjson.dumps(_TEXT_PLACEHOLDER)
        )
        return b"\ndata: " + before, after + b"\n\n"

    def first_chunk(self) -> bytes:
        """Return the chunk with the role of a chat answer; empty if not a chat."""
        if not self.chat:
            return b""
        delta = {"role": "assistant", "content": ""}
        return b"data: " + self._choice({"delta": delta}, None) + b"\n\n"

    def final_chunks(self, finish_reason: str, usage: Usage) -> bytes:
        """Return the chunks that end a stream."""
        chunk = self._chunk(None, finish_reason)
        frames = b"data: " + chunk + b"\n\n"
        if self.include_usage:
            content = {**self._chunk_head(), "choices": [], "usage": usage.as_json()}
            frames += b"data: " + orjson.dumps(content) + b"\n\n"
        return frames + DONE_EVENT

    def _chunk(self, text: str | None, finish_reason: str | None) -> bytes:
        if self.chat:
            delta = {} if text is None else {"content": text}
            return self._choice({"delta": delta}, finish_reason)
        return self._choice({"text": text or ""}, finish_reason)

    def _choice(self, content: dict, finish_reason: str | None) -> bytes:
        choice = {
            "index": 0,
            **content,
            "logprobs": None,
            "finish_reason": finish_reason,
        }
        chunk = {**self._chunk_head(), "choices": [choice]}
        if self.include_usage:
            chunk["usage"] = None
        return orjson.dumps(chunk)

    def _chunk_head(self) -> dict:
        return self._head("chat.completion.chunk" if self.chat else "text_completion")

    def _head(self, kind: str) -> dict:
        prefix = "chatcmpl" if self.chat else "cmpl"
        return {
            "id": f"{prefix}-{self.request_id}",
            "object": kind,
            "created": self.created_unix_s,
            "model": self.model_id,
        }


def encode_text(text: str) -> bytes:
    """Return a text as an ASCII JSON string; any character is allowed."""
    return encode_basestring_ascii(text).encode("ascii")
