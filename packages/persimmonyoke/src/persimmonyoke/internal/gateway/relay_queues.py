"""Queues and schedules of a host that passes on what others report."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from persimmonyoke.internal.gateway.digest_messages import UpdatesMessage
from persimmonyoke.internal.gateway.state import PartPlacement

Item = TypeVar("Item")

UPDATES_PER_MESSAGE = 32
MAX_QUEUED_UPDATES = 4_096
"""Placements and refused requests that wait to be passed on."""


class Schedule:
    """Tell when something that is done at intervals is due."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._done_s = float("-inf")

    def take_due(self, now_s: float) -> bool:
        """Return whether it is due, and count it as done if so."""
        # Ticks are a little late; what is due at the next one is done at this one.
        if now_s - self._done_s < 0.9 * self._interval_s:
            return False
        self._done_s = now_s
        return True


class UpdateQueue:
    """Hold placements and refused requests that are passed on once."""

    def __init__(self) -> None:
        self._placements: deque[PartPlacement] = deque(maxlen=MAX_QUEUED_UPDATES)
        self._refused: deque[int] = deque(maxlen=MAX_QUEUED_UPDATES)

    def add(self, placements: Sequence[PartPlacement], refused: Sequence[int]) -> None:
        """Add what is to be passed on."""
        self._placements.extend(placements)
        self._refused.extend(refused)

    def clear(self) -> None:
        """Drop what another host passes on."""
        self._placements.clear()
        self._refused.clear()

    def take(self, sender: str, zone: str) -> UpdatesMessage | None:
        """Return the next news, or ``None`` if there are none."""
        if not self._placements and not self._refused:
            return None
        placements = take_up_to(self._placements, UPDATES_PER_MESSAGE)
        refused = take_up_to(self._refused, UPDATES_PER_MESSAGE)
        return UpdatesMessage(sender, zone, placements, refused)


def take_up_to(pending: deque[Item], limit: int) -> tuple[Item, ...]:
    """Return the first items of a queue, and drop them from it."""
    return tuple(pending.popleft() for _ in range(min(limit, len(pending))))


@dataclass
class Outgoing:
    """Hold messages for the own zone and for the collecting hosts of others."""

    near: list[bytes] = field(default_factory=list)
    far: list[bytes] = field(default_factory=list)
