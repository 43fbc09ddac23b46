"""Peer messages that tell controllers the work offered by callers to each host."""

from collections.abc import Mapping
from dataclasses import dataclass

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode_plain
from persimmonyoke.internal.membership.messages import Load

# Prefix of the engine name in load messages that hold offered work, not a report.
OFFERED_PREFIX = "offered/"
# The totals of a host are forgotten after this time without a message.
FORGET_AFTER_S = 60.0


@dataclass(frozen=True)
class PoolTotals:
    """Hold the work offered to one pool since the start of its host."""

    prefill_tokens: int
    output_tokens: int
    requests: int


def offered_message(host: str, incarnation: str, totals: Mapping) -> Load:
    """Return the message with the totals of each pool."""
    pools = {
        name: [pool.prefill, pool.output, pool.requests]
        for name, pool in sorted(totals.items())
    }
    payload = cbor2.dumps([incarnation, pools])
    return Load(engine=f"{OFFERED_PREFIX}{host}", payload=payload)


def decode_offered(message: Load) -> tuple[str, str, dict[str, PoolTotals]] | None:
    """Return host, incarnation and totals; ``None`` for another kind of load message.

    Raises ``ProtocolError`` if the message is malformed.
    """
    if not message.engine.startswith(OFFERED_PREFIX):
        return None
    match decode_plain(message.payload):
        case [str(incarnation), dict(pools)]:
            host = message.engine.removeprefix(OFFERED_PREFIX)
            return host, incarnation, {n: _totals(v) for n, v in pools.items()}
    raise ProtocolError("offered load is malformed")


def _totals(fields: object) -> PoolTotals:
    match fields:
        case [int(prefill), int(output), int(requests)]:
            return PoolTotals(prefill, output, requests)
    raise ProtocolError("totals of a pool are malformed")


class OfferedLoad:
    """Sum the increases of all hosts' totals.

    The totals of a host start at zero after a restart, so only increases within one
    incarnation are counted.
    """

    def __init__(self) -> None:
        self._last: dict[str, tuple[str, float, dict[str, PoolTotals]]] = {}
        self._sums: dict[str, PoolTotals] = {}

    def receive(self, message: Load, now_s: float) -> bool:
        """Apply a message; return whether it held offered work."""
        read = decode_offered(message)
        if read is None:
            return False
        host, incarnation, totals = read
        previous = self._last.get(host)
        if previous is not None and previous[0] == incarnation:
            for pool, total in totals.items():
                self._add(pool, total, previous[2].get(pool, PoolTotals(0, 0, 0)))
        self._last[host] = (incarnation, now_s, totals)
        for name, (_, heard_s, _) in list(self._last.items()):
            if now_s - heard_s > FORGET_AFTER_S:
                del self._last[name]
        return True

    def totals(self, pool: str) -> PoolTotals:
        """Return the work offered to a pool at all hosts since this process started."""
        return self._sums.get(pool, PoolTotals(0, 0, 0))

    def _add(self, pool: str, total: PoolTotals, before: PoolTotals) -> None:
        summed = self.totals(pool)
        # Messages may arrive out of order; an older one must not count as a decrease.
        self._sums[pool] = PoolTotals(
            summed.prefill_tokens
            + max(0, total.prefill_tokens - before.prefill_tokens),
            summed.output_tokens + max(0, total.output_tokens - before.output_tokens),
            summed.requests + max(0, total.requests - before.requests),
        )
