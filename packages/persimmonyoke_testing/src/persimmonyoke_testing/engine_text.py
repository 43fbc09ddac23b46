"""Deterministic text of the simulated engine."""

from hashlib import blake2b

TAG_BYTES = 3


def prompt_tag(prompt: str) -> str:
    """Return the tag that starts every token of the answer to a prompt.

    Tags differ between prompts, so a token delivered to the wrong caller can be
    detected in the text.
    """
    return blake2b(prompt.encode(), digest_size=TAG_BYTES).hexdigest()


def token_text(tag: str, first: int, end: int) -> str:
    """Return tokens ``first`` to ``end`` (exclusive) of the answer.

    Every token except the first of the whole answer starts with a space, so that the
    texts of consecutive events concatenate to the answer.
    """
    text = " ".join([f"{tag}.{index}" for index in range(first, end)])
    return f" {text}" if first and text else text


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return token_text(prompt_tag(prompt), 0, max_tokens)
