"""Recognition of requests that come back after a refusal.

A client attempt has a new id each time, and the next one may reach another host. A
request is known by its path and prompt, and hosts tell each other what they refused.
"""

import zlib
from collections import OrderedDict
from collections.abc import Iterable

from persimmonyoke.internal.fleet.model import Prompt

REFUSAL_TTL_S = 6.0
"""Time in which a refused request may come back; the longest deadline is 8 s, of which
clients wait at most a third before they do."""

MAX_KEYS = 2_000
MAX_UNSHARED = 64
RETRY_VALUE_FACTOR = 3.0
"""Factor on the value of a request that comes back: refusing it again costs its caller
the whole wait."""


def request_key(path: str, prompt: Prompt) -> int:
    """Return a number that stays the same when a request comes back."""
    parts = ",".join(part.part_id for part in prompt.parts)
    return zlib.crc32(f"{path} {prompt.input_tokens} {parts}".encode())


class RefusedRequests:
    """Remember refused requests for a while."""

    def __init__(self) -> None:
        self._refused_s: OrderedDict[int, float] = OrderedDict()
        self._unshared: list[int] = []

    def note_refused(self, key: int, *, now_s: float) -> None:
        """Note a request that this host refused."""
        self._put(key, now_s)
        if len(self._unshared) < MAX_UNSHARED:
            self._unshared.append(key)

    def note_peer(self, keys: Iterable[int], *, now_s: float) -> None:
        """Note the requests that a peer refused."""
        for key in keys:
            self._put(key, now_s)

    @property
    def has_unshared(self) -> bool:
        """Return whether the peers were not told of some refused requests yet."""
        return bool(self._unshared)

    def take_unshared(self, limit: int) -> tuple[int, ...]:
        """Return refused requests that the peers were not told of yet."""
        told, self._unshared = self._unshared[:limit], self._unshared[limit:]
        return tuple(told)

    def is_retry(self, key: int, *, now_s: float) -> bool:
        """Return whether a request was refused lately."""
        refused_s = self._refused_s.get(key)
        return refused_s is not None and now_s - refused_s <= REFUSAL_TTL_S

    def _put(self, key: int, now_s: float) -> None:
        self._refused_s[key] = now_s
        self._refused_s.move_to_end(key)
        if len(self._refused_s) > MAX_KEYS:
            self._refused_s.popitem(last=False)
