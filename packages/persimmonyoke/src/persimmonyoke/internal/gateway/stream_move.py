"""Move of a stream whose engine is silent to another engine."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent

from persimmonyoke.errors import RequestError
from persimmonyoke.internal.dispatch.engine_silence import LOOK_AGAIN_S
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.engine_choice import EngineChoice
from persimmonyoke.internal.gateway.engine_probe import EngineProbes
from persimmonyoke.internal.gateway.engine_run import EngineRun
from persimmonyoke.internal.gateway.engine_selection import EngineSelection
from persimmonyoke.internal.gateway.exchange import (
    RESPONSE_MARGIN_S,
    Exchange,
    StreamBroken,
)
from persimmonyoke.internal.gateway.interruptible_scope import InterruptibleScope
from persimmonyoke.internal.gateway.run_outcomes import RunRejected
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_handover import (
    EngineResumed,
    Handover,
    HandoverScope,
)
from persimmonyoke.internal.gateway.stream_version_guard import StreamVersionGuard
from persimmonyoke.internal.gateway.upstream_call import CancelScope, OpenResponse

RESUME_POLL_S = 0.02
"""Interval at which a preparation looks whether the silent engine goes on."""

LEFT, LEFT_UNANSWERED = "left", "left before an answer"
RESUMED, NEXT_SILENT = "engine goes on", "next engine is silent"


@dataclass(frozen=True)
class MoveResult:
    """Hold the run with which a stream goes on, if it left, and the outcome to log."""

    outcome: str
    run: EngineRun | None = None
    """The next run, whose answer is open, or which ended after the stream had left."""

    next_replica: str | None = None
    was_sent: bool = False
    may_have_run: bool = False
    """Whether it counts as a run; one that ends as rejected is uncounted then."""


class StreamMove:
    """Open the next run of a silent stream while its connection stays open.

    The stream gives up its engine only when another one has accepted the run, or has
    not rejected it for as long as two engines may hold it. ``open_run`` makes the run.
    """

    def __init__(
        self,
        state: GatewayState,
        selection: EngineSelection,
        probes: EngineProbes,
        exchange: Exchange,
        versions: StreamVersionGuard,
        open_run: Callable[[EngineChoice, Handover], EngineRun],
    ) -> None:
        self._state = state
        self._selection = selection
        self._probes = probes
        self._exchange = exchange
        self._versions = versions
        self._open_run = open_run
        self._logged: set[tuple[str, str | None]] = set()

    def move(
        self,
        engine: Replica,
        connection: UpstreamConnection,
        engines: Sequence[Replica],
        *,
        silent_since_s: float,
    ) -> MoveResult:
        """Move the stream to one of some engines, unless it stays with its own.

        Raises the cause if the request is cancelled meanwhile.
        """
        prepared = self._prepare(engine, connection, engines)
        result = prepared
        if isinstance(prepared, EngineChoice):
            result = self._confirm(prepared, connection)
            result = result or self._hand_over(prepared, connection)
        key = (result.outcome, result.next_replica)
        if key not in self._logged:
            self._logged.add(key)
            self._log(engine, engines, result, silent_since_s, time.monotonic())
        return result

    def _prepare(
        self,
        engine: Replica,
        connection: UpstreamConnection,
        engines: Sequence[Replica],
    ) -> EngineChoice | MoveResult:
        scope = self._exchange.cancel_scope
        preparation = self._exchange.cancel_scope = InterruptibleScope(scope)
        watcher = gevent.spawn(_cancel_when_resumed, connection, preparation)
        try:
            return self._selection.prepare_to_continue(engine, engines)
        except EngineResumed:
            return MoveResult(RESUMED)
        except (RequestError, StreamBroken) as error:
            return MoveResult(str(error))
        finally:
            watcher.kill()
            self._exchange.cancel_scope = scope
            if preparation.cancelled and not _is_resumed(preparation):
                scope.cancel(preparation.cause)

    def _confirm(
        self, choice: EngineChoice, connection: UpstreamConnection
    ) -> MoveResult | None:
        """Discard what was prepared if it is of no use any more."""
        still_answers = self._still_answers(choice.engine, connection)
        if still_answers and not connection.goes_on:
            return None
        self._selection.discard(choice)
        return MoveResult(RESUMED if connection.goes_on else NEXT_SILENT)

    def _hand_over(
        self, choice: EngineChoice, connection: UpstreamConnection
    ) -> MoveResult:
        """Send the next run, and leave the silent engine unless it is rejected."""
        exchange = self._exchange
        scope = exchange.cancel_scope
        next_scope = HandoverScope(scope, connection)
        exchange.cancel_scope = next_scope
        handover = Handover(
            connection,
            deadline_s=exchange.deadline_s - RESPONSE_MARGIN_S,
            on_late=lambda: self._versions.ask_writer(
                choice.engine, next_scope.used_connections[-1]
            ),
        )
        if choice.engine == connection.replica:
            # The lost answer may hold the last place of its engine.
            handover.leave()
        try:
            run = self._open_run(choice, handover)
        except EngineResumed:
            self._selection.discard(choice)
            return MoveResult(
                RESUMED,
                next_replica=choice.engine.replica_id,
                was_sent=handover.has_given_up,
                may_have_run=handover.has_given_up,
            )
        except BaseException:
            self._selection.discard(choice)
            raise
        finally:
            exchange.cancel_scope = scope
            scope.connection_ended |= next_scope.connection_ended
            if next_scope.cancelled:
                scope.cancel(next_scope.cause)
        if handover.has_left:
            return _result(run, LEFT_UNANSWERED, going_on=True)
        if isinstance(run.answer, OpenResponse):
            return _result(run, LEFT, going_on=True)
        return self._stay(run)

    def _stay(self, run: EngineRun) -> MoveResult:
        """Return the result of a run that was not accepted."""
        outcome = run.answer
        run.end(outcome)
        self._selection.discard(run.choice, outcome)
        self._selection.pause(run.engine, now_s=time.monotonic())
        return _result(run, outcome.reason, going_on=False)

    def _still_answers(self, engine: Replica, connection: UpstreamConnection) -> bool:
        """Return whether the next engine answers in time, after a long preparation.

        Bytes or the end of the silent connection end the wait.
        """
        probe_s = 0.0
        while not connection.has_more_input:
            now_s = time.monotonic()
            if self._state.silences.answers(engine, now_s):
                return True
            if self._exchange.event_wait_left_s(now_s) <= FIRST_EVENT_OVERHEAD_S:
                return False
            if now_s >= probe_s:
                self._probes.start_all([engine])
                probe_s = now_s + LOOK_AGAIN_S
            gevent.sleep(RESUME_POLL_S)
        return True

    def _log(
        self,
        engine: Replica,
        engines: Sequence[Replica],
        result: MoveResult,
        silent_since_s: float,
        now_s: float,
    ) -> None:
        ages_s = [self._state.silences.age_s(other, now_s) for other in engines]
        heard_s = [age_s for age_s in ages_s if age_s is not None]
        self._state.journal.event(
            "stream_move",
            request_id=self._exchange.metadata.request_id,
            replica=engine.replica_id,
            outcome=result.outcome,
            next_replica=result.next_replica,
            was_sent=result.was_sent,
            silent_ms=int((now_s - silent_since_s) * 1_000),
            engines=len(engines),
            newest_ms=int(min(heard_s) * 1_000) if heard_s else None,
            left_ms=int(self._exchange.event_wait_left_s(now_s) * 1_000),
        )


def _result(run: EngineRun, outcome: str, *, going_on: bool) -> MoveResult:
    """Return the result of a move whose next run was opened."""
    rejected = isinstance(run.answer, RunRejected)
    return MoveResult(
        outcome,
        run=run if going_on else None,
        next_replica=run.engine.replica_id,
        was_sent=not rejected or run.answer.sent,
        may_have_run=going_on or not rejected,
    )


def _cancel_when_resumed(
    connection: UpstreamConnection, preparation: CancelScope
) -> None:
    """Cancel a preparation as soon as the silent engine writes."""
    while not connection.goes_on:
        gevent.sleep(RESUME_POLL_S)
    preparation.cancel(EngineResumed("engine goes on"))


def _is_resumed(preparation: CancelScope) -> bool:
    return isinstance(preparation.cause, EngineResumed)
