"""Queues and schedules of a host that relays the reports of others."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from persimmonyoke.internal.gateway.digest_messages import UpdatesMessage
from persimmonyoke.internal.gateway.state import PartPlacement

Item = TypeVar("Item")

UPDATES_PER_MESSAGE = 32
MAX_QUEUED_UPDATES = 4_096
"""Placements, and refused requests, queued to be relayed."""


class Schedule:
    """Decide when a periodic action is due."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._done_s = float("-inf")

    def take_due(self, now_s: float) -> bool:
        """Return whether the action is due; mark it as done if so."""
        # Ticks come slightly late; an action due just after this tick is done now.
        if now_s - self._done_s < 0.9 * self._interval_s:
            return False
        self._done_s = now_s
        return True


class UpdateQueue:
    """Queue placements and refused requests that are relayed once."""

    def __init__(self) -> None:
        self._placements: deque[PartPlacement] = deque(maxlen=MAX_QUEUED_UPDATES)
        self._refused: deque[int] = deque(maxlen=MAX_QUEUED_UPDATES)

    def add(self, placements: Sequence[PartPlacement], refused: Sequence[int]) -> None:
        """Queue updates to be relayed."""
        self._placements.extend(placements)
        self._refused.extend(refused)

    def clear(self) -> None:
        """Discard the queued updates, which another host relays."""
        self._placements.clear()
        self._refused.clear()

    def take(self, sender: str, zone: str) -> UpdatesMessage | None:
        """Return the next message of updates, or ``None`` if none are queued."""
        if not self._placements and not self._refused:
            return None
        placements = take_up_to(self._placements, UPDATES_PER_MESSAGE)
        refused = take_up_to(self._refused, UPDATES_PER_MESSAGE)
        return UpdatesMessage(sender, zone, placements, refused)


def take_up_to(pending: deque[Item], limit: int) -> tuple[Item, ...]:
    """Remove and return the first items of a queue."""
    return tuple(pending.popleft() for _ in range(min(limit, len(pending))))


@dataclass
class Outgoing:
    """Hold messages for this host's zone and for the collectors of other zones."""

    near: list[bytes] = field(default_factory=list)
    far: list[bytes] = field(default_factory=list)
