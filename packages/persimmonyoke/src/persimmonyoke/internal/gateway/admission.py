"""Queue prompts on this host until an engine has capacity."""

import itertools
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult

from persimmonyoke.internal.dispatch.loads import PrefillJob
from persimmonyoke.internal.dispatch.placement import (
    FIRST_EVENT_OVERHEAD_S,
    MAX_DISPATCH_BACKLOG_S,
    PrefillPlan,
)
from persimmonyoke.internal.dispatch.queue import PromptQueue, WaitingPrompt
from persimmonyoke.internal.dispatch.refusal import Refused, refuse_if_late
from persimmonyoke.internal.fleet.model import EngineLimits, Prompt, Replica
from persimmonyoke.internal.gateway.state import GatewayState

ADMISSION_INTERVAL_S = 0.015
"""Interval of admission passes in addition to those at the end of a prefill."""

ADMISSION_COST_FACTOR = 4
"""Minimum pause between admission passes as a multiple of the last pass duration.

A host of a large deployment receives up to 350 datagrams/s, and a pass plans each
prompt at the head of the queue over all engines. The pause limits passes to a fifth of
the time.
"""

MAX_CANDIDATES = 8
"""Prompts tried per pass from the queue head; each is planned over all engines."""

KV_AVAILABLE_DELAY_S = 0.05
"""Fixed time of a prefill call before other engines can fetch its KV cache."""

RETRY_AFTER_NO_ENGINE_S = 0.5
RETRY_AFTER_GIVEN_UP_S = 0.5


@dataclass(frozen=True)
class Admitted:
    """Represent an admitted prompt by its plan and its entry in the ledger."""

    plan: PrefillPlan
    job: PrefillJob


@dataclass(frozen=True)
class AdmissionRequest:
    """Describe a prompt to admit; times are on the monotonic clock."""

    prompt: Prompt
    limits: EngineLimits
    target_s: float
    deadline_s: float
    value: float
    returning: bool
    engines: Callable[[], Sequence[Replica]]


