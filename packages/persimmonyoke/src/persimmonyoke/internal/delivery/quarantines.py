"""Quarantined subjects, and the engine crashes that they explain."""

from collections import OrderedDict
from collections.abc import Collection

from persimmonyoke.internal.delivery.crash_records import CrashRecord, CrashRecords

# A quarantine is not lifted because of crashes reported later than this after it began.
REVISION_WINDOW_S = 1.0


class Quarantines:
    """Hold the records in quarantine, and attribute their crashes to them.

    A crash that is attributed to one subject no longer counts against the others. A
    subject is certain to be the cause if it is the only strong suspect of a crash, that
    is, the only one with ``min_crashes`` crashes. Without ``min_crashes`` each subject
    in quarantine is.
    """

    def __init__(
        self, records: CrashRecords, *, min_crashes: int | None, max_events: int
    ) -> None:
        self._records = records
        self._min_crashes = min_crashes
        self._max_events = max_events
        self._quarantined: dict[bytes, CrashRecord] = {}
        self._attributed_s: OrderedDict[str, float] = OrderedDict()

    def add(self, record: CrashRecord, now_s: float, until_s: float) -> None:
        """Start or extend a quarantine, and lift those that it explains better."""
        if record.quarantined_until_s <= now_s:
            record.quarantined_at_s = now_s
        record.quarantined_until_s = until_s
        self._quarantined[record.subject] = record
        if not self._is_certain(record):
            return
        for other in self.superseded_by(record, now_s):
            other.quarantined_until_s = 0.0
            other.lifted = True
        self._attribute_crashes(record)

    def remove(self, record: CrashRecord, now_s: float) -> None:
        """End a quarantine; its crashes count against other subjects again."""
        if self._quarantined.pop(record.subject, None) is not None:
            for event in record.crashes:
                self._attributed_s.pop(event, None)
        for other in self.active(now_s):
            if self._is_certain(other):
                self._attribute_crashes(other)

    def active(self, now_s: float) -> list[CrashRecord]:
        """Return the records in quarantine without scanning the thousands of others."""
        for subject, record in list(self._quarantined.items()):
            if record.quarantined_until_s <= now_s:
                del self._quarantined[subject]
        return list(self._quarantined.values())

    def explains(self, record: CrashRecord, subjects: Collection[bytes]) -> bool:
        """Return whether some subjects include all strong suspects of a crash."""
        if self._min_crashes is None:
            return True
        return any(
            self._records.suspects_of(event, min_crashes=self._min_crashes)
            <= set(subjects)
            for event in record.crashes
        )

    def superseded_by(self, record: CrashRecord, now_s: float) -> list[CrashRecord]:
        """Return recent quarantines whose crashes are a proper subset of the record's.

        An innocent request that ran beside two copies of a crashing one was part of
        fewer crashes than that one.
        """
        return [
            other
            for other in self.active(now_s)
            if now_s - other.quarantined_at_s <= REVISION_WINDOW_S
            and other.crashes < record.crashes
        ]

    def supersede(self, record: CrashRecord, now_s: float) -> bool:
        """Return whether a certain cause was in all of the crashes and more."""
        return any(
            record.crashes < other.crashes and self._is_certain(other)
            for other in self.active(now_s)
        )

    def is_equal_cause(self, record: CrashRecord, now_s: float) -> bool:
        """Return whether a quarantined subject was only in crashes of this one."""
        if self._min_crashes is None:
            return False
        return any(other.crashes <= record.crashes for other in self.active(now_s))

    def unattributed_crashes(self, record: CrashRecord) -> int:
        """Return the number of crashes that count against a subject."""
        count = sum(event not in self._attributed_s for event in record.crashes)
        return count + record.lifted

    def attributed_s(self, event: str, default_s: float) -> float:
        """Return the time of a crash that is attributed, or a default."""
        return self._attributed_s.get(event, default_s)

    def _is_certain(self, record: CrashRecord) -> bool:
        return self.explains(record, (record.subject,))

    def _attribute_crashes(self, record: CrashRecord) -> None:
        for event in record.crashes:
            self._attributed_s.setdefault(event, record.last_crash_s)
        while len(self._attributed_s) > self._max_events:
            self._attributed_s.popitem(last=False)
