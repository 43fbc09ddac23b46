"""Audit records of the configuration, read from its revisions."""

from collections.abc import Iterable, Iterator

from persimmonyoke.internal.audit.records import AuditRecord, AuditSource
from persimmonyoke.internal.presets import (
    ChangeAction,
    Revision,
    RevisionLog,
    revision_difference,
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
        # One more, since each record shows the difference to the revision before.
        history = self._revisions.history(limit + 1)
        return tuple(self._records(history))[:limit]

    def _records(self, history: tuple[Revision, ...]) -> Iterator[AuditRecord]:
        earlier: tuple[Revision | None, ...] = (*history[1:], None)
        for revision, before in zip(history, earlier, strict=True):
            yield _record(revision, before)


def _record(revision: Revision, earlier: Revision | None) -> AuditRecord:
    if revision.action is ChangeAction.CHOOSE:
        before, after = (earlier.active if earlier else ""), revision.active
    else:
        before = f"revision {earlier.number}" if earlier else "no configuration"
        after = "\n".join(revision_difference(earlier, revision))
    return AuditRecord(
        unix_s=revision.created_unix_s,
        actor=revision.author,
        kind=f"preset_{revision.action.value}",
        subject=revision.preset_name,
        reason=revision.reason,
        before=before,
        after=after,
    )
