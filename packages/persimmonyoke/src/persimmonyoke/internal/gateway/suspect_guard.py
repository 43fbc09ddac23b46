"""Quarantine and isolation of requests that may have crashed replicas."""

import time
from collections.abc import Callable, Sequence
from typing import NoReturn

import gevent

from persimmonyoke.internal.delivery.suspect_types import (
    Clear,
    Quarantined,
    SuspectStatus,
)
from persimmonyoke.internal.delivery.suspects import ISOLATION_SETTLE_S
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.exchange import (
    RESPONSE_MARGIN_S,
    Exchange,
    StreamBroken,
)
from persimmonyoke.internal.gateway.state import GatewayState

ISOLATION_POLL_S = 0.02
RETRY_AFTER_BUSY_S = 0.5
QUARANTINED = "the request was running on replicas when they crashed"
NO_REPLICA = "no replica is left for a request that may crash it"
REPLICAS_RESERVED = "replicas are reserved for other requests that may crash them"


class SuspectGuard:
    """Withhold requests that crash replicas, and run strong suspects in isolation."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def status(self, exchange: Exchange) -> SuspectStatus:
        """Return the status of a request; raise an error if it is quarantined.

        Waits until a quarantine that has just begun has settled.
        """
        suspects = self._state.suspects
        if not suspects.size:
            return Clear()
        digest = exchange.request.content_digest
        settling_s = suspects.settling_s(digest, time.monotonic())
        if settling_s > 0:
            gevent.sleep(settling_s)
        now_s = time.monotonic()
        status = suspects.status(digest, now_s)
        if isinstance(status, Quarantined):
            self._withhold(exchange, status, now_s)
        return status

    def reserve(
        self,
        exchange: Exchange,
        candidates: Callable[[], Sequence[Replica]],
        *,
        until_s: float,
    ) -> Replica | None:
        """Wait for a replica without other suspects, and reserve it.

        Returns ``None`` if the request need not run in isolation.
        """
        while self._must_run_alone(self.status(exchange)):
            free = candidates()
            if not free:
                self._raise(exchange, NO_REPLICA, RETRY_AFTER_BUSY_S)
            replica = self._try_reserve(exchange, free, until_s=until_s)
            if replica is not None and self._must_still_run_alone(exchange):
                return replica
            if time.monotonic() + ISOLATION_SETTLE_S >= until_s:
                self._raise(exchange, REPLICAS_RESERVED, RETRY_AFTER_BUSY_S)
            gevent.sleep(ISOLATION_POLL_S)
            exchange.cancel_scope.raise_if_cancelled()
        return None

    def end_reservation(self, exchange: Exchange) -> None:
        """Release the reserved replica for other suspects."""
        replica_id, exchange.isolated_on = exchange.isolated_on, None
        if replica_id is not None:
            digest = exchange.request.content_digest
            self._state.suspects.end_isolation(digest, replica_id)

    def note_completed(self, exchange: Exchange) -> None:
        """Clear a request that a replica has completed."""
        suspects = self._state.suspects
        if suspects.size:
            digest = exchange.request.content_digest
            suspects.note_completed(digest, time.monotonic())

    def _try_reserve(
        self, exchange: Exchange, candidates: Sequence[Replica], *, until_s: float
    ) -> Replica | None:
        suspects, digest = self._state.suspects, exchange.request.content_digest
        for replica in sorted(candidates, key=self._rank):
            reserved = suspects.try_isolate(
                digest, replica.replica_id, now_s=time.monotonic(), until_s=until_s
            )
            if not reserved:
                continue
            exchange.isolated_on = replica.replica_id
            gevent.sleep(ISOLATION_SETTLE_S)
            now_s = time.monotonic()
            holds = suspects.holds_isolation(digest, replica.replica_id, now_s)
            self._state.journal.event(
                "isolation",
                request_id=exchange.metadata.request_id,
                content=exchange.content_digest_hex,
                replica=replica.replica_id,
                held=holds,
            )
            if holds and not exchange.cancel_scope.cancelled:
                return replica
            self.end_reservation(exchange)
            exchange.cancel_scope.raise_if_cancelled()
        return None

    def _rank(self, replica: Replica) -> tuple[bool, int]:
        """Rank replicas: those not suspected first, then by the least running work."""
        state, now_s = self._state, time.monotonic()
        running = state.ledger.total(replica.replica_id, now_s=now_s).running
        return state.health.suspected(replica.replica_id, now_s), running

    def _must_still_run_alone(self, exchange: Exchange) -> bool:
        """Return whether the reservation is still needed; release it otherwise."""
        alone = False
        try:
            alone = self._must_run_alone(self.status(exchange))
        finally:
            if not alone:
                self.end_reservation(exchange)
        return alone

    def _must_run_alone(self, status: SuspectStatus) -> bool:
        return self._state.suspects.rule.must_run_isolated(status)

    def _withhold(
        self, exchange: Exchange, status: Quarantined, now_s: float
    ) -> NoReturn:
        left_s = status.until_s - now_s
        self._state.journal.event(
            "request_withheld",
            request_id=exchange.metadata.request_id,
            content=exchange.content_digest_hex,
            quarantine_left_ms=int(left_s * 1_000),
            may_have_run=exchange.may_have_run,
        )
        self._raise(exchange, QUARANTINED, left_s)

    @staticmethod
    def _raise(exchange: Exchange, reason: str, retry_after_s: float) -> NoReturn:
        if exchange.response_started:
            raise StreamBroken(reason)
        raise exchange.not_served(reason, retry_after_s)


def wait_limit_s(exchange: Exchange) -> float:
    """Return the time until which a request can wait for a replica."""
    return exchange.deadline_s - RESPONSE_MARGIN_S
