"""Run one generation request on engines until its stream is complete."""

import time
from collections.abc import Sequence

from persimmonyoke.internal.dispatch.engine_silence import may_leave, next_look_s
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.fleet.interfaces import RawCall, UpstreamCall
from persimmonyoke.internal.fleet.model import Replica, Stage
from persimmonyoke.internal.gateway.attempts import AttemptStart
from persimmonyoke.internal.gateway.client_connection import OutgoingHead
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    AnswerTimeout,
    LinksDown,
    NotConnected,
)
from persimmonyoke.internal.gateway.crash_watch import CrashDetector
from persimmonyoke.internal.gateway.engine_probe import EngineProbes
from persimmonyoke.internal.gateway.engine_selection import (
    EngineChoice,
    EngineSelection,
)
from persimmonyoke.internal.gateway.events import EventSplitter, StreamEvent
from persimmonyoke.internal.gateway.exchange import (
    RESPONSE_MARGIN_S,
    RETRY_AFTER_REJECTED_S,
    Exchange,
    StreamBroken,
)
from persimmonyoke.internal.gateway.prefill import (
    PrefillCaller,
    PrefilledPrompt,
)
from persimmonyoke.internal.gateway.run_outcomes import (
    RunCompleted,
    RunInterrupted,
    RunOutcome,
    RunRejected,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_bounds import StreamBounds
from persimmonyoke.internal.gateway.stream_join import StreamJoin
from persimmonyoke.internal.gateway.stream_move import StreamMove
from persimmonyoke.internal.gateway.stream_retries import StreamRetries
from persimmonyoke.internal.gateway.stream_version_guard import StreamVersionGuard
from persimmonyoke.internal.gateway.suspect_guard import SuspectGuard
from persimmonyoke.internal.gateway.upstream_call import OpenResponse, UpstreamCaller

_OK, _MULTIPLE_CHOICES, _MISDIRECTED = 200, 300, 421


class StreamRun:
    """Run one streaming request on one engine after another until it completes."""

    def __init__(
        self,
        state: GatewayState,
        caller: UpstreamCaller,
        prefill: PrefillCaller,
        crashes: CrashDetector,
        guard: SuspectGuard,
        versions: StreamVersionGuard,
        selection: EngineSelection,
        probes: EngineProbes,
        exchange: Exchange,
    ) -> None:
        self._state = state
        self._caller = caller
        self._prefill = prefill
        self._crashes = crashes
        self._guard = guard
        self._versions = versions
        self._selection = selection
        self._probes = probes
        self._exchange = exchange
        self._retries = StreamRetries(state, exchange)
        self._last_event_id = exchange.metadata.last_event_id
        self._bounds = StreamBounds(exchange.metadata.prompt)
        self._begun = False
        self._writer_known = False
        self._move = StreamMove(state, selection, probes, exchange)
        self._prepared: EngineChoice | None = None
        """What the next run needs, if it was prepared before this one was left."""

    def run(self) -> None:
        """Run the request until its response is complete or it is given up."""
        self._retries.note_first_attempt()
        self._versions.resolve()
        try:
            self._run_until_complete()
        finally:
            self._retries.give_back()
            self._selection.kept_prompt.release()
            if self._prepared is not None:
                self._selection.discard(self._prepared)

    def _run_until_complete(self) -> None:
        exchange = self._exchange
        while True:
            choice, self._prepared = self._prepared, None
            if choice is None:
                choice = self._selection.prepare()
            exchange.sends += 1
            is_retry = self._retries.take_due()
            outcome = self._run_once(choice.engine, choice.prefilled)
            if isinstance(outcome, RunCompleted):
                return
            if isinstance(outcome, RunRejected) and not outcome.sent:
                exchange.sends -= 1
                self._retries.is_due = is_retry
                self._selection.note_not_connected(choice.engine)
            elif not self._retries.count_after(outcome):
                self._give_up(outcome)
            self._versions.check_version()
            if isinstance(outcome, RunRejected) and outcome.links_down:
                self._selection.wait_for_links(outcome.reason)
            else:
                self._selection.avoid(choice.engine)

    def _run_once(
        self, engine: Replica, prefilled: PrefilledPrompt | None
    ) -> RunOutcome:
        exchange, ledger = self._exchange, self._state.ledger
        self._begun = False
        self._writer_known = not self._versions.is_bound
        prompt = exchange.metadata.prompt
        tokens = prompt.input_tokens + prompt.max_output_tokens if prompt else 0
        start = self._state.start_attempt(Stage.DECODE.value, engine)
        ledger.begin_run(engine.replica_id, tokens)
        outcome: RunOutcome | None = None
        try:
            if not exchange.response_started and not exchange.may_begin():
                raise exchange.stopped()
            exchange.call_outstanding = True
            outcome = self._call(engine, prefilled, start)
        finally:
            ledger.end_run(engine.replica_id, tokens)
            if self._prepared is None:
                # Otherwise they belong to the next run.
                self._guard.end_reservation(exchange)
                self._selection.end_local_prefill()
            if prefilled is not None:
                self._end_prompt(prefilled, outcome)
        exchange.call_outstanding = False
        self._record_attempt(start, outcome)
        return outcome

    def _end_prompt(
        self, prefilled: PrefilledPrompt, outcome: RunOutcome | None
    ) -> None:
        """Release a prompt that no engine has used, unless the next run uses it."""
        if outcome is None:
            self._prefill.release(prefilled)
        elif isinstance(outcome, RunRejected):
            if outcome.sent or outcome.links_down:
                self._prefill.release(prefilled)
            else:
                self._selection.kept_prompt.keep(prefilled)

    def _call(
        self, engine: Replica, prefilled: PrefilledPrompt | None, start: AttemptStart
    ) -> RunOutcome:
        state, exchange = self._state, self._exchange
        headers = state.wire.request_headers(
            exchange.request.headers,
            UpstreamCall(
                replica_id=engine.replica_id,
                deadline_ms=exchange.deadline_ms,
                kv_source=prefilled.source if prefilled else None,
                last_event_id=self._last_event_id,
            ),
        )
        request = exchange.request
        call = RawCall(
            request.method,
            request.target,
            headers,
            request.body,
            repeatable=exchange.route.resumable,
        )
        try:
            opened = self._caller.start(
                engine,
                call,
                exchange.cancel_scope,
                request_id=exchange.metadata.request_id,
                deadline_s=exchange.deadline_s - RESPONSE_MARGIN_S,
                slot=exchange.use_slot(engine.replica_id),
            )
        except LinksDown as error:
            return RunRejected(str(error), sent=False, links_down=True)
        except NotConnected as error:
            state.note_not_connected(engine, error, now_s=time.monotonic())
            return RunRejected(str(error), sent=False)
        except AnswerLost as error:
            exchange.may_have_run = True
            return self._record_loss(engine, start, error)
        while opened.facts.not_executed or opened.head.status == _MISDIRECTED:
            reason = f"engine answered {opened.head.status}"
            later = self._answer_after(opened)
            if later is None:
                return RunRejected(reason, sent=True)
            opened = later
        exchange.may_have_run = True
        return self._relay_answer(engine, opened, start)

    def _record_loss(
        self, engine: Replica, start: AttemptStart, error: AnswerLost
    ) -> RunOutcome:
        now_s = time.monotonic()
        self._state.health.note_failure(engine.replica_id, now_s)
        self._crashes.note_lost_answer(
            self._exchange, engine, start, error, begun=self._begun, now_s=now_s
        )
        return RunInterrupted(str(error))

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

    def _relay_answer(
        self, engine: Replica, opened: OpenResponse, start: AttemptStart
    ) -> RunOutcome:
        exchange = self._exchange
        join = StreamJoin(opened.head, continues=self._continues)
        stamped_ok = opened.head.status == _OK and opened.facts.stamped
        if stamped_ok and join.is_event_stream:
            return self._relay_events(engine, opened, start, join)
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
            return self._record_loss(engine, start, error)
        self._state.health.note_failure(engine.replica_id, time.monotonic())
        # A success would be taken for the rest of a stream that the client resumes.
        unusable = self._continues and opened.head.status < _MULTIPLE_CHOICES
        if not opened.facts.stamped or exchange.response_started or unusable:
            exchange.request.held.drop(len(body))
            return RunInterrupted(f"engine answered {opened.head.status}")
        headers = list(self._state.wire.client_headers(opened.head.headers))
        head = exchange.head(opened.head.status, opened.head.reason, headers)
        exchange.client.send_response(head, body)
        return RunCompleted()

    @property
    def _continues(self) -> bool:
        """Return whether the client has a part of the stream."""
        return self._exchange.response_started or self._last_event_id is not None

    def _relay_events(
        self,
        engine: Replica,
        opened: OpenResponse,
        start: AttemptStart,
        join: StreamJoin,
    ) -> RunOutcome:
        splitter, silences = EventSplitter(), self._state.silences
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
                self._note_begun(events)
                self._check_writer(engine, events)
                self._forward(engine, opened, events)
                if len(events) < len(complete):
                    raise AnswerLost("stream holds an error in place of an event")
                if self._exchange.remaining_s <= 0:
                    raise AnswerTimeout("stream did not end in time")
            join.check_end(splitter, begun=self._begun)
        except AnswerLost as error:
            self._caller.abandon(opened, self._exchange.cancel_scope, error)
            self._exchange.cancel_scope.raise_if_cancelled()
            return self._record_loss(engine, start, error)
        except BaseException:
            self._caller.abandon(opened, self._exchange.cancel_scope)
            raise
        finally:
            silences.end(engine)
        self._caller.finish(opened, self._exchange.cancel_scope)
        self._state.health.note_success(engine.replica_id)
        if not self._begun:
            self._guard.note_completed(self._exchange)
        self._end(opened)
        return RunCompleted()

    def _note_begun(self, events: Sequence[StreamEvent]) -> None:
        """Clear the request of suspicion at the first event of a run."""
        if events and not self._begun:
            self._begun = True
            self._guard.note_completed(self._exchange)

    def _check_writer(self, engine: Replica, events: Sequence[StreamEvent]) -> None:
        """Raise ``AnswerLost`` if the first events may be of another version."""
        if not events or self._writer_known:
            return
        self._writer_known = True
        if not self._versions.wrote_events(engine):
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
        """Return whether a silent stream is left, with its next run in hand."""
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
        self._prepared = self._move.prepare(
            engine, opened.connection, engines, silent_since_s=silent_since_s
        )
        if self._prepared is None:
            self._retries.give_back()
            return False
        # A connection that ended meanwhile is read on, which shows how it ended.
        return not opened.connection.has_more_input

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
        return self._exchange.head(opened.head.status, opened.head.reason, headers)

    def _give_up(self, outcome: RunOutcome) -> None:
        assert not isinstance(outcome, RunCompleted)
        if self._exchange.response_started:
            raise StreamBroken(outcome.reason)
        if isinstance(outcome, RunRejected):
            self._selection.refuse(outcome.reason, RETRY_AFTER_REJECTED_S)
        raise self._exchange.failed(outcome.reason)

    def _record_attempt(self, start: AttemptStart, outcome: RunOutcome) -> None:
        result = {RunCompleted: "answered", RunInterrupted: "lost"}.get(
            type(outcome), "not_run"
        )
        if isinstance(outcome, RunRejected) and not outcome.sent:
            result = "not_connected"
        self._exchange.record_attempt(start, result, now_s=time.monotonic())
        self._state.metrics.sends.add(stage=start.stage, result=result)
