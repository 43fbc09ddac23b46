"""Run one generation, from its placement on an engine to the end of its answer."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent
from loguru import logger

from persimmonyoke.errors import ErrorKind, PersimmonyokeError, Ran, RequestError
from persimmonyoke.internal.delivery.answer import (
    Answer,
    AnswerDiverged,
    DeliveryCount,
)
from persimmonyoke.internal.delivery.api import (
    CallerGone,
    CompletionRequest,
    CompletionResult,
    CompletionSink,
    NoRoute,
    RouteChoice,
)
from persimmonyoke.internal.delivery.engine_checks import (
    ProbeOutcome,
    cancel,
    probe,
)
from persimmonyoke.internal.delivery.parts import DeliveryContext
from persimmonyoke.internal.delivery.placement import Placement
from persimmonyoke.internal.delivery.silence import DeadlineExceeded, StreamIdleTimeout
from persimmonyoke.internal.delivery.steps import AttemptFailed, AttemptPlan
from persimmonyoke.internal.delivery.stream_reader import StreamReader
from persimmonyoke.internal.delivery.suspect_types import Quarantined
from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    GenerateCall,
    Phase,
    StreamEvent,
    Upstream,
)

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0


@dataclass
class Generation:
    """Run one request through as many attempts as the retry budget allows."""

    context: DeliveryContext
    request: CompletionRequest
    sink: CompletionSink
    _running_on: Upstream | None = None
    # Whether an engine may have run part of the request. ``_sent_before`` is the value
    # to restore if the current attempt turns out not to have run.
    _sent: bool = False
    _sent_before: bool = False
    _attempts: int = 0
    _attempt_started_s: float = 0.0

    def __post_init__(self) -> None:
        self._placement = Placement(self.context, self.request)
        self._answer = Answer(
            self.request.request_id,
            self.sink,
            self.context.counts,
            resume=self.request.resume,
        )
        self._reader = StreamReader(
            self.context, self._answer, deadline_s=self.request.deadline_s
        )

    def run(self) -> CompletionResult:
        """Deliver the answer; raises ``RequestError`` with a correct ``ran``."""
        try:
            return self._run()
        except CallerGone:
            raise self._error(
                ErrorKind.CALLER_GONE, "the caller closed the connection"
            ) from None
        except DeadlineExceeded:
            raise self._error(
                ErrorKind.DEADLINE_EXCEEDED, "the deadline of the request has passed"
            ) from None
        except AnswerDiverged as error:
            raise self._error(ErrorKind.STREAM_LOST, str(error)) from error
        finally:
            self._cancel_running()
            self._placement.end_isolation()

    def _run(self) -> CompletionResult:
        self._placement.read_notices()
        self._check_quarantine()
        self.context.budget.note_first_attempt(self.context.clock())
        plan = self._first_step()
        while True:
            self._check_deadline()
            plan = plan or self._place()
            try:
                reason = self._attempt(plan)
            except AttemptFailed as failure:
                plan = self._recover(plan, failure)
                continue
            self._running_on = None
            self.context.suspects.note_completed(
                self.request.content_digest, self.context.clock()
            )
            return CompletionResult(
                finish_reason=reason,
                output_tokens=self._answer.delivered.offset,
                engine=plan.engine.name,
                attempts=self._attempts,
            )

    def _first_step(self) -> AttemptPlan | None:
        resume = self.request.resume
        if resume is None:
            return None
        engine = self.context.engines.find(resume.engine)
        if engine is None:
            return None
        if resume.incarnation and engine.incarnation not in ("", resume.incarnation):
            return None
        return AttemptPlan(RouteChoice(engine), resume_stream=resume.stream_id)

    def _place(self) -> AttemptPlan:
        if self.request.prompt is None:
            raise self._error(
                ErrorKind.STREAM_LOST,
                "the engine no longer holds the stream; resend the request body with "
                "Last-Event-ID to continue it",
            )
        self._answer.restart_if_prefix_unknown()
        choice = self._placement.choose(self._answer.generated.offset)
        if isinstance(choice, NoRoute):
            raise self._error(choice.kind, choice.reason, choice.retry_after_s)
        if isinstance(choice, Quarantined):
            raise self._quarantined(choice)
        return AttemptPlan(choice)

    # Attempts

    def _attempt(self, plan: AttemptPlan) -> str:
        """Return the finish reason; raises ``AttemptFailed``."""
        context = self.context
        self._attempts += 1
        self._attempt_started_s = context.clock()
        self._sent_before, self._sent = self._sent, True
        self._answer.begin_attempt(plan.engine, stream_id=plan.resume_stream)
        dispatch = context.router.note_dispatch(
            plan.choice,
            self._placement.query(self._answer.generated.offset),
            now_s=context.clock(),
        )
        try:
            if plan.resume_stream is not None:
                return self._resume(plan)
            return self._generate(plan)
        finally:
            context.router.note_completion(dispatch, now_s=context.clock())

    def _resume(self, plan: AttemptPlan) -> str:
        self.context.counts[DeliveryCount.RESUMES] += 1
        client = self.context.engines.client(plan.engine, fresh=True)
        offset = self._answer.generated.offset
        idle_s = self._reader.inter_idle_s(plan.choice) * 2 ** (plan.resumes + 1)
        return self._read(
            lambda: client.resume(plan.resume_stream, offset=offset),
            plan.choice,
            first_idle_s=idle_s,
        )

    def _generate(self, plan: AttemptPlan) -> str:
        kv_handle = None
        if plan.choice.prefill_engine is not None:
            kv_handle = self._prefill(plan.choice)
        client = self.context.engines.client(plan.engine)
        phase = Phase.BOTH if kv_handle is None else Phase.DECODE
        call = self._call(phase, kv_handle)
        return self._read(
            lambda: client.generate(call),
            plan.choice,
            first_idle_s=self._reader.first_idle_s(plan.choice),
        )

    def _call(self, phase: Phase, kv_handle: str | None) -> GenerateCall:
        request = self.request
        return GenerateCall(
            request_id=request.request_id,
            model=request.model,
            adapter=request.adapter,
            prompt=request.prompt or "",
            prefix_text=self._answer.prefix_text,
            prefix_tokens=self._answer.generated.offset,
            max_tokens=request.max_tokens,
            priority=request.priority,
            phase=phase,
            kv_handle=kv_handle,
        )

    def _prefill(self, choice: RouteChoice) -> str | None:
        """Compute the prompt on the prefill engine and transfer its KV cache.

        Returns the handle, or ``None`` if the cache could not be transferred; the
        decode engine then computes the prompt itself.
        """
        prefill = choice.prefill_engine
        client = self.context.engines.client(prefill)
        self._running_on = prefill
        idle_watchdog = self._reader.idle_watchdog(self._reader.first_idle_s(choice))
        try:
            with idle_watchdog:
                idle_watchdog.waiting = True
                # Events of a prefill-only call carry no part of the answer.
                for _ in client.generate(self._call(Phase.PREFILL, None)):
                    pass
                self._sent_before = True
                blob = client.export_kv(self.request.request_id)
        except EngineFailure as failure:
            raise self._attempt_failed(failure, prefill) from failure
        except PersimmonyokeError as fault:
            raise AttemptFailed(str(fault), prefill) from fault
        except StreamIdleTimeout:
            raise AttemptFailed("no prefill within the idle timeout", prefill) from None
        self._running_on = None
        return self._import(choice.engine, blob)

    def _import(self, engine: Upstream, blob: bytes) -> str | None:
        try:
            with gevent.Timeout(self.context.options.min_first_idle_s):
                return self.context.engines.client(engine).import_kv(blob)
        except (EngineFailure, PersimmonyokeError, gevent.Timeout) as failure:
            self._log("KV cache transfer to {} failed: {}", engine.name, failure)
            return None

    def _read(
        self,
        open_stream: Callable[[], Iterator[StreamEvent]],
        choice: RouteChoice,
        *,
        first_idle_s: float,
    ) -> str:
        engine = self._running_on = choice.engine
        try:
            return self._reader.read(open_stream, choice, first_idle_s=first_idle_s)
        except EngineFailure as failure:
            raise self._attempt_failed(failure, engine) from failure

    def _attempt_failed(
        self, failure: EngineFailure, engine: Upstream
    ) -> AttemptFailed:
        attempt_failed = AttemptFailed(
            str(failure), engine, sent=failure.sent, refused=failure.refused
        )
        if attempt_failed.not_run:
            self._sent = self._sent_before
            self._running_on = None
        return attempt_failed

    # Recovery

    def _recover(self, plan: AttemptPlan, failure: AttemptFailed) -> AttemptPlan | None:
        """Return the next attempt, or ``None`` to place the request again."""
        engine = failure.engine
        self.context.counts[DeliveryCount.BREAKS] += 1
        self._log("attempt {} on {} failed: {}", self._attempts, engine.name, failure)
        is_resume = plan.resume_stream is not None
        was_running = is_resume or not failure.not_run
        probe_outcome = probe(self.context, engine) if was_running else None
        if probe_outcome is ProbeOutcome.CRASHED:
            self._note_crash(engine, ran=not failure.not_run)
        is_gone = failure.not_run or failure.ended_by_engine
        lost_stream = is_resume and is_gone and probe_outcome is ProbeOutcome.ALIVE
        # Resuming a stream that was cancelled is not a failure; the attempt that
        # follows counts as the first. Otherwise, callers that disconnect and resume
        # would use up the retries meant for failures.
        if not (lost_stream and self._attempts == 1):
            self._spend_retry(failure)
        can_resume = (
            probe_outcome is ProbeOutcome.ALIVE
            and engine is plan.engine
            and not is_gone
            and self._answer.stream_id is not None
            and plan.resumes < self.context.options.max_resumes_on_engine
        )
        if can_resume:
            return AttemptPlan(plan.choice, self._answer.stream_id, plan.resumes + 1)
        self.context.counts[DeliveryCount.CONTINUATIONS] += 1
        if not lost_stream:
            # An engine that has only dropped the stream can still generate.
            crashed = probe_outcome is ProbeOutcome.CRASHED
            self._placement.exclude(engine.name, crashed=crashed)
        self._cancel_running()
        self._placement.end_isolation()

    def _note_crash(self, engine: Upstream, *, ran: bool) -> None:
        self.context.counts[DeliveryCount.CRASHES] += 1
        self._running_on = None
        self.context.suspects.note_crash(
            self.request.content_digest,
            engine.name,
            self.context.clock(),
            incarnation=engine.incarnation,
            # An attempt refused by an engine that is already down did not crash it.
            started_s=self._attempt_started_s if ran else None,
        )
        self._check_quarantine()

    def _spend_retry(self, failure: AttemptFailed) -> None:
        now_s = self.context.clock()
        too_many = self._attempts >= self.context.options.max_attempts
        if not too_many and self.context.budget.try_spend(now_s):
            return
        self.context.counts[DeliveryCount.GIVEN_UP] += 1
        wait_s = self.context.budget.seconds_until_available(now_s)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        if self._answer.received_any:
            kind = ErrorKind.STREAM_LOST
        elif self._sent:
            kind = ErrorKind.UPSTREAM_FAILED
        else:
            kind = ErrorKind.UPSTREAM_UNAVAILABLE
        message = f"engine {failure.engine.name} failed and no retry is left"
        raise self._error(kind, message, retry_after_s)

    # Checks and errors

    def _check_deadline(self) -> None:
        if self.context.clock() >= self.request.deadline_s:
            raise DeadlineExceeded

    def _check_quarantine(self) -> None:
        status = self._placement.status()
        if isinstance(status, Quarantined):
            raise self._quarantined(status)

    def _quarantined(self, status: Quarantined) -> RequestError:
        return self._error(
            ErrorKind.QUARANTINED,
            "this request was running on several engines when they crashed",
            status.until_s - self.context.clock(),
        )

    def _error(
        self, kind: ErrorKind, message: str, retry_after_s: float | None = None
    ) -> RequestError:
        ran = Ran.NOT_RUN
        if self._answer.received_any or self.request.resume is not None:
            ran = Ran.RAN
        elif self._sent:
            ran = Ran.UNKNOWN
        check_invariant(
            ran is not Ran.NOT_RUN or not self._sent,
            Invariant.NOT_RUN_IS_TRUE,
            f"request {self.request.request_id} was sent to an engine",
        )
        return RequestError(kind, message, ran=ran, retry_after_s=retry_after_s)

    def _cancel_running(self) -> None:
        """Cancel the work on the engine in the background; the caller does not wait."""
        engine, self._running_on = self._running_on, None
        if engine is not None:
            self.context.counts[DeliveryCount.CANCELS] += 1
            self.context.spawn(cancel, self.context, engine, self.request.request_id)

    def _log(self, message: str, *arguments: object) -> None:
        logger.info(
            "[delivery] request {}: " + message, self.request.request_id, *arguments
        )
