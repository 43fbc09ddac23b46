"""Archive of used idempotency keys for shards whose keys carry no timestamp."""

import time
from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import cbor2
from loguru import logger

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode_plain
from persimmonyoke.internal.once.document import Entry, EntryState, ShardDocument
from persimmonyoke.internal.platform.store import (
    EXPECT_ABSENT,
    KeyValueStore,
    WriteApplied,
)

SEGMENT_VERSION = 1
# 4 shards of 40 segments hold 24 million fingerprints in values of 900 kB, enough for
# 277 calls/s over a day.
SEGMENTS = 40
# Together with the bits that select shard and segment, 55 bits distinguish keys. With
# 17 million keys stored, one new key in 2 billion is refused as already used.
FINGERPRINT_BYTES = 6
# Time span of the fingerprints in one run. A run is dropped as a whole, so fingerprints
# are kept up to this much longer than the retention time.
RUN_SPAN_S = 3_600
# Minimum time for which answers stay in the shard's document, so that prompt retries
# get them. The second value applies while the document is over three quarters full.
MIN_ANSWER_AGE_S = 20.0
MIN_ANSWER_AGE_NEAR_FULL_S = 2.0
# An open claim is archived only after the period in which its holder retries to store
# the answer or to release the claim.
MIN_OPEN_CLAIM_AGE_S = 900.0
# Bounds the number of entries that one commit decodes to find archivable ones.
MAX_SEGMENTS_SCANNED = 4


def segment_of(entry_key: bytes) -> int:
    """Return the segment of an entry; the first byte of the key selects the shard."""
    return entry_key[1] % SEGMENTS


def fingerprint(entry_key: bytes) -> bytes:
    """Return the part of the key that a segment stores."""
    return entry_key[2 : 2 + FINGERPRINT_BYTES]


class _FingerprintRun:
    """Present the bytes of a sorted run as a sequence of fingerprints."""

    def __init__(self, run: bytes) -> None:
        self._run = run

    def __len__(self) -> int:
        return len(self._run) // FINGERPRINT_BYTES

    def __getitem__(self, index: int) -> bytes:
        start = index * FINGERPRINT_BYTES
        return self._run[start : start + FINGERPRINT_BYTES]


