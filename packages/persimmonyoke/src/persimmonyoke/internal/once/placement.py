"""Placement of a claim: shard, entry key and owner."""

import hashlib
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

# Claims whose UUIDv7 timestamps fall into the same 10 s slot share one document. At
# 200 calls/s there is one active shard, so that its owner commits many claims in one
# write, and a document takes about 300 KB of the 1 MB limit of a value. The document
# of a finished slot is never written again.
SLOT_S = 10
# Keys without a timestamp share these documents for the whole retention time. More
# shards would hold more claims but need more writes for each call.
HASH_SHARDS = 4
UUID_CHARS = 36
ENTRY_KEY_BYTES = 16


@dataclass(frozen=True)
class Placement:
    """Hold a claim's shard, its entry key in the shard, and its key's timestamp."""

    shard: str
    entry_key: bytes
    key_unix_s: float | None


def key_time_unix_s(key: str) -> float | None:
    """Return the timestamp of a UUIDv7 key, or ``None`` for any other key."""
    if len(key) != UUID_CHARS:
        return None
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == 7 else None


def slot_shard(unix_s: float) -> str:
    """Return the shard of keys with this timestamp."""
    return f"t{int(unix_s // SLOT_S):010d}"


def place(workspace: str, key: str) -> Placement:
    """Return the placement of a claim.

    It depends only on workspace and key; otherwise a retried call could miss its claim.
    """
    content = len(workspace).to_bytes(4, "big") + workspace.encode() + key.encode()
    entry_key = hashlib.blake2b(content, digest_size=ENTRY_KEY_BYTES).digest()
    key_unix_s = key_time_unix_s(key)
    if key_unix_s is not None:
        return Placement(slot_shard(key_unix_s), entry_key, key_unix_s)
    return Placement(f"{entry_key[0] % HASH_SHARDS:04d}", entry_key, None)


def is_timed(shard: str) -> bool:
    """Return whether the shard holds the keys of one time slot."""
    return shard.startswith("t")


def choose_owner(shard: str, hosts: Iterable[str]) -> str | None:
    """Return the host with the highest rendezvous hash, or ``None`` without hosts."""

    def score(host: str) -> bytes:
        return hashlib.blake2b(f"{shard}\0{host}".encode(), digest_size=8).digest()

    return max(hosts, key=score, default=None)
