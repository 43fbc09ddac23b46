"""Order in which prompts that wait for an engine are read.

Answers bursts of one kind of request that need more prefill than there is: prompts
that can still meet their target go first, those that give the most answer for their
reading time before others; prompts that are late anyway use what is left, by deadline.
"""

from collections.abc import Iterable
from dataclasses import dataclass

LATE_TURN = 6
"""One of so many prompts is a late one, so that the largest prompts are served too."""


@dataclass(frozen=True)
class WaitingPrompt:
    """Hold a prompt that waits for an engine.

    ``value`` is the size of its answer against the mean of its route. Times are
    monotonic; ``fixed_s`` passes after the reading until the first event.
    """

    key: int
    target_s: float
    deadline_s: float
    read_s: float
    fixed_s: float
    value: float

    def meets_target(self, now_s: float) -> bool:
        """Return whether the target is met if the reading starts now."""
        return now_s + self.read_s + self.fixed_s <= self.target_s

    def meets_deadline(self, now_s: float) -> bool:
        """Return whether the first event can come before the deadline."""
        return now_s + self.read_s + self.fixed_s <= self.deadline_s


class PromptQueue:
    """Hold the waiting prompts of one service at this host."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingPrompt] = {}
        self._since_late = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def queued_s(self) -> float:
        """Return the reading time of all waiting prompts."""
        return sum(prompt.read_s for prompt in self._waiting.values())

    def add(self, prompt: WaitingPrompt) -> None:
        """Let a prompt wait."""
        self._waiting[prompt.key] = prompt

    def remove(self, key: int) -> None:
        """Take a prompt out, because it is placed or given up."""
        self._waiting.pop(key, None)

    def hopeless(self, now_s: float) -> list[WaitingPrompt]:
        """Return the prompts whose first event can't come in time any more."""
        return [p for p in self._waiting.values() if not p.meets_deadline(now_s)]

    def best(self, now_s: float) -> WaitingPrompt | None:
        """Return the prompt to be read next."""
        if not self._waiting:
            return None
        timely = [p for p in self._waiting.values() if p.meets_target(now_s)]
        late = [p for p in self._waiting.values() if not p.meets_target(now_s)]
        if late and (not timely or self._since_late >= LATE_TURN):
            return _earliest_deadline(late)
        return _most_valuable(timely)

    def note_placed(self, prompt: WaitingPrompt, now_s: float) -> None:
        """Note that a prompt was sent to an engine."""
        self.remove(prompt.key)
        if prompt.meets_target(now_s):
            self._since_late += 1
        else:
            self._since_late = 0


def _earliest_deadline(prompts: Iterable[WaitingPrompt]) -> WaitingPrompt:
    return min(prompts, key=lambda p: (p.deadline_s, p.key))


def _most_valuable(prompts: Iterable[WaitingPrompt]) -> WaitingPrompt:
    return max(prompts, key=lambda p: (p.value / max(p.read_s, 0.005), -p.key))


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
