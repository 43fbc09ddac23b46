"""Passive health tracking of engines, and active checks of failed ones."""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterator

import gevent

from persimmonyoke.errors import PersimmonyokeError
from persimmonyoke.internal.delivery.silence import StreamIdleTimeout
from persimmonyoke.internal.routing.health import UpstreamHealth
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    GenerateCall,
    StreamEvent,
    Upstream,
)
from persimmonyoke.internal.upstreams.clients import UpstreamClients
from persimmonyoke.internal.upstreams.directory import Directory
from persimmonyoke.internal.upstreams.engine_client import HttpEngineClient

CHECK_TIMEOUT_S = 0.5
MAX_TRACKED_ENGINES = 1_024


class ObservedEngineClient:
    """Forward calls to a client and record which generations fail."""

    def __init__(
        self, client: HttpEngineClient, engine: Upstream, checks: "EngineChecks"
    ) -> None:
        self._client = client
        self._engine = engine
        self._checks = checks

    def __getattr__(self, name: str) -> object:
        return getattr(self._client, name)

    def generate(self, call: GenerateCall) -> Iterator[StreamEvent]:
        """Generate and yield the events of the stream."""
        started_s = time.monotonic()
        try:
            yield from self._client.generate(call)
        except (EngineFailure, StreamIdleTimeout) as failure:
            is_down = isinstance(failure, EngineFailure) and not failure.sent
            self._checks.note_failure(self._engine, is_down=is_down)
            raise
        self._checks.note_success(self._engine, started_s)


class EngineChecks:
    """Avoid engines that failed recently, and read their state before reusing them.

    ``has_crashed`` returns whether any host has seen the crash of an incarnation. Work
    must not be sent under the incarnation of a crashed process: the next crash of the
    engine would be taken for the known one and not be counted.
    """

    def __init__(
        self,
        directory: Directory,
        clients: UpstreamClients,
        *,
        has_crashed: Callable[[str, str], bool] = lambda name, incarnation: False,
    ) -> None:
        self.health = UpstreamHealth()
        self.state_reads = 0
        self._directory = directory
        self._clients = clients
        self._has_crashed = has_crashed
        self._down: OrderedDict[str, str] = OrderedDict()
        self._alive: OrderedDict[tuple[str, str], None] = OrderedDict()

    def usable(
        self, engines: tuple[Upstream, ...], now_s: float
    ) -> tuple[Upstream, ...]:
        """Return the engines that are not held back, or all if every one is."""
        return tuple(e for e in engines if not self.is_held(e, now_s)) or engines

    def is_held(self, engine: Upstream, now_s: float) -> bool:
        """Return whether the engine failed recently and is held back."""
        return self.health.in_backoff(
            engine.name, now_s, incarnation=engine.incarnation
        )

    def note_failure(self, engine: Upstream, *, is_down: bool) -> None:
        """Count a failure; ``is_down`` means that no connection was accepted."""
        self.health.note_failure(
            engine.name, time.monotonic(), incarnation=engine.incarnation
        )
        if is_down:
            self._down[engine.name] = engine.incarnation
            if len(self._down) > MAX_TRACKED_ENGINES:
                self._down.popitem(last=False)

    def note_success(self, engine: Upstream, started_s: float) -> None:
        """Count a generation that completed."""
        self.health.note_success(engine.name, started_s)
        self._down.pop(engine.name, None)

    def is_down(self, engine: Upstream) -> bool:
        """Return whether the engine refused connections and has not served since."""
        return self._down.get(engine.name) == engine.incarnation

    def needs_check(self, engine: Upstream) -> bool:
        """Return whether the state must be read before the engine gets work."""
        if self.health.is_failing(engine.name):
            return True
        key = (engine.name, engine.incarnation)
        return self._has_crashed(*key) and key not in self._alive

    def confirm(self, engine: Upstream) -> Upstream | None:
        """Read the state; return the current engine, or ``None`` if the read fails."""
        client = self._clients.engine(engine, fresh=True)
        self.state_reads += 1
        state = None
        try:
            with gevent.Timeout(CHECK_TIMEOUT_S, False):
                state = client.state()
        except (EngineFailure, PersimmonyokeError):
            pass
        now_s = time.monotonic()
        if state is None:
            self.health.note_failure(engine.name, now_s, incarnation=engine.incarnation)
            return None
        if state.incarnation == engine.incarnation:
            self._alive[engine.name, engine.incarnation] = None
            if len(self._alive) > MAX_TRACKED_ENGINES:
                self._alive.popitem(last=False)
            return engine
        self._down.pop(engine.name, None)
        self._directory.note_state(state)
        self.health.forget(engine.name)
        return self._directory.find(engine.name, now_s)
