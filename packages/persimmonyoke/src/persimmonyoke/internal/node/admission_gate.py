"""Admission control with one queue per pool, in which greenlets of requests wait."""

from collections.abc import Callable, Mapping
from random import Random

import gevent
from gevent.event import AsyncResult

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.admission import (
    AdmissionQueue,
    Admitted,
    FirstTokenLimit,
    Queued,
    Refused,
    Ticket,
)
from persimmonyoke.internal.callers.api import AdmissionRequest
from persimmonyoke.internal.node.pool_capacity import MIN_LIMIT, PoolCapacity
from persimmonyoke.internal.presets import Preset

REFUSALS: Mapping[ErrorKind, str] = {
    ErrorKind.WORKSPACE_OVER_LIMIT: "the workspace is over its limit",
    ErrorKind.OVERLOADED: "the system is overloaded",
    ErrorKind.DEADLINE_UNREACHABLE: "the first token would miss its deadline",
}
# A prompt that takes longer than the deadline even on an idle engine is allowed this
# multiple of its idle time; otherwise every attempt would be refused.
LONG_PROMPT_FACTOR = 1.5


class Grant:
    """Hold one slot of a pool for an admitted request."""

    def __init__(self, queue: "PoolQueue", ticket: Ticket, prompt_tokens: int) -> None:
        self._queue = queue
        self._ticket = ticket
        self._prompt_tokens = prompt_tokens

    def release(self, *, output_tokens: int) -> None:
        """Release the slot and replace the estimated token count by the actual one."""
        self._queue.release(self._ticket, self._prompt_tokens + output_tokens)


