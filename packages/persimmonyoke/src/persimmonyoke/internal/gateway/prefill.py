"""Make prefill calls, which compute the KV cache on one engine for another."""

import time
from dataclasses import dataclass

import gevent

from persimmonyoke.internal.dispatch.placement import PrefillPlan
from persimmonyoke.internal.fleet.interfaces import (
    PrefillResult,
    RawCall,
    UpstreamCall,
)
from persimmonyoke.internal.fleet.model import Replica, Stage
from persimmonyoke.internal.gateway.admission import Admitted
from persimmonyoke.internal.gateway.attempts import AttemptStart
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    LinksDown,
    NotConnected,
    UpstreamConnection,
)
from persimmonyoke.internal.gateway.crash_watch import CrashDetector
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.prefill_wait import PrefillWait
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import (
    CallSlot,
    CancelScope,
    UpstreamCaller,
)

RELEASE_TIMEOUT_S = 1.0
LATE_ANSWER_S = 0.4
"""Time for which a call that was given up stays open beside the next one.

Two engines may work on one request for this long. An engine drops the request when the
connection closes after that.
"""

PREFILL_OVERHEAD_S = 0.05
"""Time of a prefill call on an idle engine in addition to the prefill itself."""

_OK, _MISDIRECTED = 200, 421


@dataclass(frozen=True)
class PrefilledPrompt:
    """Represent a prefilled prompt by the handle of its KV cache."""

    engine: Replica
    result: PrefillResult
    done_s: float

    @property
    def source(self) -> str:
        """Return the address and handle to fetch the KV cache from."""
        return f"{self.engine.address}/{self.result.handle}"


@dataclass(frozen=True)
class PrefillFailed:
    """Report a failed prefill; ``sent`` is false if no byte was sent."""

    reason: str
    sent: bool
    links_down: bool = False
    """Whether this host reaches no replica, which says nothing of the engine."""


