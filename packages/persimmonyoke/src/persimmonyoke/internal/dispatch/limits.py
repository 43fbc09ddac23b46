"""Limits on the requests a second that replicas accept from all hosts together.

Hosts send without asking each other. Each one takes an equal share of a limit and
spaces its requests evenly, so that the requests of all hosts stay within the limit
however they coincide. Of many hosts only some get a share, since even one request at
once from each of them would exceed a low limit.
"""

import math
import zlib
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

SHARES_PER_REQUEST = 1.5
MIN_SHARES = 2
"""Number of hosts that share a limit, per request a second and at least.

Each of them may send one request at any moment beyond its even spacing.
"""

MAX_INTERVAL_S = 10.0
"""Longest pause between requests of a host with a share.

An answer to a request shows whether the limit still holds.
"""

PROBES_PER_REQUEST = 0.05
MIN_PROBES_PER_S = 0.25
"""Requests a second from all hosts without a share, per request a second of a limit
and at least; they find out whether the limit still holds."""

BURST_S = 0.75
"""Time whose requests a host may send at once after a pause."""

CONFIRM_S = 0.5
"""Time since a limit was last named after which an answer without it ends the limit."""


@dataclass
class _Limit:
    """Hold the limit of one replica and this host's share of it.

    ``interval_s`` is the time between requests of this host, and ``next_s`` the time
    from which the next one is due. Up to ``credit_s`` earlier it is allowed as well.
    """

    per_s: float
    named_s: float
    next_s: float
    interval_s: float = MAX_INTERVAL_S
    credit_s: float = 0.0

    def wait_s(self, now_s: float) -> float:
        """Return the time until this host may send the next request."""
        return max(0.0, self.next_s - self.credit_s - now_s)

    def take(self, now_s: float) -> None:
        """Use up the next request, which may be due later."""
        self.next_s = max(now_s, self.next_s) + self.interval_s


@dataclass(frozen=True)
class Slot:
    """Allow one request to a replica from a time on."""

    replica_id: str
    at_s: float


