"""Selection of the engine, or pair of engines, for a request."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from persimmonyoke.internal.routing.candidates import (
    longest_matches,
    rendezvous_top,
    sample_upstreams,
    unique_upstreams,
)
from persimmonyoke.internal.routing.costs import (
    DEFAULT_TRANSFER_COSTS,
    EngineLoad,
    TransferCosts,
    engine_load,
)
from persimmonyoke.internal.routing.load import LoadSource
from persimmonyoke.internal.routing.prefix_index import PrefixIndex
from persimmonyoke.internal.upstreams.api import Role, Upstream
from persimmonyoke.internal.upstreams.pieces import PIECE_TOKENS


@dataclass(frozen=True)
class RouteRequest:
    """Hold the properties of a request that routing depends on.

    ``exclude`` names engines that a retry must not use again. ``exclusive`` isolates a
    suspect request: it prefers engines outside ``suspect_engines``, the engines that
    run other suspects. ``avoid_zones`` are under maintenance and used only if no other
    zone has a usable engine.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    pieces: tuple[bytes, ...] = ()
    adapter: str | None = None
    availability_zone: str = ""
    region: str = ""
    exclude: frozenset[str] = frozenset()
    exclusive: bool = False
    suspect_engines: frozenset[str] = frozenset()
    avoid_zones: frozenset[str] = frozenset()


@dataclass(frozen=True)
class EngineChoice:
    """Hold the engine for a request, or the engines for its two phases.

    ``decode_engine`` is ``None`` if ``engine`` runs both phases. ``first_token_s`` is
    the expected time to the first token; admission compares it with the deadline.
    """

    engine: Upstream
    decode_engine: Upstream | None
    score_s: float
    first_token_s: float
    cached_tokens: int


class NoEngineReason(StrEnum):
    """Enumerate the reasons why no engine can run a request."""

    NO_CANDIDATES = "no_candidates"
    ALL_LEAVING = "all_leaving"
    ALL_EXCLUDED = "all_excluded"
    NO_MODEL = "no_model"
    ROLE_MISSING = "role_missing"


@dataclass(frozen=True)
class NoEngine:
    """Report that no engine can run the request."""

    reason: NoEngineReason


@dataclass(frozen=True)
class RoutingPolicy:
    """Hold the parameters of engine selection.

    ``random_candidates`` bounds the share of traffic that an engine with an outdated
    report can attract: queues are shorter with 2 than with 3 unless estimates are
    corrected for the dispatches of other hosts (docs/decisions.md). ``home_affinity``
    is the bonus of a prefix's home engine, the first one by rendezvous hash, as a share
    of one piece's prefill time. It makes hosts agree on one engine for a prefix before
    any cache event arrives. ``mixed_interference`` is the share by which prefill and
    decode on one engine slow each other down.
    """

    random_candidates: int = 2
    rendezvous_candidates: int = 2
    holder_candidates: int = 2
    home_affinity: float = 0.5
    mixed_interference: float = 0.25
    transfer: TransferCosts = DEFAULT_TRANSFER_COSTS


DEFAULT_POLICY = RoutingPolicy()


def choose_engine(
    request: RouteRequest,
    candidates: Sequence[Upstream],
    load: LoadSource,
    prefix_index: PrefixIndex,
    *,
    now_s: float,
    rng: Random,
    policy: RoutingPolicy = DEFAULT_POLICY,
) -> EngineChoice | NoEngine:
    """Return the choice with the lowest score, in seconds.

    The score is the sum of the expected wait for prefill, the prefill time of uncached
    tokens, the transfer of the KV cache and the wait for a decode slot. A cache hit
    lowers it by exactly the prefill time that it saves.
    """
    usable = usable_engines(request, candidates)
    if isinstance(usable, NoEngine):
        return usable
    scorer = _Scorer(request, load, prefix_index, now_s=now_s, rng=rng, policy=policy)
    mixed = [engine for engine in usable if engine.role is Role.MIXED]
    prefill = [engine for engine in usable if engine.role is Role.PREFILL]
    decode = [engine for engine in usable if engine.role is Role.DECODE]
    mixed_for_prefill = scorer.prefill_candidates(mixed)
    decode_picks = scorer.sample(decode)
    choices = [scorer.score_single(engine) for engine in mixed_for_prefill]
    choices += scorer.score_pairs(
        scorer.prefill_candidates(prefill), [*decode_picks, *scorer.sample(mixed)]
    )
    choices += scorer.score_pairs(mixed_for_prefill, decode_picks)
    if not choices:
        return NoEngine(NoEngineReason.ROLE_MISSING)
    return min(choices, key=lambda choice: choice.score_s)


def usable_engines(
    request: RouteRequest, candidates: Sequence[Upstream]
) -> list[Upstream] | NoEngine:
    """Return the engines that may run the request, or the reason if there are none."""
    if not candidates:
        return NoEngine(NoEngineReason.NO_CANDIDATES)
    staying = [engine for engine in candidates if not engine.leaving]
    if not staying:
        return NoEngine(NoEngineReason.ALL_LEAVING)
    with_model = [
        engine
        for engine in staying
        if not engine.models or request.model in engine.models
    ]
    if not with_model:
        return NoEngine(NoEngineReason.NO_MODEL)
    allowed = [engine for engine in with_model if engine.name not in request.exclude]
    if not allowed:
        return NoEngine(NoEngineReason.ALL_EXCLUDED)
    allowed = _preferred(
        allowed, lambda engine: engine.availability_zone not in request.avoid_zones
    )
    if request.exclusive:
        allowed = _preferred(
            allowed, lambda engine: engine.name not in request.suspect_engines
        )
    return allowed


