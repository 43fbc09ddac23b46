"""Choice of the host that gathers the reports of an availability zone.

With many hosts, datagrams of each one to each other take most of the processor time.
One host of a zone sums up what the others report and passes the sum on.
"""

from collections.abc import Sequence

TAKEOVER_S = 0.4
"""Silence of the hosts before it after which a host collects in their place.

Sums are sent each 0.1 s, and some datagrams are lost.
"""

WARM_UP_S = 1.0
"""Time after its start in which a host is not yet known to all that report to it."""

REPORT_COPIES = 2
"""Hosts that each host reports to, so that the next one can take over at once."""

MAX_REPORT_COPIES = 5
COLLECTOR_TTL_S = 1.0
"""Time for which a host that was heard collecting gets reports."""


class CollectorElection:
    """Decide who collects in the own zone, by the order of names and by silence.

    ``zone_hosts`` are the registered hosts of the zone in the order of their names,
    this one too. A host collects while it hears none that comes before it.
    """

    def __init__(self, own_name: str, *, now_s: float) -> None:
        self._own_name = own_name
        self._started_s = now_s
        self._heard_s: dict[str, float] = {}

    def note_heard(self, name: str, *, now_s: float) -> None:
        """Note that a host of the zone collects."""
        self._heard_s[name] = now_s

    def collects(self, zone_hosts: Sequence[str], *, now_s: float) -> bool:
        """Return whether this host sums up reports for its zone now."""
        if self._own_name not in zone_hosts or now_s - self._started_s < WARM_UP_S:
            return False
        rank = zone_hosts.index(self._own_name)
        silent_s = self._silent_s(zone_hosts[:rank], now_s)
        return silent_s >= rank * TAKEOVER_S

    def accepts(self, name: str, zone_hosts: Sequence[str], *, now_s: float) -> bool:
        """Return whether the sums of a host are used: no earlier one is heard."""
        if name not in zone_hosts:
            return False
        before = zone_hosts[: zone_hosts.index(name)]
        return not any(
            now_s - self._heard_s.get(other, float("-inf")) < TAKEOVER_S
            for other in before
        )

    def hears_other_collector(self, zone_hosts: Sequence[str], *, now_s: float) -> bool:
        """Return whether another host of the zone was heard collecting lately."""
        others = [name for name in zone_hosts if name != self._own_name]
        return any(
            now_s - self._heard_s.get(name, float("-inf")) < TAKEOVER_S
            for name in others
        )

    def report_to(self, zone_hosts: Sequence[str], *, now_s: float) -> list[str]:
        """Return the hosts to report to; more of them the longer none is heard."""
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
        """Return for how long none of some hosts was heard collecting."""
        heard_s = (self._heard_s.get(name, float("-inf")) for name in names)
        return now_s - max(self._started_s, *heard_s, float("-inf"))
