"""Engines for one generation: where its prompt is read and where it runs."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NoReturn

import gevent

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.delivery.suspect_types import Clear
from persimmonyoke.internal.dispatch.loads import PrefillJob
from persimmonyoke.internal.dispatch.outlook import ANNOUNCEMENT_WAIT_S
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.dispatch.refusal import Refused
from persimmonyoke.internal.dispatch.returns import RETRY_VALUE_FACTOR, request_key
from persimmonyoke.internal.dispatch.services import choose_replica
from persimmonyoke.internal.fleet.model import EngineLimits, Prompt, Replica, Stage
from persimmonyoke.internal.gateway.admission import AdmissionGate, Admitted, Demand
from persimmonyoke.internal.gateway.exchange import (
    ANSWER_MARGIN_S,
    Exchange,
    StreamBroken,
)
from persimmonyoke.internal.gateway.prefill import PrefillCaller, PromptRead
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.suspect_guard import SuspectGuard

MAX_PREFILL_TRIES = 3
RETRY_AFTER_REJECTED_S = 0.4
RETRY_AFTER_NO_ENGINE_S = 0.5
DECODER_POLL_S = 0.02
HANDLE_KEEP_S = 4.5
"""Engines keep the KV cache of a read prompt for five seconds on the sheets."""


@dataclass(frozen=True)
class EngineChoice:
    """Hold the engine to run on, and the prompt if another engine has read it."""

    engine: Replica
    read: PromptRead | None


class EngineSelection:
    """Choose engines for the runs of one request, and wait for them."""

    def __init__(
        self,
        state: GatewayState,
        prefill: PrefillCaller,
        gate: AdmissionGate,
        guard: SuspectGuard,
        exchange: Exchange,
    ) -> None:
        self._state = state
        self._guard = guard
        self._is_suspect = False
        self._prefill = prefill
        self._gate = gate
        self._exchange = exchange
        self._budget = state.retry_budget(exchange.service.name)
        self._excluded: set[str] = set()
        self._avoided: set[str] = set()
        self._prefill_tries = 0
        self._decoder_lost_s: float | None = None
        self._local_read: PrefillJob | None = None
        self._value = 1.0
        self._key: int | None = None
        self._returning = False
        prompt = exchange.metadata.prompt
        if prompt is not None:
            self._value = state.sizes.value(
                exchange.route.name, prompt.input_tokens, prompt.max_output_tokens
            )
            self._recognise(prompt)

    def avoid(self, engine: Replica) -> None:
        """Run on another engine the next time, if there is one."""
        self._avoided.add(engine.replica_id)

    def prepare(self) -> EngineChoice:
        """Return the engine to run on, and the prompt if another engine read it."""
        service, prompt = self._exchange.service, self._exchange.metadata.prompt
        if service.engine is None or prompt is None:
            reserved = self._reserve(self._engines)
            return EngineChoice(reserved or self._choose_plain(), None)
        while True:
            self._is_suspect = not isinstance(self._guard.status(self._exchange), Clear)
            self._reserve(self._readers)
            try:
                admitted = self._admit(prompt, service.engine)
                if admitted.plan.local:
                    self._local_read = admitted.job
                    return EngineChoice(admitted.plan.engine, None)
                read = self._read_prompt(admitted)
            finally:
                self._guard.end_reservation(self._exchange)
            if read is not None:
                return EngineChoice(self._decoder_for(read, service.engine), read)

    def end_local_read(self) -> None:
        """Note that the engine has read a prompt that it generates from itself."""
        job, self._local_read = self._local_read, None
        if job is not None:
            self._state.ledger.end_prefill(job)
            self._gate.pump()

    def refuse(self, reason: str, retry_after_s: float) -> NoReturn:
        """Raise the error of a request that is given up before it has run."""
        if self._exchange.begun:
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

    def _reserve(
        self,
        candidates: Callable[[], Sequence[Replica]],
        *,
        limit_s: float = float("inf"),
    ) -> Replica | None:
        """Return an engine for this request alone if it may crash engines."""
        now_s = time.monotonic()
        patience_s = self._exchange.patience_left_s(now_s)
        until_s = now_s + min(limit_s, patience_s)
        return self._guard.reserve(self._exchange, candidates, until_s=until_s)

    def _readers(self) -> list[Replica]:
        """Return the engines that a prompt may be read on.

        That of a suspect is read on no decode engine, whose end would break its runs.
        """
        engines = self._engines()
        if not self._is_suspect:
            return engines
        isolated_on = self._exchange.isolated_on
        return [
            engine
            for engine in engines
            if engine.stage is Stage.PREFILL
            and isolated_on in (None, engine.replica_id)
        ]

    def _recognise(self, prompt: Prompt) -> None:
        """Let a request that comes back after a refusal go before others."""
        key = request_key(self._exchange.request.path, prompt)
        returns, now_s = self._state.returns, time.monotonic()
        self._key = key
        self._returning = returns.is_retry(key, now_s=now_s)
        if self._returning:
            self._value *= RETRY_VALUE_FACTOR

    def _decoder_for(self, read: PromptRead, limits: EngineLimits) -> Replica:
        """Return the engine to generate, once there is one."""
        waited_until_s = time.monotonic() + HANDLE_KEEP_S
        try:
            reserved = self._reserve(self._decoders, limit_s=HANDLE_KEEP_S)
            if reserved is not None:
                return reserved
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
        self.refuse("no decode engine", RETRY_AFTER_NO_ENGINE_S)

    def _await_decoder(self, limits: EngineLimits) -> None:
        """Wait for a moment if a decode engine may be there before it is too late."""
        exchange, now_s = self._exchange, time.monotonic()
        expected_s = self._state.outlook.expected_in_s(
            stage_change_s=limits.stage_change_s, now_s=now_s
        )
        wait_s = self._decoders_back_in_s(now_s)
        if wait_s is not None:
            self.refuse("decode engines are full", wait_s)
        if expected_s is None:
            if self._decoder_lost_s is None:
                self._decoder_lost_s = now_s
            if now_s - self._decoder_lost_s > ANNOUNCEMENT_WAIT_S:
                self.refuse("no decode engine", RETRY_AFTER_NO_ENGINE_S)
        elif expected_s + FIRST_EVENT_OVERHEAD_S > self._exchange.patience_left_s(
            now_s
        ):
            self.refuse("decode engine comes too late", expected_s)
        gevent.sleep(DECODER_POLL_S)
        exchange.work.check()

    def _read_prompt(self, admitted: Admitted) -> PromptRead | None:
        """Have the prompt read; ``None`` if another engine may be tried."""
        exchange, engine = self._exchange, admitted.plan.engine
        if self._prefill_tries and not self._budget.try_spend(time.monotonic()):
            self._state.ledger.end_prefill(admitted.job)
            self.refuse("retry budget is spent", RETRY_AFTER_REJECTED_S)
        try:
            # Copies of the request may have crashed engines while this one waited.
            self._guard.status(exchange)
        except BaseException:
            self._state.ledger.end_prefill(admitted.job)
            raise
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
            self.refuse(outcome.reason, RETRY_AFTER_REJECTED_S)
        return None

    def _admit(self, prompt: Prompt, limits: EngineLimits) -> Admitted:
        exchange = self._exchange
        while not self._may_read(limits):
            self._await_decoder(limits)
        target_s = exchange.started_s + exchange.route.target_latency_s
        now_s = time.monotonic()
        deadline_s = now_s + self._exchange.patience_left_s(now_s)
        demand = Demand(
            prompt=prompt,
            limits=limits,
            # A stream that has begun is late anyway and is finished before others.
            target_s=deadline_s if self._exchange.begun else target_s,
            deadline_s=deadline_s,
            value=self._value,
            returning=self._returning,
            engines=self._readers,
        )
        admitted = self._gate.admit(demand, exchange.work.on_cancel)
        if exchange.work.cancelled and isinstance(admitted, Admitted):
            # The client left in the moment of its turn.
            self._state.ledger.end_prefill(admitted.job)
        exchange.work.check()
        if isinstance(admitted, Refused):
            exchange.estimate_s = admitted.first_event_s
            self.refuse(admitted.reason, admitted.retry_after_s)
        assert admitted is not None
        return admitted

    def _may_read(self, limits: EngineLimits) -> bool:
        """Return whether a prompt that is read now can be generated from."""
        if self._decoders():
            return True
        expected_s = self._state.outlook.expected_in_s(
            stage_change_s=limits.stage_change_s, now_s=time.monotonic()
        )
        if expected_s is None:
            return False
        patience_s = self._exchange.patience_left_s(time.monotonic())
        return expected_s + FIRST_EVENT_OVERHEAD_S <= min(HANDLE_KEEP_S, patience_s)

    def _engines(self) -> list[Replica]:
        """Return the engines that can be reached, as far as this host knows."""
        now_s = time.monotonic()
        return [
            engine
            for engine in self._usable_engines(now_s)
            if not self._state.health.paused(engine.replica_id, now_s)
        ]

    def _decoders(self) -> list[Replica]:
        """Return the engines to generate on.

        Those that fail, also the one at which this stream broke, are left out unless
        there is no other.
        """
        decoders = [e for e in self._engines() if e.stage is Stage.DECODE]
        if not decoders:
            decoders = self._leaving_decoders()
        decoders = [
            e for e in decoders if e.replica_id not in self._avoided
        ] or decoders
        health, now_s = self._state.health, time.monotonic()
        return [
            e for e in decoders if not health.failing(e.replica_id, now_s)
        ] or decoders

    def _decoders_back_in_s(self, now_s: float) -> float | None:
        """Return when a decode engine takes requests again, if it told to wait."""
        engines = self._state.replicas.usable(self._exchange.service.name, now_s=now_s)
        decoders = [e for e in engines if e.stage is Stage.DECODE]
        return self._state.backoff_left_s(decoders, now_s)

    def _leaving_decoders(self) -> list[Replica]:
        """Return decode engines that have just begun to leave and still take work."""
        now_s = time.monotonic()
        return [
            engine
            for engine in self._state.leaving_replicas(
                self._exchange.service.name, now_s=now_s
            )
            if engine.stage is Stage.DECODE
            and not self._state.health.paused(engine.replica_id, now_s)
        ]

    def _usable_engines(self, now_s: float) -> list[Replica]:
        return [
            engine
            for engine in self._state.usable_replicas(
                self._exchange.service.name, now_s=now_s
            )
            if engine.replica_id not in self._excluded
            and not self._state.changes_stage(engine, now_s)
        ]

    def _choose_plain(self) -> Replica:
        state, now_s = self._state, time.monotonic()
        replica = choose_replica(
            state.usable_replicas(self._exchange.service.name, now_s=now_s),
            ledger=state.ledger,
            health=state.health,
            excluded=self._excluded,
            own_zone=state.settings.availability_zone,
            now_s=now_s,
            rng=state.rng,
        )
        if replica is None:
            self.refuse("no replica is left", RETRY_AFTER_REJECTED_S)
        return replica
