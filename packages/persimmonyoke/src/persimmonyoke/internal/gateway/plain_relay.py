"""Relay requests to plain services and retry them where that is safe."""

import time
from dataclasses import dataclass

from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.fleet.interfaces import RawCall, UpstreamCall
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.attempts import AttemptStart
from persimmonyoke.internal.gateway.body_buffer import Body
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    AnswerTimeout,
    CompleteResponse,
    ConnectionTimedOut,
    NoRoomForAnswer,
    NotConnected,
)
from persimmonyoke.internal.gateway.crash_watch import CrashDetector
from persimmonyoke.internal.gateway.exchange import RESPONSE_MARGIN_S, Exchange
from persimmonyoke.internal.gateway.former_call import CallResumed, FormerCall
from persimmonyoke.internal.gateway.hedge import LOOK_AGAIN_S, Hedge
from persimmonyoke.internal.gateway.memory_log import note_no_room
from persimmonyoke.internal.gateway.plain_candidates import PlainCandidates
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.suspect_guard import SuspectGuard, wait_limit_s
from persimmonyoke.internal.gateway.upstream_call import (
    REFUSAL_TIMEOUT_S,
    OpenResponse,
    UpstreamCaller,
    declared_bytes,
)

RETRY_AFTER_FULL_S = 0.15
"""Plain calls take 20 to 90 ms, so a full replica soon has a free slot."""

RETRY_AFTER_NONE_S = 0.5
HEDGE_FACTOR = 2.5
"""Multiple of the target latency after which a call without a response is retried.

This only applies to idempotent requests.
"""


@dataclass(frozen=True)
class ResponseReceived:
    """Represent a complete response that carries the stamp of the replica."""

    response: CompleteResponse


@dataclass(frozen=True)
class NotRun:
    """Report that the replica did not run the request and will not run it."""

    reason: str
    sent: bool


@dataclass(frozen=True)
class OutcomeUnknown:
    """Report that the replica may have run the request."""

    reason: str
    retry_counted: bool = False
    """Whether the retry was counted when the replica was given up."""


SendOutcome = ResponseReceived | NotRun | OutcomeUnknown


