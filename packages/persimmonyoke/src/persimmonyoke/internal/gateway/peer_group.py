"""What one group of peers has still to be told, and when."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace

from persimmonyoke.internal.gateway.peer_messages import PeerMessage
from persimmonyoke.internal.gateway.relay_queues import take_up_to
from persimmonyoke.internal.gateway.state import PartPlacement

CHANGED_INTERVAL_S = 0.05
"""Interval while work changes: half of the time that an average prompt takes."""

QUIET_INTERVAL_S = 0.25

MAX_PLACEMENTS = 24
MAX_REFUSED = 16

MAX_PENDING = 4_096
"""Placements and refused requests that wait for the next datagrams of a group."""


def send_interval_s(peer_count: int, datagrams_per_s: float) -> float:
    """Return the time between two rounds of datagrams."""
    return max(CHANGED_INTERVAL_S, peer_count / datagrams_per_s)


@dataclass(frozen=True)
class UnsentUpdates:
    """Hold what peers are to be told once."""

    placements: tuple[PartPlacement, ...]
    refused: tuple[int, ...]


class PeerGroup:
    """Hold what the peers of one group have still to be told, and when."""

    def __init__(self, datagrams_per_s: float) -> None:
        self._datagrams_per_s = datagrams_per_s
        self._placements: deque[PartPlacement] = deque(maxlen=MAX_PENDING)
        self._refused: deque[int] = deque(maxlen=MAX_PENDING)
        self._last_sent: PeerMessage | None = None
        self._last_sent_s = 0.0
        self.interval_s = CHANGED_INTERVAL_S

    def set_size(self, peer_count: int) -> None:
        """Note how many peers the group has."""
        self.interval_s = send_interval_s(peer_count, self._datagrams_per_s)

    def add(self, placements: Sequence[PartPlacement], refused: Sequence[int]) -> None:
        """Add what the group is to be told once."""
        self._placements.extend(placements)
        self._refused.extend(refused)

    @property
    def has_unsent(self) -> bool:
        """Return whether there is something that the group is to be told once."""
        return bool(self._placements or self._refused)

    def take_unsent(self) -> UnsentUpdates:
        """Return what the group is to be told once, for another way to tell it."""
        unsent = UnsentUpdates(tuple(self._placements), tuple(self._refused))
        self._placements.clear()
        self._refused.clear()
        return unsent

    def may_send(self, now_s: float) -> bool:
        """Return whether the interval since the last message has passed."""
        return now_s - self._last_sent_s >= self.interval_s

    def due_message(self, state: PeerMessage, *, now_s: float) -> PeerMessage | None:
        """Return the message to send now, or ``None`` if none is due."""
        if not self.may_send(now_s):
            return None
        since_s = now_s - self._last_sent_s
        is_known = state == self._last_sent and not self.has_unsent
        if is_known and since_s < QUIET_INTERVAL_S:
            return None
        return self.message(state, now_s=now_s)

    def message(self, state: PeerMessage, *, now_s: float) -> PeerMessage:
        """Return the message to send now whether or not it is due."""
        self._last_sent, self._last_sent_s = state, now_s
        return replace(
            state,
            placements=take_up_to(self._placements, MAX_PLACEMENTS),
            refused=take_up_to(self._refused, MAX_REFUSED),
        )
