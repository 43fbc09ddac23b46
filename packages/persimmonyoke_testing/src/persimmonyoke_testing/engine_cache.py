"""Prompt-prefix cache of the simulated engine and its published events."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

from persimmonyoke.internal.upstreams.pieces import PIECE_TOKENS


@dataclass(frozen=True)
class LoggedEvent:
    """Represent a cache event and the monotonic time at which it becomes visible."""

    number: int
    stored: bool
    piece: bytes
    visible_s: float


class CacheEventLog:
    """Publish numbered cache events after a delay, dropping some of them."""

    def __init__(
        self, *, delay_s: float, loss: float, limit: int, rng: random.Random
    ) -> None:
        self.delay_s = delay_s
        self.loss = loss
        self._rng = rng
        self._events: deque[LoggedEvent] = deque(maxlen=limit)
        self._numbered: deque[tuple[int, float]] = deque(maxlen=limit)
        self._next_number = 0

    def publish(self, stored: bool, piece: bytes, now_s: float) -> None:
        """Assign a number to an event and store the event unless it is dropped."""
        number = self._next_number
        self._next_number += 1
        visible_s = now_s + self.delay_s
        self._numbered.append((number, visible_s))
        if self._rng.random() >= self.loss:
            self._events.append(LoggedEvent(number, stored, piece, visible_s))

    def read(self, since: int, now_s: float) -> dict[str, Any]:
        """Return the visible events numbered ``since`` or higher.

        If ``since`` comes from an earlier incarnation or is no longer retained, ``gap``
        is set and all retained events are returned. ``gap`` is also set if an event in
        the range was dropped.
        """
        next_number = self._visible_end(now_s)
        oldest = self._numbered[0][0] if self._numbered else self._next_number
        gap = since > self._next_number or since < oldest
        start = oldest if gap else since
        events = [
            {"number": event.number, "stored": event.stored, "piece": event.piece.hex()}
            for event in self._events
            if start <= event.number < next_number
        ]
        return {
            "events": events,
            "next_number": max(next_number, start),
            "gap": gap or len(events) < next_number - start,
        }

    def _visible_end(self, now_s: float) -> int:
        for number, visible_s in reversed(self._numbered):
            if visible_s <= now_s:
                return number + 1
        return self._numbered[0][0] if self._numbered else self._next_number


class PrefixCache:
    """Cache prompt pieces up to a fixed capacity, with LRU eviction."""

    def __init__(self, *, capacity_pieces: int, log: CacheEventLog) -> None:
        self.capacity_pieces = capacity_pieces
        self._log = log
        self._pieces: OrderedDict[bytes, None] = OrderedDict()

    def __contains__(self, piece: bytes) -> bool:
        return piece in self._pieces

    def __len__(self) -> int:
        return len(self._pieces)

    def cached_tokens(self, pieces: tuple[bytes, ...]) -> int:
        """Return how many leading prompt tokens are cached, and mark them as used."""
        hits = 0
        for piece in pieces:
            if piece not in self._pieces:
                break
            hits += 1
        self._touch(pieces[:hits])
        return hits * PIECE_TOKENS

    def held(self, piece: bytes) -> bool:
        """Return whether a piece is cached, without marking it as used."""
        return piece in self._pieces

    def store(self, pieces: tuple[bytes, ...], now_s: float) -> None:
        """Store the pieces of a prefilled prompt and evict the least recently used."""
        for piece in pieces:
            if piece not in self._pieces:
                self._pieces[piece] = None
                self._log.publish(True, piece, now_s)
        self._touch(pieces)
        while len(self._pieces) > self.capacity_pieces:
            evicted, _ = self._pieces.popitem(last=False)
            self._log.publish(False, evicted, now_s)

    def _touch(self, pieces: tuple[bytes, ...]) -> None:
        # A piece is useless without those before it, so later pieces are evicted first.
        for piece in reversed(pieces):
            self._pieces.move_to_end(piece)
