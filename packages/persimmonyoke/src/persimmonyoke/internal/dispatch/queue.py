"""Order in which queued prompts get an engine.

Handles bursts of one kind of request that exceed the prefill capacity. Prompts that can
still meet their target go first, ordered by value per prefill time. Prompts that will
miss their target use the remaining capacity, in the order of their deadlines.
"""

from dataclasses import dataclass

TIMELY_PER_LATE = 6
"""Timely prompts per late one, so that the largest prompts are not starved."""

MIN_PREFILL_S = 0.005
"""Duration of one engine step, the least that any prompt takes."""


@dataclass(frozen=True)
class WaitingPrompt:
    """Hold a queued prompt.

    ``value`` is the size of the request relative to the mean of its route. Times are
    monotonic; ``fixed_s`` is the time between the prefill and the first event.
    """

    key: int
    target_s: float
    deadline_s: float
    prefill_s: float
    fixed_s: float
    value: float

    def meets_target(self, now_s: float) -> bool:
        """Return whether the target is met if the prefill starts now."""
        return now_s + self.prefill_s + self.fixed_s <= self.target_s

    def meets_deadline(self, now_s: float) -> bool:
        """Return whether the first event can be sent before the deadline."""
        return now_s + self.prefill_s + self.fixed_s <= self.deadline_s


class PromptQueue:
    """Queue the prompts of one service at this host."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingPrompt] = {}
        self._timely_since_late = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def queued_s(self) -> float:
        """Return the total prefill time of the queue."""
        return sum(prompt.prefill_s for prompt in self._waiting.values())

    def add(self, prompt: WaitingPrompt) -> None:
        """Add a prompt to the queue."""
        self._waiting[prompt.key] = prompt

    def remove(self, key: int) -> None:
        """Remove a prompt that was placed or cancelled."""
        self._waiting.pop(key, None)

    def infeasible(self, now_s: float) -> list[WaitingPrompt]:
        """Return the prompts that can no longer meet their deadline."""
        return [p for p in self._waiting.values() if not p.meets_deadline(now_s)]

    def ordered(self, now_s: float) -> list[WaitingPrompt]:
        """Return the queued prompts in the order in which they are to be placed."""
        timely, late = [], []
        for prompt in self._waiting.values():
            (timely if prompt.meets_target(now_s) else late).append(prompt)
        timely.sort(key=_by_value)
        late.sort(key=_by_deadline)
        if late and self._timely_since_late >= TIMELY_PER_LATE:
            return [late[0], *timely, *late[1:]]
        return timely + late

    def note_placed(self, prompt: WaitingPrompt, now_s: float) -> None:
        """Remove a prompt that was sent to an engine."""
        self.remove(prompt.key)
        if prompt.meets_target(now_s):
            self._timely_since_late += 1
        else:
            self._timely_since_late = 0


def _by_deadline(prompt: WaitingPrompt) -> tuple[float, int]:
    return (prompt.deadline_s, prompt.key)


def _by_value(prompt: WaitingPrompt) -> tuple[float, int]:
    return (-prompt.value / max(prompt.prefill_s, MIN_PREFILL_S), prompt.key)


class RouteSizes:
    """Track the mean size of the requests of each route."""

    WEIGHT = 0.03
    MAX_VALUE = 4.0
    OUTPUT_WEIGHT = 10
    """Number of input tokens that count as much as one output token."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def value(self, route: str, input_tokens: int, output_tokens: int) -> float:
        """Return a request's value relative to its route's mean; updates the mean."""
        size = input_tokens + self.OUTPUT_WEIGHT * output_tokens
        mean = self._means.setdefault(route, float(max(1, size)))
        self._means[route] = mean + self.WEIGHT * (size - mean)
        return min(self.MAX_VALUE, 0.3 + 0.7 * size / max(1.0, mean))
