"""Log lines and metrics of the outcomes of client requests."""

import time

from persimmonyoke.errors import RequestError
from persimmonyoke.internal.fleet.model import Stage
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.requests import ClientRequest
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stopping import HostStop

REASON_LABEL_CHARS = 60
"""Characters of a reason that are a label of a metric."""


class RequestLog:
    """Log and count what became of each request.

    ``stop`` is the stop of this host, once it was told to stop.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def rejected(
        self, request: ClientRequest, error: RequestError, stop: HostStop | None
    ) -> None:
        """Log a request that was answered with an error before it was admitted."""
        self.unadmitted(request, "rejected", error.answer.status, error.message, stop)

    def unadmitted(
        self,
        request: ClientRequest,
        outcome: str,
        status: int,
        reason: str,
        stop: HostStop | None,
    ) -> None:
        """Log the outcome of a request that was not admitted."""
        state = self._state
        state.journal.event(
            "request",
            request_id=request_id(request),
            outcome=outcome,
            status=status,
            reason=reason,
            path=request.path,
            configuration=state.version,
            **_stop_fields(stop),
        )
        state.metrics.requests.add(kind="none", outcome=outcome)
        state.metrics.refusals.add(reason=reason[:REASON_LABEL_CHARS])

    def ended(
        self, exchange: Exchange, outcome: str, reason: str, stop: HostStop | None
    ) -> None:
        """Log the outcome of a request, and count it."""
        state, now_s = self._state, time.monotonic()
        kind = exchange.route.kind.value
        first_ms = None
        if exchange.first_event_s is not None:
            first_ms = int((exchange.first_event_s - exchange.started_s) * 1_000)
            state.metrics.first_event.observe(first_ms / 1_000, kind=kind)
        state.journal.event(
            "request",
            request_id=exchange.metadata.request_id,
            outcome=outcome,
            status=exchange.status,
            reason=reason,
            framed=exchange.framed,
            route=exchange.route.name,
            kind=kind,
            ms=int((now_s - exchange.started_s) * 1_000),
            first_ms=first_ms,
            events=exchange.events,
            estimate_ms=_ms(exchange.estimate_s),
            deadline_ms=_ms(exchange.deadline_s - exchange.started_s),
            attempts=[str(attempt) for attempt in exchange.attempts],
            writers=exchange.writers,
            tunnels=exchange.tunnels,
            resumes=exchange.metadata.resumed_id,
            last_event_id=exchange.metadata.last_event_id,
            configuration=exchange.configuration.version,
            store_age_ms=_ms(state.contact.silent_s(now_s)),
            **_stop_fields(stop),
            **self._load_fields(exchange, outcome),
        )
        state.metrics.requests.add(kind=kind, outcome=outcome)
        state.metrics.duration.observe(now_s - exchange.started_s, kind=kind)
        if outcome in ("refused", "failed"):
            state.metrics.refusals.add(reason=reason[:REASON_LABEL_CHARS])
        if exchange.sends > 1:
            state.metrics.repeats.add(exchange.sends - 1)

    def _load_fields(self, exchange: Exchange, outcome: str) -> dict[str, int]:
        """Return the load at the time of a refusal or failure."""
        if outcome == "delivered":
            return {}
        state, now_s = self._state, time.monotonic()
        replicas = state.replicas.usable(exchange.service.name, now_s=now_s)
        return {
            "replicas": len(replicas),
            "paused": sum(state.health.paused(r.replica_id, now_s) for r in replicas),
            "decoders": sum(r.stage is Stage.DECODE for r in replicas),
            "queued_ms": int(state.queued_s() * 1_000),
            "peers_queued_ms": int(state.ledger.peers_queued_s(now_s=now_s) * 1_000),
            "backlog_ms": int(
                state.placement.mean_backlog_s(replicas, now_s=now_s) * 1_000
            ),
        }


def request_id(request: ClientRequest) -> str:
    """Return the id of a request, as text for the log."""
    return (request.header(b"request-id") or b"").decode("latin-1")


def _stop_fields(stop: HostStop | None) -> dict[str, int | None]:
    """Return the times of the stop of this host, if it was told to stop."""
    if stop is None:
        return {}
    return {
        "stopping_ms": _ms(stop.elapsed_s),
        "stop_left_ms": _ms(stop.left_s),
    }


def _ms(seconds: float | None) -> int | None:
    return None if seconds is None else int(seconds * 1_000)
