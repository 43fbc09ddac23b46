"""Audit records, their sources and filters."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonyoke.errors import PlatformUnavailable, ProtocolError
from persimmonyoke.internal.observability import part_logger

MAX_RECORDS = 200
"""Maximum number of records that a search returns."""

MAX_RECORDS_READ = 3_000
"""Maximum number of records read from a source per search: two days of changes."""

MAX_CLOCK_SKEW_S = 60.0
"""Hosts use their own clocks for time stamps, so records are only roughly sorted."""

log = part_logger("audit")


@dataclass(frozen=True)
class AuditRecord:
    """Record who changed what, when and why.

    ``kind`` is the type of change, such as ``preset_edit`` or ``order``; ``subject``
    is the preset, pool or engine. ``before`` and ``after`` are human-readable text.
    """

    unix_s: float
    actor: str
    kind: str
    subject: str
    reason: str
    before: str
    after: str


class AuditSource(ABC):
    """Read the audit records of one component."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the name that search answers use for this source."""

    @abstractmethod
    def records(self, *, limit: int) -> Iterable[AuditRecord]:
        """Return the newest records, newest first; raise ``PlatformUnavailable``.

        Long lists are read lazily, page by page.
        """


@dataclass(frozen=True)
class AuditFilter:
    """Select records; ``None`` accepts all values.

    ``text`` matches a part of any text field, regardless of case. ``since_unix_s`` is
    inclusive, ``until_unix_s`` exclusive.
    """

    actor: str | None = None
    kind: str | None = None
    subject: str | None = None
    since_unix_s: float | None = None
    until_unix_s: float | None = None
    text: str | None = None
    limit: int = 50

    def __post_init__(self) -> None:
        if not 1 <= self.limit <= MAX_RECORDS:
            raise ValueError(f"limit is {self.limit}; accepted: 1 to {MAX_RECORDS}")

    def accepts(self, record: AuditRecord) -> bool:
        """Return whether the filter selects a record."""
        return (
            self.actor in (None, record.actor)
            and self.kind in (None, record.kind)
            and self.subject in (None, record.subject)
            and (self.since_unix_s is None or record.unix_s >= self.since_unix_s)
            and (self.until_unix_s is None or record.unix_s < self.until_unix_s)
            and self._contains_text(record)
        )

    def _contains_text(self, record: AuditRecord) -> bool:
        if self.text is None:
            return True
        fields = (
            record.actor,
            record.kind,
            record.subject,
            record.reason,
            record.before,
            record.after,
        )
        return any(self.text.casefold() in field.casefold() for field in fields)


@dataclass(frozen=True)
class AuditAnswer:
    """Hold the selected records, newest first, and the sources not fully searched.

    ``missing_sources`` failed. Of ``cut_sources`` only the newest ``MAX_RECORDS_READ``
    records were read, although fewer records than the limit were found.
    """

    records: tuple[AuditRecord, ...]
    missing_sources: tuple[str, ...]
    cut_sources: tuple[str, ...] = ()


def search_audit(
    sources: Iterable[AuditSource], audit_filter: AuditFilter
) -> AuditAnswer:
    """Return the newest selected records of all sources.

    The answer names sources that failed, so that missing records are not mistaken for
    an absence of changes.
    """
    found: list[AuditRecord] = []
    missing = []
    cut = []
    for source in sources:
        try:
            if _search(source, audit_filter, found):
                cut.append(source.name)
        except (PlatformUnavailable, ProtocolError) as error:
            log.warning("audit source {} failed: {}", source.name, error)
            missing.append(source.name)
    found.sort(key=lambda record: record.unix_s, reverse=True)
    return AuditAnswer(tuple(found[: audit_filter.limit]), tuple(missing), tuple(cut))


def _search(
    source: AuditSource, audit_filter: AuditFilter, found: list[AuditRecord]
) -> bool:
    """Add the newest selected records; return whether the read limit was reached."""
    remaining = audit_filter.limit
    read_count = 0
    for record in source.records(limit=MAX_RECORDS_READ):
        read_count += 1
        since_s = audit_filter.since_unix_s
        if since_s is not None and record.unix_s < since_s - MAX_CLOCK_SKEW_S:
            return False
        if audit_filter.accepts(record):
            found.append(record)
            remaining -= 1
            if not remaining:
                return False
    return read_count >= MAX_RECORDS_READ
