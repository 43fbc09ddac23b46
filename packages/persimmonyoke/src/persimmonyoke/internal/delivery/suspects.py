"""Track what was running on engines that crashed, and quarantine the cause.

A crash makes every request on the engine a suspect, and with it each prompt part that
other requests may share. Suspects are retried one at a time for each engine, so that
the next crash identifies one request, of which the subjects that were part of enough
crashes are then quarantined. A crash attributed to a quarantined subject no longer
counts towards the quarantine of the others. A request is refused only if it holds all
strong suspects of one of the crashes. Subjects that crashed engines only together are
told apart by the next run that has one of them without the others.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

from persimmonyoke.internal.delivery.crash_records import (
    Completions,
    CrashRecord,
    CrashRecords,
)
from persimmonyoke.internal.delivery.isolations import IsolationTable
from persimmonyoke.internal.delivery.quarantines import Quarantines
from persimmonyoke.internal.delivery.suspect_notices import SuspectNotices
from persimmonyoke.internal.delivery.suspect_types import (
    Clear,
    Quarantined,
    QuarantineRule,
    Suspect,
    SuspectNotice,
    SuspectStatus,
)

DEFAULT_HOLD_S = 600.0
DEFAULT_SUSPECT_TTL_S = 600.0
DEFAULT_MAX_RECORDS = 10_000
# Peers learn of an isolation within milliseconds. After this time, a conflict between
# two hosts that chose the same engine at once is visible to both. 0.05 s was too short
# on busy hosts: an innocent suspect shared the engine of the crashing one.
ISOLATION_SETTLE_S = 0.15
# Copies of one request can crash several engines within milliseconds. A host may then
# learn of the second crash of an innocent request before that of the crashing one.
QUARANTINE_SETTLE_S = 0.2
# If the incarnation is unknown, reports of a crash of one engine within this time count
# as one crash: several requests observe it within the idle timeout of each other.
SAME_CRASH_WINDOW_S = 5.0


class SuspectRegister:
    """Hold the suspects, isolations and quarantines of one entry node.

    A request is named by the digest of its content and by those of the prompt parts
    that it shares with others, its subjects. The number of records is bounded.
    ``on_change`` receives a notice for the peers after each local change.
    """

    def __init__(
        self,
        host: str,
        *,
        hold_s: float = DEFAULT_HOLD_S,
        suspect_ttl_s: float = DEFAULT_SUSPECT_TTL_S,
        max_records: int = DEFAULT_MAX_RECORDS,
        rule: QuarantineRule | None = None,
        on_change: Callable[[SuspectNotice], None] | None = None,
    ) -> None:
        if hold_s <= 0:
            raise ValueError(f"hold_s must be positive, not {hold_s}")
        if max_records < 1:
            raise ValueError(f"max_records must be at least 1, not {max_records}")
        self.host = host
        self.hold_s = hold_s
        self._suspect_ttl_s = suspect_ttl_s
        self._max_events = max_records
        self.rule = rule or QuarantineRule()
        self._records = CrashRecords(max_records)
        # Only completed runs tell subjects with the same crashes apart.
        lifts = self.rule.completion_lifts
        self._quarantines = Quarantines(
            self._records,
            min_crashes=self.rule.isolation_threshold if lifts else None,
            max_events=max_records,
        )
        self._notices = SuspectNotices(host, on_change)
        self._completions = Completions()
        self._isolations = IsolationTable(host)
        self._crashes: OrderedDict[str, None] = OrderedDict()
        self.quarantined_total = 0
        # Counts changes, so that waiting suspects can detect one cheaply.
        self.version = 0

    def note_crash(
        self,
        digest: bytes,
        engine: str,
        now_s: float,
        *,
        parts: Sequence[bytes] = (),
        incarnation: str = "",
        started_s: float | None = None,
        lost_s: float | None = None,
        isolated: bool = False,
    ) -> SuspectStatus:
        """Count a crash of an engine that was running the request.

        ``started_s`` is the time at which the attempt began, and ``lost_s`` the time of
        the crash. ``isolated`` means that the engine was reserved for the request.
        """
        subjects = (digest, *parts)
        crashed_s = now_s if lost_s is None else lost_s
        self.status(digest, now_s, parts=parts)
        changed = [
            subject
            for subject in subjects
            if not self._completions.any_since(subject, crashed_s)
            and self._count_crash(
                subject,
                engine,
                now_s,
                incarnation=incarnation,
                started_s=started_s,
                isolated=isolated,
            )
        ]
        self._quarantine_proven(changed, now_s)
        for subject in changed:
            self._publish(subject, now_s)
        return self.status(digest, now_s, parts=parts)

    def has_crashed(self, engine: str, incarnation: str) -> bool:
        """Return whether a host has seen the crash of this incarnation."""
        return f"{engine}@{incarnation}" in self._crashes

    def status(
        self, digest: bytes, now_s: float, *, parts: Sequence[bytes] = ()
    ) -> SuspectStatus:
        """Return the current status of a request, that of its worst subject.

        Of subjects with as many crashes, the last one counts, on all hosts alike.
        """
        subjects = (digest, *parts)
        worst: SuspectStatus = Clear()
        for subject in subjects:
            status = self._subject_status(subject, subjects, now_s)
            if isinstance(status, Quarantined):
                return status
            if isinstance(status, Suspect) and status.crashes >= _crashes(worst):
                worst = status
        return worst

    def settling_s(
        self, digest: bytes, now_s: float, *, parts: Sequence[bytes] = ()
    ) -> float:
        """Return how long notices of other hosts may still lift a quarantine."""
        settled_s = now_s
        for subject in (digest, *parts):
            record = self._records.get(subject)
            if record is not None and record.quarantined_until_s > now_s:
                settled_s = max(
                    settled_s, record.quarantined_at_s + QUARANTINE_SETTLE_S
                )
        return settled_s - now_s

    def note_completed(
        self, digest: bytes | None, now_s: float, *, parts: Sequence[bytes] = ()
    ) -> list[bytes]:
        """Clear the subjects of a run that completed; return those in quarantine.

        Without a digest, only the parts are cleared.
        """
        subjects = parts if digest is None else (digest, *parts)
        if self.rule.completion_lifts:
            self._completions.note(subjects, now_s)
        return [subject for subject in subjects if self._clear(subject, now_s)]

    def quarantined(self, subjects: Iterable[bytes], now_s: float) -> list[bytes]:
        """Return those of some subjects that are in quarantine."""
        records = (self._records.get(subject) for subject in subjects)
        return [
            record.subject
            for record in records
            if record is not None and record.quarantined_until_s > now_s
        ]

    def try_isolate(
        self, digest: bytes, engine: str, *, now_s: float, until_s: float
    ) -> bool:
        """Reserve the engine for the suspect unless it or the engine is reserved."""
        if not self._isolations.reserve(digest, engine, now_s=now_s, until_s=until_s):
            return False
        self._publish_isolation(digest, now_s)
        return True

    def extend_isolation(
        self, digest: bytes, engine: str, *, now_s: float, until_s: float
    ) -> None:
        """Keep a reservation of this host for longer, if it has not ended."""
        if self._isolations.extend(digest, engine, now_s=now_s, until_s=until_s):
            self._publish_isolation(digest, now_s)

    def holds_isolation(self, digest: bytes, engine: str, now_s: float) -> bool:
        """Return whether the reservation has precedence over those of other hosts."""
        return self._isolations.holds(digest, engine, now_s)

    def end_isolation(self, digest: bytes, engine: str) -> None:
        """Release the reservation of this host."""
        if self._isolations.end(digest, engine):
            self.version += 1
            self._notices.publish_release(digest, engine)

    def isolated_engines(self, now_s: float) -> frozenset[str]:
        """Return the engines that are reserved for a suspect."""
        return frozenset(item.engine for item in self._isolations.active(now_s))

    def is_isolated(self, digest: bytes, now_s: float) -> bool:
        """Return whether a host is running the suspect in isolation."""
        return any(item.digest == digest for item in self._isolations.active(now_s))

    def merge(self, notice: SuspectNotice, now_s: float) -> None:
        """Apply the notice of a peer; applying it twice has no further effect."""
        self.version += 1
        if notice.isolated_on is not None and notice.host != self.host:
            self._isolations.merge(notice, notice.isolated_on, now_s)
        if notice.cleared:
            self._merge_cleared(notice.digest, now_s)
            return
        if not notice.crashes and notice.quarantine_left_s <= 0:
            return
        crashed_s = now_s - notice.crash_age_s
        if self._completions.any_since(notice.digest, crashed_s):
            self._refute(notice, now_s)
            return
        record = self._record(notice.digest)
        if not notice.crashes <= record.crashes:
            record.last_crash_s = max(record.last_crash_s, crashed_s)
            self._records.add_crashes(record, notice.crashes)
            self._note_crashes(notice.crashes)
        if notice.quarantine_left_s > 0 and self._quarantines.supersede(record, now_s):
            record.lifted = True
        elif notice.quarantine_left_s > 0:
            until_s = now_s + notice.quarantine_left_s
            self._quarantines.add(
                record, now_s, max(record.quarantined_until_s, until_s)
            )
        else:
            self._quarantine_proven((notice.digest,), now_s)

    def notices(self, now_s: float) -> tuple[SuspectNotice, ...]:
        """Return the notices of all requests, for a peer that has just started."""
        isolations = self._isolations.own(now_s)
        digests = dict.fromkeys([r.subject for r in self._records])
        digests.update(dict.fromkeys(isolations))
        return tuple(
            self._notices.notice(
                self._known_record(digest), isolations.get(digest), now_s
            )
            for digest in digests
        )

    def isolated_notices(self, now_s: float) -> tuple[SuspectNotice, ...]:
        """Return the notices of requests that are isolated or quarantined."""
        strong = [
            record.subject
            for record in self._records
            if len(record.crashes) >= self.rule.isolation_threshold
        ]
        return tuple(self.notice(subject, now_s) for subject in strong)

    def notice(self, digest: bytes, now_s: float) -> SuspectNotice:
        """Return the notice of one request, for a peer."""
        return self._notices.notice(self._known_record(digest), None, now_s)

    def forget_host(self, host: str) -> None:
        """Drop the reservations of a host that has left the fleet."""
        self._isolations.forget_host(host)
        self.version += 1

    @property
    def size(self) -> int:
        """Return the number of digests with a record."""
        return len(self._records)

    def _record(self, subject: bytes) -> CrashRecord:
        return self._records.get_or_add(subject)

    def _count_crash(
        self,
        subject: bytes,
        engine: str,
        now_s: float,
        *,
        incarnation: str,
        started_s: float | None,
        isolated: bool,
    ) -> bool:
        """Count a crash against one subject; return whether it is a new one."""
        record = self._record(subject)
        event = self._crash_event(record, engine, incarnation, now_s)
        if started_s is not None and started_s > self._known_s(record, event, now_s):
            # An attempt that began after the known crash of an incarnation ran on a
            # later one, which the directory does not show yet.
            event = f"{event}+{self.host}:{now_s:.3f}"
        record.last_crash_s = now_s
        if event in record.crashes:
            return False
        self.version += 1
        self._records.add_crashes(record, (event,))
        record.crashed_in_isolation |= isolated
        self._note_crashes((event,))
        return True

    def _subject_status(
        self, subject: bytes, subjects: Sequence[bytes], now_s: float
    ) -> SuspectStatus:
        """Return what one of the subjects of a request says about the request."""
        record = self._records.get(subject)
        if record is None:
            return Clear()
        if record.quarantined_until_s > now_s:
            if self._quarantines.explains(record, subjects):
                return Quarantined(record.quarantined_until_s, subject)
            return Suspect(len(record.crashes), subject)
        expired = now_s - record.last_crash_s > self._suspect_ttl_s
        if record.quarantined_until_s or expired:
            self._records.remove(subject)
            return Clear()
        crashes = max(
            self._quarantines.unattributed_crashes(record),
            self._crashes_to_isolate(record),
        )
        return Suspect(crashes, subject) if crashes else Clear()

    def _crashes_to_isolate(self, record: CrashRecord) -> int:
        """Return the crashes for which a strong suspect still runs in isolation.

        Several requests that crash engines may share the engine of an attributed crash,
        so only a completed run shows that a strong suspect is not one of them.
        """
        threshold = self.rule.isolation_threshold
        is_strong = len(record.crashes) >= threshold
        return threshold if self.rule.completion_lifts and is_strong else 0

    def _clear(self, subject: bytes, now_s: float) -> bool:
        """Drop the record of a completed subject; return whether it was quarantined."""
        record = self._records.get(subject)
        if record is None:
            return False
        was_quarantined = record.quarantined_until_s > now_s
        if was_quarantined and not self.rule.completion_lifts:
            return False
        self._remove(record, now_s)
        self.version += 1
        if len(record.crashes) >= self.rule.isolation_threshold:
            self._notices.publish_cleared(subject)
        return was_quarantined

    def _remove(self, record: CrashRecord, now_s: float) -> None:
        self._records.remove(record.subject)
        self._quarantines.remove(record, now_s)

    def _refute(self, notice: SuspectNotice, now_s: float) -> None:
        """Tell the peers that a subject completed after the crashes of a notice."""
        is_strong = len(notice.crashes) >= self.rule.isolation_threshold
        if is_strong or notice.quarantine_left_s > 0:
            self._merge_cleared(notice.digest, now_s)
            self._notices.publish_cleared(notice.digest)

    def _crash_event(
        self, record: CrashRecord, engine: str, incarnation: str, now_s: float
    ) -> str:
        if incarnation:
            return f"{engine}@{incarnation}"
        recent = now_s - record.last_crash_s <= SAME_CRASH_WINDOW_S
        if recent:
            for event in record.crashes:
                if event.startswith(f"{engine}@"):
                    return event
        return f"{engine}@{self.host}:{now_s:.3f}"

    def _known_s(self, record: CrashRecord, event: str, now_s: float) -> float:
        """Return when a crash was last reported, or ``now_s`` if it is new."""
        if event in record.crashes:
            return record.last_crash_s
        return self._quarantines.attributed_s(event, now_s)

    def _quarantine_proven(self, subjects: Iterable[bytes], now_s: float) -> None:
        """Quarantine the subjects that are proven; all of them by the same evidence."""
        records = [self._record(subject) for subject in subjects]
        proven = [record for record in records if self._is_cause(record, now_s)]
        for record in proven:
            until_s = record.quarantined_until_s
            if until_s <= now_s:
                self.quarantined_total += 1
                until_s = now_s + self.hold_s
            self._quarantines.add(record, now_s, until_s)

    def _is_cause(self, record: CrashRecord, now_s: float) -> bool:
        return bool(
            record.quarantined_until_s > now_s
            or self._is_proven(record)
            or self._quarantines.superseded_by(record, now_s)
            or self._quarantines.is_equal_cause(record, now_s)
        )

    def _is_proven(self, record: CrashRecord) -> bool:
        if self.rule.requires_isolated_crash and not record.crashed_in_isolation:
            return False
        return (
            self._quarantines.unattributed_crashes(record) >= self.rule.crash_threshold
        )

    def _note_crashes(self, events: Iterable[str]) -> None:
        self._crashes.update(dict.fromkeys(events))
        while len(self._crashes) > self._max_events:
            self._crashes.popitem(last=False)

    def _merge_cleared(self, subject: bytes, now_s: float) -> None:
        if self.rule.completion_lifts:
            self._completions.note((subject,), now_s)
        record = self._records.get(subject)
        if record is None:
            return
        if record.quarantined_until_s <= now_s or self.rule.completion_lifts:
            self._remove(record, now_s)

    def _publish(self, subject: bytes, now_s: float) -> None:
        self._notices.publish(self._known_record(subject), None, now_s)

    def _publish_isolation(self, subject: bytes, now_s: float) -> None:
        isolation = self._isolations.own(now_s)[subject]
        self._notices.publish(self._known_record(subject), isolation, now_s)

    def _known_record(self, subject: bytes) -> CrashRecord:
        """Return the record of a subject, or an empty one that is not kept."""
        return self._records.get(subject) or CrashRecord(subject)


def _crashes(status: SuspectStatus) -> int:
    return status.crashes if isinstance(status, Suspect) else 0
