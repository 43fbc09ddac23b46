"""Waiting of prompts at this host until an engine has room."""

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

PUMP_INTERVAL_S = 0.015
"""Interval at which waiting prompts are tried beside the ends of others."""

PUMP_COST_FACTOR = 4
"""Least time between pumps over the time that one takes.

A host of a large deployment gets up to 350 datagrams a second, and each prompt at the
head of the queue is planned over all engines; pumps take a fifth of the time.
"""

MAX_TRIED = 8
"""Prompts at the head of the queue that are tried; each is planned on all engines."""

READABLE_SLACK_S = 0.05
"""Fixed time of a prefill call, after which others can fetch what it read."""

RETRY_AFTER_NO_ENGINE_S = 0.5
RETRY_AFTER_GIVEN_UP_S = 0.5


@dataclass(frozen=True)
class Admitted:
    """Hold the plan of an admitted prompt and its entry in the ledger."""

    plan: PrefillPlan
    job: PrefillJob


@dataclass(frozen=True)
class Demand:
    """Hold what a generation needs and until when; times are monotonic."""

    prompt: Prompt
    limits: EngineLimits
    target_s: float
    deadline_s: float
    value: float
    returning: bool
    engines: Callable[[], Sequence[Replica]]


class AdmissionGate:
    """Admit prompts in the order of the queue as engines have room."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._queue = PromptQueue()
        self._waiters: dict[int, AsyncResult] = {}
        self._demands: dict[int, Demand] = {}
        self._keys = itertools.count(1)
        self._pumping = False
        self._pump_ended_s = 0.0
        self._pump_took_s = 0.0

    @property
    def queued_s(self) -> float:
        """Return the reading time of the prompts that wait here."""
        return self._queue.queued_s

    def admit(
        self, demand: Demand, on_cancel: Callable[[Callable[[], None]], None]
    ) -> Admitted | Refused | None:
        """Wait for an engine; ``None`` if the client left meanwhile."""
        now_s = time.monotonic()
        engines = demand.engines()
        plan = self._plan(demand, engines, now_s)
        if plan is None:
            return Refused("no engine", RETRY_AFTER_NO_ENGINE_S)
        refused = refuse_if_late(
            self._expected_s(engines, plan, now_s),
            demand.deadline_s - now_s,
            is_retry=demand.returning,
        )
        if refused is not None:
            return refused
        key = next(self._keys)
        waiter = AsyncResult()
        self._waiters[key] = waiter
        self._demands[key] = demand
        waiting = WaitingPrompt(
            key=key,
            target_s=demand.target_s,
            deadline_s=demand.deadline_s,
            prefill_s=plan.prefill_s,
            fixed_s=FIRST_EVENT_OVERHEAD_S,
            value=demand.value,
        )
        is_only_one = len(self._queue) == 0
        self._queue.add(waiting)
        on_cancel(lambda: self._settle(key, None))
        if is_only_one and self._can_place(waiting, plan, now_s):
            self._place(waiting, plan, now_s)
        else:
            self.pump()
        if not waiter.ready():
            self._start_timer()
        return waiter.get()

    def pump_if_affordable(self) -> None:
        """Pump for news of a peer unless pumps take too much of the processor."""
        since_s = time.monotonic() - self._pump_ended_s
        if len(self._queue) and since_s >= PUMP_COST_FACTOR * self._pump_took_s:
            self.pump()

    def pump(self) -> None:
        """Admit waiting prompts while engines have room."""
        now_s = time.monotonic()
        for prompt in self._queue.infeasible(now_s):
            self._settle(
                prompt.key,
                Refused("waited for an engine in vain", RETRY_AFTER_GIVEN_UP_S),
            )
        while self._admit_one(now_s):
            continue
        self._pump_ended_s = time.monotonic()
        self._pump_took_s = self._pump_ended_s - now_s

    def _admit_one(self, now_s: float) -> bool:
        """Admit the first prompt whose engine has room; return whether there was one.

        A prompt that is best read on a busy engine waits for it, and lets the next one
        have an engine that is free.
        """
        for prompt in self._queue.ordered(now_s)[:MAX_TRIED]:
            demand = self._demands[prompt.key]
            engines = demand.engines()
            if not self._state.placement.any_accepts_prompt(engines, now_s=now_s):
                continue
            plan = self._plan(demand, engines, now_s)
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
        """Enter a prompt in the ledger and wake its request."""
        job = self._state.ledger.begin_prefill(
            plan.engine.replica_id, plan.prefill_s, now_s=now_s
        )
        self._state.note_placement(
            plan.engine,
            self._demands[prompt.key].prompt,
            ready_in_s=plan.done_s + READABLE_SLACK_S,
            now_s=now_s,
        )
        self._queue.note_placed(prompt, now_s)
        self._settle(prompt.key, Admitted(plan, job))

    def _plan(
        self, demand: Demand, engines: Sequence[Replica], now_s: float
    ) -> PrefillPlan | None:
        return self._state.placement.prefill_plan(
            demand.prompt, engines, demand.limits, now_s=now_s
        )

    def _expected_s(
        self, engines: Sequence[Replica], plan: PrefillPlan, now_s: float
    ) -> float:
        """Return when the first event is expected if all that waits goes first."""
        state = self._state
        readers = max(1, sum(1 for e in engines if e.stage is plan.engine.stage))
        queued_s = self.queued_s + state.ledger.peers_queued_s(now_s=now_s)
        backlog_s = state.placement.mean_backlog_s(engines, now_s=now_s)
        return queued_s / readers + backlog_s + plan.prefill_s + FIRST_EVENT_OVERHEAD_S

    def _settle(self, key: int, result: Admitted | Refused | None) -> None:
        self._queue.remove(key)
        self._demands.pop(key, None)
        waiter = self._waiters.pop(key, None)
        if waiter is not None:
            waiter.set(result)

    def _start_timer(self) -> None:
        if not self._pumping:
            self._pumping = True
            gevent.spawn(self._pump_until_empty)

    def _pump_until_empty(self) -> None:
        try:
            while len(self._queue):
                gevent.sleep(max(PUMP_INTERVAL_S, PUMP_COST_FACTOR * self._pump_took_s))
                self.pump()
        finally:
            self._pumping = False
