"""Group commit of claim operations to one shard."""

import time
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from loguru import logger

from persimmonyoke.errors import ProtocolError, StoreUnavailable
from persimmonyoke.internal.once.archive import ArchivedBatch, ShardArchive
from persimmonyoke.internal.once.document import (
    FINAL_EFFECTS,
    INCONCLUSIVE_EFFECTS,
    Action,
    Draft,
    Effect,
    Operation,
    Result,
    ShardDocument,
)
from persimmonyoke.internal.once.settings import WriterLimits
from persimmonyoke.internal.platform.store import (
    EXPECT_ABSENT,
    KeyValueStore,
    WriteApplied,
    WriteConflict,
)

RETRY_BASE_S = 0.01
RETRY_MAX_S = 0.2
# A purge decodes each entry, which takes tens of milliseconds in a large document.
PURGE_INTERVAL_S = 30.0


class PendingOperation:
    """Track one submitted operation until its result is known."""

    def __init__(self, operation: Operation, *, deadline_s: float) -> None:
        self.operation = operation
        self.deadline_s = deadline_s
        self.written = False
        self.cancelled = False
        self._result: AsyncResult = AsyncResult()

    @property
    def persistent(self) -> bool:
        """Return whether the operation is retried while the store is down."""
        return self.operation.action is not Action.CLAIM

    def resolve(self, result: Result) -> None:
        """Set the result."""
        self._result.set(result)

    def resolve_unsettled(self, reason: str) -> None:
        """Resolve without a known outcome of the write."""
        effect = Effect.UNSETTLED if self.written else Effect.NOT_WRITTEN
        self.resolve(Result(effect, reason=reason))

    def wait(self, timeout_s: float) -> Result:
        """Return the result; a claim that is not settled in time is cancelled."""
        try:
            return self._result.get(timeout=max(0.0, timeout_s))
        except gevent.Timeout:
            if not self.persistent:
                self.cancelled = True
            effect = Effect.UNSETTLED if self.written else Effect.NOT_WRITTEN
            return Result(effect, reason="the key-value service did not answer in time")


