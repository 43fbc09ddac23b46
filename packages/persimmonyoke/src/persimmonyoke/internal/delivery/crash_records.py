"""Evidence kept about requests and prompt parts that were part of engine crashes."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

MAX_COMPLETIONS = 2_048
"""Subjects whose last completion is remembered."""


@dataclass
class CrashRecord:
    """Hold the crashes that one subject, a request or a prompt part, was part of."""

    subject: bytes
    crashes: set[str] = field(default_factory=set)
    last_crash_s: float = 0.0
    quarantined_until_s: float = 0.0
    quarantined_at_s: float = 0.0
    lifted: bool = False
    """Whether a quarantine was lifted; one more crash then restores it."""

    crashed_in_isolation: bool = False


class CrashRecords:
    """Hold a bounded number of records, and prefer those with most evidence."""

    def __init__(self, max_records: int) -> None:
        self._max_records = max_records
        self._records: OrderedDict[bytes, CrashRecord] = OrderedDict()
        self._by_crash: dict[str, set[bytes]] = defaultdict(set)

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[CrashRecord]:
        return iter(self._records.values())

    def get(self, subject: bytes) -> CrashRecord | None:
        """Return the record of a subject, if there is one."""
        return self._records.get(subject)

    def get_or_add(self, subject: bytes) -> CrashRecord:
        """Return the record of a subject, which becomes the newest one."""
        record = self._records.get(subject)
        if record is None:
            record = self._records[subject] = CrashRecord(subject)
        self._records.move_to_end(subject)
        if len(self._records) > self._max_records:
            self._evict_one(subject)
        return record

    def add_crashes(self, record: CrashRecord, events: Iterable[str]) -> None:
        """Add crashes that a subject was part of."""
        for event in events:
            record.crashes.add(event)
            self._by_crash[event].add(record.subject)

    def remove(self, subject: bytes) -> None:
        """Remove the record of a subject, if there is one."""
        record = self._records.pop(subject, None)
        for event in record.crashes if record else ():
            self._by_crash[event].discard(subject)
            if not self._by_crash[event]:
                del self._by_crash[event]

    def suspects_of(self, event: str, *, min_crashes: int) -> set[bytes]:
        """Return the subjects in a crash that were part of as many crashes."""
        return {
            subject
            for subject in self._by_crash.get(event, ())
            if len(self._records[subject].crashes) >= min_crashes
        }

    def _evict_one(self, kept: bytes) -> None:
        """Evict the oldest record with one crash, or else the oldest record.

        A crash makes every request on the engine a suspect. These must not displace a
        request that was part of more crashes.
        """
        oldest_first = (subject for subject in self._records if subject != kept)
        weak = (
            record.subject
            for record in self._records.values()
            if record.subject != kept and len(record.crashes) < 2
        )
        self.remove(next(weak, None) or next(oldest_first))


class Completions:
    """Remember when subjects last completed; a bounded number of them."""

    def __init__(self, max_subjects: int = MAX_COMPLETIONS) -> None:
        self._max_subjects = max_subjects
        self._completed_s: OrderedDict[bytes, float] = OrderedDict()

    def note(self, subjects: Iterable[bytes], now_s: float) -> None:
        """Record that a run with these subjects completed now."""
        for subject in subjects:
            self._completed_s[subject] = now_s
            self._completed_s.move_to_end(subject)
        while len(self._completed_s) > self._max_subjects:
            self._completed_s.popitem(last=False)

    def any_since(self, subject: bytes, since_s: float) -> bool:
        """Return whether the subject completed later than ``since_s``."""
        return self._completed_s.get(subject, float("-inf")) > since_s