class PrefillCaller:
    """Prefill prompts on engines and release unused handles."""

    def __init__(self, state: GatewayState, crashes: CrashDetector) -> None:
        self._state = state
        self._caller = UpstreamCaller(state)
        self._crashes = crashes

    def prefill(
        self,
        exchange: Exchange,
        admitted: Admitted,
        *,
        deadline_s: float,
        wait: PrefillWait,
    ) -> PrefilledPrompt | PrefillFailed:
        """Prefill the prompt of a request on the chosen engine."""
        start = self._state.start_attempt(Stage.PREFILL.value, admitted.plan.engine)
        try:
            outcome = self._call(exchange, admitted.plan, start, deadline_s, wait)
        finally:
            self._state.ledger.end_prefill(admitted.job)
            if wait.left is not None:
                request_id = exchange.metadata.request_id
                gevent.spawn(
                    self._release_late, admitted.plan.engine, wait.left, request_id
                )
        self._record_attempt(exchange, admitted.plan, outcome, start)
        return outcome

    def release(self, prefilled: PrefilledPrompt) -> None:
        """Release an unused handle in the background."""
        self._state.metrics.unused_handles.add()
        gevent.spawn(self._release, prefilled)

    def _call(
        self,
        exchange: Exchange,
        plan: PrefillPlan,
        start: AttemptStart,
        deadline_s: float,
        wait: PrefillWait,
    ) -> PrefilledPrompt | PrefillFailed:
        state, request, engine = self._state, exchange.request, plan.engine
        headers = state.wire.request_headers(
            request.headers,
            UpstreamCall(
                replica_id=engine.replica_id,
                deadline_ms=exchange.deadline_ms,
                stage=Stage.PREFILL,
                kv_fetch=plan.fetch_from.address if plan.fetch_from else None,
            ),
        )
        call = RawCall(request.method, request.target, headers, request.body)
        try:
            opened = self._caller.start(
                engine,
                call,
                exchange.cancel_scope,
                request_id=exchange.metadata.request_id,
                deadline_s=deadline_s,
                slot=CallSlot.TAKEN,
                wait=wait,
            )
            body = self._caller.read_body(
                opened, exchange.cancel_scope, deadline_s=deadline_s
            )
        except NotConnected as error:
            state.note_not_connected(engine, error, now_s=time.monotonic())
            links_down = isinstance(error, LinksDown)
            return PrefillFailed(str(error), sent=False, links_down=links_down)
        except AnswerLost as error:
            self._note_loss(engine, error)
            self._crashes.note_lost_answer(
                exchange, engine, start, error, begun=False, now_s=time.monotonic()
            )
            return PrefillFailed(str(error), sent=True)
        result = None
        if opened.head.status == _OK:
            result = state.wire.prefill_result(body)
        if result is None:
            # An engine that changes its stage or leaves rejects prompts temporarily.
            state.health.note_unreachable(engine.replica_id, time.monotonic())
            return PrefillFailed(f"engine answered {opened.head.status}", sent=True)
        state.health.note_success(engine.replica_id)
        return PrefilledPrompt(engine, result, done_s=time.monotonic())

    def _note_loss(self, engine: Replica, error: AnswerLost) -> None:
        """Pause the engine unless the loss may be due to a peer in between."""
        health, now_s = self._state.health, time.monotonic()
        if error.peer is None:
            health.note_unreachable(engine.replica_id, now_s)
        else:
            health.note_failure(engine.replica_id, now_s)

    def _record_attempt(
        self,
        exchange: Exchange,
        plan: PrefillPlan,
        outcome: PrefilledPrompt | PrefillFailed,
        start: AttemptStart,
    ) -> None:
        now_s = time.monotonic()
        elapsed_s = now_s - start.started_s
        if isinstance(outcome, PrefilledPrompt):
            result = "answered"
            self._state.metrics.prefill.observe(elapsed_s)
            self._learn_speed(plan, elapsed_s)
        else:
            result = "not_run" if outcome.sent else "not_connected"
        exchange.record_attempt(start, result, now_s=now_s)
        self._state.metrics.sends.add(stage="prefill", result=result)

    def _learn_speed(self, plan: PrefillPlan, elapsed_s: float) -> None:
        """Update the speed estimate after a prefill that had the engine to itself."""
        factors, replica_id = self._state.factors, plan.engine.replica_id
        left_s = self._state.ledger.backlog_s(replica_id, now_s=time.monotonic())
        if plan.wait_s > 0 or left_s > 0 or plan.fetch_from is not None:
            return
        expected_s = plan.prefill_s / factors.factor(replica_id)
        factors.note(
            replica_id,
            expected_s=expected_s,
            actual_s=elapsed_s - PREFILL_OVERHEAD_S,
        )

    def _release_late(
        self, engine: Replica, connection: UpstreamConnection, request_id: str
    ) -> None:
        """Release the handle of a call that was given up, if its answer comes late."""
        scope = CancelScope()
        deadline_s = time.monotonic() + LATE_ANSWER_S
        try:
            opened = self._caller.late_answer(
                connection, request_id=request_id, deadline_s=deadline_s
            )
            body = self._caller.read_body(opened, scope, deadline_s=deadline_s)
        except AnswerLost as error:
            # Its connection is closed, so the engine drops the request.
            self._state.journal.failure(
                "prefill_given_up",
                error,
                request_id=request_id,
                replica=engine.replica_id,
            )
            return
        if opened.head.status == _OK:
            result = self._state.wire.prefill_result(body)
            if result is not None:
                self.release(PrefilledPrompt(engine, result, time.monotonic()))

    def _release(self, prefilled: PrefilledPrompt) -> None:
        call = self._state.wire.release_handle(prefilled.result.handle)
        cancel_scope = CancelScope()
        deadline_s = time.monotonic() + RELEASE_TIMEOUT_S
        try:
            opened = self._caller.start(
                prefilled.engine,
                call,
                cancel_scope,
                request_id="",
                deadline_s=deadline_s,
                slot=CallSlot.UNCONDITIONAL,
            )
            self._caller.read_body(opened, cancel_scope, deadline_s=deadline_s)
        except (NotConnected, AnswerLost) as error:
            # The engine releases the handle itself after a few seconds.
            self._state.journal.failure(
                "handle_not_released", error, replica=prefilled.engine.replica_id
            )
