"""Questions to engines at which a stream is to go on: which incarnation they are."""

import time

import gevent

from persimmonyoke.internal.dispatch.engine_restarts import (
    Incarnation,
    judge_incarnation,
)
from persimmonyoke.internal.fleet.interfaces import ToldStart
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    ConnectionRefused,
    NotConnected,
    UpstreamConnection,
)
from persimmonyoke.internal.gateway.engine_calls import CALL_TIMEOUT_S, OK
from persimmonyoke.internal.gateway.exchange import (
    RESPONSE_MARGIN_S,
    Exchange,
)
from persimmonyoke.internal.gateway.interruptible_scope import InterruptibleScope
from persimmonyoke.internal.gateway.start_question import StartQuestion
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import CancelScope, UpstreamCaller

NOT_FOUND = 404
"""Status of an engine that has no reports."""

RECHECK_S = 0.1
"""Pause before an engine that did not tell its start is asked again."""

MAX_REFUSED_CHECKS = 3
"""Refused connections after which the engine of a run counts as gone."""


class IncarnationCheck:
    """Ask whether engines are the incarnations whose version their entries name.

    The entry of an engine that starts again under its id comes later than its first
    answers, which do not name the start.
    """

    def __init__(self, state: GatewayState, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._caller = UpstreamCaller(state)
        self._not_before_s: dict[str, float] = {}
        self._logged: set[tuple[str, Incarnation]] = set()
        self._unanswered: Exception | None = None
        """Why the newest question was not answered, if it was not."""

        self._question: StartQuestion | None = None
        """The question that is asked beside the run of a silent engine."""

    def is_excluded(self, engine: Replica) -> bool:
        """Return whether an engine is another incarnation, or was not confirmed."""
        if self._state.engine_restarts.is_outdated(engine):
            return True
        not_before_s = self._not_before_s.get(engine.replica_id, float("-inf"))
        return time.monotonic() < not_before_s

    def confirm(self, engine: Replica) -> bool:
        """Ask an engine, before a run; return whether a stream may go on at it."""
        found = self._ask(engine, self._exchange.cancel_scope)
        if not found.may_write:
            self._not_before_s[engine.replica_id] = time.monotonic() + RECHECK_S
        return found.may_write

    def ask_beside(self, engine: Replica, connection: UpstreamConnection) -> None:
        """Ask a silent engine that was sent a run over a connection, until it answers.

        It may fall silent again after its first event, which would be held until its
        next answer then.
        """
        self.end_question()
        self._question = StartQuestion(
            engine, connection, lambda: self._ask_until_told(engine)
        )

    def end_question(self) -> None:
        """End the question that is asked beside a run, if there is one."""
        if self._question is not None:
            self._question.end()
            self._question = None

    def confirm_writer(self, engine: Replica, connection: UpstreamConnection) -> bool:
        """Ask the engine of a run that has begun, before its events are sent on.

        An incarnation that is still the one of its entry wrote the events before its
        answer, so no restart between an earlier question and the run is overlooked. An
        engine that does not answer may be silent, so it is asked while the client
        waits for the events. A begun stream is kept until its deadline, as a client
        that waits no longer ends it itself.
        """
        found = self._found_beside(engine, connection)
        if found is not Incarnation.UNKNOWN:
            return found.may_write
        refused = 0
        while True:
            asked_s = time.monotonic()
            found = self._ask(engine, self._exchange.cancel_scope, holds_event=True)
            if found is not Incarnation.UNKNOWN:
                return found.may_write
            refused += isinstance(self._unanswered, ConnectionRefused)
            now_s = time.monotonic()
            if refused >= MAX_REFUSED_CHECKS:
                return False
            if not self._may_hold_event(now_s):
                return False
            gevent.sleep(max(0.0, asked_s + RECHECK_S - now_s))
            self._exchange.cancel_scope.raise_if_cancelled()

    def _may_hold_event(self, now_s: float) -> bool:
        """Return whether the events of a run may be held any longer."""
        if self._exchange.response_started:
            return self._exchange.remaining_s > RESPONSE_MARGIN_S
        return self._exchange.event_wait_left_s(now_s) > 0.0

    def _found_beside(
        self, engine: Replica, connection: UpstreamConnection
    ) -> Incarnation:
        """Return what an engine told beside the run of a connection."""
        question, found = self._question, Incarnation.UNKNOWN
        if question is not None and question.concerns(engine, connection):
            self._exchange.cancel_scope.on_cancel(question.end)
            found = question.found(CALL_TIMEOUT_S)
        self.end_question()
        self._exchange.cancel_scope.raise_if_cancelled()
        return found

    def _ask_until_told(self, engine: Replica) -> Incarnation:
        """Ask an engine while its answer may let the stream go on in time."""
        while True:
            asked_s = time.monotonic()
            found = self._ask(engine, CancelScope())
            now_s = time.monotonic()
            wait_left_s = self._exchange.event_wait_left_s(now_s)
            if found is not Incarnation.UNKNOWN or wait_left_s <= 0.0:
                return found
            gevent.sleep(max(0.0, asked_s + RECHECK_S - now_s))

    def _ask(
        self,
        engine: Replica,
        request_scope: CancelScope,
        *,
        holds_event: bool = False,
    ) -> Incarnation:
        if not engine.born_unix_ms:
            # The entry names no start with which an answer could be compared.
            return Incarnation.NOT_TOLD
        started_s = time.monotonic()
        self._unanswered = None
        told = self._told_start(engine, request_scope, holds_event=holds_event)
        request_scope.raise_if_cancelled()
        now_s, found = time.monotonic(), judge_incarnation(engine, told)
        born_unix_ms = told.born_unix_ms if told else None
        if found is Incarnation.STARTED_AGAIN and born_unix_ms is not None:
            self._state.engine_restarts.note(
                engine.replica_id, born_unix_ms, now_s=now_s
            )
        if found is not Incarnation.SAME:
            self._log(engine, found, born_unix_ms, took_s=now_s - started_s)
        return found

    def _told_start(
        self, engine: Replica, request_scope: CancelScope, *, holds_event: bool
    ) -> ToldStart | None:
        """Return what an engine tells of its start, or ``None`` without an answer.

        A connection that was idle may have ended with a former incarnation, so the
        engine is asked once more over a new one. An engine that asked for no requests
        after it had accepted a run is asked over a new one at once, while its events
        are held.
        """
        in_backoff = holds_event and self._state.backoff.claim_question(
            engine.replica_id, time.monotonic()
        )
        scope = InterruptibleScope(CancelScope())
        request_scope.on_cancel(lambda: scope.cancel(request_scope.cause))
        scope.connection_ended = request_scope.connection_ended or in_backoff
        used_new = scope.connection_ended
        try:
            return self._report(engine, scope, in_backoff=in_backoff)
        except (NotConnected, AnswerLost) as error:
            if used_new or not scope.connection_ended:
                return self._note_unanswered(engine, error)
        try:
            return self._report(engine, scope)
        except (NotConnected, AnswerLost) as error:
            return self._note_unanswered(engine, error)

    def _report(
        self, engine: Replica, scope: CancelScope, *, in_backoff: bool = False
    ) -> ToldStart | None:
        deadline_s = time.monotonic() + CALL_TIMEOUT_S
        opened = self._caller.start(
            engine,
            self._state.wire.report_call(engine.replica_id),
            scope,
            request_id="",
            deadline_s=deadline_s,
            in_backoff=in_backoff,
        )
        body = self._caller.read_body(opened, scope, deadline_s=deadline_s)
        if opened.head.status == NOT_FOUND:
            return ToldStart(None)
        if opened.head.status != OK:
            return None
        return self._state.wire.decode_start(body)

    def _note_unanswered(self, engine: Replica, error: Exception) -> None:
        self._unanswered = error
        if (engine.replica_id, Incarnation.UNKNOWN) not in self._logged:
            self._state.journal.failure(
                "start_without_answer",
                error,
                request_id=self._exchange.metadata.request_id,
                replica=engine.replica_id,
            )

    def _log(
        self,
        engine: Replica,
        found: Incarnation,
        told_born_unix_ms: int | None,
        *,
        took_s: float,
    ) -> None:
        if (engine.replica_id, found) in self._logged:
            return
        self._logged.add((engine.replica_id, found))
        self._state.journal.event(
            "engine_not_confirmed",
            request_id=self._exchange.metadata.request_id,
            replica=engine.replica_id,
            found=found.value,
            entry_born_unix_ms=engine.born_unix_ms,
            told_born_unix_ms=told_born_unix_ms,
            took_ms=int(took_s * 1_000),
        )
