"""Adapter of the routing decisions and the load view to delivery's router."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random

from persimmonyoke.errors import ErrorKind
from persimmonyoke.internal.delivery.api import NoRoute, RouteChoice, RouteQuery
from persimmonyoke.internal.delivery.placement import EnginesDown
from persimmonyoke.internal.node.engine_health import (
    EngineChecks,
    ObservedEngineClient,
)
from persimmonyoke.internal.presets import PoolKind, Preset
from persimmonyoke.internal.routing import (
    EngineChoice,
    NoEngine,
    PrefixIndex,
    RouteRequest,
    RoutingPolicy,
    choose_engine,
)
from persimmonyoke.internal.routing.engines import DEFAULT_POLICY
from persimmonyoke.internal.upstreams.api import Upstream
from persimmonyoke.internal.upstreams.clients import UpstreamClients
from persimmonyoke.internal.upstreams.directory import Directory
from persimmonyoke.internal.upstreams.load_view import DispatchId, LoadView
from persimmonyoke.internal.upstreams.pieces import prompt_pieces

NO_ROUTE_RETRY_S = 1.0


@dataclass(frozen=True)
class PlannedRoute(RouteChoice):
    """Carry the prompt's cache lookup from the choice to the dispatch."""

    pieces: tuple[bytes, ...] = ()
    cached_tokens: int = 0


@dataclass
class OfferedTokens:
    """Count the tokens and requests that callers asked one pool for since the start."""

    prefill: int = 0
    output: int = 0
    requests: int = 0


