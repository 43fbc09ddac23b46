"""Place of a claim: shard, entry and owner."""

import hashlib
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

# All claims of a 10 s span of UUIDv7 times share one document. At 200 calls/s that
# is one active shard, so that its owner commits many claims in one write, and about
# 300 KB of a value's 1 MB. A finished span is never written again.
SLOT_S = 10
# Other keys have no time and share these documents for the whole retention time. More
# of them would hold more claims but take more writes for each call.
HASH_SHARDS = 4
UUID_CHARS = 36
ENTRY_KEY_BYTES = 16


@dataclass(frozen=True)
class Placement:
    """Hold a claim's shard name, its key inside the shard, and the key's own time."""

    shard: str
    entry_key: bytes
    key_unix_s: float | None


def key_time_unix_s(key: str) -> float | None:
    """Return the time inside a UUIDv7 key, or ``None`` for any other key."""
    if len(key) != UUID_CHARS:
        return None
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == 7 else None


def slot_shard(unix_s: float) -> str:
    """Return the shard of keys with this time."""
    return f"t{int(unix_s // SLOT_S):010d}"


def place(workspace: str, key: str) -> Placement:
    """Return the place of a claim.

    It depends on workspace and key alone; else a resent call could miss its claim.
    """
    content = len(workspace).to_bytes(4, "big") + workspace.encode() + key.encode()
    entry_key = hashlib.blake2b(content, digest_size=ENTRY_KEY_BYTES).digest()
    key_unix_s = key_time_unix_s(key)
    if key_unix_s is not None:
        return Placement(slot_shard(key_unix_s), entry_key, key_unix_s)
    return Placement(f"{entry_key[0] % HASH_SHARDS:04d}", entry_key, None)


def is_timed(shard: str) -> bool:
    """Return whether the shard holds keys of one span of time."""
    return shard.startswith("t")


def choose_owner(shard: str, hosts: Iterable[str]) -> str | None:
    """Return the host with the highest rendezvous hash, or ``None`` without hosts."""

    def score(host: str) -> bytes:
        return hashlib.blake2b(f"{shard}\0{host}".encode(), digest_size=8).digest()

    return max(hosts, key=score, default=None)
