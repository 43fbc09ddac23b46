"""Election of the host that collects the reports of an availability zone.

With many hosts, a full mesh of datagrams takes most of the processor time. One host
per zone therefore aggregates the reports of the others and forwards the aggregate.
"""

from collections.abc import Sequence
from dataclasses import dataclass

TAKEOVER_S = 0.4
"""Silence of all preceding hosts after which a host takes over as collector.

Aggregates are sent every 0.1 s, and some datagrams are lost.
"""

WARM_UP_S = 1.0
"""Time after its start in which a host is not yet known to all reporting hosts."""

REPORT_COPIES = 2
"""Number of hosts that get each report, so that the next one can take over at once."""

MAX_REPORT_COPIES = 5
COLLECTOR_TTL_S = 1.0
"""Time for which a host gets reports after it was last heard as collector."""


@dataclass(frozen=True)
class Standing:
    """Hold what the election of this host depends on; without a rank it has no part."""

    rank: int | None
    candidates: int
    silent_s: float
    """Time for which no preceding host was heard as collector."""


class CollectorElection:
    """Elect the collector of the own zone by name order, with takeover on silence.

    ``zone_hosts`` are the hosts of the zone in their order, including this one. A host
    is the collector while it hears no preceding one. One that is not in the order any
    more counts as preceding, so that its successors take over one after the other.
    """

    def __init__(self, own_name: str, *, now_s: float) -> None:
        self._own_name = own_name
        self._started_s = now_s
        self._heard_s: dict[str, float] = {}

    def restart(self, now_s: float) -> None:
        """Count silences from now on, as this host has not listened before."""
        self._started_s = now_s

    def note_heard(self, name: str, *, now_s: float) -> None:
        """Record an aggregate from a collector of the zone."""
        self._heard_s[name] = now_s

    def collects(self, zone_hosts: Sequence[str], *, now_s: float) -> bool:
        """Return whether this host is the collector of its zone now."""
        standing = self.standing(zone_hosts, now_s=now_s)
        if standing.rank is None or now_s - self._started_s < WARM_UP_S:
            return False
        return standing.silent_s >= standing.rank * TAKEOVER_S

    def standing(self, zone_hosts: Sequence[str], *, now_s: float) -> Standing:
        """Return the place of this host in the order, and the silence before it."""
        if self._own_name not in zone_hosts:
            silent_s = self._silent_s(zone_hosts, now_s)
            return Standing(None, len(zone_hosts), silent_s)
        rank = zone_hosts.index(self._own_name)
        not_before = zone_hosts[rank:]
        before = [name for name in self._heard_s if name not in not_before]
        silent_s = self._silent_s(before, now_s)
        return Standing(rank, len(zone_hosts), silent_s)

    def accepts(self, name: str, zone_hosts: Sequence[str], *, now_s: float) -> bool:
        """Return whether to use a host's aggregates: no preceding one is active."""
        if name not in zone_hosts:
            return False
        before = zone_hosts[: zone_hosts.index(name)]
        return not any(
            now_s - self._heard_s.get(other, float("-inf")) < TAKEOVER_S
            for other in before
        )

    def hears_other_collector(self, zone_hosts: Sequence[str], *, now_s: float) -> bool:
        """Return whether another collector of the zone was heard recently."""
        others = [name for name in zone_hosts if name != self._own_name]
        return any(
            now_s - self._heard_s.get(name, float("-inf")) < TAKEOVER_S
            for name in others
        )

    def report_to(self, zone_hosts: Sequence[str], *, now_s: float) -> list[str]:
        """Return the hosts to report to, more the longer no collector is heard."""
        silent_s = self._silent_s(zone_hosts, now_s)
        copies = min(MAX_REPORT_COPIES, REPORT_COPIES + int(silent_s / TAKEOVER_S))
        others = [name for name in zone_hosts if name != self._own_name]
        sources = [
            name
            for name in others[copies:]
            if now_s - self._heard_s.get(name, float("-inf")) < COLLECTOR_TTL_S
        ]
        return others[:copies] + sources

    def _silent_s(self, names: Sequence[str], now_s: float) -> float:
        """Return for how long none of these hosts was heard as collector."""
        heard_s = (self._heard_s.get(name, float("-inf")) for name in names)
        return now_s - max(self._started_s, *heard_s, float("-inf"))
