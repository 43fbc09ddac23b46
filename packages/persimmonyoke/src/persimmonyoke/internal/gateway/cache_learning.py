"""Learn the cache contents of engines that were running before this host started."""

import time
from collections.abc import Callable

import gevent

from persimmonyoke.internal.fleet.cache_duty import (
    CacheQueryDecision,
    CollectorState,
    decide_cache_query,
)
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.engine_calls import EngineCalls
from persimmonyoke.internal.gateway.state import GatewayState

POLL_INTERVAL_S = 0.1


class CacheLearner:
    """Query the caches of engines, unless the collecting host does so."""

    def __init__(
        self,
        state: GatewayState,
        calls: EngineCalls,
        collecting_view: Callable[[], CollectorState],
    ) -> None:
        self._state = state
        self._calls = calls
        self._collecting_view = collecting_view
        self._unknown: dict[str, Replica] = {}
        self._ready_since_s: float | None = None
        self._polling = False

    def note_engine(self, engine: Replica) -> None:
        """Register an engine whose cache contents are not known."""
        self._unknown[engine.replica_id] = engine
        if not self._polling:
            self._polling = True
            gevent.spawn(self._poll_until_known)

    def _poll_until_known(self) -> None:
        try:
            while self._unknown:
                gevent.sleep(POLL_INTERVAL_S)
                self._poll(time.monotonic())
        finally:
            self._polling = False

    def _poll(self, now_s: float) -> None:
        state = self._state
        if not state.ready:
            return
        if self._ready_since_s is None:
            self._ready_since_s = now_s
        duty = decide_cache_query(
            self._collecting_view(),
            ready_for_s=now_s - self._ready_since_s,
            knows_peers=bool(state.hosts.peers()),
        )
        if duty is CacheQueryDecision.WAIT:
            return
        engines, self._unknown = self._unknown.values(), {}
        if duty is CacheQueryDecision.QUERY:
            for engine in engines:
                self._calls.learn_cache(engine)
