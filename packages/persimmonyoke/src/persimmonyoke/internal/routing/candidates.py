"""Selection of the upstreams that are scored for a request."""

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from hashlib import blake2b
from heapq import nlargest
from random import Random

from persimmonyoke.internal.upstreams.api import Upstream

_WORD = (1 << 64) - 1
_MIX = 0x9E3779B97F4A7C15


@lru_cache(maxsize=4_096)
def _name_hash(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def _rendezvous_weight(name_hash: int, key_hash: int) -> int:
    """Mix two hashes; a cryptographic hash would take 1 us more per upstream."""
    mixed = (name_hash ^ key_hash) * _MIX & _WORD
    return (mixed ^ mixed >> 32) * _MIX & _WORD


def rendezvous_top(
    upstreams: Sequence[Upstream], key: bytes, count: int
) -> list[Upstream]:
    """Return the upstreams with the highest weight for the key, best first.

    Rendezvous hashing needs no messages between hosts to agree on the result, and
    adding or removing an upstream moves only its own keys.
    """
    key_hash = int.from_bytes(blake2b(key, digest_size=8).digest(), "big")
    return nlargest(
        count,
        upstreams,
        key=lambda upstream: _rendezvous_weight(_name_hash(upstream.name), key_hash),
    )


def sample_upstreams(
    upstreams: Sequence[Upstream], count: int, rng: Random
) -> list[Upstream]:
    """Return up to ``count`` distinct upstreams in random order."""
    return rng.sample(upstreams, min(count, len(upstreams)))


def longest_matches(
    upstreams: Sequence[Upstream], matched: Mapping[str, int], count: int
) -> list[Upstream]:
    """Return up to ``count`` upstreams with the most matched leading pieces."""
    holders = [upstream for upstream in upstreams if upstream.name in matched]
    holders.sort(key=lambda upstream: matched[upstream.name], reverse=True)
    return holders[:count]


def unique_upstreams(upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Return the upstreams in order, without duplicate names."""
    return list({upstream.name: upstream for upstream in upstreams}.values())
