"""Schedule and pending updates of the datagrams to one group of peers."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace

from persimmonyoke.internal.gateway.peer_messages import PeerMessage
from persimmonyoke.internal.gateway.relay_queues import take_up_to
from persimmonyoke.internal.gateway.state import PartPlacement

CHANGED_INTERVAL_S = 0.05
"""Interval while work changes: half of the prefill time of an average prompt."""

QUIET_INTERVAL_S = 0.25
"""Interval of messages while the state does not change."""

MAX_PLACEMENTS = 24
MAX_REFUSED = 16

MAX_PENDING = 4_096
"""Placements, and refused requests, queued for the next datagrams to a group."""


def send_interval_s(peer_count: int, datagrams_per_s: float) -> float:
    """Return the interval between datagrams to each peer within the rate limit."""
    return max(CHANGED_INTERVAL_S, peer_count / datagrams_per_s)


@dataclass(frozen=True)
class UnsentUpdates:
    """Hold updates that are to be sent to the peers once."""

    placements: tuple[PartPlacement, ...]
    refused: tuple[int, ...]


class PeerGroup:
    """Decide when a group of peers is sent a message, and queue its updates."""

    def __init__(self, datagrams_per_s: float) -> None:
        self._datagrams_per_s = datagrams_per_s
        self._placements: deque[PartPlacement] = deque(maxlen=MAX_PENDING)
        self._refused: deque[int] = deque(maxlen=MAX_PENDING)
        self._last_sent: PeerMessage | None = None
        self._last_sent_s = 0.0
        self.interval_s = CHANGED_INTERVAL_S

    def set_size(self, peer_count: int) -> None:
        """Set the interval from the number of peers in the group."""
        self.interval_s = send_interval_s(peer_count, self._datagrams_per_s)

    def add(self, placements: Sequence[PartPlacement], refused: Sequence[int]) -> None:
        """Queue updates that are to be sent to the group once."""
        self._placements.extend(placements)
        self._refused.extend(refused)

    @property
    def has_unsent(self) -> bool:
        """Return whether updates are queued for the group."""
        return bool(self._placements or self._refused)

    def take_unsent(self) -> UnsentUpdates:
        """Remove and return the queued updates, to be sent by other means."""
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
        """Return the message to send now, whether or not it is due."""
        self._last_sent, self._last_sent_s = state, now_s
        return replace(
            state,
            placements=take_up_to(self._placements, MAX_PLACEMENTS),
            refused=take_up_to(self._refused, MAX_REFUSED),
        )