class PoolQueue:
    """Run the admission queue of one pool."""

    def __init__(
        self,
        pool: str,
        preset: Preset,
        *,
        capacity: PoolCapacity,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._pool = pool
        self._capacity = capacity
        self._clock = clock
        self._waiting: dict[str, AsyncResult] = {}
        self._timer: gevent.Greenlet | None = None
        self._first_tokens = FirstTokenLimit()
        self._in_flight: dict[str, Ticket] = {}
        self._deadline_s = preset.deadlines.first_token_s
        self.limit = capacity.limit(pool, clock())
        self.queue = AdmissionQueue(
            preset.workspaces,
            preset.admission,
            limit=self.limit,
            rng=rng,
            host_share=capacity.host_share(clock()),
        )

    def admit(self, ticket: Ticket) -> None:
        """Block until the ticket is admitted; raise ``RequestError`` on refusal."""
        now_s = self._clock()
        wait_s = self._wait_s(now_s)
        outcome = self.queue.offer(ticket, now_s=now_s, pool_wait_s=wait_s)
        if isinstance(outcome, Queued):
            outcome = self._wait(ticket)
        else:
            self.process_queue()
        if isinstance(outcome, Refused):
            raise _refusal(outcome)
        self._in_flight[ticket.request_id] = ticket

    def record_first_token(self, request_id: str, first_token_s: float) -> bool:
        """Record a time to first token; return whether the request is known."""
        ticket = self._in_flight.get(request_id)
        if ticket is None:
            return False
        self._first_tokens.note(
            first_token_s,
            idle_s=ticket.first_token_s,
            deadline_s=self._deadline_s,
            now_s=self._clock(),
        )
        return True

    def _wait_s(self, now_s: float) -> float:
        """Return the larger of the reported and the measured wait at the engines."""
        reported_s = self._capacity.wait_s(self._pool, now_s)
        return max(reported_s, self._first_tokens.wait_s(now_s))

    def _wait(self, ticket: Ticket) -> Admitted | Refused:
        result = self._waiting[ticket.request_id] = AsyncResult()
        try:
            self.process_queue()
            return result.get()
        except BaseException:
            # The caller disconnected. A ticket that was admitted at the same moment
            # holds a slot, which would leak unless it is released here.
            if not self.queue.cancel(ticket, now_s=self._clock()):
                self.queue.release(ticket, now_s=self._clock(), used_tokens=0)
            self._waiting.pop(ticket.request_id, None)
            self.process_queue()
            raise
        finally:
            self._waiting.pop(ticket.request_id, None)

    def release(self, ticket: Ticket, used_tokens: int) -> None:
        """Release the slot of a finished request and admit the next one."""
        self._in_flight.pop(ticket.request_id, None)
        self.queue.release(ticket, now_s=self._clock(), used_tokens=used_tokens)
        self.process_queue()

    def process_queue(self) -> None:
        """Wake the requests that are now admitted or refused."""
        now_s = self._clock()
        while (ready := self.queue.next_ready(now_s)) is not None:
            self._wake(ready)
        for refused in self.queue.take_refused(now_s):
            self._wake(refused)
        self._set_timer(now_s)

    def refresh(self, preset: Preset) -> None:
        """Apply the preset, the number of hosts and the capacity of the engines."""
        now_s = self._clock()
        self.queue.configure(
            preset.workspaces,
            preset.admission,
            host_share=self._capacity.host_share(now_s),
        )
        self._deadline_s = preset.deadlines.first_token_s
        self._first_tokens.adjust(used_share=self.queue.in_flight / self.limit)
        most = self._capacity.limit(self._pool, now_s)
        self.limit = max(MIN_LIMIT, int(self._first_tokens.factor * most))
        self.queue.set_limit(self.limit)
        self.queue.set_pool_wait(self._wait_s(now_s))
        self.process_queue()

    def _wake(self, outcome: Admitted | Refused) -> None:
        result = self._waiting.pop(outcome.ticket.request_id, None)
        if result is not None:
            result.set(outcome)

    def _set_timer(self, now_s: float) -> None:
        """Schedule queue processing for the time at which the next request expires."""
        if self._timer is not None:
            self._timer.kill(block=False)
            self._timer = None
        expiry_s = self.queue.next_expiry_s()
        if expiry_s is not None:
            delay_s = max(0.001, expiry_s - now_s)
            self._timer = gevent.spawn_later(delay_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        self.process_queue()


class PoolAdmission:
    """Admit requests to the pools of the active preset."""

    def __init__(
        self,
        *,
        preset: Callable[[], Preset | None],
        pool_of: Callable[[str], str | None],
        note_offered: Callable[[str, int, int], None],
        capacity: PoolCapacity,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._preset = preset
        self._pool_of = pool_of
        self._note_offered = note_offered
        self._capacity = capacity
        self._clock = clock
        self._rng = rng
        self.queues: dict[str, PoolQueue] = {}

    def admit(self, request: AdmissionRequest) -> Grant:
        """Block until the request is admitted; raise ``RequestError`` on refusal."""
        preset = self._preset()
        pool = request.pool or self._pool_of(request.model or "")
        if preset is None or pool is None:
            raise RequestError(
                ErrorKind.UNKNOWN_MODEL, f"no pool serves {request.model!r}"
            )
        if request.pool is None:
            self._note_offered(pool, request.prompt_tokens, request.max_tokens)
        queue = self._queue(pool, preset)
        ticket = self._ticket(request, pool, preset)
        queue.admit(ticket)
        return Grant(queue, ticket, request.prompt_tokens)

    def record_first_token(self, request_id: str, first_token_s: float) -> None:
        """Record the time from the dispatch of a request to its first token."""
        for queue in self.queues.values():
            if queue.record_first_token(request_id, first_token_s):
                return

    def refresh(self) -> None:
        """Apply the active preset and the current capacity to all queues."""
        preset = self._preset()
        if preset is None:
            return
        for queue in list(self.queues.values()):
            queue.refresh(preset)

    def load_share(self) -> float:
        """Return the requests per slot, admitted and queued, of the fullest pool."""
        shares = [
            (queue.queue.in_flight + len(queue.queue)) / queue.limit
            for queue in self.queues.values()
        ]
        return max(shares, default=0.0)

    def _queue(self, pool: str, preset: Preset) -> PoolQueue:
        queue = self.queues.get(pool)
        if queue is None:
            queue = self.queues[pool] = PoolQueue(
                pool, preset, capacity=self._capacity, clock=self._clock, rng=self._rng
            )
        return queue

    def _ticket(self, request: AdmissionRequest, pool: str, preset: Preset) -> Ticket:
        now_s = self._clock()
        first_token_s, due_s = 0.0, request.deadline_s
        if request.pool is None:
            first_token_s = self._capacity.first_token_s(pool, request.prompt_tokens)
            allowed_s = max(
                preset.deadlines.first_token_s, LONG_PROMPT_FACTOR * first_token_s
            )
            due_s = min(now_s + allowed_s, request.deadline_s)
        return Ticket(
            request_id=request.request_id,
            workspace=request.workspace.name,
            tokens=request.prompt_tokens + request.max_tokens,
            arrived_s=now_s,
            deadline_s=due_s,
            first_token_s=first_token_s,
        )


def _refusal(refused: Refused) -> RequestError:
    return RequestError(
        refused.kind,
        REFUSALS.get(refused.kind, "the request was refused"),
        retry_after_s=refused.retry_after_s,
    )
