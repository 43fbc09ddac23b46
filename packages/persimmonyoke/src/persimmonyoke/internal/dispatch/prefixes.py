"""Index of the engines that are expected to hold parts of prompts."""

from collections import OrderedDict
from collections.abc import Sequence

from persimmonyoke.internal.fleet.model import PromptPart

MAX_PARTS = 4_000
"""Bound of the index; a part with its holders takes about 400 bytes."""

KEEP_S = 20.0
"""Age at which an engine has probably evicted a part that nobody used.

At 70,000 new tokens a second over five engines, memory for 490,000 tokens is replaced
in 20 to 35 s.
"""


class PrefixIndex:
    """Map parts of prompts to engines, from own dispatches and those of peers."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note(
        self, replica_id: str, parts: Sequence[PromptPart], *, now_s: float
    ) -> None:
        """Record that an engine read these parts."""
        for part in parts:
            self.note_part(replica_id, part.part_id, now_s=now_s)

    def note_part(self, replica_id: str, part_id: str, *, now_s: float) -> None:
        """Record that an engine read one part."""
        holders = self._holders.get(part_id)
        if holders is None:
            holders = self._holders[part_id] = {}
        holders[replica_id] = now_s
        self._holders.move_to_end(part_id)
        if len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)

    def forget_replica(self, replica_id: str) -> None:
        """Drop what a replica held that is gone or started again."""
        for holders in self._holders.values():
            holders.pop(replica_id, None)

    def cached_tokens(
        self, replica_id: str, parts: Sequence[PromptPart], *, now_s: float
    ) -> int:
        """Return the tokens of the leading parts that an engine holds."""
        tokens = 0
        for part in parts:
            used_s = self._holders.get(part.part_id, {}).get(replica_id)
            if used_s is None or now_s - used_s > KEEP_S:
                break
            tokens += part.tokens
        return tokens

    def holders(self, part_id: str) -> tuple[str, ...]:
        """Return the engines that were seen with a part."""
        return tuple(self._holders.get(part_id, ()))
