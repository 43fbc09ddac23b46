"""Recognition of requests that are retried after a refusal.

Each client attempt has a new request id and may reach another host. Requests are
therefore identified by path and prompt, and hosts exchange the keys of the requests
that they refused.
"""

import zlib
from collections import OrderedDict
from collections.abc import Iterable

from persimmonyoke.internal.fleet.model import Prompt

REFUSAL_TTL_S = 6.0
"""Time within which a refused request may be retried.

The longest deadline is 8 s, and clients retry after at most a third of it.
"""

MAX_KEYS = 2_000
MAX_UNSHARED = 64
RETRY_VALUE_FACTOR = 3.0
"""Factor on the value of a retry.

Refusing it again would waste all the time that its caller has waited.
"""


def request_key(path: str, prompt: Prompt) -> int:
    """Return a key that is the same for all attempts of a request."""
    parts = ",".join(part.part_id for part in prompt.parts)
    return zlib.crc32(f"{path} {prompt.input_tokens} {parts}".encode())


class RefusedRequests:
    """Track refused requests for ``REFUSAL_TTL_S``."""

    def __init__(self) -> None:
        self._refused_s: OrderedDict[int, float] = OrderedDict()
        self._unshared: list[int] = []

    def note_refused(self, key: int, *, now_s: float) -> None:
        """Record a request that this host refused."""
        self._put(key, now_s)
        if len(self._unshared) < MAX_UNSHARED:
            self._unshared.append(key)

    def note_peer(self, keys: Iterable[int], *, now_s: float) -> None:
        """Record requests that a peer refused."""
        for key in keys:
            self._put(key, now_s)

    @property
    def has_unshared(self) -> bool:
        """Return whether there are refusals that were not sent to the peers yet."""
        return bool(self._unshared)

    def take_unshared(self, limit: int) -> tuple[int, ...]:
        """Remove and return refusals that were not sent to the peers yet."""
        taken, self._unshared = self._unshared[:limit], self._unshared[limit:]
        return tuple(taken)

    def is_retry(self, key: int, *, now_s: float) -> bool:
        """Return whether a request was refused recently."""
        refused_s = self._refused_s.get(key)
        return refused_s is not None and now_s - refused_s <= REFUSAL_TTL_S

    def _put(self, key: int, now_s: float) -> None:
        self._refused_s[key] = now_s
        self._refused_s.move_to_end(key)
        if len(self._refused_s) > MAX_KEYS:
            self._refused_s.popitem(last=False)
