"""Chained digests of prompt pieces, as engines publish them in cache events."""

from hashlib import blake2b

PIECE_TOKENS = 2_000
# 16 bytes keep the prefix index small. A collision only causes a wrong estimate of
# cache hits, never a wrong answer.
PIECE_DIGEST_BYTES = 16


def count_tokens(text: str) -> int:
    """Return the number of whitespace-separated tokens."""
    return len(text.split())


def prompt_pieces(prompt: str) -> tuple[bytes, ...]:
    """Return the chained digests of the complete pieces of a prompt.

    Each digest covers its piece and all earlier ones, so equal digests mean equal
    prefixes. An incomplete last piece has none, since engines do not cache it.
    """
    return piece_digests(prompt.split())


def piece_digests(words: list[str]) -> tuple[bytes, ...]:
    """Return the chained digests of a prompt that is split into tokens."""
    digests: list[bytes] = []
    parent = b""
    for end in range(PIECE_TOKENS, len(words) + 1, PIECE_TOKENS):
        piece = " ".join(words[end - PIECE_TOKENS : end]).encode()
        parent = blake2b(parent + piece, digest_size=PIECE_DIGEST_BYTES).digest()
        digests.append(parent)
    return tuple(digests)