@dataclass(frozen=True)
class ArchiveSegment:
    """Hold sorted runs of fingerprints, keyed by the time span of their archiving."""

    runs: dict[int, bytes] = field(default_factory=dict)
    revision: int = EXPECT_ABSENT

    def __contains__(self, record: bytes) -> bool:
        for run in self.runs.values():
            records = _FingerprintRun(run)
            index = bisect_left(records, record)
            if index < len(records) and records[index] == record:
                return True
        return False

    def with_added(
        self, added: Iterable[bytes], *, now_unix_s: float, keep_s: float
    ) -> "ArchiveSegment":
        """Return the segment with added fingerprints and without expired runs."""
        oldest_unix_s = now_unix_s - keep_s
        runs = {
            number: run
            for number, run in self.runs.items()
            if (number + 1) * RUN_SPAN_S >= oldest_unix_s
        }
        current = int(now_unix_s // RUN_SPAN_S)
        records = _FingerprintRun(runs.get(current, b""))
        merged = {*(records[i] for i in range(len(records))), *added}
        runs[current] = b"".join(sorted(merged))
        return ArchiveSegment(runs, self.revision)

    def encode(self) -> bytes:
        """Return the value to store."""
        plain = {"v": SEGMENT_VERSION, "r": list(self.runs.items())}
        return cbor2.dumps(plain)

    @classmethod
    def decode(cls, value: bytes, revision: int) -> "ArchiveSegment":
        """Decode a stored value; raise ``ProtocolError`` if it is malformed."""
        plain: Any = decode_plain(value)
        if not isinstance(plain, dict) or plain.get("v") != SEGMENT_VERSION:
            raise ProtocolError("claim archive has an unknown version")
        return cls(dict(plain["r"]), revision)


@dataclass(frozen=True)
class ArchivedBatch:
    """Identify entries that were moved to a segment, and the segment's revision."""

    segment: int
    entry_keys: tuple[bytes, ...]
    revision: int


class ShardArchive:
    """Read and extend the archive segments of one shard.

    The shard's document records the minimum revision of each segment. An entry is
    removed from the document in the same write that records the segment revision with
    its fingerprint, so a cached segment is either valid for a document or known to be
    stale.
    """

    def __init__(
        self,
        store: KeyValueStore,
        shard_key: str,
        *,
        keep_s: float,
        limit_bytes: int,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._shard_key = shard_key
        self._keep_s = keep_s
        self._limit_bytes = limit_bytes
        self._unix_clock = unix_clock
        self._cached_segments: dict[int, ArchiveSegment] = {}
        self._next_segment = 0

    def find_archived(
        self, document: ShardDocument, entry_keys: Iterable[bytes]
    ) -> frozenset[bytes]:
        """Return the given keys that are archived.

        Raises ``StoreUnavailable`` or ``ProtocolError`` if a segment can't be read.
        """
        found = set()
        for entry_key in entry_keys:
            number = segment_of(entry_key)
            required = document.archived.get(number)
            if required is None:
                continue
            if fingerprint(entry_key) in self._segment_at_least(number, required):
                found.add(entry_key)
        return frozenset(found)

    def archive_batch(self, document: ShardDocument) -> ArchivedBatch | None:
        """Archive old entries of one segment if the document is over half full.

        Raises ``StoreUnavailable`` or ``ProtocolError`` if the segment can't be read.
        """
        size_bytes = document.size_bytes
        if size_bytes <= self._limit_bytes // 2:
            return None
        near_full = size_bytes > self._limit_bytes * 3 // 4
        min_answer_age_s = MIN_ANSWER_AGE_NEAR_FULL_S if near_full else MIN_ANSWER_AGE_S
        for _ in range(MAX_SEGMENTS_SCANNED):
            number = self._next_segment
            self._next_segment = (number + 1) % SEGMENTS
            keys = self._archivable_keys(document, number, min_answer_age_s)
            if keys:
                return self._append_to_segment(document, number, keys)
        return None

    def _archivable_keys(
        self, document: ShardDocument, number: int, min_answer_age_s: float
    ) -> tuple[bytes, ...]:
        now_unix_s = self._unix_clock()
        min_age_s = {
            EntryState.DONE: min_answer_age_s,
            EntryState.CLAIMED: MIN_OPEN_CLAIM_AGE_S,
        }
        archivable = []
        for key, data in document.entries.items():
            if segment_of(key) != number:
                continue
            entry = Entry.decode(data)
            min_s = min_age_s.get(entry.state)
            if min_s is not None and now_unix_s - entry.claimed_unix_s >= min_s:
                archivable.append(key)
        return tuple(archivable)

    def _append_to_segment(
        self, document: ShardDocument, number: int, keys: tuple[bytes, ...]
    ) -> ArchivedBatch | None:
        base = self._segment_at_least(
            number, document.archived.get(number, EXPECT_ABSENT)
        )
        extended = base.with_added(
            map(fingerprint, keys), now_unix_s=self._unix_clock(), keep_s=self._keep_s
        )
        value = extended.encode()
        if len(value) > self._limit_bytes:
            # The entries stay in the document, which refuses new claims once it is
            # full; dropping used keys instead could run a call twice.
            logger.warning(
                "[once] archive segment {} of {} is full; entries stay in the document",
                number,
                self._shard_key,
            )
            return None
        outcome = self._store.compare_and_swap(
            self._segment_key(number), value, expected_revision=base.revision
        )
        if not isinstance(outcome, WriteApplied):
            self._cached_segments.pop(number, None)
            return None
        self._cached_segments[number] = ArchiveSegment(extended.runs, outcome.revision)
        return ArchivedBatch(number, keys, outcome.revision)

    def _segment_at_least(self, number: int, required: int) -> ArchiveSegment:
        copy = self._cached_segments.get(number)
        if copy is not None and copy.revision >= required:
            return copy
        current = self._store.get(self._segment_key(number))
        if current is None:
            copy = ArchiveSegment()
        else:
            copy = ArchiveSegment.decode(current.value, current.mod_revision)
        if copy.revision < required:
            raise ProtocolError(
                f"segment {number} of {self._shard_key} is at revision "
                f"{copy.revision}, its document names {required}"
            )
        self._cached_segments[number] = copy
        return copy

    def _segment_key(self, number: int) -> str:
        return f"{self._shard_key}/{number:02d}"