class ReplicaLimits:
    """Track the limits that replicas name, and this host's requests to them."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._limits: dict[str, _Limit] = {}
        self._promised_s: dict[str, float] = {}

    def note_named(
        self, replica_id: str, per_s: float, *, hosts: Collection[str], now_s: float
    ) -> float | None:
        """Record that a replica named a limit; return the former one.

        ``hosts`` are the names of the other hosts that may send to the replica.
        """
        known = self._limits.get(replica_id)
        if known is None:
            known = self._limits[replica_id] = _Limit(per_s, now_s, now_s)
            self._share(replica_id, known, hosts)
            # Hosts that learn of a limit at once must not send at once as well.
            known.next_s = now_s + known.interval_s * _fraction(self._host, replica_id)
            return None
        former_per_s, known.per_s, known.named_s = known.per_s, per_s, now_s
        self._share(replica_id, known, hosts)
        known.next_s = min(known.next_s, now_s + known.interval_s)
        return former_per_s

    def note_unnamed(
        self, replica_id: str, *, sent_s: float, now_s: float
    ) -> float | None:
        """Record an answer without a limit; return the limit if that has ended.

        Requests that were sent before the limit was last named tell nothing.
        """
        known = self._limits.get(replica_id)
        if known is None or sent_s < known.named_s:
            return None
        if now_s - known.named_s < CONFIRM_S:
            return None
        del self._limits[replica_id]
        return known.per_s

    def forget(self, replica_id: str) -> None:
        """Drop the limit of a replica that was removed or has restarted."""
        self._limits.pop(replica_id, None)

    def is_limited(self, replica_id: str) -> bool:
        """Return whether a replica has named a limit."""
        return replica_id in self._limits

    def per_s(self, replica_id: str) -> float:
        """Return the limit of a replica, which is infinite if it has named none."""
        known = self._limits.get(replica_id)
        return math.inf if known is None else known.per_s

    def wait_s(self, replica_id: str, now_s: float) -> float:
        """Return the time until this host may send a request to a replica."""
        known = self._limits.get(replica_id)
        return 0.0 if known is None else known.wait_s(now_s)

    def take(self, replica_id: str, now_s: float) -> None:
        """Count a request to a replica, even if it is not due yet."""
        known = self._limits.get(replica_id)
        if known is not None:
            known.take(now_s)

    def try_take(self, replica_id: str, now_s: float) -> bool:
        """Count a request to a replica if it may be sent now."""
        if self.wait_s(replica_id, now_s) > 0.0:
            return False
        self.take(replica_id, now_s)
        return True

    def reserve(
        self, replica_ids: Iterable[str], *, now_s: float, patience_s: float
    ) -> Slot | None:
        """Take the next slot of some replicas unless it is later than a request can
        wait for it."""
        waits = {r: self.wait_s(r, now_s) for r in replica_ids}
        best = min(waits, key=lambda r: (waits[r], r), default=None)
        if best is None or waits[best] > patience_s:
            return None
        self.take(best, now_s)
        return Slot(best, now_s + waits[best])

    def give_back(self, slot: Slot) -> None:
        """Return a slot that is not used, so that a later request takes the last."""
        known = self._limits.get(slot.replica_id)
        if known is not None:
            known.next_s -= known.interval_s

    def queue_wait_s(
        self, replica_ids: Sequence[str], *, waiting: int, now_s: float
    ) -> float:
        """Return when one more request is sent if some others wait before it.

        A replica without a limit takes any number of them.
        """
        if not all(map(self.is_limited, replica_ids)) or not replica_ids:
            return 0.0
        first_s = min(self.wait_s(r, now_s) for r in replica_ids)
        return first_s + waiting / self._rate_per_s(replica_ids)

    def retry_after_s(
        self, group: str, replica_ids: Sequence[str], *, now_s: float
    ) -> float | None:
        """Return when one more refused request may be sent again, each one later.

        ``None`` means that none of the replicas makes it wait. Requests refused by one
        host in a row are spread over the slots that come next.
        """
        waits = [self.wait_s(r, now_s) for r in replica_ids]
        if not waits or min(waits) <= 0.0:
            return None
        rate_per_s = self._rate_per_s(replica_ids)
        first_s = now_s + min(waits)
        promised_s = max(first_s, self._promised_s.get(group, 0.0) + 1 / rate_per_s)
        self._promised_s[group] = promised_s
        return promised_s - now_s

    def _rate_per_s(self, replica_ids: Iterable[str]) -> float:
        """Return the requests a second that this host may send to limited replicas."""
        return sum(1 / self._limits[r].interval_s for r in replica_ids)

    def _share(self, replica_id: str, limit: _Limit, hosts: Collection[str]) -> None:
        """Set this host's share of a limit, which all hosts choose alike."""
        others = [name for name in hosts if name != self._host]
        shares = MIN_SHARES + math.floor(SHARES_PER_REQUEST * limit.per_s)
        weight = _fraction(self._host, replica_id)
        before = sum(_fraction(name, replica_id) < weight for name in others)
        if before >= shares:
            probes_per_s = MIN_PROBES_PER_S + PROBES_PER_REQUEST * limit.per_s
            limit.interval_s = max(MAX_INTERVAL_S, (len(others) + 1) / probes_per_s)
            limit.credit_s = 0.0
            return
        count = min(shares, len(others) + 1)
        limit.interval_s = MAX_INTERVAL_S
        if limit.per_s > 0.0:
            limit.interval_s = min(MAX_INTERVAL_S, count / limit.per_s)
        limit.credit_s = max(0.0, BURST_S - limit.interval_s)


def _fraction(host: str, replica_id: str) -> float:
    """Return a number from 0 to 1 that all hosts compute alike."""
    return zlib.crc32(f"{replica_id}/{host}".encode()) / 2**32