class ShardWriter:
    """Collect operations while a write is in flight, and commit them in one write.

    A write with an unknown outcome is settled by writing the same operations again at
    the revision that is read back: if the first write has taken effect, the attempt is
    in the document; if not, the second write advances the revision, so that the first
    one can no longer take effect.
    """

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        limits: WriterLimits,
        *,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._key = key
        self._limits = limits
        self._clock = clock
        self._unix_clock = unix_clock
        self._archive: ShardArchive | None = None
        if limits.keep_s is not None:
            self._archive = ShardArchive(
                store,
                key,
                keep_s=limits.keep_s,
                limit_bytes=limits.limit_bytes,
                unix_clock=unix_clock,
            )
        self._queue: list[PendingOperation] = []
        self._document: ShardDocument | None = None
        self._is_fresh = False
        self._last_commit_s = float("-inf")
        self._last_purge_s = float("-inf")
        self._task: gevent.Greenlet | None = None
        self.last_used_s = clock()

    @property
    def busy(self) -> bool:
        """Return whether operations are waiting or being written."""
        return self._task is not None

    def submit(self, operation: Operation, *, deadline_s: float) -> PendingOperation:
        """Queue an operation for the next commit."""
        pending = PendingOperation(operation, deadline_s=deadline_s)
        self.last_used_s = self._clock()
        if len(self._queue) >= self._limits.max_pending:
            pending.resolve_unsettled(
                "too many operations wait for the key-value service"
            )
            return pending
        self._queue.append(pending)
        if self._task is None:
            self._task = gevent.spawn(self._run)
        return pending

    def stop(self) -> None:
        """Stop the task; pending operations stay unsettled."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        try:
            while self._queue:
                self._commit(self._drain_after_spacing())
        finally:
            self._task = None

    def _drain_after_spacing(self) -> list[PendingOperation]:
        gevent.sleep(
            max(0.0, self._last_commit_s + self._limits.spacing_s - self._clock())
        )
        return self._drain()

    def _drain(self) -> list[PendingOperation]:
        batch, self._queue = self._queue, []
        return batch

    def _commit(self, batch: list[PendingOperation]) -> None:
        failures = 0
        # The document cached by an earlier commit may lack later writes of other hosts.
        self._is_fresh = False
        while batch := self._without_expired(batch):
            try:
                settled = self._try_commit(batch)
            except (StoreUnavailable, ProtocolError) as error:
                batch = self._keep_after_failed_read(batch, str(error))
                settled = False
            if settled:
                return
            if self._document is None:
                # The read or write failed, as opposed to a conflict.
                failures += 1
                gevent.sleep(min(RETRY_MAX_S, RETRY_BASE_S * 2 ** min(failures, 8)))
            batch += self._drain()

    def _without_expired(self, batch: list[PendingOperation]) -> list[PendingOperation]:
        kept = []
        for pending in batch:
            if pending.cancelled or self._clock() >= pending.deadline_s:
                pending.resolve_unsettled("the operation's time is over")
            else:
                kept.append(pending)
        return kept

    @staticmethod
    def _keep_after_failed_read(
        batch: list[PendingOperation], reason: str
    ) -> list[PendingOperation]:
        kept = []
        for pending in batch:
            if pending.written or pending.persistent:
                kept.append(pending)
            else:
                pending.resolve_unsettled(reason)
        return kept

    def _try_commit(self, batch: list[PendingOperation]) -> bool:
        document = self._load()
        archived_keys, archived_batch = self._look_up_and_archive(document, batch)
        # The reads may have taken long. A claimant that timed out meanwhile was told
        # that nothing was written, so its operation must not be written any more.
        batch[:] = self._without_expired(batch)
        draft = Draft(
            document,
            now_unix_s=self._unix_clock(),
            limit_bytes=self._limits.limit_bytes,
            answer_limit_bytes=self._limits.answer_limit_bytes,
            archived_keys=archived_keys,
        )
        if self._purge_is_due(draft):
            draft.purge(keep_s=self._limits.keep_s)
        results = [draft.apply(pending.operation) for pending in batch]
        if archived_batch is not None:
            draft.discard_archived(
                archived_batch.segment,
                archived_batch.entry_keys,
                archived_batch.revision,
            )
        if draft.changed:
            return self._write(document, draft, batch, results)
        if self._is_fresh or all(result.effect in FINAL_EFFECTS for result in results):
            self._resolve(batch, results)
            self._is_fresh = False
            return True
        self._document = self._load_from_store()
        return False

    def _look_up_and_archive(
        self, document: ShardDocument, batch: list[PendingOperation]
    ) -> tuple[frozenset[bytes], ArchivedBatch | None]:
        if self._archive is None:
            return frozenset(), None
        operations = [pending.operation for pending in batch]
        archived_keys = self._archive.find_archived(
            document, [o.entry_key for o in operations if o.action is Action.CLAIM]
        )
        return archived_keys, self._archive.archive_batch(document)

    def _purge_is_due(self, draft: Draft) -> bool:
        now_s = self._clock()
        if draft.size_bytes <= self._limits.limit_bytes // 2:
            return False
        if now_s - self._last_purge_s < PURGE_INTERVAL_S:
            return False
        self._last_purge_s = now_s
        return True

    def _load(self) -> ShardDocument:
        if self._document is None:
            self._document = self._load_from_store()
        return self._document

    def _load_from_store(self) -> ShardDocument:
        self._document = None
        current = self._store.get(self._key)
        self._is_fresh = True
        if current is None:
            return ShardDocument(revision=EXPECT_ABSENT)
        return ShardDocument.decode(current.value, current.mod_revision)

    def _write(
        self,
        document: ShardDocument,
        draft: Draft,
        batch: list[PendingOperation],
        results: list[Result],
    ) -> bool:
        value = draft.committed().encode()
        for pending in batch:
            pending.written = True
        self._last_commit_s = self._clock()
        outcome = self._store.compare_and_swap(
            self._key, value, expected_revision=document.revision
        )
        self._is_fresh = False
        match outcome:
            case WriteApplied(revision):
                self._document = draft.committed(revision)
                self._resolve(batch, results)
                return True
            case WriteConflict(current) if current is not None:
                self._document = ShardDocument.decode(
                    current.value, current.mod_revision
                )
                self._is_fresh = True
            case WriteConflict():
                self._document = ShardDocument(revision=EXPECT_ABSENT)
                self._is_fresh = True
            case unknown:
                logger.warning(
                    "[once] write to {} not confirmed: {}", self._key, unknown.reason
                )
                self._document = None
        return False

    @staticmethod
    def _resolve(batch: list[PendingOperation], results: list[Result]) -> None:
        for pending, result in zip(batch, results, strict=True):
            if pending.written and result.effect in INCONCLUSIVE_EFFECTS:
                # An earlier write with an unknown outcome may still take effect.
                pending.resolve_unsettled(result.effect.value)
            else:
                pending.resolve(result)