class PlainRelay:
    """Relay requests to plain services."""

    def __init__(self, state: GatewayState, crashes: CrashDetector) -> None:
        self._state = state
        self._caller = UpstreamCaller(state)
        self._candidates = PlainCandidates(state)
        self._crashes = crashes
        self._guard = SuspectGuard(state)

    def relay(self, exchange: Exchange) -> None:
        """Serve a request; raise ``RequestError`` if that fails."""
        budget = self._state.retry_budget(exchange.service.name)
        budget.note_first_attempt(time.monotonic())
        response = self._try_replicas(exchange, budget).response
        exchange.first_event_s = time.monotonic()
        headers = list(self._state.wire.client_headers(response.head.headers))
        head = exchange.relayed_head(response.head, headers)
        exchange.client.send_response(head, response.body)

    def _try_replicas(
        self, exchange: Exchange, budget: RetryBudget
    ) -> ResponseReceived:
        former = FormerCall()
        try:
            return self._try_in_turn(exchange, budget, former)
        finally:
            former.close()

    def _try_in_turn(
        self, exchange: Exchange, budget: RetryBudget, former: FormerCall
    ) -> ResponseReceived:
        excluded: set[str] = set()
        last_response: ResponseReceived | None = None
        retry_is_due = resumes = False
        while True:
            replica = None if resumes else self._prepare(exchange, excluded)
            if replica is None and retry_is_due:
                budget.give_back()
                retry_is_due = False
            resumes = replica is None and former.is_open
            if resumes:
                replica = former.replica
                exchange.sends -= 1
            if replica is None and last_response is not None:
                return last_response
            if replica is None:
                raise exchange.not_served(
                    "no replica is left", self._retry_after_s(exchange)
                )
            excluded.add(replica.replica_id)
            outcome = self._send(exchange, replica, excluded, former, resumes)
            resumes = False
            if isinstance(outcome, ResponseReceived):
                if outcome.response.head.status < 500:
                    return outcome
                # A stamped error is a valid response of the replica, but an
                # idempotent request may still succeed on another replica.
                last_response = outcome
            if isinstance(outcome, NotRun) and not outcome.sent:
                continue
            retry_is_due = False
            if isinstance(outcome, NotRun) and exchange.may_have_run:
                # It used up no attempt, and the one before can't be told as not run.
                exchange.sends -= 1
            resumes = former.is_open and not _is_left(outcome)
            if resumes:
                continue
            if not self._may_repeat(exchange, outcome, budget):
                return self._final_outcome(exchange, outcome, last_response)
            retry_is_due = True

    def _final_outcome(
        self,
        exchange: Exchange,
        outcome: SendOutcome,
        last_response: ResponseReceived | None,
    ) -> ResponseReceived:
        if last_response is not None:
            return last_response
        if isinstance(outcome, NotRun):
            raise exchange.not_served(outcome.reason, RETRY_AFTER_FULL_S)
        assert isinstance(outcome, OutcomeUnknown)
        raise exchange.failed(outcome.reason)

    def _retry_after_s(self, exchange: Exchange) -> float:
        """Return when a replica that made this host wait takes requests again."""
        state, service = self._state, exchange.service.name
        replicas = state.replicas.usable(service, now_s=time.monotonic())
        return state.retry_after_s(service, replicas) or RETRY_AFTER_NONE_S

    def _may_repeat(
        self, exchange: Exchange, outcome: SendOutcome, budget: RetryBudget
    ) -> bool:
        route = exchange.route
        if isinstance(outcome, OutcomeUnknown) and outcome.retry_counted:
            return True
        if not route.repeatable and not isinstance(outcome, NotRun):
            return False
        return self._try_spend(exchange, budget)

    def _try_spend(self, exchange: Exchange, budget: RetryBudget) -> bool:
        """Count a retry and return whether the request may be sent again now."""
        route = exchange.route
        if exchange.sends >= route.max_attempts:
            return False
        if exchange.remaining_s < route.target_latency_s / 4:
            return False
        return budget.try_spend(time.monotonic())

    def _prepare(self, exchange: Exchange, excluded: set[str]) -> Replica | None:
        """Return the replica to send to, reserved if the request may crash replicas.

        Raises the error of a request that is withheld because it crashed replicas.
        """
        reserved = self._guard.reserve(
            exchange,
            lambda: self._candidates.reservable(exchange, excluded),
            until_s=wait_limit_s(exchange),
        )
        return (
            reserved
            or self._candidates.choose(exchange, excluded)
            or self._candidates.await_slot(exchange, excluded)
        )

    def _send(
        self,
        exchange: Exchange,
        replica: Replica,
        excluded: set[str],
        former: FormerCall,
        resumes: bool,
    ) -> SendOutcome:
        start = self._state.start_attempt("plain", replica)
        exchange.sends += 1
        exchange.call_outstanding = True
        self._state.ledger.begin_run(replica.replica_id)
        try:
            outcome = self._call(exchange, replica, excluded, start, former, resumes)
        finally:
            self._state.ledger.end_run(replica.replica_id)
            self._guard.end_reservation(exchange)
        exchange.call_outstanding = False
        result = {ResponseReceived: "answered", OutcomeUnknown: "lost"}.get(
            type(outcome), "not_run"
        )
        if isinstance(outcome, NotRun) and not outcome.sent:
            result = "not_connected"
        logged_result = result
        if isinstance(outcome, ResponseReceived):
            logged_result = str(outcome.response.head.status)
        exchange.record_attempt(start, logged_result, now_s=time.monotonic())
        self._state.metrics.sends.add(stage="plain", result=result)
        return outcome

    def _call(
        self,
        exchange: Exchange,
        replica: Replica,
        excluded: set[str],
        start: AttemptStart,
        former: FormerCall,
        resumes: bool,
    ) -> SendOutcome:
        state, request = self._state, exchange.request
        call = self._raw_call(exchange, replica)
        deadline_s = self._attempt_deadline_s(exchange, resumes=resumes)
        hedge = self._hedge(exchange, excluded, former)
        try:
            opened = self._open(
                exchange, replica, call, deadline_s, hedge, former, resumes
            )
            if _is_rejection(opened) and former.is_open:
                deadline_s = time.monotonic() + REFUSAL_TIMEOUT_S
            else:
                former.close()
                if hedge.extended or not self._candidates.reservable(
                    exchange, excluded
                ):
                    deadline_s = hedge.last_s
            body = self._caller.read_body(
                opened,
                exchange.cancel_scope,
                deadline_s=deadline_s,
                held=request.held,
                room_until_s=hedge.last_s,
            )
            if not _is_rejection(opened):
                self._check_end(exchange, replica, opened, body)
        except NotConnected as error:
            exchange.sends -= 1
            state.note_not_connected(replica, error, now_s=time.monotonic())
            return NotRun(str(error), sent=False)
        except CallResumed as error:
            return OutcomeUnknown(str(error))
        except NoRoomForAnswer as error:
            # This says nothing of the replica, which has made its answer.
            exchange.may_have_run = True
            note_no_room(
                state,
                "answer",
                exchange.metadata.request_id,
                declared_bytes(opened.head),
            )
            return OutcomeUnknown(str(error), hedge.retry_counted)
        except AnswerLost as error:
            exchange.may_have_run = True
            self._record_loss(exchange, replica, start, error)
            return OutcomeUnknown(str(error), hedge.retry_counted)
        return self._outcome(exchange, replica, opened, body)

    def _check_end(
        self, exchange: Exchange, replica: Replica, opened: OpenResponse, body: Body
    ) -> None:
        """Drop an answer that may have ended with its replica."""
        try:
            self._crashes.check_end(replica, opened)
        except AnswerLost:
            exchange.request.held.drop(len(body))
            raise

    def _raw_call(self, exchange: Exchange, replica: Replica) -> RawCall:
        """Return the call that asks a replica to run the request."""
        request = exchange.request
        headers = self._state.wire.request_headers(
            request.headers,
            UpstreamCall(
                replica_id=replica.replica_id,
                deadline_ms=exchange.deadline_ms,
                last_event_id=exchange.metadata.last_event_id,
            ),
        )
        return RawCall(
            request.method,
            request.target,
            headers,
            request.body,
            repeatable=exchange.route.repeatable,
        )

    def _outcome(
        self, exchange: Exchange, replica: Replica, opened: OpenResponse, body: Body
    ) -> SendOutcome:
        """Return what a complete answer means for the request."""
        state, request = self._state, exchange.request
        if _is_rejection(opened):
            state.health.note_failure(replica.replica_id, time.monotonic())
            request.held.drop(len(body))
            return NotRun(f"replica answered {opened.head.status}", sent=True)
        exchange.may_have_run = True
        if opened.facts.stamped:
            self._guard.note_completed(exchange)
        if not opened.facts.stamped:
            state.health.note_failure(replica.replica_id, time.monotonic())
            request.held.drop(len(body))
            return OutcomeUnknown(f"answer {opened.head.status} without a stamp")
        if opened.head.status >= 500:
            state.health.note_failure(replica.replica_id, time.monotonic())
        else:
            state.health.note_success(replica.replica_id)
        return ResponseReceived(CompleteResponse(opened.head, body))

    def _open(
        self,
        exchange: Exchange,
        replica: Replica,
        call: RawCall,
        deadline_s: float,
        hedge: Hedge,
        former: FormerCall,
        resumes: bool,
    ) -> OpenResponse:
        """Return the answer to a new call, or to the one that was left open."""
        former_connection = former.take() if resumes else None
        if former_connection is None:
            return self._caller.start(
                replica,
                call,
                exchange.cancel_scope,
                request_id=exchange.metadata.request_id,
                deadline_s=deadline_s,
                slot=exchange.use_slot(replica.replica_id),
                wait=hedge,
            )
        opened = self._caller.resume(
            former_connection,
            exchange.cancel_scope,
            request_id=exchange.metadata.request_id,
            deadline_s=deadline_s,
            wait=hedge,
        )
        hedge.extended = True
        return opened

    def _hedge(
        self, exchange: Exchange, excluded: set[str], former: FormerCall
    ) -> Hedge:
        budget = self._state.retry_budget(exchange.service.name)

        def try_spend() -> bool:
            if not exchange.route.repeatable:
                return False
            others = self._candidates.reservable(exchange, excluded)
            return bool(others) and self._try_spend(exchange, budget)

        return Hedge(
            last_s=exchange.deadline_s - RESPONSE_MARGIN_S,
            try_spend=try_spend,
            former=former,
        )

    def _attempt_deadline_s(self, exchange: Exchange, *, resumes: bool) -> float:
        """Return when this attempt may be given up for another replica."""
        route = exchange.route
        last_s = exchange.deadline_s - RESPONSE_MARGIN_S
        if not route.repeatable or exchange.sends >= route.max_attempts:
            return last_s
        if resumes:
            return min(last_s, time.monotonic() + LOOK_AGAIN_S)
        hedge_s = time.monotonic() + HEDGE_FACTOR * route.target_latency_s
        return min(last_s, hedge_s)

    def _record_loss(
        self,
        exchange: Exchange,
        replica: Replica,
        start: AttemptStart,
        error: AnswerLost,
    ) -> None:
        is_silent = isinstance(error, AnswerTimeout | ConnectionTimedOut)
        if is_silent and error.peer is None:
            self._state.health.note_unreachable(replica.replica_id, time.monotonic())
        else:
            self._state.health.note_failure(replica.replica_id, time.monotonic())
        self._crashes.note_lost_answer(
            exchange, replica, start, error, begun=False, now_s=time.monotonic()
        )


def _is_left(outcome: SendOutcome) -> bool:
    """Return whether a call was given up for another replica."""
    return isinstance(outcome, OutcomeUnknown) and outcome.retry_counted


def _is_rejection(opened: OpenResponse) -> bool:
    """Return whether the replica did not run the request."""
    return opened.facts.not_executed or opened.head.status == 421
