"""Simulate one entry node whose requests each hold a slot for a fixed time."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

from persimmonyoke.internal.admission import (
    AdmissionQueue,
    Admitted,
    Refused,
    Ticket,
)


@dataclass
class AdmissionResults:
    """Hold the results of one run."""

    latencies_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    refused: list[Refused] = field(default_factory=list)
    met_deadline: int = 0
    longest_queue: int = 0

    def mean_latency_s(self, workspace: str) -> float:
        """Return the mean latency of the served requests of a workspace."""
        latencies_s = self.latencies_s[workspace]
        return sum(latencies_s) / len(latencies_s)


class AdmissionModel:
    """Offer arrivals to a queue and serve the admitted ones for ``service_s``.

    The first token is produced at dispatch, so a request meets its deadline if it is
    dispatched in time.
    """

    def __init__(self, queue: AdmissionQueue, *, service_s: float) -> None:
        self._queue = queue
        self._service_s = service_s
        self._running: list[tuple[float, int, Ticket]] = []
        self._dispatched = 0
        self._results = AdmissionResults()

    def run(self, arrivals: Iterable[Ticket]) -> AdmissionResults:
        """Offer all tickets at their arrival times and return the results."""
        for ticket in sorted(arrivals, key=lambda ticket: ticket.arrived_s):
            now_s = ticket.arrived_s
            self._finish_until(now_s)
            outcome = self._queue.offer(ticket, now_s=now_s)
            if isinstance(outcome, Admitted):
                self._start(ticket, now_s)
            elif isinstance(outcome, Refused):
                self._results.refused.append(outcome)
            self._advance(now_s)
        self._finish_until(float("inf"))
        return self._results

    def _finish_until(self, end_s: float) -> None:
        while self._running and self._running[0][0] <= end_s:
            now_s, _, ticket = heappop(self._running)
            self._queue.release(ticket, now_s=now_s, used_tokens=ticket.tokens)
            latency_s = now_s - ticket.arrived_s
            self._results.latencies_s[ticket.workspace].append(latency_s)
            self._advance(now_s)

    def _advance(self, now_s: float) -> None:
        while (ready := self._queue.next_ready(now_s)) is not None:
            self._start(ready.ticket, now_s)
        self._results.refused.extend(self._queue.take_refused(now_s))
        longest = max(self._results.longest_queue, len(self._queue))
        self._results.longest_queue = longest

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self._dispatched += 1
        self._results.met_deadline += now_s <= ticket.deadline_s
        end_s = now_s + self._service_s
        heappush(self._running, (end_s, self._dispatched, ticket))


def steady_arrivals(
    template: Ticket, *, per_s: float, start_s: float, end_s: float, deadline_s: float
) -> list[Ticket]:
    """Return evenly spaced tickets with deadlines ``deadline_s`` after arrival."""
    count = int((end_s - start_s) * per_s)
    return [
        replace(
            template,
            request_id=f"{template.workspace}-{number}",
            arrived_s=start_s + number / per_s,
            deadline_s=start_s + number / per_s + deadline_s,
        )
        for number in range(count)
    ]