def _preferred(
    engines: list[Upstream], accepts: Callable[[Upstream], bool]
) -> list[Upstream]:
    """Return the accepted engines, or all if the accepted ones can't run a request."""
    accepted = [engine for engine in engines if accepts(engine)]
    return accepted if _covers_both_phases(accepted) else engines


def _covers_both_phases(engines: Iterable[Upstream]) -> bool:
    roles = {engine.role for engine in engines}
    return Role.MIXED in roles or {Role.PREFILL, Role.DECODE} <= roles


class _Scorer:
    """Score engines for one request, with one load lookup per engine."""

    def __init__(
        self,
        request: RouteRequest,
        load: LoadSource,
        prefix_index: PrefixIndex,
        *,
        now_s: float,
        rng: Random,
        policy: RoutingPolicy,
    ) -> None:
        self._request = request
        self._load = load
        self._prefix_index = prefix_index
        self._now_s = now_s
        self._rng = rng
        self._policy = policy
        self._loads: dict[str, EngineLoad] = {}
        self._homes: set[str] = set()

    def prefill_candidates(self, engines: Sequence[Upstream]) -> list[Upstream]:
        """Return random candidates and engines that may hold the prompt's pieces."""
        pieces = self._request.pieces
        if not pieces or not engines:
            return self.sample(engines)
        homes = rendezvous_top(engines, pieces[0], self._policy.rendezvous_candidates)
        self._homes.update(home.name for home in homes[:1])
        matched = self._prefix_index.holders(pieces, self._now_s)
        holders = longest_matches(engines, matched, self._policy.holder_candidates)
        return unique_upstreams([*self.sample(engines), *holders, *homes])

    def sample(self, engines: Sequence[Upstream]) -> list[Upstream]:
        """Return random candidates."""
        return sample_upstreams(engines, self._policy.random_candidates, self._rng)

    def score_single(self, engine: Upstream) -> EngineChoice:
        """Score one engine for both phases."""
        first_token_s, cached_tokens = self._estimate_first_token(engine)
        score_s = first_token_s + self._decode_s(engine) - self._home_bonus_s(engine)
        return EngineChoice(engine, None, score_s, first_token_s, cached_tokens)

    def score_pairs(
        self, prefill: Sequence[Upstream], decode: Sequence[Upstream]
    ) -> list[EngineChoice]:
        """Score each pair of a prefill and a decode engine."""
        return [
            self._score_pair(first, second)
            for first in prefill
            for second in decode
            if first.name != second.name
        ]

    def _score_pair(self, first: Upstream, second: Upstream) -> EngineChoice:
        first_token_s, cached_tokens = self._estimate_first_token(first)
        transfer_s = self._policy.transfer.kv_transfer_s(
            first, second, self._request.prompt_tokens
        )
        score_s = first_token_s + transfer_s + self._decode_s(second)
        score_s -= self._home_bonus_s(first)
        return EngineChoice(first, second, score_s, first_token_s, cached_tokens)

    def _estimate_first_token(self, engine: Upstream) -> tuple[float, int]:
        """Return the expected time to the first token and the cached tokens."""
        request = self._request
        load = self._engine_load(engine)
        pieces = self._prefix_index.matched_pieces(
            engine.name, request.pieces, self._now_s
        )
        cached_tokens = min(pieces * PIECE_TOKENS, request.prompt_tokens)
        uncached_s = (request.prompt_tokens - cached_tokens) / load.prefill_tokens_per_s
        if engine.role is Role.MIXED:
            uncached_s *= 1 + self._policy.mixed_interference * load.occupancy
        distance_s = self._policy.transfer.request_latency_s(
            request.availability_zone, request.region, engine
        )
        return load.prefill_wait_s + uncached_s + distance_s, cached_tokens

    def _home_bonus_s(self, engine: Upstream) -> float:
        """Return the bonus of the prefix's home engine, 0 if it already has a hit."""
        if engine.name not in self._homes:
            return 0.0
        pieces = self._request.pieces
        if self._prefix_index.matched_pieces(engine.name, pieces, self._now_s):
            return 0.0
        rate = self._engine_load(engine).prefill_tokens_per_s
        return self._policy.home_affinity * PIECE_TOKENS / rate

    def _decode_s(self, engine: Upstream) -> float:
        """Return the wait for a decode slot plus the interference by queued prefill."""
        load = self._engine_load(engine)
        decode_s = load.decode_wait_s(self._request.output_tokens)
        if engine.role is Role.MIXED:
            decode_s += self._policy.mixed_interference * load.prefill_wait_s
        return decode_s

    def _engine_load(self, engine: Upstream) -> EngineLoad:
        if engine.name not in self._loads:
            estimate = self._load.estimate(engine.name, self._now_s)
            self._loads[engine.name] = engine_load(estimate)
        return self._loads[engine.name]
