"""Quarantine and isolation of requests that may have crashed replicas."""

import time
from collections.abc import Callable, Sequence
from typing import NoReturn

import gevent

from persimmonyoke.internal.delivery.suspect_types import (
    Clear,
    Quarantined,
    Suspect,
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
PART_QUARANTINED = "replicas crashed as they began requests with a part of the prompt"
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
        digest, parts = exchange.request.content_digest, exchange.part_digests
        settling_s = suspects.settling_s(digest, time.monotonic(), parts=parts)
        if settling_s > 0:
            gevent.sleep(settling_s)
        now_s = time.monotonic()
        status = suspects.status(digest, now_s, parts=parts)
        if isinstance(status, Quarantined):
            self._withhold(exchange, status, now_s)
        return status

    def is_suspect_itself(self, exchange: Exchange) -> bool:
        """Return whether the request itself, not a part of its prompt, is a suspect."""
        suspects = self._state.suspects
        if not suspects.size:
            return False
        digest = exchange.request.content_digest
        return not isinstance(suspects.status(digest, time.monotonic()), Clear)

    def must_run_alone(self, status: SuspectStatus) -> bool:
        """Return whether a request may only run on a replica reserved for it."""
        return self._state.suspects.rule.must_run_isolated(status)

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
        while True:
            status = self.status(exchange)
            if not isinstance(status, Suspect) or not self.must_run_alone(status):
                return None
            free = candidates()
            if not free:
                self._raise(exchange, NO_REPLICA, RETRY_AFTER_BUSY_S)
            replica = self._try_reserve(exchange, status.subject, free, until_s=until_s)
            if replica is not None and self._must_still_run_alone(exchange):
                return replica
            if time.monotonic() + ISOLATION_SETTLE_S >= until_s:
                self._raise(exchange, REPLICAS_RESERVED, RETRY_AFTER_BUSY_S)
            gevent.sleep(ISOLATION_POLL_S)
            exchange.cancel_scope.raise_if_cancelled()

    def end_reservation(self, exchange: Exchange) -> None:
        """Release the reserved replica for other suspects."""
        replica_id, exchange.isolated_on = exchange.isolated_on, None
        if replica_id is not None:
            subject = exchange.isolated_subject
            self._state.suspects.end_isolation(subject, replica_id)

    def note_completed(self, exchange: Exchange) -> None:
        """Clear a request that a replica has begun to answer, and its prompt parts."""
        suspects = self._state.suspects
        # Hashing a long body is only worthwhile if there may be a record of it.
        digest = exchange.request.content_digest if suspects.size else None
        lifted = suspects.note_completed(
            digest, time.monotonic(), parts=exchange.part_digests
        )
        for subject in lifted:
            self._state.journal.event(
                "quarantine_lifted",
                request_id=exchange.metadata.request_id,
                subject=subject.hex(),
                part=_part_id(exchange, subject),
            )
            self._state.on_quarantine_lifted(subject)

    def _try_reserve(
        self,
        exchange: Exchange,
        subject: bytes,
        candidates: Sequence[Replica],
        *,
        until_s: float,
    ) -> Replica | None:
        suspects = self._state.suspects
        for replica in sorted(candidates, key=self._rank):
            reserved = suspects.try_isolate(
                subject, replica.replica_id, now_s=time.monotonic(), until_s=until_s
            )
            if not reserved:
                continue
            exchange.isolated_on = replica.replica_id
            exchange.isolated_subject = subject
            gevent.sleep(ISOLATION_SETTLE_S)
            now_s = time.monotonic()
            holds = suspects.holds_isolation(subject, replica.replica_id, now_s)
            self._state.journal.event(
                "isolation",
                request_id=exchange.metadata.request_id,
                content=exchange.content_digest_hex,
                part=_part_id(exchange, subject),
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
        needed = False
        try:
            status = self.status(exchange)
            needed = (
                isinstance(status, Suspect)
                and status.subject == exchange.isolated_subject
                and self.must_run_alone(status)
            )
        finally:
            if not needed:
                self.end_reservation(exchange)
        return needed

    def _withhold(
        self, exchange: Exchange, status: Quarantined, now_s: float
    ) -> NoReturn:
        left_s = status.until_s - now_s
        self._state.journal.event(
            "request_withheld",
            request_id=exchange.metadata.request_id,
            content=exchange.content_digest_hex,
            subject=status.subject.hex(),
            part=_part_id(exchange, status.subject),
            quarantine_left_ms=int(left_s * 1_000),
            may_have_run=exchange.may_have_run,
        )
        of_part = status.subject in exchange.part_digests
        self._raise(exchange, PART_QUARANTINED if of_part else QUARANTINED, left_s)

    @staticmethod
    def _raise(exchange: Exchange, reason: str, retry_after_s: float) -> NoReturn:
        if exchange.response_started:
            raise StreamBroken(reason)
        raise exchange.not_served(reason, retry_after_s)


def _part_id(exchange: Exchange, subject: bytes) -> str | None:
    """Return the id of the prompt part that a subject is; ``None`` for the content."""
    ids = dict(zip(exchange.part_digests, exchange.shared_part_ids, strict=True))
    return ids.get(subject)


def wait_limit_s(exchange: Exchange) -> float:
    """Return the time until which a request can wait for a replica."""
    return exchange.deadline_s - RESPONSE_MARGIN_S
