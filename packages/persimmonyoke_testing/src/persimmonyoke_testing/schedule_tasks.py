"""Run cooperative tasks in virtual time, interleaved in a seeded random order."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from greenlet import GreenletExit, getcurrent, greenlet

STEP_S = 0.001


@dataclass
class Task:
    """Hold a task of a node and the virtual time at which it resumes."""

    owner: str
    fiber: greenlet
    wake_s: float


class Schedule:
    """Run tasks one step at a time; the same seed gives the same order."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now_s = 0.0
        self._tasks: list[Task] = []
        # Tasks started by other tasks must switch to this loop as well.
        self._loop = getcurrent()

    def clock(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def spawn(self, owner: str, function: Callable[[], None]) -> None:
        """Start a task of a node."""
        task = Task(owner, greenlet(function, self._loop), self.now_s)
        self._tasks.append(task)

    def sleep(self, seconds: float = 0.0) -> None:
        """Suspend the current task for a virtual time."""
        current = getcurrent()
        for task in self._tasks:
            if task.fiber is current:
                task.wake_s = self.now_s + seconds
                self._loop.switch()
                return

    def kill(self, owner: str) -> None:
        """Kill all tasks of a node where they are suspended."""
        current = getcurrent()
        for task in tuple(self._tasks):
            if task.owner == owner and task.fiber is not current:
                self._tasks.remove(task)
                task.fiber.parent = current
                task.fiber.throw(GreenletExit)

    def run(self, until_s: float) -> None:
        """Run all tasks up to a virtual time; exceptions of tasks propagate."""
        while self._tasks:
            ready = [task for task in self._tasks if task.wake_s <= self.now_s]
            if not ready:
                self.now_s = min(task.wake_s for task in self._tasks)
                continue
            if self.now_s > until_s:
                return
            task = self.rng.choice(ready)
            task.fiber.switch()
            self.now_s += STEP_S
            if task.fiber.dead and task in self._tasks:
                self._tasks.remove(task)
