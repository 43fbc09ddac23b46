"""Relay of placements and refused requests, which are sent once."""

from collections import deque
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.gateway.digest_messages import (
    UpdatesMessage,
    encode_updates,
)
from persimmonyoke.internal.gateway.placement_filter import (
    PlacementFilter,
    SelectedPlacements,
)
from persimmonyoke.internal.gateway.relay_queues import take_up_to
from persimmonyoke.internal.gateway.state import PartPlacement

UPDATES_PER_MESSAGE = 32
UPDATE_MESSAGES_PER_ROUND = 4

MAX_QUEUED_UPDATES = 4_096
"""Placements, and refused requests, queued to be relayed."""


@dataclass
class SendRoom:
    """Hold how many bytes may still be sent in a round."""

    left_bytes: float

    def take(self, size_bytes: int) -> None:
        """Count bytes that are sent in this round."""
        self.left_bytes -= size_bytes


class UpdateQueue:
    """Queue updates to one group of hosts.

    Placements of parts that are met for the first time wait for those of others, as
    most of them belong to a single request.
    """

    def __init__(self) -> None:
        self._shared: deque[PartPlacement] = deque(maxlen=MAX_QUEUED_UPDATES)
        self._first_seen: deque[PartPlacement] = deque(maxlen=MAX_QUEUED_UPDATES)
        self._refused: deque[int] = deque(maxlen=MAX_QUEUED_UPDATES)

    def add(self, placements: SelectedPlacements, refused: Sequence[int]) -> None:
        """Queue updates to be relayed."""
        self._shared.extend(placements.shared)
        self._first_seen.extend(placements.first_seen)
        self._refused.extend(refused)

    def clear(self) -> None:
        """Discard the queued updates, which another host relays."""
        self._shared.clear()
        self._first_seen.clear()
        self._refused.clear()

    def take(self, sender: str, zone: str) -> UpdatesMessage | None:
        """Return the next message of updates, or ``None`` if none are queued."""
        if not (self._shared or self._first_seen or self._refused):
            return None
        shared = take_up_to(self._shared, UPDATES_PER_MESSAGE)
        rest = take_up_to(self._first_seen, UPDATES_PER_MESSAGE - len(shared))
        refused = take_up_to(self._refused, UPDATES_PER_MESSAGE)
        return UpdatesMessage(sender, zone, shared + rest, refused)


class UpdateRelay:
    """Relay the updates of a zone to its hosts and to the collectors of others."""

    def __init__(
        self, sender: str, zone: str, incarnation: Callable[[str], Hashable]
    ) -> None:
        self._sender = sender
        self._zone = zone
        self._filter = PlacementFilter(incarnation)
        self._near = UpdateQueue()
        self._far = UpdateQueue()

    def add_near(
        self,
        placements: Sequence[PartPlacement],
        refused: Sequence[int],
        *,
        now_s: float,
    ) -> None:
        """Queue updates of hosts of this zone for all."""
        selected = self._filter.select(placements, now_s=now_s)
        self._near.add(selected, refused)
        self._far.add(selected, refused)

    def add_far(
        self,
        placements: Sequence[PartPlacement],
        refused: Sequence[int],
        *,
        now_s: float,
    ) -> None:
        """Queue updates of another zone for the hosts of this one."""
        self._near.add(self._filter.select(placements, now_s=now_s), refused)

    def clear(self) -> None:
        """Discard what is queued."""
        self._near.clear()
        self._far.clear()

    def near_messages(self, receivers: int, room: SendRoom) -> list[bytes]:
        """Return the next updates for the hosts of this zone that there is room for."""
        return self._messages(self._near, receivers, room)

    def far_messages(self, receivers: int, room: SendRoom) -> list[bytes]:
        """Return the next updates for other zones that there is room for."""
        return self._messages(self._far, receivers, room)

    def _messages(
        self, queue: UpdateQueue, receivers: int, room: SendRoom
    ) -> list[bytes]:
        """Return enough messages to keep the queue short, as the room allows."""
        messages: list[bytes] = []
        while len(messages) < UPDATE_MESSAGES_PER_ROUND and room.left_bytes > 0.0:
            message = queue.take(self._sender, self._zone)
            if message is None:
                break
            messages.append(encode_updates(message))
            room.take(receivers * len(messages[-1]))
        return messages