class EngineRouter:
    """Choose engines of the active preset and account for their load.

    ``is_draining`` returns whether a controller has sent a drain notice for an engine;
    ``adapters`` maps each engine to the adapters that it has loaded.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        load: LoadView,
        prefixes: PrefixIndex,
        preset: Callable[[], Preset | None],
        availability_zone: str,
        region: str,
        is_draining: Callable[[str, float], bool],
        adapters: Mapping[str, tuple[str, ...]],
        rng: Random,
        checks: EngineChecks | None = None,
        policy: RoutingPolicy = DEFAULT_POLICY,
    ) -> None:
        self._directory = directory
        self._load = load
        self.prefixes = prefixes
        self._preset = preset
        self._zone = availability_zone
        self._region = region
        self._is_draining = is_draining
        self._adapters = adapters
        self._rng = rng
        self._checks = checks
        self.policy = policy
        # Attempts at all engines; compared with the requests they show the retries.
        self.dispatches = 0
        self.offered: dict[str, OfferedTokens] = {}
        self.no_route: Counter[str] = Counter()

    def pool_of(self, model: str) -> str | None:
        """Return the engine pool that serves a model in the active preset."""
        preset = self._preset()
        for pool in preset.pools.values() if preset else ():
            if pool.kind is PoolKind.ENGINE and model in {m.name for m in pool.models}:
                return pool.name
        return None

    def candidates(
        self, pool: str, adapter: str | None, now_s: float
    ) -> tuple[Upstream, ...]:
        """Return the engines with the adapter; draining ones only without any other."""
        engines = self._directory.engines(pool, now_s)
        if adapter is not None:
            loaded = self._adapters
            engines = tuple(e for e in engines if adapter in loaded.get(e.name, ()))
        available = tuple(
            engine for engine in engines if not self._is_draining(engine.name, now_s)
        )
        # Drain notices never make a whole pool unavailable.
        return available or engines

    def choose(self, query: RouteQuery, *, now_s: float) -> RouteChoice | NoRoute:
        """Choose an engine outside ``query.excluded``; check engines that failed."""
        failed: Upstream | None = None
        while True:
            choice = self._choose(query, now_s=now_s)
            if isinstance(choice, NoRoute):
                failed = failed or self._excluded_down(query, now_s)
                return choice if failed is None else _engines_down(failed)
            if self._checks is None:
                return choice
            # A held-back engine is chosen only if all others are held back too.
            all_held = self._checks.is_held(choice.engine, now_s)
            confirmed = self._confirm(choice)
            if isinstance(confirmed, PlannedRoute):
                return confirmed
            failed = confirmed
            if all_held:
                return _engines_down(failed)
            query = replace(query, excluded=query.excluded | {confirmed.name})

    def _confirm(self, choice: PlannedRoute) -> PlannedRoute | Upstream:
        """Return the route with checked engines, or an engine that failed its check."""
        changes: dict[str, Upstream] = {}
        for role in ("engine", "prefill_engine"):
            engine = getattr(choice, role)
            if engine is None or not self._checks.needs_check(engine):
                continue
            current = self._checks.confirm(engine)
            if current is None:
                return engine
            changes[role] = current
        return replace(choice, **changes) if changes else choice

    def _choose(self, query: RouteQuery, *, now_s: float) -> PlannedRoute | NoRoute:
        pool = self.pool_of(query.model)
        if pool is None:
            return NoRoute(
                ErrorKind.UNKNOWN_MODEL,
                f"no pool serves {query.model!r}",
                NO_ROUTE_RETRY_S,
            )
        pieces = prompt_pieces(query.prompt)
        request = RouteRequest(
            model=query.model,
            prompt_tokens=query.prompt_tokens + query.prefix_tokens,
            output_tokens=max(1, query.max_tokens - query.prefix_tokens),
            pieces=pieces,
            adapter=query.adapter,
            availability_zone=self._zone,
            region=self._region,
            exclude=query.excluded,
        )
        choice = choose_engine(
            request,
            self._usable_candidates(pool, query, now_s),
            self._load,
            self.prefixes,
            now_s=now_s,
            rng=self._rng,
            policy=self.policy,
        )
        if isinstance(choice, NoEngine):
            self.no_route[choice.reason.value] += 1
            reason = f"no engine of {pool}: {choice.reason.value}"
            return NoRoute(ErrorKind.UPSTREAM_UNAVAILABLE, reason, NO_ROUTE_RETRY_S)
        return self._route(choice, pieces)

    def _usable_candidates(
        self, pool: str, query: RouteQuery, now_s: float
    ) -> tuple[Upstream, ...]:
        engines = self.candidates(pool, query.adapter, now_s)
        if self._checks is None:
            return engines
        allowed = tuple(e for e in engines if e.name not in query.excluded)
        return self._checks.usable(allowed, now_s) or engines

    def _excluded_down(self, query: RouteQuery, now_s: float) -> Upstream | None:
        """Return an engine that the request has already tried and that is down."""
        pool = self.pool_of(query.model)
        if self._checks is None or pool is None:
            return None
        for engine in self.candidates(pool, query.adapter, now_s):
            if engine.name in query.excluded and self._checks.is_down(engine):
                return engine
        return None

    def _route(self, choice: EngineChoice, pieces: tuple[bytes, ...]) -> PlannedRoute:
        preset = self._preset()
        paired = choice.decode_engine is not None
        return PlannedRoute(
            engine=choice.decode_engine if paired else choice.engine,
            prefill_engine=choice.engine if paired else None,
            expected_first_token_s=max(choice.first_token_s, choice.score_s),
            expected_inter_token_s=preset.deadlines.inter_token_s if preset else 0.034,
            pieces=pieces,
            cached_tokens=choice.cached_tokens,
        )

    def note_dispatch(
        self, choice: RouteChoice, query: RouteQuery, *, now_s: float
    ) -> tuple[DispatchId, ...]:
        """Count a dispatch to the engine, or to both of a prefill and decode pair."""
        self._directory.check_dispatch(choice.engine, now_s)
        if isinstance(choice, PlannedRoute):
            pieces, cached = choice.pieces, choice.cached_tokens
        else:
            pieces, cached = prompt_pieces(query.prompt), 0
        prefill = max(0, query.prompt_tokens + query.prefix_tokens - cached)
        output = max(1, query.max_tokens - query.prefix_tokens)
        first = choice.prefill_engine or choice.engine
        self.dispatches += 1
        for engine in {first.name, choice.engine.name} if self._checks else ():
            self._checks.health.note_dispatch(engine, now_s)
        self.prefixes.note_dispatch(first.name, pieces, now_s)
        note = self._load.note_dispatch
        if choice.prefill_engine is None:
            return (note(choice.engine.name, prefill, output, now_s),)
        return (
            note(choice.prefill_engine.name, prefill, 0, now_s),
            note(choice.engine.name, 0, output, now_s),
        )

    def note_completion(self, dispatch: object, *, now_s: float) -> None:
        """Count the end of an attempt, successful or not."""
        for dispatch_id in dispatch:
            self._load.note_completion(dispatch_id, now_s)

    def note_offered(self, pool: str, prefill: int, output: int) -> None:
        """Count the work of an arriving request, whether it is admitted or not."""
        offered = self.offered.setdefault(pool, OfferedTokens())
        offered.prefill += prefill
        offered.output += output
        offered.requests += 1


def _engines_down(last: Upstream) -> EnginesDown:
    return EnginesDown(
        ErrorKind.UPSTREAM_UNAVAILABLE,
        f"no engine answers; the last one tried was {last.name}",
        NO_ROUTE_RETRY_S,
    )


class DirectoryEngines:
    """Provide delivery with the engines of the directory and their clients."""

    def __init__(
        self,
        directory: Directory,
        clients: UpstreamClients,
        clock: Callable[[], float],
        checks: EngineChecks,
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._clock = clock
        self._checks = checks

    def find(self, name: str) -> Upstream | None:
        """Return the engine, or ``None`` if it is unknown."""
        return self._directory.find(name, self._clock())

    def client(self, engine: Upstream, *, fresh: bool = False) -> ObservedEngineClient:
        """Return a client; a fresh one opens a new connection for its next call."""
        client = self._clients.engine(engine, fresh=fresh)
        return ObservedEngineClient(client, engine, self._checks)
