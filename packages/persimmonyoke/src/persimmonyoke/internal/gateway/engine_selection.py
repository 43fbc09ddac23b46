"""Select the prefill and decode engines of a generation request."""

import time
from collections.abc import Callable, Sequence
from typing import NoReturn

import gevent

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.delivery.retry_budget import BUDGET_SPENT
from persimmonyoke.internal.dispatch.loads import PrefillJob
from persimmonyoke.internal.dispatch.outlook import ANNOUNCEMENT_WAIT_S
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.dispatch.refusal import Refused
from persimmonyoke.internal.dispatch.returns import RETRY_VALUE_FACTOR, request_key
from persimmonyoke.internal.fleet.model import EngineLimits, Prompt, Replica
from persimmonyoke.internal.fleet.replica_links import LinkState
from persimmonyoke.internal.gateway.admission import (
    AdmissionGate,
    AdmissionRequest,
    Admitted,
)
from persimmonyoke.internal.gateway.decoder_slots import DecoderSlots
from persimmonyoke.internal.gateway.engine_candidates import EngineCandidates
from persimmonyoke.internal.gateway.engine_choice import EngineChoice
from persimmonyoke.internal.gateway.engine_probe import EngineProbes
from persimmonyoke.internal.gateway.exchange import (
    RESPONSE_MARGIN_S,
    RETRY_AFTER_REJECTED_S,
    Exchange,
    StreamBroken,
    StreamNotPlaced,
)
from persimmonyoke.internal.gateway.kept_prompt import MAX_HANDLE_AGE_S, KeptPrompt
from persimmonyoke.internal.gateway.link_wait import LinkWait
from persimmonyoke.internal.gateway.prefill import PrefillCaller, PrefilledPrompt
from persimmonyoke.internal.gateway.prefill_retries import PrefillRetries
from persimmonyoke.internal.gateway.prefill_wait import PrefillWait
from persimmonyoke.internal.gateway.prompt_readers import PromptReaders
from persimmonyoke.internal.gateway.run_outcomes import RunOutcome
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stream_version_guard import StreamVersionGuard
from persimmonyoke.internal.gateway.suspect_guard import SuspectGuard

RETRY_AFTER_NO_ENGINE_S = 0.5
DECODER_POLL_INTERVAL_S = 0.02
FAILED_MOVE_PAUSE_S = 0.4
"""Pause before a silent stream asks an engine again that did not accept its run."""


