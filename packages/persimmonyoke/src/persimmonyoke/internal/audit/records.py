"""Audit records, their sources and the filter over them."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonyoke.errors import PlatformUnavailable, ProtocolError
from persimmonyoke.internal.observability import part_logger

MAX_RECORDS = 200
"""Bound on the records that one search returns."""

MAX_RECORDS_READ = 3_000
"""Bound on the records that one source reads for one search: two days of changes."""

MAX_CLOCK_SKEW_S = 60.0
"""Hosts stamp their changes by their own clocks, so that times are not quite sorted."""

log = part_logger("audit")


@dataclass(frozen=True)
class AuditRecord:
    """Say who changed what, when and why.

    ``kind`` names the sort of change, such as ``preset_edit`` or ``order``; ``subject``
    is the preset, pool or engine. ``before`` and ``after`` are readable text.
    """

    unix_s: float
    actor: str
    kind: str
    subject: str
    reason: str
    before: str
    after: str


class AuditSource(ABC):
    """Read the records that one part of the system keeps."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the name under which a failure of this source is reported."""

    @abstractmethod
    def records(self, *, limit: int) -> Iterable[AuditRecord]:
        """Return the newest records, newest first; raise ``PlatformUnavailable``.

        A long list is read lazily, page by page.
        """


@dataclass(frozen=True)
class AuditFilter:
    """Select records; ``None`` accepts all values. ``text`` is searched in any field.

    ``since_unix_s`` is included, ``until_unix_s`` is not.
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
        """Say whether a record is selected."""
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
    """Hold the selected records, newest first, and what was not searched.

    ``missing_sources`` failed; of ``cut_sources`` the records before the newest
    ``MAX_RECORDS_READ`` were not read although fewer than asked for were found.
    """

    records: tuple[AuditRecord, ...]
    missing_sources: tuple[str, ...]
    cut_sources: tuple[str, ...] = ()


def search_audit(
    sources: Iterable[AuditSource], audit_filter: AuditFilter
) -> AuditAnswer:
    """Return the newest selected records of all sources.

    A source that fails is named in the answer, so that its absence is not taken for
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
    """Add the newest selected records; return whether the search was cut short."""
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
