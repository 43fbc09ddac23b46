"""Document of one claim shard and the operations on it."""

from dataclasses import dataclass, field, replace
from enum import IntEnum, StrEnum
from functools import cached_property
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode_plain
from persimmonyoke.internal.once.outcomes import StoredAnswer

DOCUMENT_VERSION = 2
# Size of the CBOR headers of an entry's key and value.
ENTRY_OVERHEAD_BYTES = 6
# A released entry only has to outlive late operations of its own attempt, which
# expire after a few seconds.
KEEP_RELEASED_S = 120.0
MAX_CONTENT_TYPE_CHARS = 100
# Maximum number of withdrawn attempts kept for one key. An owner may still apply them
# for a few seconds; more would need as many failed retries in that time.
MAX_WITHDRAWN = 8


class EntryState(IntEnum):
    """Name the states of a claim."""

    CLAIMED = 0
    DONE = 1
    RELEASED = 2


@dataclass(frozen=True)
class Entry:
    """Hold one claim as the shard's document stores it.

    ``withdrawn`` lists earlier attempts that must not be granted the key any more,
    although an owner may still hold their claim operations.
    """

    state: EntryState
    attempt: bytes
    body_digest: bytes
    claimed_unix_s: int
    host: str
    incarnation: str
    answer: StoredAnswer | None = None
    withdrawn: tuple[bytes, ...] = ()

    def encode(self) -> bytes:
        """Return the stored form."""
        answer = self.answer and [
            self.answer.status,
            self.answer.content_type,
            self.answer.body,
            self.answer.body_digest,
        ]
        plain = [int(self.state), self.attempt, self.body_digest, self.claimed_unix_s]
        holder = [self.host, self.incarnation]
        return cbor2.dumps([*plain, *holder, answer, list(self.withdrawn)])

    @classmethod
    def decode(cls, data: bytes) -> "Entry":
        """Return the entry of a stored form."""
        state, *plain, answer, withdrawn = cbor2.loads(data)
        stored = None if answer is None else StoredAnswer(*answer)
        return cls(EntryState(state), *plain, stored, tuple(withdrawn))


class Action(StrEnum):
    """Name the operations on an entry."""

    CLAIM = "claim"
    FINISH = "finish"
    RELEASE = "release"
    LEARN = "learn"
    ABANDON = "abandon"


@dataclass(frozen=True)
class Operation:
    """Describe one idempotent change of an entry.

    A claim is not applied after ``valid_until_unix_s``: its claimant has timed out by
    then, and a paused owner must not commit it later.
    """

    action: Action
    shard: str
    entry_key: bytes
    attempt: bytes
    body_digest: bytes
    host: str
    incarnation: str
    created_unix_s: float
    valid_until_unix_s: float
    answer: StoredAnswer | None = None

    def entry(self, state: EntryState) -> Entry:
        """Return the entry that the operation writes for a state."""
        return Entry(
            state,
            self.attempt,
            self.body_digest,
            int(self.created_unix_s),
            self.host,
            self.incarnation,
        )


class Effect(StrEnum):
    """Name the results of an operation."""

    GRANTED = "granted"
    DONE = "done"
    HELD = "held"
    MISMATCH = "mismatch"
    WITHDRAWN = "withdrawn"
    ARCHIVED = "archived"
    FULL = "full"
    STALE = "stale"
    STORED = "stored"
    RELEASED = "released"
    CONTRADICTED = "contradicted"
    MISSING = "missing"
    NOT_WRITTEN = "not_written"
    UNSETTLED = "unsettled"


# Results that later writes of other hosts cannot invalidate. All others must be based
# on a current read or commit, not on a cached document.
FINAL_EFFECTS = frozenset(
    {
        Effect.DONE,
        Effect.STORED,
        Effect.STALE,
        Effect.WITHDRAWN,
        Effect.ARCHIVED,
    }
)

# Results that do not tell whether an earlier write of the same operation took effect.
INCONCLUSIVE_EFFECTS = frozenset({Effect.STALE, Effect.FULL})

# Results from an owner after which the forwarding host writes the operation itself.
LOCAL_RETRY_EFFECTS = frozenset({Effect.UNSETTLED, Effect.NOT_WRITTEN})


@dataclass(frozen=True)
class Result:
    """Hold the result of an operation and the entry on which it is based.

    ``owner_may_write`` says that the shard's owner may still apply the operation.
    """

    effect: Effect
    entry: Entry | None = None
    reason: str = ""
    owner_may_write: bool = False


