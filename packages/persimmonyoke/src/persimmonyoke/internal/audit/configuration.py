"""Audit records of the configuration, read from its revisions."""

import itertools
from collections.abc import Iterable

from persimmonyoke.internal.audit.records import AuditRecord, AuditSource
from persimmonyoke.internal.presets import (
    ChangeAction,
    HistoryEntry,
    RevisionLog,
    UnreadableRevision,
)


class ConfigurationAudit(AuditSource):
    """Turn each revision into the record of its change."""

    def __init__(self, revisions: RevisionLog) -> None:
        self._revisions = revisions

    @property
    def name(self) -> str:
        """Return the name of this source."""
        return "configuration"

    def records(self, *, limit: int) -> Iterable[AuditRecord]:
        """Return the newest records; raise ``StoreUnavailable``."""
        entries = itertools.islice(self._revisions.entries(), limit)
        return (_record(entry) for entry in entries)


def _record(entry: HistoryEntry) -> AuditRecord:
    if isinstance(entry, UnreadableRevision):
        subject = f"revision {entry.number}"
        return AuditRecord(0.0, "", "unreadable", subject, entry.problem, "", "")
    if entry.action is ChangeAction.CHOOSE:
        before, after = entry.active_before, entry.active
    else:
        earlier = entry.number - 1
        before = f"revision {earlier}" if earlier else "no configuration"
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
