"""Admit requests to one pool on one entry node."""

from collections.abc import Mapping
from heapq import heapify, heappop, heappush
from random import Random

from persimmonyoke.errors import ErrorKind
from persimmonyoke.internal.admission.fair_queue import (
    FairQueue,
    flow_weight,
    ticket_cost,
)
from persimmonyoke.internal.admission.reserve import SlotReserve
from persimmonyoke.internal.admission.slots import Slots
from persimmonyoke.internal.admission.tickets import (
    Admitted,
    Queued,
    Refused,
    Ticket,
)
from persimmonyoke.internal.admission.workspaces import WorkspaceTable
from persimmonyoke.internal.presets.model import AdmissionPolicy, WorkspacePolicy

# One workspace may fill this share of the queue; the rest is for the others.
WORKSPACE_QUEUE_SHARE = 0.5
# Bounds of Retry-After. Callers that all retry at once would be refused again, and a
# caller told to wait longer would not notice that capacity is free again.
MIN_SPREAD_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class AdmissionQueue:
    """Admit requests while slots are free and queue or refuse the others.

    ``limit`` is the number of requests that this node may have in flight. After each
    ``offer``, ``release`` and ``set_limit``, the owner calls ``next_ready`` until it
    returns ``None`` and refuses the requests that ``take_refused`` returns. It also
    calls both at ``next_expiry_s``.
    """

    def __init__(
        self,
        workspaces: Mapping[str, WorkspacePolicy],
        policy: AdmissionPolicy,
        *,
        limit: int,
        rng: Random,
        host_share: float = 1.0,
    ) -> None:
        if limit < 1:
            raise ValueError(f"limit must be at least 1, not {limit}")
        if not 0 < host_share <= 1:
            raise ValueError(f"host_share must be in (0, 1], not {host_share}")
        self._policy = policy
        self._rng = rng
        self._workspaces = WorkspaceTable(workspaces, host_share=host_share)
        self._queue = FairQueue()
        self._slots = Slots(limit)
        self._reserve = SlotReserve()
        self._waiting: dict[str, Ticket] = {}
        self._expiry_heap: list[tuple[float, str]] = []
        self._refused: list[Refused] = []
        self._pool_wait_s = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Return the number of admitted requests that are not released."""
        return len(self._slots)

    @property
    def tracked_workspaces(self) -> int:
        """Return the number of workspaces whose state is held in memory."""
        return len(self._workspaces)

    def configure(
        self,
        workspaces: Mapping[str, WorkspacePolicy],
        policy: AdmissionPolicy,
        *,
        host_share: float,
    ) -> None:
        """Apply a new preset or number of hosts; each host grants an equal share."""
        self._policy = policy
        self._workspaces.configure(workspaces, host_share=host_share)

    def set_limit(self, limit: int) -> None:
        """Change the number of slots; requests in flight are not affected."""
        self._slots.limit = max(1, limit)

    def set_pool_wait(self, pool_wait_s: float) -> None:
        """Set the current estimate of the wait at the engines."""
        self._pool_wait_s = max(0.0, pool_wait_s)

    def offer(
        self, ticket: Ticket, *, now_s: float, pool_wait_s: float | None = None
    ) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a request.

        ``pool_wait_s`` is the expected wait at the engines. Raises ``ValueError`` if
        the request id is already waiting or in flight.
        """
        if ticket.request_id in self._waiting or self._slots.holds(ticket.request_id):
            raise ValueError(f"request {ticket.request_id} was offered twice")
        if pool_wait_s is not None:
            self.set_pool_wait(pool_wait_s)
        self._reserve.note_arrival(ticket.workspace, now_s)
        self._expire_workspaces(now_s)
        self._refuse_late(now_s)
        over_limit_s = self._over_limit_s(ticket, now_s)
        if over_limit_s > 0:
            kind = ErrorKind.WORKSPACE_OVER_LIMIT
            return self._refusal(ticket, kind, over_limit_s)
        if not self._queue and self._may_dispatch(ticket.workspace):
            return self._admit_at_once(ticket, now_s)
        return self._enqueue(ticket, now_s)

    def next_ready(self, now_s: float) -> Admitted | None:
        """Return the next request to dispatch, or ``None`` if it has to wait."""
        self._refuse_late(now_s)
        if not self._slots.free:
            return None
        ticket = self._queue.pop(self._may_dispatch)
        if ticket is None:
            return None
        del self._waiting[ticket.request_id]
        return self._dispatch(ticket, now_s)

    def take_refused(self, now_s: float) -> tuple[Refused, ...]:
        """Return the requests that were refused while queued since the last call."""
        self._refuse_late(now_s)
        refused, self._refused = tuple(self._refused), []
        return refused

    def next_expiry_s(self) -> float | None:
        """Return when the next waiting request becomes too late, if any waits."""
        self._drop_stale_entries()
        return (
            self._expiry_heap[0][0] - self._pool_wait_s if self._expiry_heap else None
        )

    def release(
        self, ticket: Ticket, *, now_s: float, used_tokens: int | None = None
    ) -> bool:
        """Free the slot of a finished request and correct its estimated tokens.

        Returns false, without effect, if the request holds no slot.
        """
        if not self._slots.release(ticket, now_s):
            return False
        self._reserve.note_release(ticket.workspace)
        if used_tokens is not None:
            limits = self._workspaces.limits(ticket.workspace, now_s)
            limits.tokens.charge(used_tokens - ticket.tokens)
            self._queue.correct(ticket, used_tokens)
        return True

    def cancel(self, ticket: Ticket, *, now_s: float) -> bool:
        """Remove a waiting request whose caller left; return whether it was waiting."""
        if self._waiting.pop(ticket.request_id, None) is None:
            return False
        self._queue.remove(ticket)
        self._workspaces.limits(ticket.workspace, now_s).tokens.charge(-ticket.tokens)
        return True

    def _over_limit_s(self, ticket: Ticket, now_s: float) -> float:
        limits = self._workspaces.limits(ticket.workspace, now_s)
        return max(limits.requests.wait_s(1), limits.tokens.wait_s(ticket.tokens))

    def _admit_at_once(self, ticket: Ticket, now_s: float) -> Admitted | Refused:
        late_s = self._lateness_s(ticket, now_s, queue_wait_s=0.0)
        if late_s > 0:
            return self._refusal(ticket, ErrorKind.DEADLINE_UNREACHABLE, late_s)
        self._charge(ticket, now_s)
        self._queue.charge_unqueued(ticket, self._weight(ticket.workspace))
        return self._dispatch(ticket, now_s)

    def _enqueue(self, ticket: Ticket, now_s: float) -> Queued | Refused:
        weight = self._weight(ticket.workspace)
        wait_s = self._slots.next_free_s() + self._slots.wait_s(
            self._queue.cost_ahead(ticket, weight)
        )
        late_s = self._lateness_s(ticket, now_s, queue_wait_s=wait_s)
        if late_s > 0:
            return self._refusal(ticket, ErrorKind.DEADLINE_UNREACHABLE, late_s)
        own_limit = max(1, int(self._policy.max_queue * WORKSPACE_QUEUE_SHARE))
        if self._queue.waiting_in(ticket.workspace) >= own_limit:
            return self._refusal(ticket, ErrorKind.WORKSPACE_OVER_LIMIT, wait_s)
        if len(self._queue) >= self._policy.max_queue and not self._make_room(ticket):
            return self._refusal(ticket, ErrorKind.OVERLOADED, wait_s)
        self._charge(ticket, now_s)
        self._queue.push(ticket, weight)
        self._waiting[ticket.request_id] = ticket
        heappush(self._expiry_heap, (self._latest_start_s(ticket), ticket.request_id))
        return Queued(ticket, wait_s)

    def _make_room(self, ticket: Ticket) -> bool:
        """Evict the last ticket of the workspace with the largest backlog.

        Without this, a workspace that fills the queue would cause all others to be
        refused. Returns whether there is room for the ticket now.
        """
        workspace, backlog = self._queue.largest_backlog()
        weight = self._weight(ticket.workspace)
        own = self._queue.cost_of(ticket.workspace) + ticket_cost(ticket)
        if workspace == ticket.workspace or backlog <= own / weight:
            return False
        last = self._queue.last_ticket(workspace)
        self._drop(last, ErrorKind.OVERLOADED, self._slots.wait_s(self._queue.cost))
        return True

    def _refuse_late(self, now_s: float) -> None:
        """Refuse waiting requests that can no longer meet their deadline."""
        while True:
            self._drop_stale_entries()
            if not self._expiry_heap:
                return
            latest_s, request_id = self._expiry_heap[0]
            late_s = now_s + self._pool_wait_s - latest_s
            if late_s <= 0:
                return
            ticket = self._waiting[request_id]
            self._drop(ticket, ErrorKind.DEADLINE_UNREACHABLE, late_s)

    def _drop(self, ticket: Ticket, kind: ErrorKind, base_s: float) -> None:
        del self._waiting[ticket.request_id]
        self._queue.remove(ticket)
        # The arrival time is in the past, so this refunds tokens without a refill.
        limits = self._workspaces.limits(ticket.workspace, ticket.arrived_s)
        limits.tokens.charge(-ticket.tokens)
        self._refused.append(self._refusal(ticket, kind, base_s))

    def _drop_stale_entries(self) -> None:
        """Remove heap entries of requests that no longer wait."""
        while self._expiry_heap and self._expiry_heap[0][1] not in self._waiting:
            heappop(self._expiry_heap)
        if len(self._expiry_heap) > 2 * len(self._waiting) + 64:
            self._expiry_heap = [e for e in self._expiry_heap if e[1] in self._waiting]
            heapify(self._expiry_heap)

    def _latest_start_s(self, ticket: Ticket) -> float:
        """Return the latest time at which an idle engine must start the request."""
        return min(
            ticket.deadline_s - ticket.first_token_s,
            ticket.arrived_s + self._policy.max_wait_s,
        )

    def _lateness_s(
        self, ticket: Ticket, now_s: float, *, queue_wait_s: float
    ) -> float:
        start_s = now_s + queue_wait_s + self._pool_wait_s
        return start_s - self._latest_start_s(ticket)

    def _dispatch(self, ticket: Ticket, now_s: float) -> Admitted:
        self._slots.acquire(ticket, now_s)
        self._reserve.note_dispatch(ticket.workspace)
        return Admitted(ticket)

    def _charge(self, ticket: Ticket, now_s: float) -> None:
        limits = self._workspaces.limits(ticket.workspace, now_s)
        limits.requests.charge(1)
        limits.tokens.charge(ticket.tokens)

    def _refusal(self, ticket: Ticket, kind: ErrorKind, base_s: float) -> Refused:
        """Return a refusal whose ``Retry-After`` is spread over the backlog's time."""
        if kind is not ErrorKind.WORKSPACE_OVER_LIMIT:
            base_s = max(base_s, self._slots.wait_s(self._queue.cost))
        base_s = min(base_s, MAX_RETRY_AFTER_S / 2)
        spread_s = self._rng.uniform(0.0, max(base_s, MIN_SPREAD_S))
        return Refused(ticket, kind, base_s + spread_s)

    def _weight(self, workspace: str) -> float:
        policy = self._workspaces.policy(workspace)
        return flow_weight(policy.weight, policy.priority)

    def _expire_workspaces(self, now_s: float) -> None:
        for workspace in self._workspaces.expire(now_s, self._is_idle):
            self._queue.drop_workspace(workspace)

    def _may_dispatch(self, workspace: str) -> bool:
        return self._reserve.allows(
            workspace, free=self._slots.free, limit=self._slots.limit
        )

    def _is_idle(self, workspace: str) -> bool:
        waiting = self._queue.waiting_in(workspace)
        return not waiting and not self._reserve.holds_any(workspace)
