"""One run of a generation request on one engine."""

import time

from persimmonyoke.internal.dispatch.crash_evidence import Verdict
from persimmonyoke.internal.fleet.interfaces import RawCall, UpstreamCall
from persimmonyoke.internal.fleet.model import Stage
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    LinksDown,
    NotConnected,
)
from persimmonyoke.internal.gateway.crash_watch import CrashDetector
from persimmonyoke.internal.gateway.engine_choice import EngineChoice
from persimmonyoke.internal.gateway.exchange import RESPONSE_MARGIN_S, Exchange
from persimmonyoke.internal.gateway.hedge import AnswerWait
from persimmonyoke.internal.gateway.run_outcomes import (
    RunCompleted,
    RunInterrupted,
    RunOutcome,
    RunRejected,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import OpenResponse, UpstreamCaller

_MISDIRECTED = 421


class EngineRun:
    """Send a request to an engine, and account for the run until it ends."""

    def __init__(
        self,
        state: GatewayState,
        caller: UpstreamCaller,
        crashes: CrashDetector,
        exchange: Exchange,
        choice: EngineChoice,
    ) -> None:
        self._state = state
        self._caller = caller
        self._crashes = crashes
        self._exchange = exchange
        self.choice = choice
        self.engine = choice.engine
        self.answer: OpenResponse | RunOutcome | None = None
        """The answer that was opened, or how the run ended without one."""

        self.begun = False
        """Whether the engine has written an event."""

        prompt = exchange.metadata.prompt
        self._tokens = prompt.input_tokens + prompt.max_output_tokens if prompt else 0
        self._start = state.start_attempt(Stage.DECODE.value, self.engine)
        state.ledger.begin_run(self.engine.replica_id, self._tokens)

    def open(
        self, last_event_id: int | None, wait: AnswerWait | None = None
    ) -> OpenResponse | RunOutcome:
        """Send the request and return its answer, or how the run ended without one."""
        self.answer = self._open(last_event_id, wait)
        return self.answer

    def lost(self, error: AnswerLost) -> RunInterrupted:
        """Record that the answer was lost."""
        now_s = time.monotonic()
        self._state.health.note_failure(self.engine.replica_id, now_s)
        verdict = self._crashes.note_lost_answer(
            self._exchange,
            self.engine,
            self._start,
            error,
            begun=self.begun,
            now_s=now_s,
        )
        return RunInterrupted(str(error), engine_ended=verdict is Verdict.CRASHED)

    def end(self, outcome: RunOutcome | None) -> None:
        """Record the end of the run, without an outcome if the request was given up."""
        self._state.ledger.end_run(self.engine.replica_id, self._tokens)
        if outcome is None:
            return
        result = {RunCompleted: "answered", RunInterrupted: "lost"}.get(
            type(outcome), "not_run"
        )
        if isinstance(outcome, RunRejected) and not outcome.sent:
            result = "not_connected"
        now_s = time.monotonic()
        self._exchange.record_attempt(self._start, result, now_s=now_s)
        self._state.metrics.sends.add(stage=self._start.stage, result=result)

    def _open(
        self, last_event_id: int | None, wait: AnswerWait | None
    ) -> OpenResponse | RunOutcome:
        exchange = self._exchange
        try:
            opened = self._caller.start(
                self.engine,
                self._call(last_event_id),
                exchange.cancel_scope,
                request_id=exchange.metadata.request_id,
                deadline_s=exchange.deadline_s - RESPONSE_MARGIN_S,
                slot=exchange.use_slot(self.engine.replica_id),
                wait=wait,
            )
        except LinksDown as error:
            return RunRejected(str(error), sent=False, links_down=True)
        except NotConnected as error:
            now_s = time.monotonic()
            self._state.note_not_connected(self.engine, error, now_s=now_s)
            return RunRejected(str(error), sent=False)
        except AnswerLost as error:
            exchange.may_have_run = True
            return self.lost(error)
        while opened.facts.not_executed or opened.head.status == _MISDIRECTED:
            reason = f"engine answered {opened.head.status}"
            later = self._answer_after(opened)
            if later is None:
                self._pause_if_misdirected(opened.head.status)
                return RunRejected(reason, sent=True)
            opened = later
        exchange.may_have_run = True
        return opened

    def _call(self, last_event_id: int | None) -> RawCall:
        request, prefilled = self._exchange.request, self.choice.prefilled
        headers = self._state.wire.request_headers(
            request.headers,
            UpstreamCall(
                replica_id=self.engine.replica_id,
                deadline_ms=self._exchange.deadline_ms,
                kv_source=prefilled.source if prefilled else None,
                last_event_id=last_event_id,
            ),
        )
        return RawCall(
            request.method,
            request.target,
            headers,
            request.body,
            repeatable=self._exchange.route.resumable,
        )

    def _pause_if_misdirected(self, status: int) -> None:
        """Pause an engine that is not the one of its entry, or is in another stage.

        It rejects all runs until its entry changes, and seems idle meanwhile.
        """
        if status == _MISDIRECTED:
            health = self._state.health
            health.note_unreachable(self.engine.replica_id, time.monotonic())

    def _answer_after(self, refusal: OpenResponse) -> OpenResponse | None:
        """Return the answer that follows a refusal at once, if any."""
        exchange = self._exchange
        try:
            return self._caller.answer_after(
                refusal,
                exchange.cancel_scope,
                request_id=exchange.metadata.request_id,
            )
        except AnswerLost as error:
            # The head alone shows that the request was not run.
            self._state.journal.failure(
                "refusal_cut_off", error, request_id=exchange.metadata.request_id
            )
            return None