class AdmissionGate:
    """Admit queued prompts in order as engines gain capacity."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._queue = PromptQueue()
        self._waiters: dict[int, AsyncResult] = {}
        self._requests: dict[int, AdmissionRequest] = {}
        self._keys = itertools.count(1)
        self._timer_running = False
        self._last_pass_ended_s = 0.0
        self._last_pass_duration_s = 0.0

    @property
    def queued_s(self) -> float:
        """Return the total prefill time of the prompts queued on this host."""
        return self._queue.queued_s

    def admit(
        self, request: AdmissionRequest, on_cancel: Callable[[Callable[[], None]], None]
    ) -> Admitted | Refused | None:
        """Wait for an engine; return ``None`` if the client disconnected meanwhile."""
        now_s = time.monotonic()
        engines = request.engines()
        plan = self._plan(request, engines, now_s)
        if plan is None:
            return Refused("no engine", RETRY_AFTER_NO_ENGINE_S)
        refused = refuse_if_late(
            self._expected_s(engines, plan, now_s),
            request.deadline_s - now_s,
            is_retry=request.returning,
        )
        if refused is not None:
            return refused
        key = next(self._keys)
        waiter = AsyncResult()
        self._waiters[key] = waiter
        self._requests[key] = request
        waiting = WaitingPrompt(
            key=key,
            target_s=request.target_s,
            deadline_s=request.deadline_s,
            prefill_s=plan.prefill_s,
            fixed_s=FIRST_EVENT_OVERHEAD_S,
            value=request.value,
        )
        queue_was_empty = len(self._queue) == 0
        self._queue.add(waiting)
        on_cancel(lambda: self._settle(key, None))
        if queue_was_empty and self._can_place(waiting, plan, now_s):
            self._place(waiting, plan, now_s)
        else:
            self.admit_waiting()
        if not waiter.ready():
            self._start_timer()
        return waiter.get()

    def admit_waiting_if_affordable(self) -> None:
        """Run a pass after a peer update unless passes use too much CPU time."""
        since_s = time.monotonic() - self._last_pass_ended_s
        if (
            len(self._queue)
            and since_s >= ADMISSION_COST_FACTOR * self._last_pass_duration_s
        ):
            self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting prompts while engines have capacity; drop hopeless ones."""
        now_s = time.monotonic()
        for prompt in self._queue.infeasible(now_s):
            self._settle(
                prompt.key,
                Refused("waited for an engine in vain", RETRY_AFTER_GIVEN_UP_S),
            )
        while self._admit_one(now_s):
            continue
        self._last_pass_ended_s = time.monotonic()
        self._last_pass_duration_s = self._last_pass_ended_s - now_s

    def _admit_one(self, now_s: float) -> bool:
        """Admit the first prompt whose engine has capacity; return whether to go on.

        A prompt whose best engine is busy waits for that engine and lets the next
        prompt use a free one.
        """
        for prompt in self._queue.ordered(now_s)[:MAX_CANDIDATES]:
            request = self._requests[prompt.key]
            engines = request.engines()
            if not self._state.placement.any_accepts_prompt(engines, now_s=now_s):
                continue
            plan = self._plan(request, engines, now_s)
            if plan is None:
                self._settle(prompt.key, Refused("no engine", RETRY_AFTER_NO_ENGINE_S))
                return True
            if plan.wait_s <= MAX_DISPATCH_BACKLOG_S:
                self._place(prompt, plan, now_s)
                return True
        return False

    @staticmethod
    def _can_place(prompt: WaitingPrompt, plan: PrefillPlan, now_s: float) -> bool:
        return plan.wait_s <= MAX_DISPATCH_BACKLOG_S and prompt.meets_deadline(now_s)

    def _place(self, prompt: WaitingPrompt, plan: PrefillPlan, now_s: float) -> None:
        """Record the prefill in the ledger and wake the request."""
        self._state.replica_limits.take(plan.engine.replica_id, now_s)
        job = self._state.ledger.begin_prefill(
            plan.engine.replica_id, plan.prefill_s, now_s=now_s
        )
        self._state.note_placement(
            plan.engine,
            self._requests[prompt.key].prompt,
            ready_in_s=plan.done_s + KV_AVAILABLE_DELAY_S,
            now_s=now_s,
        )
        self._queue.note_placed(prompt, now_s)
        self._settle(prompt.key, Admitted(plan, job))

    def _plan(
        self, request: AdmissionRequest, engines: Sequence[Replica], now_s: float
    ) -> PrefillPlan | None:
        return self._state.placement.prefill_plan(
            request.prompt, engines, request.limits, now_s=now_s
        )

    def _expected_s(
        self, engines: Sequence[Replica], plan: PrefillPlan, now_s: float
    ) -> float:
        """Return when the first event is expected if all queued prompts go first."""
        state = self._state
        engine_count = max(1, sum(1 for e in engines if e.stage is plan.engine.stage))
        queued_s = self.queued_s + state.ledger.peers_queued_s(now_s=now_s)
        backlog_s = state.placement.mean_backlog_s(engines, now_s=now_s)
        limits_s = state.placement.limits_wait_s(
            engines, waiting=len(self._queue), now_s=now_s
        )
        return (
            max(queued_s / engine_count + backlog_s, limits_s)
            + plan.prefill_s
            + FIRST_EVENT_OVERHEAD_S
        )

    def _settle(self, key: int, result: Admitted | Refused | None) -> None:
        self._queue.remove(key)
        self._requests.pop(key, None)
        waiter = self._waiters.pop(key, None)
        if waiter is not None:
            waiter.set(result)

    def _start_timer(self) -> None:
        if not self._timer_running:
            self._timer_running = True
            gevent.spawn(self._admit_until_empty)

    def _admit_until_empty(self) -> None:
        try:
            while len(self._queue):
                gevent.sleep(
                    max(
                        ADMISSION_INTERVAL_S,
                        ADMISSION_COST_FACTOR * self._last_pass_duration_s,
                    )
                )
                self.admit_waiting()
        finally:
            self._timer_running = False
