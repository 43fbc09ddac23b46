"""Replicas of a plain service that may serve one request now."""

import time

import gevent

from persimmonyoke.internal.dispatch.services import choose_replica
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.state import GatewayState

SLOT_PATIENCE_SHARE = 0.5
"""Share of the target latency that a request waits for replicas with limits.

Requests that would have to wait longer are refused at once.
"""


class PlainCandidates:
    """Choose replicas of plain services, without those that a request has tried."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def await_slot(self, exchange: Exchange, excluded: set[str]) -> Replica | None:
        """Wait for a replica whose limit allows a request soon, if there is one."""
        state, route = self._state, exchange.route
        last_s = time.monotonic() + SLOT_PATIENCE_SHARE * route.target_latency_s
        while True:
            now_s = time.monotonic()
            known = {r.replica_id: r for r in self.reachable(exchange, excluded)}
            slot = state.replica_limits.reserve(
                known, now_s=now_s, patience_s=last_s - now_s
            )
            if slot is None:
                return None
            gevent.sleep(slot.at_s - now_s)
            exchange.cancel_scope.raise_if_cancelled()
            usable = {r.replica_id for r in self.reachable(exchange, excluded)}
            if slot.replica_id in usable:
                exchange.slot_at = slot.replica_id
                return known[slot.replica_id]

    def reservable(self, exchange: Exchange, excluded: set[str]) -> list[Replica]:
        """Return the reachable replicas whose limits allow a request now."""
        now_s = time.monotonic()
        return [
            replica
            for replica in self.reachable(exchange, excluded)
            if self._state.replica_limits.wait_s(replica.replica_id, now_s) <= 0.0
        ]

    def reachable(self, exchange: Exchange, excluded: set[str]) -> list[Replica]:
        """Return the replicas that this host considers reachable."""
        state, now_s = self._state, time.monotonic()
        return [
            replica
            for replica in state.usable_replicas(exchange.service.name, now_s=now_s)
            if replica.replica_id not in excluded
            and not state.health.paused(replica.replica_id, now_s)
        ]

    def choose(self, exchange: Exchange, excluded: set[str]) -> Replica | None:
        """Return the replica to send to now, if there is one."""
        state, now_s = self._state, time.monotonic()
        return choose_replica(
            state.sendable_replicas(exchange.service.name, now_s=now_s),
            ledger=state.ledger,
            health=state.health,
            excluded=excluded,
            own_zone=state.settings.availability_zone,
            now_s=now_s,
            rng=state.rng,
        )
