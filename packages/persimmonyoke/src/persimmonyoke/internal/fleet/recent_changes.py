"""What this host has read and applied lately, for peers that missed it."""

from collections import deque
from dataclasses import dataclass

from persimmonyoke.internal.fleet.interfaces import RelayedChanges, StoreChanges
from persimmonyoke.internal.fleet.store_revision import era_of

MAX_CHANGES = 64
MAX_BYTES = 262_144
"""Limits on what is kept; a host that lacks more waits for the store."""


@dataclass(frozen=True)
class _Applied:
    """Hold changes with the revisions before and after them."""

    after_revision: int
    revision: int
    encoded: bytes


class RecentChanges:
    """Keep the last consecutive changes, and the entries before them."""

    def __init__(self) -> None:
        self._entries: StoreChanges | None = None
        self._changes: deque[_Applied] = deque()
        self._size_bytes = 0

    def note(self, after_revision: int, revision: int, encoded: bytes) -> None:
        """Add changes; those before a gap are forgotten."""
        if self.revision not in (None, after_revision):
            self.clear()
        if revision == after_revision:
            return
        self._changes.append(_Applied(after_revision, revision, encoded))
        self._size_bytes += len(encoded)
        while self._size_bytes > MAX_BYTES or len(self._changes) > MAX_CHANGES:
            self._size_bytes -= len(self._changes.popleft().encoded)

    def note_entries(self, entries: StoreChanges) -> None:
        """Keep all entries as of a revision in place of the changes before it."""
        self.clear()
        if 0 < len(entries.encoded) <= MAX_BYTES:
            self._entries = StoreChanges((), entries.revision, entries.encoded)

    def clear(self) -> None:
        """Forget all changes and entries."""
        self._entries = None
        self._changes.clear()
        self._size_bytes = 0

    @property
    def revision(self) -> int | None:
        """Return the revision of the last change or of the entries, if any."""
        if self._changes:
            return self._changes[-1].revision
        return self._entries.revision if self._entries else None

    def entries_after(self, revision: int) -> list[RelayedChanges]:
        """Return all entries and the changes after them, for a host at a revision.

        None are returned if the host knows as much, or its revision is of another era.
        """
        entries = self._entries
        if entries is None or entries.revision <= revision:
            return []
        if era_of(entries.revision) != era_of(revision):
            return []
        rest = self.after(entries.revision)
        if self._changes and not rest:
            # Changes that were too many are missing between them.
            return []
        return [RelayedChanges(revision, entries.encoded, is_recent=False), *rest]

    def after(self, revision: int) -> list[RelayedChanges]:
        """Return the changes after a revision; none unless all of them are known.

        They confirm no view, as the store may have changed since.

        The first ones may repeat changes up to the revision, whose entries the later
        ones of the same call hold as well.
        """
        missed = [c for c in self._changes if c.revision > revision]
        if not missed or missed[0].after_revision > revision:
            return []
        first, *rest = missed
        return [_kept(revision, first), *(_kept(c.after_revision, c) for c in rest)]


def _kept(after_revision: int, applied: _Applied) -> RelayedChanges:
    return RelayedChanges(after_revision, applied.encoded, is_recent=False)
