"""Generations: prefill on one engine, an event stream from another, and resuming."""

import time
from dataclasses import dataclass

import gevent

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.dispatch.outlook import ANNOUNCEMENT_WAIT_S
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_S
from persimmonyoke.internal.dispatch.refusal import Refused
from persimmonyoke.internal.dispatch.returns import RETURN_VALUE, request_key
from persimmonyoke.internal.dispatch.services import choose_replica
from persimmonyoke.internal.fleet.interfaces import RawCall, UpstreamCall
from persimmonyoke.internal.fleet.model import EngineLimits, Prompt, Replica, Stage
from persimmonyoke.internal.gateway.admission import AdmissionGate, Admitted, Demand
from persimmonyoke.internal.gateway.connections import (
    AnswerLost,
    NotConnected,
)
from persimmonyoke.internal.gateway.events import EventSplitter, StreamEvent
from persimmonyoke.internal.gateway.exchange import ANSWER_MARGIN_S, Exchange
from persimmonyoke.internal.gateway.prefill import (
    PrefillCaller,
    PromptRead,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import OpenAnswer, UpstreamCaller

MAX_PREFILL_TRIES = 3
STREAM_SILENCE_S = 1.2
"""Silence within a resumable stream after which it goes on at another engine.

Pauses of over 150 ms are late; clients leave after 2.4 s or more.
"""

RETRY_AFTER_REJECTED_S = 0.4
RETRY_AFTER_NO_ENGINE_S = 0.5
DECODER_POLL_S = 0.02
HANDLE_KEEP_S = 4.5
"""Engines keep the KV cache of a read prompt for five seconds on the sheets."""

_OK, _MISDIRECTED = 200, 421


class StreamBroken(Exception):
    """Say that a client's answer has begun and can't be completed."""


@dataclass(frozen=True)
class RunEnded:
    """Say that the whole answer was delivered."""


@dataclass(frozen=True)
class RunRejected:
    """Say that the engine did not and will not run the request."""

    reason: str
    sent: bool


@dataclass(frozen=True)
class RunLost:
    """Say that the run broke off, maybe before its first event."""

    reason: str


RunOutcome = RunEnded | RunRejected | RunLost


class StreamRelay:
    """Pass event streams from engines to clients."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._caller = UpstreamCaller(state)
        self._prefill = PrefillCaller(state)
        self._gate = AdmissionGate(state)
        state.queued_s = lambda: self._gate.queued_s
        state.on_peer_work = self._gate.pump

    def relay(self, exchange: Exchange) -> None:
        """Answer a request; raise ``RequestError`` or ``StreamBroken``."""
        _StreamRun(self._state, self._caller, self._prefill, self._gate, exchange).run()


class _StreamRun:
    """Carry one streaming request through its runs."""

    def __init__(
        self,
        state: GatewayState,
        caller: UpstreamCaller,
        prefill: PrefillCaller,
        gate: AdmissionGate,
        exchange: Exchange,
    ) -> None:
        self._state = state
        self._caller = caller
        self._prefill = prefill
        self._gate = gate
        self._exchange = exchange
        self._excluded: set[str] = set()
        self._avoided: set[str] = set()
        self._prefill_tries = 0
        self._last_event_id = exchange.metadata.last_event_id
        self._begun = False
        self._last_event_s = exchange.started_s
        prompt = exchange.metadata.prompt
        self._decoder_lost_s: float | None = None
        self._budget = state.retry_budget(exchange.service.name)
        self._value = 1.0
        self._key: int | None = None
        self._returning = False
        if prompt is not None:
            self._value = state.sizes.value(
                exchange.route.name, prompt.input_tokens, prompt.max_output_tokens
            )
            self._recognise(prompt)

    def _recognise(self, prompt: Prompt) -> None:
        """Let a request that comes back after a refusal go before others."""
        key = request_key(self._exchange.request.path, prompt)
        returns, now_s = self._state.returns, time.monotonic()
        self._key = key
        self._returning = returns.returning(key, now_s=now_s)
        if self._returning:
            self._value *= RETURN_VALUE

    def run(self) -> None:
        """Run the request until its answer is complete or given up."""
        exchange = self._exchange
        self._budget.note_first_attempt(time.monotonic())
        while True:
            engine, read = self._prepare()
            exchange.sends += 1
            outcome = self._run_once(engine, read)
            if isinstance(outcome, RunEnded):
                return
            if isinstance(outcome, RunRejected) and not outcome.sent:
                exchange.sends -= 1
            elif not self._may_go_on(outcome):
                self._give_up(outcome)
            self._avoided.add(engine.replica_id)

    def _prepare(self) -> tuple[Replica, PromptRead | None]:
        """Return the engine to run on, and the prompt if another engine read it."""
        service, prompt = self._exchange.service, self._exchange.metadata.prompt
        if service.engine is None or prompt is None:
            return self._choose_plain(), None
        while True:
            admitted = self._admit(prompt, service.engine)
            if admitted.plan.local:
                self._state.ledger.end_read(admitted.job)
                return admitted.plan.engine, None
            read = self._read_prompt(admitted)
            if read is None:
                continue
            return self._decoder_for(read, service.engine), read

    def _decoder_for(self, read: PromptRead, limits: EngineLimits) -> Replica:
        """Return the engine to generate, once there is one."""
        waited_until_s = time.monotonic() + HANDLE_KEEP_S
        try:
            while True:
                decode = self._state.placement.decoder(
                    self._decoders(),
                    limits,
                    zone=read.engine.availability_zone,
                    now_s=time.monotonic(),
                )
                if decode is not None:
                    return decode
                if time.monotonic() >= waited_until_s:
                    break
                self._await_decoder(limits)
        except BaseException:
            self._prefill.release(read)
            raise
        self._prefill.release(read)
        self._raise_not_served("no decode engine", RETRY_AFTER_NO_ENGINE_S)

    def _await_decoder(self, limits: EngineLimits) -> None:
        """Wait for a moment if a decode engine may be there before it is too late."""
        exchange, now_s = self._exchange, time.monotonic()
        expected_s = self._state.outlook.expected_in_s(
            stage_change_s=limits.stage_change_s, now_s=now_s
        )
        if expected_s is None:
            if self._decoder_lost_s is None:
                self._decoder_lost_s = now_s
            if now_s - self._decoder_lost_s > ANNOUNCEMENT_WAIT_S:
                self._raise_not_served("no decode engine", RETRY_AFTER_NO_ENGINE_S)
        elif expected_s + FIRST_EVENT_S > self._patience_left_s(now_s):
            self._raise_not_served("decode engine comes too late", expected_s)
        gevent.sleep(DECODER_POLL_S)
        exchange.work.check()

    def _read_prompt(self, admitted: Admitted) -> PromptRead | None:
        """Have the prompt read; ``None`` if another engine may be tried."""
        exchange, engine = self._exchange, admitted.plan.engine
        if self._prefill_tries and not self._budget.try_spend(time.monotonic()):
            self._state.ledger.end_read(admitted.job)
            self._raise_not_served("retry budget is spent", RETRY_AFTER_REJECTED_S)
        try:
            outcome = self._prefill.read(
                exchange, admitted, deadline_s=exchange.deadline_s - ANSWER_MARGIN_S
            )
        finally:
            self._gate.pump()
        if isinstance(outcome, PromptRead):
            self._prefill_tries += 1
            return outcome
        prompt = exchange.metadata.prompt
        assert prompt is not None
        self._state.prefixes.forget(engine.replica_id, prompt.parts)
        self._excluded.add(engine.replica_id)
        if outcome.sent:
            self._prefill_tries += 1
        if self._prefill_tries >= MAX_PREFILL_TRIES or exchange.remaining_s < 0.1:
            self._raise_not_served(outcome.reason, RETRY_AFTER_REJECTED_S)
        return None

    def _admit(self, prompt: Prompt, limits: EngineLimits) -> Admitted:
        exchange = self._exchange
        while not self._may_read(limits):
            self._await_decoder(limits)
        target_s = exchange.started_s + exchange.route.target_latency_s
        now_s = time.monotonic()
        deadline_s = now_s + self._patience_left_s(now_s)
        demand = Demand(
            prompt=prompt,
            limits=limits,
            # A stream that has begun is late anyway and is finished before others.
            target_s=deadline_s if self._begun else target_s,
            deadline_s=deadline_s,
            value=self._value,
            returning=self._returning,
            engines=self._engines,
        )
        admitted = self._gate.admit(demand, exchange.work.on_cancel)
        exchange.work.check()
        if isinstance(admitted, Refused):
            exchange.estimate_s = admitted.first_event_s
            self._raise_not_served(admitted.reason, admitted.retry_after_s)
        assert admitted is not None
        return admitted

    def _patience_left_s(self, now_s: float) -> float:
        """Return how long the caller still waits for an event."""
        exchange = self._exchange
        end_s = self._last_event_s + exchange.route.patience_s
        return min(exchange.deadline_s, end_s) - ANSWER_MARGIN_S - now_s

    def _may_read(self, limits: EngineLimits) -> bool:
        """Return whether a prompt that is read now can be generated from."""
        if self._decoders():
            return True
        expected_s = self._state.outlook.expected_in_s(
            stage_change_s=limits.stage_change_s, now_s=time.monotonic()
        )
        if expected_s is None:
            return False
        patience_s = self._patience_left_s(time.monotonic())
        return expected_s + FIRST_EVENT_S <= min(HANDLE_KEEP_S, patience_s)

    def _engines(self) -> list[Replica]:
        """Return the engines that can be reached, as far as this host knows."""
        now_s = time.monotonic()
        return [
            engine
            for engine in self._usable_engines(now_s)
            if not self._state.health.paused(engine.replica_id, now_s)
        ]

    def _decoders(self) -> list[Replica]:
        """Return the engines to generate on, first those that have not failed here.

        A stream that broke may go on at the same engine if there is no other one.
        """
        decoders = [e for e in self._engines() if e.stage is Stage.DECODE]
        if not decoders:
            decoders = self._leaving_decoders()
        return [e for e in decoders if e.replica_id not in self._avoided] or decoders

    def _leaving_decoders(self) -> list[Replica]:
        """Return decode engines that have just begun to leave and still take work."""
        now_s = time.monotonic()
        return [
            engine
            for engine in self._state.replicas.leaving(
                self._exchange.service.name, now_s=now_s
            )
            if engine.stage is Stage.DECODE
            and not self._state.health.paused(engine.replica_id, now_s)
        ]

    def _usable_engines(self, now_s: float) -> list[Replica]:
        return [
            engine
            for engine in self._state.replicas.usable(self._exchange.service.name)
            if engine.replica_id not in self._excluded
            and not self._state.changes_stage(engine, now_s)
        ]

    def _choose_plain(self) -> Replica:
        state = self._state
        replica = choose_replica(
            state.replicas.usable(self._exchange.service.name),
            ledger=state.ledger,
            health=state.health,
            excluded=self._excluded,
            own_zone=state.settings.availability_zone,
            now_s=time.monotonic(),
            rng=state.rng,
        )
        if replica is None:
            self._raise_not_served("no replica is left", RETRY_AFTER_REJECTED_S)
        return replica

    def _run_once(self, engine: Replica, read: PromptRead | None) -> RunOutcome:
        exchange, ledger = self._exchange, self._state.ledger
        prompt = exchange.metadata.prompt
        tokens = prompt.input_tokens + prompt.max_output_tokens if prompt else 0
        started_s = time.monotonic()
        ledger.begin_run(engine.replica_id, tokens)
        used = False
        try:
            outcome = self._call(engine, read)
            used = not isinstance(outcome, RunRejected)
        finally:
            ledger.end_run(engine.replica_id, tokens)
            if read is not None and not used:
                self._prefill.release(read)
        self._note(engine, outcome, started_s)
        return outcome

    def _call(self, engine: Replica, read: PromptRead | None) -> RunOutcome:
        state, exchange = self._state, self._exchange
        headers = state.wire.request_headers(
            exchange.request.headers,
            UpstreamCall(
                replica_id=engine.replica_id,
                deadline_ms=exchange.deadline_ms,
                kv_source=read.source if read else None,
                last_event_id=self._last_event_id,
            ),
        )
        request = exchange.request
        call = RawCall(request.method, request.target, headers, request.body)
        try:
            opened = self._caller.start(
                engine,
                call,
                exchange.work,
                request_id=exchange.metadata.request_id,
                deadline_s=exchange.deadline_s - ANSWER_MARGIN_S,
            )
        except NotConnected as error:
            state.health.note_unreachable(engine.replica_id, time.monotonic())
            return RunRejected(str(error), sent=False)
        except AnswerLost as error:
            exchange.may_have_run = True
            state.health.note_failure(engine.replica_id)
            return RunLost(str(error))
        if opened.facts.not_executed or opened.head.status == _MISDIRECTED:
            return self._rejected(opened)
        exchange.may_have_run = True
        return self._relay_answer(engine, opened)

    def _rejected(self, opened: OpenAnswer) -> RunOutcome:
        exchange = self._exchange
        reason = f"engine answered {opened.head.status}"
        try:
            self._caller.read_whole(
                opened, exchange.work, deadline_s=time.monotonic() + 0.2
            )
        except AnswerLost:
            # The head alone says that the request was not run.
            reason += " and closed the connection"
        return RunRejected(reason, sent=True)

    def _relay_answer(self, engine: Replica, opened: OpenAnswer) -> RunOutcome:
        exchange = self._exchange
        if opened.head.status == _OK and opened.facts.stamped:
            return self._relay_events(engine, opened)
        deadline_s = exchange.deadline_s - ANSWER_MARGIN_S
        try:
            body = self._caller.read_whole(opened, exchange.work, deadline_s=deadline_s)
        except AnswerLost as error:
            return RunLost(str(error))
        self._state.health.note_failure(engine.replica_id)
        if not opened.facts.stamped or self._begun:
            return RunLost(f"engine answered {opened.head.status}")
        headers = list(self._state.wire.client_headers(opened.head.headers))
        head = exchange.head(opened.head.status, opened.head.reason, headers)
        exchange.client.send_whole(head, body)
        return RunEnded()

    def _relay_events(self, engine: Replica, opened: OpenAnswer) -> RunOutcome:
        splitter = EventSplitter()
        try:
            while True:
                part = opened.connection.read_part(timeout_s=self._silence_limit_s())
                self._exchange.work.check()
                if part is None:
                    break
                self._forward(opened, splitter.feed(part))
                if splitter.too_large:
                    raise AnswerLost("event is too large")
        except AnswerLost as error:
            self._caller.abandon(opened, self._exchange.work)
            self._exchange.work.check()
            self._state.health.note_failure(engine.replica_id)
            return RunLost(str(error))
        except BaseException:
            self._caller.abandon(opened, self._exchange.work)
            raise
        self._caller.finish(opened, self._exchange.work)
        self._state.health.note_success(engine.replica_id)
        self._end(opened, splitter.rest)
        return RunEnded()

    def _silence_limit_s(self) -> float:
        left_s = max(0.001, self._exchange.remaining_s - ANSWER_MARGIN_S)
        if self._begun and self._exchange.route.resumable:
            return min(left_s, STREAM_SILENCE_S)
        return left_s

    def _forward(self, opened: OpenAnswer, events: list[StreamEvent]) -> None:
        fresh = []
        for event in events:
            if self._already_delivered(event):
                continue
            if event.event_id is not None:
                self._last_event_id = event.event_id
            fresh.append(event.data)
        if fresh:
            self._send(opened, b"".join(fresh))

    def _already_delivered(self, event: StreamEvent) -> bool:
        if event.event_id is None or self._last_event_id is None:
            return False
        return event.event_id <= self._last_event_id

    def _send(self, opened: OpenAnswer, data: bytes) -> None:
        self._last_event_s = time.monotonic()
        if self._begun:
            self._exchange.client.send_chunk(data)
            return
        self._begun = True
        self._exchange.first_event_s = time.monotonic()
        self._exchange.client.begin_chunked(self._head(opened), data)

    def _end(self, opened: OpenAnswer, rest: bytes) -> None:
        if self._begun:
            self._exchange.client.end_chunked(rest)
        else:
            self._exchange.client.send_whole(self._head(opened), rest)

    def _head(self, opened: OpenAnswer):
        headers = list(self._state.wire.client_headers(opened.head.headers))
        return self._exchange.head(opened.head.status, opened.head.reason, headers)

    def _may_go_on(self, outcome: RunOutcome) -> bool:
        exchange = self._exchange
        if isinstance(outcome, RunLost) and not exchange.route.resumable:
            return False
        if exchange.sends >= exchange.route.max_attempts:
            return False
        if exchange.remaining_s < 0.1:
            return False
        return self._budget.try_spend(time.monotonic())

    def _give_up(self, outcome: RunOutcome) -> None:
        assert not isinstance(outcome, RunEnded)
        if self._begun:
            raise StreamBroken(outcome.reason)
        if isinstance(outcome, RunRejected):
            self._raise_not_served(outcome.reason, RETRY_AFTER_REJECTED_S)
        raise self._exchange.failed(outcome.reason)

    def _raise_not_served(self, reason: str, retry_after_s: float) -> None:
        if self._begun:
            raise StreamBroken(reason)
        error = self._exchange.not_served(reason, retry_after_s)
        if error.kind is ErrorKind.UPSTREAM_UNAVAILABLE:
            if self._key is not None:
                self._state.returns.note_refused(self._key, now_s=time.monotonic())
            # 429 tells the caller that load is the reason, 503 that a part is missing.
            raise RequestError(
                ErrorKind.OVERLOADED, reason, retry_after_s=retry_after_s
            )
        raise error

    def _note(self, engine: Replica, outcome: RunOutcome, started_s: float) -> None:
        result = {RunEnded: "answered", RunLost: "lost"}.get(type(outcome), "not_run")
        if isinstance(outcome, RunRejected) and not outcome.sent:
            result = "not_connected"
        stage = Stage.DECODE.value
        self._exchange.note(stage, engine.replica_id, result, started_s)
        self._state.metrics.sends.add(stage=stage, result=result)
