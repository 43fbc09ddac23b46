"""Prefill calls: a prompt is read on one engine for the use of another."""

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
from persimmonyoke.internal.gateway.connections import AnswerLost, NotConnected
from persimmonyoke.internal.gateway.crash_watch import CrashWatch
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import UpstreamCaller, Work

RELEASE_TIMEOUT_S = 1.0
PREFILL_FIXED_S = 0.05
"""Time of a prefill call beside the reading, on an idle engine."""

_OK, _MISDIRECTED = 200, 421


@dataclass(frozen=True)
class PromptRead:
    """Hold the handle of a prompt that an engine has read."""

    engine: Replica
    result: PrefillResult

    @property
    def source(self) -> str:
        """Return the address and handle from which another engine fetches."""
        return f"{self.engine.address}/{self.result.handle}"


@dataclass(frozen=True)
class PromptNotRead:
    """Say why a prompt was not read; ``sent`` is false if no byte was sent."""

    reason: str
    sent: bool


class PrefillCaller:
    """Have prompts read and free the handles that are not used."""

    def __init__(self, state: GatewayState, crashes: CrashWatch) -> None:
        self._state = state
        self._caller = UpstreamCaller(state)
        self._crashes = crashes

    def read(
        self, exchange: Exchange, admitted: Admitted, *, deadline_s: float
    ) -> PromptRead | PromptNotRead:
        """Have the prompt of a request read on the chosen engine."""
        start = self._state.start_attempt(Stage.PREFILL.value, admitted.plan.engine)
        try:
            outcome = self._call(exchange, admitted.plan, start, deadline_s)
        finally:
            self._state.ledger.end_prefill(admitted.job)
        self._note(exchange, admitted.plan, outcome, start)
        return outcome

    def release(self, read: PromptRead) -> None:
        """Free the handle of a prompt that is not used, in the background."""
        self._state.metrics.unused_handles.add()
        gevent.spawn(self._release, read)

    def _call(
        self,
        exchange: Exchange,
        plan: PrefillPlan,
        start: AttemptStart,
        deadline_s: float,
    ) -> PromptRead | PromptNotRead:
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
                exchange.work,
                request_id=exchange.metadata.request_id,
                deadline_s=deadline_s,
            )
            body = self._caller.read_whole(opened, exchange.work, deadline_s=deadline_s)
        except NotConnected as error:
            state.note_not_connected(engine, error, now_s=time.monotonic())
            return PromptNotRead(str(error), sent=False)
        except AnswerLost as error:
            state.health.note_unreachable(engine.replica_id, time.monotonic())
            self._crashes.note_lost(
                exchange, engine, start, error, now_s=time.monotonic()
            )
            return PromptNotRead(str(error), sent=True)
        result = None
        if opened.head.status == _OK:
            result = state.wire.prefill_result(body)
        if result is None:
            # An engine that changes its stage or leaves rejects prompts for a while.
            state.health.note_unreachable(engine.replica_id, time.monotonic())
            return PromptNotRead(f"engine answered {opened.head.status}", sent=True)
        state.health.note_success(engine.replica_id)
        return PromptRead(engine, result)

    def _note(
        self,
        exchange: Exchange,
        plan: PrefillPlan,
        outcome: PromptRead | PromptNotRead,
        start: AttemptStart,
    ) -> None:
        now_s = time.monotonic()
        elapsed_s = now_s - start.started_s
        if isinstance(outcome, PromptRead):
            result = "answered"
            self._state.metrics.prefill.observe(elapsed_s)
            self._learn_speed(plan, elapsed_s)
        else:
            result = "not_run" if outcome.sent else "not_connected"
        exchange.note(start, result, now_s=now_s)
        self._state.metrics.sends.add(stage="prefill", result=result)

    def _learn_speed(self, plan: PrefillPlan, elapsed_s: float) -> None:
        """Learn from a prompt that had its engine for itself."""
        factors, replica_id = self._state.factors, plan.engine.replica_id
        left_s = self._state.ledger.backlog_s(replica_id, now_s=time.monotonic())
        if plan.wait_s > 0 or left_s > 0 or plan.fetch_from is not None:
            return
        expected_s = plan.prefill_s / factors.factor(replica_id)
        factors.note(
            replica_id,
            expected_s=expected_s,
            actual_s=elapsed_s - PREFILL_FIXED_S,
        )

    def _release(self, read: PromptRead) -> None:
        call = self._state.wire.release_handle(read.result.handle)
        work = Work()
        deadline_s = time.monotonic() + RELEASE_TIMEOUT_S
        try:
            opened = self._caller.start(
                read.engine, call, work, request_id="", deadline_s=deadline_s
            )
            self._caller.read_whole(opened, work, deadline_s=deadline_s)
        except (NotConnected, AnswerLost) as error:
            # The engine frees the handle by itself after a few seconds.
            self._state.journal.failure(
                "handle_not_released", error, replica=read.engine.replica_id
            )
