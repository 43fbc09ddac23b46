"""Order in which prompts that wait for an engine are read.

Answers bursts of one kind of request that need more prefill than there is: prompts
that can still meet their target go first, those that give the most answer for their
reading time before others; prompts that are late anyway use what is left, by deadline.
"""

from dataclasses import dataclass

TIMELY_PER_LATE = 6
"""Timely prompts after which a late one is read, so that the largest are served too."""

MIN_PREFILL_S = 0.005
"""Time of one step of an engine, which the shortest prompt takes too."""


@dataclass(frozen=True)
class WaitingPrompt:
    """Hold a prompt that waits for an engine.

    ``value`` is the size of its answer against the mean of its route. Times are
    monotonic; ``fixed_s`` passes after the reading until the first event.
    """

    key: int
    target_s: float
    deadline_s: float
    prefill_s: float
    fixed_s: float
    value: float

    def meets_target(self, now_s: float) -> bool:
        """Return whether the target is met if the reading starts now."""
        return now_s + self.prefill_s + self.fixed_s <= self.target_s

    def meets_deadline(self, now_s: float) -> bool:
        """Return whether the first event can come before the deadline."""
        return now_s + self.prefill_s + self.fixed_s <= self.deadline_s


class PromptQueue:
    """Hold the waiting prompts of one service at this host."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingPrompt] = {}
        self._timely_since_late = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def queued_s(self) -> float:
        """Return the reading time of all waiting prompts."""
        return sum(prompt.prefill_s for prompt in self._waiting.values())

    def add(self, prompt: WaitingPrompt) -> None:
        """Let a prompt wait."""
        self._waiting[prompt.key] = prompt

    def remove(self, key: int) -> None:
        """Take a prompt out, because it is placed or given up."""
        self._waiting.pop(key, None)

    def infeasible(self, now_s: float) -> list[WaitingPrompt]:
        """Return the prompts whose first event can't come in time any more."""
        return [p for p in self._waiting.values() if not p.meets_deadline(now_s)]

    def ordered(self, now_s: float) -> list[WaitingPrompt]:
        """Return the waiting prompts in the order in which they are to be read."""
        timely, late = [], []
        for prompt in self._waiting.values():
            (timely if prompt.meets_target(now_s) else late).append(prompt)
        timely.sort(key=_by_value)
        late.sort(key=_by_deadline)
        if late and self._timely_since_late >= TIMELY_PER_LATE:
            return [late[0], *timely, *late[1:]]
        return timely + late

    def note_placed(self, prompt: WaitingPrompt, now_s: float) -> None:
        """Note that a prompt was sent to an engine."""
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
    """Keep the mean size of the requests of each route."""

    WEIGHT = 0.03
    MAX_VALUE = 4.0
    OUTPUT_WEIGHT = 10
    """Tokens of input that count like one of output."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def value(self, route: str, input_tokens: int, output_tokens: int) -> float:
        """Return the value of a request against its route's mean, and learn it."""
        size = input_tokens + self.OUTPUT_WEIGHT * output_tokens
        mean = self._means.setdefault(route, float(max(1, size)))
        self._means[route] = mean + self.WEIGHT * (size - mean)
        return min(self.MAX_VALUE, 0.3 + 0.7 * size / max(1.0, mean))
