"""Queues and schedules of a host that relays the reports of others."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar

Item = TypeVar("Item")


MAX_ROTATION_ROUNDS = 8
"""Rounds after which each part was sent; work of others counts for 1.5 s."""


class Rotation:
    """Take turns at the parts of a message while there is no room for all of them."""

    def __init__(self) -> None:
        self._next = 0

    def take(self, parts: Sequence[bytes], *, has_room: bool) -> list[bytes]:
        """Return all parts, or without room those whose turn it is."""
        if has_room or not parts:
            return list(parts)
        count = -(-len(parts) // MAX_ROTATION_ROUNDS)
        first = self._next % len(parts)
        self._next = first + count
        return [*parts[first:], *parts[:first]][:count]


class Schedule:
    """Decide when a periodic action is due."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._done_s = float("-inf")

    def take_due(self, now_s: float, *, stretch: float = 1.0) -> bool:
        """Return whether the action is due; mark it as done if so.

        ``stretch`` is a factor on the interval.
        """
        # Ticks come slightly late; an action due just after this tick is done now.
        if now_s - self._done_s < 0.9 * stretch * self._interval_s:
            return False
        self._done_s = now_s
        return True


def take_up_to(pending: deque[Item], limit: int) -> tuple[Item, ...]:
    """Remove and return the first items of a queue."""
    return tuple(pending.popleft() for _ in range(min(limit, len(pending))))


@dataclass
class Outgoing:
    """Hold messages for this host's zone and for the collectors of other zones."""

    near: list[bytes] = field(default_factory=list)
    far: list[bytes] = field(default_factory=list)

    def extend(self, other: "Outgoing") -> None:
        """Add the messages of another round."""
        self.near.extend(other.near)
        self.far.extend(other.far)
