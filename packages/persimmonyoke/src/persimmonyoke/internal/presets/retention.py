"""Bounds on the stored revisions: old documents become headers, old headers go."""

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
"""Two weeks at 1,500 changes a day."""

RETRY_LAGS = (0, 7, 61)
"""A document whose replacement failed is visited again after these many changes."""

MAX_DELETIONS = 2
"""More than one for each change, so that a backlog shrinks."""

log = part_logger("presets")


@dataclass(frozen=True)
class Retention:
    """Say how many of the newest documents and headers are kept."""

    documents: int = KEEP_DOCUMENTS
    headers: int = KEEP_HEADERS

    def __post_init__(self) -> None:
        if not 2 <= self.documents < self.headers:
            raise ValueError(
                f"documents is {self.documents} and headers {self.headers}; "
                "accepted: at least 2 documents and more headers than documents"
            )


class Pruner:
    """Prune after an accepted change with at most 9 calls.

    Each step is one write that depends on the store revision read before it. A step
    that was lost, or done by another host at the same time, is left to a later change.
    """

    def __init__(
        self, store: KeyValueStore, *, prefix: str, retention: Retention
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._retention = retention

    def prune_after(self, number: int) -> None:
        """Prune what the accepted revision ``number`` has made too old.

        Failures are logged, since the change itself is accepted. The newest revision
        is ``number`` or higher, so that only older ones are touched.
        """
        try:
            for lag in RETRY_LAGS:
                old = number - self._retention.documents - lag
                if old >= 1:
                    self._replace_document(f"{self._prefix}{old:010d}")
            self._delete_oldest(number - self._retention.headers)
        except StoreUnavailable as error:
            log.warning("old revisions were not pruned: {}", error)

    def _replace_document(self, key: str) -> None:
        found = self._store.get(key)
        if found is None or _is_header(found):
            return
        try:
            header = decode_stored(found.value, with_document=False).header
        except ProtocolError as error:
            # A newer version may have written it and can still read it.
            log.warning("{} is not pruned: {}", key, error)
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
                # A later one must not go first, since numbers have no gaps.
                return


def _is_deleted(outcome: WriteOutcome) -> bool:
    """Say whether a deletion took effect, here or on another host."""
    if isinstance(outcome, WriteConflict):
        return outcome.current is None
    return isinstance(outcome, WriteApplied)


def _is_header(found: KeyValue) -> bool:
    return found.value[len(MAGIC) + 1 : len(MAGIC) + 2] == HEADER_ONLY and (
        found.value.startswith(MAGIC)
    )
