"""Share capacity between workspaces by start-time fair queueing with weights."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from persimmonyoke.internal.admission.tickets import Ticket

# Added to the tokens of each request, so that many small requests are not free.
REQUEST_COST_TOKENS = 100.0
# One priority level between workspaces multiplies the weight by this factor. Against
# one workspace a level higher, a workspace keeps at least a ninth of the capacity, so
# it never starves.
PRIORITY_FACTOR = 8.0
MAX_PRIORITY = 3
# One priority level within a workspace lets a request overtake those that arrived up to
# this much earlier. Older ones keep their place, so they never starve.
PRIORITY_HEAD_START_S = 1.0


def ticket_cost(ticket: Ticket) -> float:
    """Return the cost of a ticket in the fair queue."""
    return ticket.tokens + REQUEST_COST_TOKENS


def flow_weight(weight: float, priority: int) -> float:
    """Return the weight of a flow by the weight and priority that an operator set."""
    level = max(-MAX_PRIORITY, min(MAX_PRIORITY, priority))
    return max(weight, 1e-6) * PRIORITY_FACTOR**level


@dataclass
class Flow:
    """Hold the queue of one workspace as a heap with the next ticket first."""

    weight: float
    finish_tag: float = 0.0
    waiting: list[tuple[float, int, Ticket]] = field(default_factory=list)
    cost: float = 0.0


class FairQueue:
    """Queue tickets and return them so that each workspace gets its weighted share.

    The head of each flow has a start tag: the larger of the virtual time at which the
    flow became busy and the finish tag of its last dispatch. The lowest start tag is
    served first, so a flow that was idle is served next and a flood delays only itself.
    """

    def __init__(self) -> None:
        self._flows: dict[str, Flow] = {}
        self._backlogged: dict[str, Flow] = {}
        self._virtual = 0.0
        self._arrivals = 0
        self._size = 0
        self._cost = 0.0

    def __len__(self) -> int:
        return self._size

    @property
    def cost(self) -> float:
        """Return the cost of all waiting tickets."""
        return self._cost

    def waiting_in(self, workspace: str) -> int:
        """Return the number of tickets of a workspace."""
        flow = self._flows.get(workspace)
        return len(flow.waiting) if flow else 0

    def cost_of(self, workspace: str) -> float:
        """Return the cost of the waiting tickets of a workspace."""
        flow = self._flows.get(workspace)
        return flow.cost if flow else 0.0

    def push(self, ticket: Ticket, weight: float) -> None:
        """Add a ticket."""
        flow = self._flow(ticket.workspace, weight)
        if not flow.waiting:
            flow.finish_tag = max(flow.finish_tag, self._virtual)
        rank_s = ticket.arrived_s - ticket.priority * PRIORITY_HEAD_START_S
        self._arrivals += 1
        heappush(flow.waiting, (rank_s, self._arrivals, ticket))
        self._count(flow, ticket, 1)

    def pop(self, may_dispatch: Callable[[str], bool]) -> Ticket | None:
        """Remove and return the next ticket of the workspaces that may dispatch."""
        allowed = [
            flow for name, flow in self._backlogged.items() if may_dispatch(name)
        ]
        if not allowed:
            return None
        flow = min(allowed, key=lambda flow: flow.finish_tag)
        _, _, ticket = heappop(flow.waiting)
        self._count(flow, ticket, -1)
        self._charge(flow, ticket)
        return ticket

    def charge_unqueued(self, ticket: Ticket, weight: float) -> None:
        """Charge a ticket that is dispatched without being queued."""
        flow = self._flow(ticket.workspace, weight)
        flow.finish_tag = max(flow.finish_tag, self._virtual)
        self._charge(flow, ticket)

    def correct(self, ticket: Ticket, used_tokens: int) -> None:
        """Replace the estimate of a dispatched ticket by the tokens it used."""
        flow = self._flows.get(ticket.workspace)
        if flow is not None:
            flow.finish_tag += (used_tokens - ticket.tokens) / flow.weight

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; return whether it was queued."""
        flow = self._flows.get(ticket.workspace)
        if flow is None:
            return False
        kept = [entry for entry in flow.waiting if entry[2] is not ticket]
        if len(kept) == len(flow.waiting):
            return False
        flow.waiting = kept
        heapify(flow.waiting)
        self._count(flow, ticket, -1)
        return True

    def largest_backlog(self) -> tuple[str, float]:
        """Return the workspace with the largest backlog per weight, and the backlog."""
        backlogs = {
            name: flow.cost / flow.weight for name, flow in self._backlogged.items()
        }
        if not backlogs:
            return "", 0.0
        name = max(backlogs, key=lambda name: backlogs[name])
        return name, backlogs[name]

    def last_ticket(self, workspace: str) -> Ticket:
        """Return the ticket of a workspace that would be served last."""
        return max(self._flows[workspace].waiting)[2]

    def cost_ahead(self, ticket: Ticket, weight: float) -> float:
        """Return the cost that would be served before a ticket that arrives now.

        Other flows get their share while this flow's earlier tickets and the ticket
        itself are served, but no more than their waiting cost.
        """
        flow = self._flows.get(ticket.workspace)
        own = self.cost_of(ticket.workspace)
        start_tag = max(flow.finish_tag if flow else 0.0, self._virtual)
        finish_tag = start_tag + (own + ticket_cost(ticket)) / weight
        ahead = own
        for name, other in self._backlogged.items():
            if name != ticket.workspace:
                share = (finish_tag - other.finish_tag) * other.weight
                ahead += min(other.cost, max(0.0, share))
        return ahead

    def drop_workspace(self, workspace: str) -> None:
        """Drop the state of a workspace unless it has waiting tickets."""
        if not self.waiting_in(workspace):
            self._flows.pop(workspace, None)

    def _flow(self, workspace: str, weight: float) -> Flow:
        flow = self._flows.setdefault(workspace, Flow(weight, self._virtual))
        flow.weight = weight
        return flow

    def _charge(self, flow: Flow, ticket: Ticket) -> None:
        self._virtual = max(self._virtual, flow.finish_tag)
        flow.finish_tag += ticket_cost(ticket) / flow.weight

    def _count(self, flow: Flow, ticket: Ticket, sign: int) -> None:
        self._size += sign
        flow.cost += sign * ticket_cost(ticket)
        self._cost += sign * ticket_cost(ticket)
        if flow.waiting:
            self._backlogged[ticket.workspace] = flow
        else:
            self._backlogged.pop(ticket.workspace, None)
