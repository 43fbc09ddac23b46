"""Admission of connections to a host that has a limit of them."""

import time
from collections import Counter

from persimmonyoke.internal.gateway.client_table import (
    REFUSED,
    ClientPhase,
    ClientTable,
    TableEntry,
)
from persimmonyoke.internal.gateway.journal import Journal
from persimmonyoke.internal.gateway.metrics import GatewayMetrics

LOG_INTERVAL_S = 1.0


class ClientAdmission:
    """Admit connections of all ports, and close others in their favour."""

    def __init__(self, limit: int, journal: Journal, metrics: GatewayMetrics) -> None:
        self._table = ClientTable(limit)
        self._journal = journal
        self._metrics = metrics
        self._closed: Counter[str] = Counter()
        self._logged_s = float("-inf")

    @property
    def limit(self) -> int:
        """Return the limit of open connections."""
        return self._table.limit

    def try_admit(self, entry: TableEntry) -> bool:
        """Admit a connection, unless all others are of more use."""
        now_s = time.monotonic()
        if self._table.is_full:
            other = self._table.least_useful(now_s=now_s)
            self._note(REFUSED if other is None else other.phase, now_s=now_s)
            if other is None:
                return False
            self._table.discard(other)
            other.shut_down()
        self._table.add(entry, now_s=now_s)
        return True

    def note_progress(self, entry: TableEntry, phase: ClientPhase) -> None:
        """Record that a connection has got on."""
        self._table.note_progress(entry, phase, now_s=time.monotonic())

    def discard(self, entry: TableEntry) -> None:
        """Forget a connection that is closed."""
        self._table.discard(entry)

    def _note(self, phase: str, *, now_s: float) -> None:
        """Count a connection that is closed, and log the counts at intervals."""
        self._closed[phase] += 1
        self._metrics.closed_for_others.add(phase=phase)
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._journal.event(
            "connections_full",
            connections=len(self._table),
            limit=self._table.limit,
            **{_field(phase): count for phase, count in self._closed.items()},
        )
        self._closed.clear()
        self._logged_s = now_s


def _field(phase: str) -> str:
    return phase if phase == REFUSED else f"closed_{phase}"
