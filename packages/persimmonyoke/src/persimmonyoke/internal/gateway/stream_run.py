"""Run one generation request on engines until its stream is complete."""

import time
from collections.abc import Sequence

from persimmonyoke.internal.dispatch.engine_silence import may_leave, next_look_s
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.client_connection import OutgoingHead
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    AnswerTimeout,
)
from persimmonyoke.internal.gateway.crash_watch import CrashDetector
from persimmonyoke.internal.gateway.engine_choice import EngineChoice
from persimmonyoke.internal.gateway.engine_probe import EngineProbes
from persimmonyoke.internal.gateway.engine_run import EngineRun
from persimmonyoke.internal.gateway.engine_selection import EngineSelection
from persimmonyoke.internal.gateway.events import EventSplitter, StreamEvent
from persimmonyoke.internal.gateway.exchange import (
    RESPONSE_MARGIN_S,
    RETRY_AFTER_REJECTED_S,
    Exchange,
    StreamBroken,
    StreamNotPlaced,
)
from persimmonyoke.internal.gateway.run_outcomes import (
    RunCompleted,
    RunInterrupted,
    RunOutcome,
    RunRejected,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_bounds import StreamBounds
from persimmonyoke.internal.gateway.stream_handover import Handover
from persimmonyoke.internal.gateway.stream_join import StreamJoin
from persimmonyoke.internal.gateway.stream_move import MoveResult, StreamMove
from persimmonyoke.internal.gateway.stream_retries import StreamRetries
from persimmonyoke.internal.gateway.stream_version_guard import StreamVersionGuard
from persimmonyoke.internal.gateway.suspect_guard import SuspectGuard
from persimmonyoke.internal.gateway.upstream_call import OpenResponse, UpstreamCaller

_OK, _MULTIPLE_CHOICES = 200, 300


class StreamRun:
    """Run one streaming request on one engine after another until it completes."""

    def __init__(
        self,
        state: GatewayState,
        caller: UpstreamCaller,
        crashes: CrashDetector,
        guard: SuspectGuard,
        versions: StreamVersionGuard,
        selection: EngineSelection,
        probes: EngineProbes,
        exchange: Exchange,
    ) -> None:
        self._state = state
        self._caller = caller
        self._crashes = crashes
        self._guard = guard
        self._versions = versions
        self._selection = selection
        self._probes = probes
        self._exchange = exchange
        self._retries = StreamRetries(state, exchange)
        self._last_event_id = exchange.metadata.last_event_id
        self._bounds = StreamBounds(exchange.metadata.prompt)
        self._writer_known = False
        self._move = StreamMove(
            state, selection, probes, exchange, versions, self._open_next
        )
        self._moved_to: EngineRun | None = None
        """The next run, if this one was left for it."""

    def run(self) -> None:
        """Run the request until its response is complete or it is given up."""
        self._retries.note_first_attempt()
        self._versions.resolve()
        try:
            self._run_until_complete()
        finally:
            self._retries.give_back()
            if self._moved_to is not None:
                self._end_unused(self._moved_to)
            self._versions.end_question()
            self._selection.kept_prompt.release()

    def _end_unused(self, run: EngineRun) -> None:
        """End the run to which a request moved that ended before it was read."""
        if isinstance(run.answer, OpenResponse):
            self._caller.abandon(run.answer, self._exchange.cancel_scope)
        self._selection.discard(run.choice)
        run.end(None)

    def _run_until_complete(self) -> None:
        while True:
            run = self._next_run()
            outcome = self._run_once(run)
            if isinstance(outcome, RunCompleted):
                return
            if self._moved_to is None:
                self._count_after(run, outcome)
            self._versions.check_version()
            if isinstance(outcome, RunRejected) and outcome.links_down:
                self._selection.wait_for_links(outcome.reason)
            else:
                self._selection.avoid(run.engine)

    def _next_run(self) -> EngineRun:
        moved_to = self._moved_to
        if moved_to is not None:
            # It was counted when it was sent.
            if isinstance(moved_to.answer, OpenResponse):
                self._exchange.cancel_scope.reattach(moved_to.answer.connection)
            self._moved_to = None
            return moved_to
        choice = self._prepare()
        self._exchange.sends += 1
        self._retries.note_sent()
        return self._new_run(choice)

    def _prepare(self) -> EngineChoice:
        """Prepare a run, and after a failed one wait until an engine can take it."""
        while True:
            try:
                return self._selection.prepare()
            except StreamNotPlaced as error:
                if not self._retries.pause_after_failure(str(error)):
                    raise

    def _new_run(self, choice: EngineChoice) -> EngineRun:
        return EngineRun(
            self._state, self._caller, self._crashes, self._exchange, choice
        )

    def _count_after(self, run: EngineRun, outcome: RunOutcome) -> None:
        """Count the retry that follows a run, or give the request up."""
        if isinstance(outcome, RunRejected) and not outcome.sent:
            self._exchange.sends -= 1
            self._retries.note_not_sent()
            self._selection.note_not_connected(run.engine)
        elif not self._retries.count_after(outcome):
            self._give_up(outcome)

    def _run_once(self, run: EngineRun) -> RunOutcome:
        exchange = self._exchange
        self._writer_known = not self._versions.is_bound
        outcome: RunOutcome | None = None
        try:
            if not exchange.response_started and not exchange.may_begin():
                raise exchange.stopped()
            exchange.call_outstanding = True
            answer = run.answer or run.open(self._last_event_id)
            if isinstance(answer, OpenResponse):
                outcome = self._relay_answer(run, answer)
            else:
                outcome = answer
        finally:
            if self._moved_to is None:
                # Otherwise they belong to the next run.
                self._guard.end_reservation(exchange)
                self._selection.end_local_prefill()
                self._versions.end_question()
            self._selection.end_prompt(run.choice, outcome)
            run.end(outcome)
        exchange.call_outstanding = False
        return outcome

    def _open_next(self, choice: EngineChoice, handover: Handover) -> EngineRun:
        """Send the next run of a silent stream."""
        run = self._new_run(choice)
        self._retries.note_sent()
        try:
            answer = run.open(self._last_event_id, handover)
            if isinstance(answer, OpenResponse) and not self._is_stream(answer):
                run.answer = self._end_other_answer(run, answer)
        except BaseException:
            run.end(None)
            raise
        return run

    def _is_stream(self, opened: OpenResponse) -> bool:
        """Return whether an answer is a stream that may be passed on to the client."""
        join = StreamJoin(opened.head, continues=self._continues)
        is_stamped = opened.head.status == _OK and opened.facts.stamped
        return is_stamped and join.is_event_stream

    def _end_other_answer(self, run: EngineRun, opened: OpenResponse) -> RunOutcome:
        """Close the connection of an answer that does not continue the stream."""
        self._caller.abandon(opened, self._exchange.cancel_scope)
        self._state.health.note_failure(run.engine.replica_id, time.monotonic())
        return RunInterrupted(f"engine answered {opened.head.status}")

    def _relay_answer(self, run: EngineRun, opened: OpenResponse) -> RunOutcome:
        exchange, engine = self._exchange, run.engine
        if self._is_stream(opened):
            return self._relay_events(run, opened)
        deadline_s = exchange.deadline_s - RESPONSE_MARGIN_S
        try:
            body = self._caller.read_body(
                opened,
                exchange.cancel_scope,
                deadline_s=deadline_s,
                held=exchange.request.held,
                room_until_s=deadline_s,
            )
        except AnswerLost as error:
            return run.lost(error)
        try:
            self._crashes.check_end(engine, opened)
        except AnswerLost as error:
            exchange.request.held.drop(len(body))
            return run.lost(error)
        self._state.health.note_failure(engine.replica_id, time.monotonic())
        # A success would be taken for the rest of a stream that the client resumes.
        unusable = self._continues and opened.head.status < _MULTIPLE_CHOICES
        if not opened.facts.stamped or exchange.response_started or unusable:
            exchange.request.held.drop(len(body))
            return RunInterrupted(f"engine answered {opened.head.status}")
        headers = list(self._state.wire.client_headers(opened.head.headers))
        head = exchange.relayed_head(opened.head, headers)
        exchange.client.send_response(head, body)
        return RunCompleted()

    @property
    def _continues(self) -> bool:
        """Return whether the client has a part of the stream."""
        return self._exchange.response_started or self._last_event_id is not None

    def _relay_events(self, run: EngineRun, opened: OpenResponse) -> RunOutcome:
        engine, silences = run.engine, self._state.silences
        join = StreamJoin(opened.head, continues=self._continues)
        splitter = EventSplitter()
        silences.begin(engine, time.monotonic())
        try:
            while True:
                part = self._read_part(engine, opened)
                self._exchange.cancel_scope.raise_if_cancelled()
                if part is None:
                    break
                complete = splitter.feed(part)
                events = join.sound(complete)
                self._bounds.check(splitter, events, self._last_event_id or 0)
                self._note_begun(run, events)
                self._check_writer(engine, opened, events)
                self._forward(engine, opened, events)
                if len(events) < len(complete):
                    raise AnswerLost("stream holds an error in place of an event")
                if self._exchange.remaining_s <= 0:
                    raise AnswerTimeout("stream did not end in time")
            join.check_end(splitter, begun=run.begun)
            self._crashes.check_end(engine, opened)
        except AnswerLost as error:
            self._caller.abandon(opened, self._exchange.cancel_scope, error)
            self._exchange.cancel_scope.raise_if_cancelled()
            return run.lost(error)
        except BaseException:
            self._caller.abandon(opened, self._exchange.cancel_scope)
            raise
        finally:
            silences.end(engine)
        self._caller.finish(opened, self._exchange.cancel_scope)
        self._state.health.note_success(engine.replica_id)
        if not run.begun:
            self._guard.note_completed(self._exchange)
        self._end(opened)
        return RunCompleted()

    def _note_begun(self, run: EngineRun, events: Sequence[StreamEvent]) -> None:
        """Clear the request of suspicion at the first event of a run."""
        if events and not run.begun:
            run.begun = True
            self._guard.note_completed(self._exchange)

    def _check_writer(
        self, engine: Replica, opened: OpenResponse, events: Sequence[StreamEvent]
    ) -> None:
        """Raise ``AnswerLost`` if the first events may be of another version."""
        if not events or self._writer_known:
            return
        self._writer_known = True
        if not self._versions.wrote_events(engine, opened.connection):
            raise AnswerLost("engine is not known to have the stream's version")

    def _read_part(self, engine: Replica, opened: OpenResponse) -> bytes | None:
        """Return the next part of the stream, or ``None`` after the last one.

        Raises ``AnswerTimeout`` at the deadline, or if another engine is ready to
        continue the stream. Otherwise the silence is waited out, as the engine may go
        on.
        """
        silent_since_s = time.monotonic()
        while True:
            limit_s = self._silence_limit_s(silent_since_s)
            try:
                part = opened.connection.read_part(timeout_s=limit_s)
            except AnswerTimeout:
                if self._ends_silence(engine, opened, silent_since_s):
                    raise
            else:
                self._state.silences.note_answer(engine, time.monotonic())
                return part

    def _silence_limit_s(self, silent_since_s: float) -> float:
        left_s = max(0.001, self._exchange.remaining_s - RESPONSE_MARGIN_S)
        if self._exchange.response_started and self._exchange.route.resumable:
            return min(left_s, next_look_s(silent_since_s, time.monotonic()))
        return left_s

    def _ends_silence(
        self, engine: Replica, opened: OpenResponse, silent_since_s: float
    ) -> bool:
        """Return whether a silent stream is left, with its next run open."""
        exchange, now_s = self._exchange, time.monotonic()
        if exchange.remaining_s <= RESPONSE_MARGIN_S:
            return True
        if opened.connection.has_more_input:
            # This host stood still, and the engine went on meanwhile.
            return False
        engines = self._selection.engines_beside(engine)
        if not engines:
            self._probes.start_all(self._selection.engines_to_probe(engine))
        leaves = may_leave(
            silent_since_s=silent_since_s,
            event_wait_left_s=exchange.event_wait_left_s(now_s),
            first_event_s=FIRST_EVENT_OVERHEAD_S,
            engines=engines,
            now_s=now_s,
        )
        if not leaves or not self._retries.count_for_silent_engine():
            return False
        moved = self._move.move(
            engine, opened.connection, engines, silent_since_s=silent_since_s
        )
        self._note_move(moved)
        # A connection that ended meanwhile is read on, which shows how it ended.
        return moved.run is not None

    def _note_move(self, moved: MoveResult) -> None:
        """Count what was sent for a move, whether or not the stream has left."""
        self._moved_to = moved.run
        if moved.may_have_run:
            self._exchange.sends += 1
        elif moved.was_sent:
            self._retries.note_rejected()
        else:
            self._retries.note_not_moved(moved.outcome)

    def _forward(
        self, engine: Replica, opened: OpenResponse, events: list[StreamEvent]
    ) -> None:
        new_events = []
        for event in events:
            if self._already_delivered(event):
                continue
            if event.event_id is not None:
                self._last_event_id = event.event_id
            new_events.append(event.data)
        if new_events:
            self._exchange.events += len(new_events)
            self._note_writer(engine)
            self._send(opened, b"".join(new_events))

    def _note_writer(self, engine: Replica) -> None:
        self._versions.note_event(engine)
        writer = f"{engine.replica_id}:{engine.software_version}:{engine.born_unix_ms}"
        if writer not in self._exchange.writers:
            self._exchange.writers.append(writer)

    def _already_delivered(self, event: StreamEvent) -> bool:
        if event.event_id is None or self._last_event_id is None:
            return False
        return event.event_id <= self._last_event_id

    def _send(self, opened: OpenResponse, data: bytes) -> None:
        self._selection.end_local_prefill()
        self._exchange.last_event_s = time.monotonic()
        if self._exchange.response_started:
            self._exchange.client.send_chunk(data)
            return
        self._exchange.response_started = True
        self._exchange.first_event_s = time.monotonic()
        self._exchange.client.begin_chunked(self._head(opened), data)

    def _end(self, opened: OpenResponse) -> None:
        if self._exchange.response_started:
            self._exchange.client.end_chunked()
        else:
            self._exchange.client.send_response(self._head(opened), b"")

    def _head(self, opened: OpenResponse) -> OutgoingHead:
        headers = list(self._state.wire.client_headers(opened.head.headers))
        return self._exchange.relayed_head(opened.head, headers)

    def _give_up(self, outcome: RunOutcome) -> None:
        assert not isinstance(outcome, RunCompleted)
        if self._exchange.response_started:
            raise StreamBroken(outcome.reason)
        if isinstance(outcome, RunRejected):
            self._selection.refuse(outcome.reason, RETRY_AFTER_REJECTED_S)
        raise self._exchange.failed(outcome.reason)