def needs_withdrawal(result: Result) -> bool:
    """Return whether a claim that was not granted may still take effect.

    If it did, it would block the key permanently, since nobody dispatches its call.
    """
    if result.effect in (Effect.GRANTED, Effect.DONE):
        return False
    return result.owner_may_write or result.effect in (Effect.UNSETTLED, Effect.STALE)


@dataclass
class ShardDocument:
    """Hold the encoded entries of a shard at one revision of its key.

    ``archived`` maps each archive segment to the minimum revision that holds the
    fingerprints of the entries removed from this document.
    """

    entries: dict[bytes, bytes] = field(default_factory=dict)
    revision: int = 0
    archived: dict[int, int] = field(default_factory=dict)

    @cached_property
    def size_bytes(self) -> int:
        """Return the approximate size of the stored value.

        The value is cached, since each commit reads it several times and a full
        document has over 2,000 entries. Entries are never changed in place.
        """
        return sum(
            len(key) + len(entry) + ENTRY_OVERHEAD_BYTES
            for key, entry in self.entries.items()
        )

    def encode(self) -> bytes:
        """Return the value to store."""
        archived = list(self.archived.items())
        plain = {"v": DOCUMENT_VERSION, "e": self.entries, "a": archived}
        return cbor2.dumps(plain)

    @classmethod
    def decode(cls, value: bytes, revision: int) -> "ShardDocument":
        """Decode a stored value; raise ``ProtocolError`` if it is malformed."""
        plain: Any = decode_plain(value)
        if not isinstance(plain, dict) or plain.get("v") != DOCUMENT_VERSION:
            raise ProtocolError("claim shard has an unknown version")
        return cls(plain["e"], revision, dict(plain["a"]))


