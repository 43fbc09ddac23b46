"""Notices by which a host tells its peers of suspects and reservations."""

import time
from collections.abc import Callable

from persimmonyoke.internal.delivery.crash_records import CrashRecord
from persimmonyoke.internal.delivery.isolations import Isolation
from persimmonyoke.internal.delivery.suspect_types import SuspectNotice


class SuspectNotices:
    """Number the notices of one host, and pass those of changes to ``on_change``."""

    def __init__(
        self, host: str, on_change: Callable[[SuspectNotice], None] | None
    ) -> None:
        self._host = host
        self.on_change = on_change
        # The wall clock keeps the numbers increasing across restarts of the host.
        self._number = int(time.time() * 1000)

    def notice(
        self, record: CrashRecord, isolation: Isolation | None, now_s: float
    ) -> SuspectNotice:
        """Return the notice of one subject."""
        crash_age_s = max(0.0, now_s - record.last_crash_s) if record.crashes else 0.0
        return SuspectNotice(
            digest=record.subject,
            host=self._host,
            crashes=frozenset(record.crashes),
            quarantine_left_s=max(0.0, record.quarantined_until_s - now_s),
            isolated_on=isolation.engine if isolation else None,
            isolation_left_s=max(0.0, isolation.until_s - now_s) if isolation else 0.0,
            number=self._next_number(),
            crash_age_s=crash_age_s,
        )

    def publish(
        self, record: CrashRecord, isolation: Isolation | None, now_s: float
    ) -> None:
        """Publish a change of a subject or of its reservation."""
        if self.on_change is not None:
            self.on_change(self.notice(record, isolation, now_s))

    def publish_cleared(self, subject: bytes) -> None:
        """Publish that a subject completed."""
        if self.on_change is None:
            return
        number = self._next_number()
        self.on_change(SuspectNotice(subject, self._host, cleared=True, number=number))

    def publish_release(self, subject: bytes, engine: str) -> None:
        """Publish the end of a reservation."""
        if self.on_change is None:
            return
        number = self._next_number()
        self.on_change(
            SuspectNotice(subject, self._host, isolated_on=engine, number=number)
        )

    def _next_number(self) -> int:
        self._number += 1
        return self._number