class EngineSelection:
    """Select engines for the runs of one request and wait for capacity."""

    def __init__(
        self,
        state: GatewayState,
        prefill: PrefillCaller,
        gate: AdmissionGate,
        guard: SuspectGuard,
        versions: StreamVersionGuard,
        probes: EngineProbes,
        exchange: Exchange,
    ) -> None:
        self._state = state
        self._guard = guard
        self._versions = versions
        self._prefill = prefill
        self._gate = gate
        self._probes = probes
        self._exchange = exchange
        self._candidates = EngineCandidates(state, exchange, versions.allows)
        self._readers = PromptReaders(guard, self._candidates, exchange)
        self._link_wait = LinkWait(state, exchange)
        self.kept_prompt = KeptPrompt(prefill)
        self._prefills = PrefillRetries(state.retry_budget(exchange.service.name))
        self._decoders_missing_since_s: float | None = None
        self._local_prefill: PrefillJob | None = None
        self._slots = DecoderSlots(state, exchange, self._candidates, self.refuse)
        self._value = 1.0
        self._key: int | None = None
        self._returning = False
        prompt = exchange.metadata.prompt
        if prompt is not None:
            self._value = state.sizes.value(
                exchange.route.name, prompt.input_tokens, prompt.max_output_tokens
            )
            self._prioritise_if_returning(prompt)

    def avoid(self, engine: Replica) -> None:
        """Prefer other engines for the next run."""
        self._candidates.avoided.add(engine.replica_id)

    def pause(self, engine: Replica, *, now_s: float) -> None:
        """Make no move of a silent stream to an engine for a while."""
        until_s = now_s + FAILED_MOVE_PAUSE_S
        self._candidates.paused_until_s[engine.replica_id] = until_s

    def note_not_connected(self, engine: Replica) -> None:
        """Choose a replica that could not be reached no more for this request."""
        self._candidates.not_connected.add(engine.replica_id)

    def engines_beside(self, silent: Replica) -> list[Replica]:
        """Return the engines on which a stream of a silent engine may go on now."""
        return self._candidates.engines_beside(silent)

    def engines_to_probe(self, silent: Replica) -> list[Replica]:
        """Return engines to ask for a sign of life while an engine is silent."""
        return self._candidates.engines_to_probe(silent)

    def prepare_to_continue(
        self, left: Replica, engines: Sequence[Replica]
    ) -> EngineChoice:
        """Prepare a run on one of some engines for a stream that another one began.

        Raises an error, without a call, unless the prompt may be read once more.
        """
        if not self._prefills.is_first and not self.kept_prompt.is_held:
            self._prefills.hold()
        self.avoid(left)
        ids = frozenset(engine.replica_id for engine in engines)
        self._candidates.continue_on = ids
        try:
            return self.prepare()
        finally:
            self._candidates.continue_on = None
            self._slots.give_back()

    def discard(self, choice: EngineChoice, outcome: RunOutcome | None = None) -> None:
        """Release what was prepared for a run that was not made."""
        self.end_local_prefill()
        self._guard.end_reservation(self._exchange)
        self._exchange.slot_at = None
        self.end_prompt(choice, outcome)

    def end_prompt(self, choice: EngineChoice, outcome: RunOutcome | None) -> None:
        """Release the prompt of a run, unless an engine has used it or may use it."""
        if choice.prefilled is not None:
            self.kept_prompt.after_run(
                choice.prefilled,
                outcome,
                keep_rejected=self._exchange.response_started,
            )

    def prepare(self) -> EngineChoice:
        """Return the engine to run on and the prompt if another engine prefilled it."""
        try:
            return self._prepare()
        finally:
            self._prefills.end_hold()

    def _prepare(self) -> EngineChoice:
        self._versions.check_replica_left()
        service, prompt = self._exchange.service, self._exchange.metadata.prompt
        if service.engine is None or prompt is None:
            reserved = self._reserve(self._candidates.engines)
            return EngineChoice(reserved or self._choose_plain(), None)
        engines, now_s = self._candidates.engines(), time.monotonic()
        kept = self.kept_prompt.take(engines, now_s=now_s)
        if kept is not None:
            return EngineChoice(self._select_decoder(kept, service.engine), kept)
        while True:
            if self._readers.needs_reservation():
                self._reserve(self._readers.engines)
            self._slots.take_before_prefill()
            try:
                admitted = self._admit(prompt, service.engine)
                if admitted.plan.local:
                    self.end_local_prefill()
                    self._local_prefill = admitted.job
                    if not self._versions.may_go_on_at(admitted.plan.engine):
                        self.end_local_prefill()
                        continue
                    self._exchange.slot_at = admitted.plan.engine.replica_id
                    return EngineChoice(admitted.plan.engine, None)
                prefilled = self._prefill_prompt(admitted)
            finally:
                if self._local_prefill is None:
                    self._guard.end_reservation(self._exchange)
            if prefilled is not None:
                return EngineChoice(
                    self._select_decoder(prefilled, service.engine), prefilled
                )

    def end_local_prefill(self) -> None:
        """Record the end of a prefill on the engine that also decodes."""
        job, self._local_prefill = self._local_prefill, None
        if job is not None:
            self._state.ledger.end_prefill(job)
            self._gate.admit_waiting()

    def wait_for_links(self, reason: str) -> None:
        """Pause while this host reaches no replica; refuse a stream that can't wait."""
        if not self._pause_for_links(reason):
            self.refuse(reason, RETRY_AFTER_NO_ENGINE_S)

    def _refuse_or_wait(self, reason: str, retry_after_s: float) -> None:
        """Refuse the request, unless it may wait for engines that exist.

        If no replica is reached, or all engines of a stage are paused, the links may
        have failed, and pauses and estimates say little.
        """
        links_down = self._state.links.state is LinkState.UNCONFIRMED
        in_doubt = links_down or self._candidates.any_stage_paused()
        if not in_doubt or not self._pause_for_links(reason):
            self.refuse(reason, retry_after_s)

    def _pause_for_links(self, reason: str) -> bool:
        if not self._link_wait.pause(reason):
            return False
        # What failed on the links of this host says nothing of the engines.
        self._candidates.excluded.clear()
        self._candidates.avoided.clear()
        self._candidates.not_connected.clear()
        return True

    def refuse(self, reason: str, retry_after_s: float) -> NoReturn:
        """Raise the error for a request that is given up before it has run."""
        self._slots.give_back()
        if self._exchange.response_started:
            raise StreamNotPlaced(reason)
        error = self._exchange.not_served(reason, retry_after_s)
        if error.kind is ErrorKind.UPSTREAM_UNAVAILABLE:
            if self._key is not None:
                self._state.recent_refusals.note_refused(
                    self._key, now_s=time.monotonic()
                )
            # 429 tells the caller that the reason is load; 503 would mean that a
            # component is missing.
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
        """Reserve an engine for this request alone if the request may crash engines."""
        now_s = time.monotonic()
        patience_s = self._exchange.event_wait_left_s(now_s)
        until_s = now_s + min(limit_s, patience_s)
        return self._guard.reserve(self._exchange, candidates, until_s=until_s)

    def _prioritise_if_returning(self, prompt: Prompt) -> None:
        """Raise the priority of a request that is retried after a refusal."""
        key = request_key(self._exchange.request.path, prompt)
        returns, now_s = self._state.recent_refusals, time.monotonic()
        self._key = key
        self._returning = returns.is_retry(key, now_s=now_s)
        if self._returning:
            self._value *= RETRY_VALUE_FACTOR

    def _select_decoder(
        self, prefilled: PrefilledPrompt, limits: EngineLimits
    ) -> Replica:
        """Return a decode engine for a prefilled prompt; wait for one if necessary."""
        wait_until_s = prefilled.done_s + MAX_HANDLE_AGE_S
        try:
            reserved = self._reserve_decoder()
            if reserved is not None:
                return reserved
            while True:
                decode = self._slots.wait() or self._state.placement.decoder(
                    self._candidates.decoders(),
                    limits,
                    zone=prefilled.engine.availability_zone,
                    now_s=time.monotonic(),
                )
                if decode is not None and self._versions.may_go_on_at(decode):
                    return decode
                if time.monotonic() >= wait_until_s:
                    break
                self._await_decoder(limits)
            self.refuse("no decode engine", RETRY_AFTER_NO_ENGINE_S)
        except StreamBroken:
            # A stream that stays may go on with the prompt at another engine later.
            self.kept_prompt.keep(prefilled)
            raise
        except BaseException:
            self._prefill.release(prefilled)
            raise

    def _reserve_decoder(self) -> Replica | None:
        """Reserve a decode engine at which the request may go on, if it must."""
        while True:
            reserved = self._reserve(
                self._candidates.decoders, limit_s=MAX_HANDLE_AGE_S
            )
            if reserved is None or self._versions.may_go_on_at(reserved):
                return reserved
            self._guard.end_reservation(self._exchange)

    def _await_decoder(self, limits: EngineLimits) -> None:
        """Wait one poll interval; refuse if no decode engine is expected in time."""
        exchange, now_s = self._exchange, time.monotonic()
        is_move = self._candidates.continue_on is not None
        if is_move and not self._candidates.reachable_decoders():
            # Others that answer by now can be chosen for another move.
            self.refuse("no engine to go on at is left", RETRY_AFTER_NO_ENGINE_S)
        expected_s = self._decoder_expected_in_s(limits, now_s)
        wait_s = self._candidates.decoders_back_in_s(now_s)
        if wait_s is not None:
            self.refuse("decode engines are full", wait_s)
        if expected_s is None:
            if self._decoders_missing_since_s is None or self._versions.awaits_entry():
                self._decoders_missing_since_s = now_s
            if now_s - self._decoders_missing_since_s > ANNOUNCEMENT_WAIT_S:
                self._refuse_or_wait("no decode engine", RETRY_AFTER_NO_ENGINE_S)
        elif expected_s + FIRST_EVENT_OVERHEAD_S > self._exchange.event_wait_left_s(
            now_s
        ):
            self._refuse_or_wait("decode engine comes too late", expected_s)
        gevent.sleep(DECODER_POLL_INTERVAL_S)
        exchange.cancel_scope.raise_if_cancelled()

    def _prefill_prompt(self, admitted: Admitted) -> PrefilledPrompt | None:
        """Prefill the prompt; return ``None`` if another engine may be tried."""
        exchange, engine = self._exchange, admitted.plan.engine
        is_retry = not self._prefills.is_first
        begun = exchange.response_started
        if is_retry and not self._prefills.take(begun=begun):
            self._state.ledger.end_prefill(admitted.job)
            self.refuse(BUDGET_SPENT, RETRY_AFTER_REJECTED_S)
        try:
            # Copies of this request may have crashed engines while it was waiting.
            self._guard.status(exchange)
        except BaseException:
            self._state.ledger.end_prefill(admitted.job)
            raise
        deadline_s = exchange.deadline_s - RESPONSE_MARGIN_S
        wait = PrefillWait(
            admitted.plan,
            last_s=deadline_s,
            stream_s=exchange.route.target_latency_s,
            silences=self._state.silences,
            probes=self._probes,
            readers=self._readers.free_engines,
            hold_retry=self._prefills.try_hold,
            rng=self._state.rng,
        )
        try:
            outcome = self._prefill.prefill(
                exchange, admitted, deadline_s=deadline_s, wait=wait
            )
        finally:
            self._gate.admit_waiting()
        if isinstance(outcome, PrefilledPrompt):
            self._prefills.note_sent()
            return outcome
        if outcome.sent:
            self._prefills.note_sent()
        elif is_retry:
            self._prefills.give_back()
        if outcome.links_down:
            # The engine still has the parts of the prompt that it had.
            self.wait_for_links(outcome.reason)
            return None
        prompt = exchange.metadata.prompt
        assert prompt is not None
        self._state.prefixes.forget(engine.replica_id, prompt.parts)
        self._candidates.excluded.add(engine.replica_id)
        if self._prefills.exhausted or exchange.remaining_s < 0.1:
            self.refuse(outcome.reason, RETRY_AFTER_REJECTED_S)
        return None

    def _admit(self, prompt: Prompt, limits: EngineLimits) -> Admitted:
        """Wait until an engine takes the prompt; refuse what would come too late."""
        while True:
            admitted = self._try_admit(prompt, limits)
            if isinstance(admitted, Admitted):
                return admitted
            self._exchange.estimate_s = admitted.first_event_s
            self._refuse_or_wait(admitted.reason, admitted.retry_after_s)

    def _try_admit(self, prompt: Prompt, limits: EngineLimits) -> Admitted | Refused:
        exchange = self._exchange
        while not self._may_prefill(limits):
            self._await_decoder(limits)
        target_s = exchange.started_s + exchange.route.target_latency_s
        now_s = time.monotonic()
        deadline_s = now_s + self._exchange.event_wait_left_s(now_s)
        request = AdmissionRequest(
            prompt=prompt,
            limits=limits,
            # A stream that has started has missed its target already. The deadline as
            # target keeps it ahead of requests that are late.
            target_s=deadline_s if self._exchange.response_started else target_s,
            deadline_s=deadline_s,
            value=self._value,
            returning=self._returning,
            engines=self._readers.engines,
        )
        exchange.cancel_scope.raise_if_cancelled()
        admitted = self._gate.admit(request, exchange.cancel_scope.on_cancel)
        if exchange.cancel_scope.cancelled and isinstance(admitted, Admitted):
            # The client disconnected at the moment of admission.
            self._state.ledger.end_prefill(admitted.job)
        exchange.cancel_scope.raise_if_cancelled()
        assert admitted is not None
        return admitted

    def _decoder_expected_in_s(
        self, limits: EngineLimits, now_s: float
    ) -> float | None:
        """Return when a decode engine is expected that may serve this request."""
        return self._state.decoder_forecast.expected_in_s(
            stage_change_s=limits.stage_change_s,
            now_s=now_s,
            among=self._versions.compatible_engines,
        )

    def _may_prefill(self, limits: EngineLimits) -> bool:
        """Return whether a decode engine will be available after a prefill now."""
        if self._slots.held or self._candidates.decoders():
            return True
        expected_s = self._decoder_expected_in_s(limits, time.monotonic())
        if expected_s is None:
            return False
        patience_s = self._exchange.event_wait_left_s(time.monotonic())
        return expected_s + FIRST_EVENT_OVERHEAD_S <= min(MAX_HANDLE_AGE_S, patience_s)

    def _choose_plain(self) -> Replica:
        state, now_s = self._state, time.monotonic()
        replica = self._candidates.choose_plain(now_s=now_s)
        if replica is None:
            service = self._exchange.service.name
            replicas = state.replicas.usable(service, now_s=now_s)
            retry_after_s = state.retry_after_s(service, replicas)
            self.refuse("no replica is left", retry_after_s or RETRY_AFTER_REJECTED_S)
        return replica
