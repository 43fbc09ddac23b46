"""Digests of the leading pieces of a prompt, the unit of the engines' prefix caches."""

from hashlib import blake2b

PIECE_TOKENS = 2_000
# 16 bytes keep the index small; a collision only costs a wrong estimate of a cache
# hit, never a wrong answer.
DIGEST_BYTES = 16


def count_tokens(text: str) -> int:
    """Return the number of whitespace-separated tokens."""
    return len(text.split())


def prompt_pieces(prompt: str) -> tuple[bytes, ...]:
    """Return one chained digest for each full piece of 2,000 tokens.

    A digest covers its piece and the digest before it, so equal digests mean equal
    prompts up to that point. The rest after the last full piece has no digest, because
    engines cache full pieces only.
    """
    tokens = prompt.split()
    digests = []
    previous = b""
    for end in range(PIECE_TOKENS, len(tokens) + 1, PIECE_TOKENS):
        piece = " ".join(tokens[end - PIECE_TOKENS : end]).encode()
        previous = blake2b(previous + piece, digest_size=DIGEST_BYTES).digest()
        digests.append(previous)
    return tuple(digests)
