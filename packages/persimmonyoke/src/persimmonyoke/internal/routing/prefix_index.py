"""Index of the prompt pieces that engines are expected to have cached."""

from collections import OrderedDict
from collections.abc import Sequence

from persimmonyoke.internal.upstreams.api import CacheEventBatch

# A pair of piece and engine takes at most 430 bytes, so 20,000 pairs take less than
# 9 MB of the 32 MB that a node may use for control.
DEFAULT_MAX_ENTRIES = 20_000
DEFAULT_MAX_AGE_S = 600.0
# Events lost in a gap may have been evictions, which affect the least recently used
# pieces first. Dropping entries unused for 5 s loses a tenth of the hits; with 60 s or
# more, hardly any are lost (docs/decisions.md).
DEFAULT_GAP_MAX_AGE_S = 120.0


class PrefixIndex:
    """Map prompt pieces to the engines that hold them, in bounded memory.

    An entry is a pair of piece and engine. It is dropped when the engine reports an
    eviction, when it was not used for ``max_age_s``, when lost events make its state
    uncertain, or as part of the least recently used piece once there are more than
    ``max_entries``.
    """

    def __init__(
        self,
        *,
        max_entries: int = DEFAULT_MAX_ENTRIES,
        max_age_s: float = DEFAULT_MAX_AGE_S,
        gap_max_age_s: float = DEFAULT_GAP_MAX_AGE_S,
    ) -> None:
        if max_entries < 1:
            raise ValueError(f"max_entries must be at least 1, not {max_entries}")
        if max_age_s <= 0 or gap_max_age_s < 0:
            raise ValueError(
                "max_age_s must be positive and gap_max_age_s not negative, not "
                f"{max_age_s} and {gap_max_age_s}"
            )
        self._max_entries = max_entries
        self._max_age_s = max_age_s
        self._gap_max_age_s = gap_max_age_s
        self._holders: OrderedDict[bytes, dict[str, float]] = OrderedDict()
        self._oldest_valid_s: dict[str, float] = {}
        self._entries = 0

    def __len__(self) -> int:
        return self._entries

    def note_dispatch(self, engine: str, pieces: Sequence[bytes], now_s: float) -> None:
        """Record the pieces of a prompt that this host sent to an engine."""
        for piece in pieces:
            self._touch(piece, engine, now_s)

    def note_events(self, engine: str, batch: CacheEventBatch, now_s: float) -> None:
        """Apply a batch of cache events; a gap invalidates the engine's old entries."""
        if batch.gap:
            self._oldest_valid_s[engine] = now_s - self._gap_max_age_s
        for event in batch.events:
            if event.stored:
                self._touch(event.piece, engine, now_s)
            else:
                self._drop(event.piece, engine)

    def forget_engine(self, engine: str) -> None:
        """Drop all entries of an engine that restarted or was removed."""
        emptied = []
        for piece, holders in self._holders.items():
            if holders.pop(engine, None) is not None:
                self._entries -= 1
            if not holders:
                emptied.append(piece)
        for piece in emptied:
            del self._holders[piece]
        self._oldest_valid_s.pop(engine, None)

    def matched_pieces(self, engine: str, pieces: Sequence[bytes], now_s: float) -> int:
        """Return how many leading pieces the engine is expected to hold.

        A digest covers all preceding pieces, so the last known piece implies the
        earlier ones even if their events were lost.
        """
        for index in range(len(pieces) - 1, -1, -1):
            if self._holds(pieces[index], engine, now_s):
                return index + 1
        return 0

    def holders(self, pieces: Sequence[bytes], now_s: float) -> dict[str, int]:
        """Return the engines that hold leading pieces, with the number of matches."""
        found: dict[str, int] = {}
        for index in range(len(pieces) - 1, -1, -1):
            for engine in self._holders.get(pieces[index], ()):
                if engine not in found and self._holds(pieces[index], engine, now_s):
                    found[engine] = index + 1
        return found

    def _holds(self, piece: bytes, engine: str, now_s: float) -> bool:
        touched_s = self._holders.get(piece, {}).get(engine)
        if touched_s is None:
            return False
        oldest_s = max(
            now_s - self._max_age_s, self._oldest_valid_s.get(engine, touched_s)
        )
        return touched_s >= oldest_s

    def _touch(self, piece: bytes, engine: str, now_s: float) -> None:
        holders = self._holders.setdefault(piece, {})
        if engine not in holders:
            self._entries += 1
        holders[engine] = now_s
        self._holders.move_to_end(piece)
        self._trim(now_s)

    def _drop(self, piece: bytes, engine: str) -> None:
        holders = self._holders.get(piece, {})
        if holders.pop(engine, None) is None:
            return
        self._entries -= 1
        if not holders:
            del self._holders[piece]

    def _trim(self, now_s: float) -> None:
        """Remove least recently used pieces that are expired or exceed the limit."""
        while self._holders:
            oldest = next(iter(self._holders.values()))
            expired = max(oldest.values()) < now_s - self._max_age_s
            if not expired and self._entries <= self._max_entries:
                return
            _, removed = self._holders.popitem(last=False)
            self._entries -= len(removed)