class Draft:
    """Apply operations to a copy of a document."""

    def __init__(
        self,
        base: ShardDocument,
        *,
        now_unix_s: float,
        limit_bytes: int,
        answer_limit_bytes: int,
        archived_keys: frozenset[bytes] = frozenset(),
    ) -> None:
        self._base = base
        self._archived_keys = archived_keys
        self.archived = dict(base.archived)
        self.entries = dict(base.entries)
        self.changed = False
        self._now_unix_s = now_unix_s
        self._limit_bytes = limit_bytes
        self._answer_limit_bytes = answer_limit_bytes
        self.size_bytes = base.size_bytes

    def committed(self, revision: int = 0) -> ShardDocument:
        """Return the changed document at the given revision of its key."""
        document = ShardDocument(self.entries, revision, self.archived)
        document.size_bytes = self.size_bytes
        return document

    def apply(self, operation: Operation) -> Result:
        """Apply one operation and return its result."""
        data = self.entries.get(operation.entry_key)
        entry = Entry.decode(data) if data is not None else None
        match operation.action:
            case Action.CLAIM:
                return self._claim(operation, entry)
            case Action.FINISH:
                return self._finish(operation, entry)
            case Action.RELEASE:
                return self._release(operation, entry)
            case Action.LEARN:
                return self._learn(operation, entry)
            case Action.ABANDON:
                return self._abandon(operation, entry)

    def _claim(self, operation: Operation, entry: Entry | None) -> Result:
        own = entry is not None and entry.attempt == operation.attempt
        if own and entry.state is EntryState.CLAIMED:
            return Result(Effect.GRANTED, entry)
        if entry is not None and operation.attempt in entry.withdrawn:
            return Result(Effect.WITHDRAWN, entry)
        if entry is not None and entry.state is not EntryState.RELEASED:
            if entry.body_digest != operation.body_digest:
                return Result(Effect.MISMATCH, entry)
            done = entry.state is EntryState.DONE
            return Result(Effect.DONE if done else Effect.HELD, entry)
        if operation.entry_key in self._archived_keys:
            return Result(Effect.ARCHIVED)
        if self._now_unix_s > operation.valid_until_unix_s:
            return Result(Effect.STALE)
        if self.size_bytes >= self._limit_bytes:
            return Result(Effect.FULL)
        earlier = entry.withdrawn if entry is not None else ()
        granted = replace(operation.entry(EntryState.CLAIMED), withdrawn=earlier)
        return self._put(operation, granted, Effect.GRANTED)

    def _finish(self, operation: Operation, entry: Entry | None) -> Result:
        if entry is None:
            return Result(Effect.MISSING)
        if entry.attempt != operation.attempt or entry.state is EntryState.RELEASED:
            return Result(Effect.CONTRADICTED, entry)
        if entry.state is EntryState.DONE:
            return Result(Effect.STORED, entry)
        answer = self._limit_answer_body(operation.answer)
        done = replace(operation.entry(EntryState.DONE), answer=answer)
        return self._put(operation, done, Effect.STORED)

    def _release(self, operation: Operation, entry: Entry | None) -> Result:
        if entry is None:
            # The write advances the shard past the revision that an unsettled write of
            # this attempt expects, and blocks a late operation of the attempt.
            entry = operation.entry(EntryState.RELEASED)
        elif operation.attempt in entry.withdrawn:
            return Result(Effect.RELEASED, entry)
        elif entry.state is EntryState.DONE:
            contradicted = entry.attempt == operation.attempt
            effect = Effect.CONTRADICTED if contradicted else Effect.RELEASED
            return Result(effect, entry)
        elif entry.attempt == operation.attempt:
            entry = replace(entry, state=EntryState.RELEASED)
        withdrawn = (*entry.withdrawn, operation.attempt)[-MAX_WITHDRAWN:]
        return self._put(
            operation, replace(entry, withdrawn=withdrawn), Effect.RELEASED
        )

    def _learn(self, operation: Operation, entry: Entry | None) -> Result:
        if entry is None:
            entry = operation.entry(EntryState.CLAIMED)
        if entry.body_digest != operation.body_digest:
            return Result(Effect.MISMATCH, entry)
        if entry.state is EntryState.RELEASED:
            return Result(Effect.CONTRADICTED, entry)
        if entry.state is EntryState.DONE:
            same = entry.answer.agrees_with(operation.answer)
            return Result(Effect.STORED if same else Effect.CONTRADICTED, entry)
        # The entry keeps the holder's attempt, so that the holder's own late answer
        # does not count as a contradiction.
        answer = self._limit_answer_body(operation.answer)
        done = replace(entry, state=EntryState.DONE, answer=answer)
        return self._put(operation, done, Effect.STORED)

    def _abandon(self, operation: Operation, entry: Entry | None) -> Result:
        """Remove the holder from a claim, so that no host waits for its answer."""
        if entry is None:
            return Result(Effect.MISSING)
        if entry.attempt != operation.attempt or entry.state is EntryState.RELEASED:
            return Result(Effect.CONTRADICTED, entry)
        if entry.state is EntryState.DONE or not entry.host:
            return Result(Effect.STORED, entry)
        without_holder = replace(entry, host="", incarnation="")
        return self._put(operation, without_holder, Effect.STORED)

    def discard_archived(
        self, segment: int, entry_keys: tuple[bytes, ...], revision: int
    ) -> None:
        """Remove entries that an archive segment holds at the given revision."""
        for key in entry_keys:
            # An entry that this draft has changed stays until the next archiving.
            if self.entries.get(key) == self._base.entries.get(key):
                self._discard(key)
        self.archived[segment] = revision
        self.changed = True

    def _put(self, operation: Operation, entry: Entry, effect: Effect) -> Result:
        data = entry.encode()
        self._discard(operation.entry_key)
        self.entries[operation.entry_key] = data
        self.size_bytes += self._cost(operation.entry_key, data)
        self.changed = True
        return Result(effect, entry)

    def _limit_answer_body(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        if answer is None or answer.body is None:
            return answer
        # Answers must not use up the space that new claims need.
        over_half_full = self.size_bytes + len(answer.body) > self._limit_bytes // 2
        if over_half_full or len(answer.body) > self._answer_limit_bytes:
            return replace(answer, body=None)
        return answer

    def purge(self, *, keep_s: float | None) -> None:
        """Drop old released entries and, if ``keep_s`` is set, all expired ones."""
        for key, data in list(self.entries.items()):
            entry = Entry.decode(data)
            age_s = self._now_unix_s - entry.claimed_unix_s
            released = entry.state is EntryState.RELEASED and age_s > KEEP_RELEASED_S
            if released or (keep_s is not None and age_s > keep_s):
                self._discard(key)

    def _discard(self, key: bytes) -> None:
        data = self.entries.pop(key, None)
        if data is not None:
            self.size_bytes -= self._cost(key, data)

    @staticmethod
    def _cost(key: bytes, data: bytes) -> int:
        return len(key) + len(data) + ENTRY_OVERHEAD_BYTES
