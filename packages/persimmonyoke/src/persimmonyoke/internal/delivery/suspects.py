"""Track requests that were running on engines that crashed, and quarantine them.

A crash makes every request on the engine a suspect. Suspects are retried one at a time
for each engine, so that the next crash identifies one request, which is then
quarantined. A crash attributed to a quarantined request no longer counts against the
others.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from persimmonyoke.internal.delivery.isolations import Isolation, IsolationTable
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
# A quarantine is not lifted because of crashes reported later than this after it began.
REVISION_WINDOW_S = 1.0
# If the incarnation is unknown, reports of a crash of one engine within this time count
# as one crash: several requests observe it within the idle timeout of each other.
SAME_CRASH_WINDOW_S = 5.0


@dataclass
class _Record:
    crashes: set[str] = field(default_factory=set)
    last_crash_s: float = 0.0
    quarantined_until_s: float = 0.0
    quarantined_at_s: float = 0.0
    # Whether a quarantine was lifted; one more crash then restores it.
    lifted: bool = False
    crashed_in_isolation: bool = False


class SuspectRegister:
    """Hold the suspects, isolations and quarantines of one entry node.

    The number of records is bounded. ``on_change`` receives a notice for the peers
    after each local change.
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
        self._max_records = max_records
        self.rule = rule or QuarantineRule()
        self._on_change = on_change
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._quarantined: dict[int, _Record] = {}
        self._isolations = IsolationTable(host)
        # The wall clock keeps the numbers increasing across restarts of the host.
        self._number = int(time.time() * 1000)
        self._attributed: OrderedDict[str, float] = OrderedDict()
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
        incarnation: str = "",
        started_s: float | None = None,
        isolated: bool = False,
    ) -> SuspectStatus:
        """Count a crash of an engine that was running the request.

        ``started_s`` is the time at which the attempt began. ``isolated`` means that
        the engine was reserved for the request.
        """
        self.status(digest, now_s)
        record = self._record(digest)
        event = self._crash_event(record, engine, incarnation, now_s)
        if started_s is not None and started_s > self._known_s(record, event, now_s):
            # An attempt that began after the known crash of an incarnation ran on a
            # later one, which the directory does not show yet.
            event = f"{event}+{self.host}:{now_s:.3f}"
        record.last_crash_s = now_s
        if event not in record.crashes:
            self.version += 1
            record.crashes.add(event)
            record.crashed_in_isolation |= isolated
            self._note_crashes((event,))
            self._quarantine_if_proven(record, now_s)
            self._publish(digest, now_s)
        return self.status(digest, now_s)

    def has_crashed(self, engine: str, incarnation: str) -> bool:
        """Return whether a host has seen the crash of this incarnation."""
        return f"{engine}@{incarnation}" in self._crashes

    def status(self, digest: bytes, now_s: float) -> SuspectStatus:
        """Return the current status of a request."""
        record = self._records.get(digest)
        if record is None:
            return Clear()
        if record.quarantined_until_s > now_s:
            return Quarantined(record.quarantined_until_s)
        expired = now_s - record.last_crash_s > self._suspect_ttl_s
        if record.quarantined_until_s or expired:
            del self._records[digest]
            return Clear()
        unattributed = self._unattributed_crashes(record)
        return Suspect(unattributed) if unattributed else Clear()

    def settling_s(self, digest: bytes, now_s: float) -> float:
        """Return how long notices of other hosts may still lift a quarantine."""
        record = self._records.get(digest)
        if record is None or record.quarantined_until_s <= now_s:
            return 0.0
        return max(0.0, record.quarantined_at_s + QUARANTINE_SETTLE_S - now_s)

    def note_completed(self, digest: bytes, now_s: float) -> None:
        """Clear a suspect whose answer was completed."""
        record = self._records.get(digest)
        if record is None or record.quarantined_until_s > now_s:
            return
        del self._records[digest]
        self.version += 1
        was_published = len(record.crashes) >= self.rule.isolation_threshold
        if was_published and self._on_change is not None:
            notice = SuspectNotice(
                digest, self.host, cleared=True, number=self._next_number()
            )
            self._on_change(notice)

    def try_isolate(
        self, digest: bytes, engine: str, *, now_s: float, until_s: float
    ) -> bool:
        """Reserve the engine for the suspect unless it or the engine is reserved."""
        if not self._isolations.reserve(digest, engine, now_s=now_s, until_s=until_s):
            return False
        self._publish_isolation(digest, engine, until_s - now_s)
        return True

    def holds_isolation(self, digest: bytes, engine: str, now_s: float) -> bool:
        """Return whether the reservation has precedence over those of other hosts."""
        return self._isolations.holds(digest, engine, now_s)

    def end_isolation(self, digest: bytes, engine: str) -> None:
        """Release the reservation of this host."""
        if self._isolations.end(digest, engine):
            self.version += 1
            self._publish_isolation(digest, engine, 0.0)

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
        record = self._record(notice.digest)
        if not notice.crashes <= record.crashes:
            record.last_crash_s = now_s
            record.crashes |= notice.crashes
            self._note_crashes(notice.crashes)
        if notice.quarantine_left_s > 0 and self._is_superseded(record, now_s):
            record.lifted = True
        elif notice.quarantine_left_s > 0:
            until_s = now_s + notice.quarantine_left_s
            self._quarantine(record, now_s, max(record.quarantined_until_s, until_s))
        else:
            self._quarantine_if_proven(record, now_s)

    def notices(self, now_s: float) -> tuple[SuspectNotice, ...]:
        """Return the notices of all requests, for a peer that has just started."""
        isolations = self._isolations.own(now_s)
        digests = list(dict.fromkeys([*self._records, *isolations]))
        return tuple(
            self._notice(digest, isolations.get(digest), now_s) for digest in digests
        )

    def isolated_notices(self, now_s: float) -> tuple[SuspectNotice, ...]:
        """Return the notices of requests that are isolated or quarantined."""
        strong = [
            digest
            for digest, record in self._records.items()
            if len(record.crashes) >= self.rule.isolation_threshold
        ]
        return tuple(self.notice(digest, now_s) for digest in strong)

    def notice(self, digest: bytes, now_s: float) -> SuspectNotice:
        """Return the notice of one request, for a peer."""
        return self._notice(digest, None, now_s)

    def forget_host(self, host: str) -> None:
        """Drop the reservations of a host that has left the fleet."""
        self._isolations.forget_host(host)
        self.version += 1

    @property
    def size(self) -> int:
        """Return the number of digests with a record."""
        return len(self._records)

    def _record(self, digest: bytes) -> _Record:
        record = self._records.get(digest)
        if record is None:
            record = self._records[digest] = _Record()
        self._records.move_to_end(digest)
        if len(self._records) > self._max_records:
            self._evict_one(digest)
        return record

    def _evict_one(self, kept: bytes) -> None:
        """Evict the oldest record with one crash, or else the oldest record.

        A crash makes every request on the engine a suspect. These must not displace a
        request that was part of more crashes.
        """
        oldest_first = (d for d in self._records if d != kept)
        weak = (
            digest
            for digest, record in self._records.items()
            if digest != kept and len(record.crashes) < 2
        )
        del self._records[next(weak, None) or next(oldest_first)]

    def _crash_event(
        self, record: _Record, engine: str, incarnation: str, now_s: float
    ) -> str:
        if incarnation:
            return f"{engine}@{incarnation}"
        recent = now_s - record.last_crash_s <= SAME_CRASH_WINDOW_S
        if recent:
            for event in record.crashes:
                if event.startswith(f"{engine}@"):
                    return event
        return f"{engine}@{self.host}:{now_s:.3f}"

    def _known_s(self, record: _Record, event: str, now_s: float) -> float:
        """Return when a crash was last reported, or ``now_s`` if it is new."""
        if event in record.crashes:
            return record.last_crash_s
        return self._attributed.get(event, now_s)

    def _quarantine_if_proven(self, record: _Record, now_s: float) -> None:
        if record.quarantined_until_s > now_s:
            self._quarantine(record, now_s, record.quarantined_until_s)
            return
        if not self._is_proven(record) and not self._superseded_quarantines(
            record, now_s
        ):
            return
        self.quarantined_total += 1
        self._quarantine(record, now_s, now_s + self.hold_s)

    def _is_proven(self, record: _Record) -> bool:
        if self.rule.requires_isolated_crash and not record.crashed_in_isolation:
            return False
        return self._unattributed_crashes(record) >= self.rule.crash_threshold

    def _quarantine(self, record: _Record, now_s: float, until_s: float) -> None:
        if record.quarantined_until_s <= now_s:
            record.quarantined_at_s = now_s
        record.quarantined_until_s = until_s
        self._quarantined[id(record)] = record
        for other in self._superseded_quarantines(record, now_s):
            other.quarantined_until_s = 0.0
            other.lifted = True
        self._attribute_crashes(record)

    def _unattributed_crashes(self, record: _Record) -> int:
        """Return the number of crashes that count against a request."""
        count = sum(event not in self._attributed for event in record.crashes)
        return count + record.lifted

    def _superseded_quarantines(self, record: _Record, now_s: float) -> list[_Record]:
        """Return recent quarantines whose crashes are a proper subset of the record's.

        An innocent request that ran beside two copies of a crashing one was part of
        fewer crashes than that one.
        """
        return [
            other
            for other in self._in_quarantine(now_s)
            if now_s - other.quarantined_at_s <= REVISION_WINDOW_S
            and other.crashes < record.crashes
        ]

    def _is_superseded(self, record: _Record, now_s: float) -> bool:
        """Return whether a quarantined request was in all of its crashes and more."""
        return any(
            record.crashes < other.crashes for other in self._in_quarantine(now_s)
        )

    def _in_quarantine(self, now_s: float) -> list[_Record]:
        """Return the records in quarantine without scanning the thousands of others."""
        for key, record in list(self._quarantined.items()):
            if record.quarantined_until_s <= now_s:
                del self._quarantined[key]
        return list(self._quarantined.values())

    def _note_crashes(self, events: Iterable[str]) -> None:
        self._crashes.update(dict.fromkeys(events))
        while len(self._crashes) > self._max_records:
            self._crashes.popitem(last=False)

    def _attribute_crashes(self, record: _Record) -> None:
        for event in record.crashes:
            self._attributed.setdefault(event, record.last_crash_s)
        while len(self._attributed) > self._max_records:
            self._attributed.popitem(last=False)

    def _merge_cleared(self, digest: bytes, now_s: float) -> None:
        record = self._records.get(digest)
        if record is not None and record.quarantined_until_s <= now_s:
            del self._records[digest]

    def _notice(
        self, digest: bytes, isolation: Isolation | None, now_s: float
    ) -> SuspectNotice:
        record = self._records.get(digest) or _Record()
        return SuspectNotice(
            digest=digest,
            host=self.host,
            crashes=frozenset(record.crashes),
            quarantine_left_s=max(0.0, record.quarantined_until_s - now_s),
            isolated_on=isolation.engine if isolation else None,
            isolation_left_s=max(0.0, isolation.until_s - now_s) if isolation else 0.0,
            number=self._next_number(),
        )

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _publish(self, digest: bytes, now_s: float) -> None:
        if self._on_change is not None:
            self._on_change(self._notice(digest, None, now_s))

    def _publish_isolation(self, digest: bytes, engine: str, left_s: float) -> None:
        if self._on_change is None:
            return
        record = self._records.get(digest)
        self._on_change(
            SuspectNotice(
                digest=digest,
                host=self.host,
                crashes=frozenset(record.crashes) if record else frozenset(),
                isolated_on=engine,
                isolation_left_s=left_s,
                number=self._next_number(),
            )
        )
