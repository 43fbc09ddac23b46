"""Audit records of configuration changes, read from the revision log."""

import itertools
import time
from collections.abc import Callable, Iterator

from persimmonyoke.internal.audit.records import AuditRecord, AuditSource
from persimmonyoke.internal.presets import (
    ChangeAction,
    HistoryEntry,
    RevisionLog,
    UnreadableRevision,
)


class ConfigurationAudit(AuditSource):
    """Return an audit record for each revision of the configuration."""

    def __init__(
        self, revisions: RevisionLog, *, unix_clock: Callable[[], float] = time.time
    ) -> None:
        self._revisions = revisions
        self._unix_clock = unix_clock

    @property
    def name(self) -> str:
        """Return the name of this source."""
        return "configuration"

    def records(self, *, limit: int) -> Iterator[AuditRecord]:
        """Yield the newest records, newest first; raise ``StoreUnavailable``."""
        next_unix_s = self._unix_clock()
        for entry in itertools.islice(self._revisions.entries(), limit):
            record = _record(entry, next_unix_s)
            next_unix_s = record.unix_s
            yield record


def _record(entry: HistoryEntry, next_unix_s: float) -> AuditRecord:
    if isinstance(entry, UnreadableRevision):
        # Its time is unknown. It was written before the next newer revision, whose time
        # is used instead.
        subject = f"revision {entry.number}"
        return AuditRecord(
            next_unix_s, "", "unreadable", subject, entry.problem, "", ""
        )
    if entry.action is ChangeAction.CHOOSE:
        before, after = entry.active_before, entry.active
    else:
        previous = entry.number - 1
        before = f"revision {previous}" if previous else "no configuration"
        after = "\n".join(entry.difference)
    return AuditRecord(
        unix_s=entry.created_unix_s,
        actor=entry.author,
        kind=f"preset_{entry.action.value}",
        subject=entry.preset_name,
        reason=entry.reason,
        before=before,
        after=after,
    )
