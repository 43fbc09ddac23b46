"""Retention of stored revisions.

Old documents are replaced by their headers, and old headers are deleted.
"""

from dataclasses import dataclass

from persimmonyoke.errors import ProtocolError, StoreUnavailable
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import (
    KeyValue,
    KeyValueStore,
    WriteApplied,
    WriteConflict,
    WriteOutcome,
)
from persimmonyoke.internal.presets.stored_form import (
    HEADER_ONLY,
    MAGIC,
    decode_stored,
    encode_header,
)

KEEP_DOCUMENTS = 200
KEEP_HEADERS = 20_000
"""About two weeks at 1,500 changes a day."""

RETRY_LAGS = (0, 7, 61)
"""Numbers of changes after which the replacement of a document that is due is
attempted; the later attempts make up for an earlier one that failed."""

MAX_DELETIONS = 2
"""Deletions for each change; more than one, so that a backlog shrinks."""

log = part_logger("presets")


@dataclass(frozen=True)
class Retention:
    """Hold how many of the newest documents and headers are kept."""

    documents: int = KEEP_DOCUMENTS
    headers: int = KEEP_HEADERS

    def __post_init__(self) -> None:
        if not 2 <= self.documents < self.headers:
            raise ValueError(
                f"documents is {self.documents} and headers {self.headers}; "
                "accepted: at least 2 documents and more headers than documents"
            )


class Pruner:
    """Prune old revisions after an accepted change, with at most 9 calls of the store.

    Each step is one write, conditional on the store revision that was read before. A
    step that fails, or that another host does at the same time, is left to a later
    change.
    """

    def __init__(
        self, store: KeyValueStore, *, prefix: str, retention: Retention
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._retention = retention

    def prune_after(self, number: int) -> None:
        """Prune the revisions that are outdated by the accepted revision ``number``.

        Failures are only logged, since the change itself is accepted. The newest
        revision is ``number`` or higher, so only older ones are pruned.
        """
        try:
            for lag in RETRY_LAGS:
                old = number - self._retention.documents - lag
                if old >= 1:
                    self._replace_document(f"{self._prefix}{old:010d}")
            self._delete_oldest(number - self._retention.headers)
        except StoreUnavailable as error:
            log.warning("pruning of old revisions failed: {}", error)

    def _replace_document(self, key: str) -> None:
        found = self._store.get(key)
        if found is None or _is_header(found):
            return
        try:
            header = decode_stored(found.value, with_document=False).header
        except ProtocolError as error:
            # A newer version may have written it and may still be able to read it.
            log.warning("{} can't be decoded and is not pruned: {}", key, error)
            return
        self._store.compare_and_swap(
            key, encode_header(header), expected_revision=found.mod_revision
        )

    def _delete_oldest(self, newest_deleted: int) -> None:
        if newest_deleted < 1:
            return
        last_key = f"{self._prefix}{newest_deleted:010d}"
        for found in self._store.list_prefix(self._prefix, limit=MAX_DELETIONS):
            if found.key > last_key:
                return
            outcome = self._store.delete(
                found.key, expected_revision=found.mod_revision
            )
            if not _is_deleted(outcome):
                # Revisions are deleted in order, so that the numbers have no gaps.
                return


def _is_deleted(outcome: WriteOutcome) -> bool:
    """Return whether the key is deleted, by this host or another one."""
    if isinstance(outcome, WriteConflict):
        return outcome.current is None
    return isinstance(outcome, WriteApplied)


def _is_header(found: KeyValue) -> bool:
    return found.value[len(MAGIC) + 1 : len(MAGIC) + 2] == HEADER_ONLY and (
        found.value.startswith(MAGIC)
    )
