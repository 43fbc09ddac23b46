"""Capacity of the pools and this host's share of it."""

from collections.abc import Callable

from persimmonyoke.internal.routing.costs import (
    FALLBACK_MAX_SEQUENCES,
    FALLBACK_PREFILL_TOKENS_PER_S,
    engine_load,
)
from persimmonyoke.internal.upstreams.api import Role, Upstream
from persimmonyoke.internal.upstreams.directory import Directory
from persimmonyoke.internal.upstreams.load_view import LoadView

# Callers are not distributed evenly over the hosts, so each host may use this multiple
# of an equal share; the deadline check at arrival bounds the total of all hosts.
OVERCOMMIT_FACTOR = 1.5
CALLS_PER_REPLICA = 64
MIN_LIMIT = 4
# Typical length of an answer, which must complete before its slot is released.
SLOT_OUTPUT_TOKENS = 128


class PoolCapacity:
    """Compute limits and waiting times from the directory and the load view.

    ``live_hosts`` returns the number of entry hosts that share the pools.
    """

    def __init__(
        self, directory: Directory, load: LoadView, *, live_hosts: Callable[[], int]
    ) -> None:
        self._directory = directory
        self._load = load
        self._live_hosts = live_hosts

    def host_share(self, now_s: float) -> float:
        """Return this host's share of a workspace's limits, equal for all hosts."""
        return 1.0 / max(1, self._live_hosts())

    def limit(self, pool: str, now_s: float) -> int:
        """Return how many requests this host may have in flight in a pool."""
        engines = _not_leaving(self._directory.engines(pool, now_s))
        slots = sum(
            self._load.estimate(engine.name, now_s).max_sequences
            or FALLBACK_MAX_SEQUENCES
            for engine in engines
            if engine.role is not Role.PREFILL
        )
        replicas = _not_leaving(self._directory.services(pool, now_s))
        slots += CALLS_PER_REPLICA * len(replicas)
        return max(MIN_LIMIT, int(OVERCOMMIT_FACTOR * slots * self.host_share(now_s)))

    def wait_s(self, pool: str, now_s: float) -> float:
        """Return the expected wait at the engine with the shortest wait."""
        waits = []
        for engine in _not_leaving(self._directory.engines(pool, now_s)):
            if engine.role is Role.DECODE:
                continue
            load = engine_load(self._load.estimate(engine.name, now_s))
            excess = max(0.0, load.running_sequences + 1 - load.max_sequences)
            slot_s = SLOT_OUTPUT_TOKENS / load.decode_tokens_per_s
            waits.append(load.prefill_wait_s + excess * slot_s)
        return min(waits, default=0.0)

    def first_token_s(self, pool: str, prompt_tokens: int) -> float:
        """Return the time to the first token on an idle engine without a cache hit."""
        engines = self._directory.engines(pool, 0.0)
        rates = [self._load.estimate(e.name, 0.0).prefill_tokens_per_s for e in engines]
        rate = max(rates, default=0.0) or FALLBACK_PREFILL_TOKENS_PER_S
        return prompt_tokens / rate


def _not_leaving(upstreams: tuple[Upstream, ...]) -> list[Upstream]:
    return [upstream for upstream in upstreams if not upstream.leaving]
