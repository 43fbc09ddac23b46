"""Learning which parts of prompts engines hold that were there before this host."""

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

LOOK_S = 0.1


class CacheLearner:
    """Ask engines what they hold, or leave it to the host that collects."""

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
        self._looking = False

    def note_engine(self, engine: Replica) -> None:
        """Note an engine whose cached parts are not known."""
        self._unknown[engine.replica_id] = engine
        if not self._looking:
            self._looking = True
            gevent.spawn(self._look_until_known)

    def _look_until_known(self) -> None:
        try:
            while self._unknown:
                gevent.sleep(LOOK_S)
                self._look(time.monotonic())
        finally:
            self._looking = False

    def _look(self, now_s: float) -> None:
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
