"""Simulation of several hosts that route to queueing engines with delayed reports.

Each engine prefills prompts in FIFO order at a fixed rate and has a bounded LRU cache
of pieces. Reports and cache events reach every host with a delay. A share of the event
batches is lost, which the next batch reports as a gap.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

from persimmonyoke.internal.routing import (
    PIECE_TOKENS,
    EngineChoice,
    PrefixIndex,
    RouteRequest,
    RoutingPolicy,
    choose_engine,
)
from persimmonyoke.internal.upstreams.api import (
    CacheEvent,
    CacheEventBatch,
    Upstream,
)

PREFILL_TOKENS_PER_S = 8_000.0
DEFAULT_POLICY = RoutingPolicy()
SAMPLE_S = 0.1
# One to three shared pieces of 2,000 tokens and 200 to 1,800 unshared tokens.
MEAN_PROMPT_TOKENS = 5_000


@dataclass(frozen=True)
class FleetSettings:
    """Hold the fleet size, the load and the delay and loss of reports.

    ``utilisation`` is the offered load over the capacity without any cache hits.
    """

    hosts: int = 7
    engines: int = 6
    utilisation: float = 0.85
    report_every_s: float = 0.5
    report_lag_s: float = 2.0
    event_lag_s: float = 2.0
    event_loss: float = 0.2
    families: int = 60
    cache_pieces: int = 80
    warm_up_s: float = 30.0
    duration_s: float = 230.0
    # Whether load views scale a host's own dispatches to all hosts, see
    # docs/decisions.md.
    scaled_to_hosts: bool = True


@dataclass(frozen=True)
class FleetFigures:
    """Hold the measurements of one run; queues are in seconds of prefill."""

    hit_pieces: int
    mean_queue_s: float
    worst_engine_over_mean: float
    longest_queue_over_mean: float


@dataclass(frozen=True)
class FixedLoad:
    """Provide a load estimate with fixed values."""

    queued_prefill_tokens: float = 0.0
    running_sequences: float = 0.0
    age_s: float = 0.0
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    decode_tokens_per_s: float = 1_600.0
    max_sequences: int = 32


@dataclass
class HostLoadView:
    """Estimate queues as a host does: delayed report plus own dispatches since."""

    scale: int
    reports: dict[str, tuple[float, float]] = field(default_factory=dict)
    dispatches: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)

    def note_report(self, engine: str, taken_s: float, queued_tokens: float) -> None:
        """Replace the report and drop the dispatches that it includes."""
        self.reports[engine] = (taken_s, queued_tokens)
        own = self.dispatches.setdefault(engine, deque())
        while own and own[0][0] <= taken_s:
            own.popleft()

    def note_dispatch(self, engine: str, now_s: float, tokens: int) -> None:
        """Record a dispatch of this host."""
        self.dispatches.setdefault(engine, deque()).append((now_s, tokens))

    def estimate(self, engine: str, now_s: float) -> FixedLoad:
        """Return the estimate, corrected for other hosts and for completed work."""
        taken_s, queued_tokens = self.reports.get(engine, (now_s, 0.0))
        own_tokens = sum(tokens for _, tokens in self.dispatches.get(engine, ()))
        done_tokens = (now_s - taken_s) * PREFILL_TOKENS_PER_S if self.scale > 1 else 0
        queued_tokens += own_tokens * self.scale - done_tokens
        return FixedLoad(max(0.0, queued_tokens), age_s=now_s - taken_s)


class ModelEngine:
    """Simulate an engine that serves prompts in order and caches their pieces."""

    def __init__(self, name: str, cache_pieces: int) -> None:
        self.name = name
        self.idle_from_s = 0.0
        self._cache: OrderedDict[bytes, None] = OrderedDict()
        self._cache_pieces = cache_pieces
        self._events: list[CacheEvent] = []

    def queue_s(self, now_s: float) -> float:
        """Return the queued prefill work in seconds."""
        return max(0.0, self.idle_from_s - now_s)

    def serve(self, pieces: Sequence[bytes], tokens: int, now_s: float) -> int:
        """Queue a prompt and return the number of uncached tokens."""
        uncached = tokens - self._matched(pieces) * PIECE_TOKENS
        start_s = max(now_s, self.idle_from_s)
        self.idle_from_s = start_s + uncached / PREFILL_TOKENS_PER_S
        # Prefix caches evict the ends of prompts first, so the first piece is stored
        # last, as the most recently used one.
        for piece in reversed(pieces):
            self._store(piece)
        return uncached

    def take_events(self) -> tuple[CacheEvent, ...]:
        """Remove and return the events since the last call."""
        events, self._events = tuple(self._events), []
        return events

    def matched(self, pieces: Sequence[bytes]) -> int:
        """Return the number of cached leading pieces, without marking them as used."""
        return self._matched(pieces)

    def _matched(self, pieces: Sequence[bytes]) -> int:
        for index, piece in enumerate(pieces):
            if piece not in self._cache:
                return index
        return len(pieces)

    def _store(self, piece: bytes) -> None:
        if piece not in self._cache:
            self._events.append(CacheEvent(0, True, piece))
        self._cache[piece] = None
        self._cache.move_to_end(piece)
        while len(self._cache) > self._cache_pieces:
            evicted, _ = self._cache.popitem(last=False)
            self._events.append(CacheEvent(0, False, evicted))


class ExactIndex(PrefixIndex):
    """Look up the actual caches of the engines, as a router with perfect knowledge."""

    def __init__(self, engines: Sequence[ModelEngine]) -> None:
        super().__init__()
        self._engines = {engine.name: engine for engine in engines}

    def matched_pieces(self, engine: str, pieces: Sequence[bytes], now_s: float) -> int:
        """Return the number of leading pieces that the engine holds."""
        return self._engines[engine].matched(pieces)

    def holders(self, pieces: Sequence[bytes], now_s: float) -> dict[str, int]:
        """Return the engines that hold leading pieces, with the number of matches."""
        matched = {name: e.matched(pieces) for name, e in self._engines.items()}
        return {name: count for name, count in matched.items() if count}


def least_loaded(
    request: RouteRequest,
    candidates: Sequence[Upstream],
    load: HostLoadView,
    prefix_index: PrefixIndex,
    *,
    now_s: float,
    rng: Random,
    policy: RoutingPolicy,
) -> EngineChoice:
    """Choose the engine with the shortest estimated queue, ignoring caches."""
    queued = [load.estimate(e.name, now_s).queued_prefill_tokens for e in candidates]
    shortest = min(range(len(queued)), key=lambda i: (queued[i], rng.random()))
    return EngineChoice(candidates[shortest], None, 0.0, 0.0, 0)


class FleetModel:
    """Simulate one trace of prompts through hosts and engines."""

    def __init__(
        self,
        settings: FleetSettings,
        *,
        seed: int,
        choose: Callable[..., EngineChoice] = choose_engine,
        exact_index: bool = False,
        policy: RoutingPolicy = DEFAULT_POLICY,
    ) -> None:
        self._settings = settings
        self._rng = Random(seed)
        self._choose = choose
        self._policy = policy
        names = [f"engine-{number}" for number in range(settings.engines)]
        self._engines = [ModelEngine(name, settings.cache_pieces) for name in names]
        self._upstreams = tuple(Upstream(name, "pool", "", "zone") for name in names)
        scale = settings.hosts if settings.scaled_to_hosts else 1
        self._views = [HostLoadView(scale) for _ in range(settings.hosts)]
        self._indexes: list[PrefixIndex] = [
            ExactIndex(self._engines) if exact_index else PrefixIndex()
            for _ in range(settings.hosts)
        ]
        self._reports: deque[tuple[float, list[float]]] = deque()
        self._batches: deque[tuple[float, str, tuple[CacheEvent, ...]]] = deque()
        self._lost: set[tuple[int, str]] = set()
        self._hit_pieces = 0
        self._queues: list[list[float]] = []

    def run(self) -> FleetFigures:
        """Run the trace and return the measurements."""
        settings = self._settings
        capacity = settings.engines * PREFILL_TOKENS_PER_S
        prompts_per_s = settings.utilisation * capacity / MEAN_PROMPT_TOKENS
        weights = list(accumulate(1 / (rank + 2) for rank in range(settings.families)))
        now_s, next_report_s, next_sample_s = 0.0, 0.0, settings.warm_up_s
        while now_s < settings.duration_s:
            now_s += self._rng.expovariate(prompts_per_s)
            while next_report_s < now_s:
                self._publish(next_report_s)
                self._deliver(next_report_s)
                next_report_s += settings.report_every_s
            while next_sample_s < now_s:
                self._queues.append([e.queue_s(next_sample_s) for e in self._engines])
                next_sample_s += SAMPLE_S
            family = self._rng.choices(range(settings.families), cum_weights=weights)
            self._dispatch(family[0], now_s)
        return self._figures()

    def _dispatch(self, family: int, now_s: float) -> None:
        shared = 1 + family % 3
        pieces = tuple(b"%d/%d" % (family, number) for number in range(shared))
        tokens = shared * PIECE_TOKENS + self._rng.randint(200, 1_800)
        host = self._rng.randrange(self._settings.hosts)
        view, index = self._views[host], self._indexes[host]
        request = RouteRequest("model", tokens, 100, pieces)
        choice = self._choose(
            request,
            self._upstreams,
            view,
            index,
            now_s=now_s,
            rng=self._rng,
            policy=self._policy,
        )
        name = choice.engine.name
        engine = next(engine for engine in self._engines if engine.name == name)
        uncached = engine.serve(pieces, tokens, now_s)
        if now_s >= self._settings.warm_up_s:
            self._hit_pieces += (tokens - uncached) // PIECE_TOKENS
        view.note_dispatch(name, now_s, tokens - choice.cached_tokens)
        index.note_dispatch(name, pieces, now_s)

    def _publish(self, now_s: float) -> None:
        queued = [e.queue_s(now_s) * PREFILL_TOKENS_PER_S for e in self._engines]
        self._reports.append((now_s, queued))
        for engine in self._engines:
            events = engine.take_events()
            if events:
                self._batches.append((now_s, engine.name, events))

    def _deliver(self, now_s: float) -> None:
        settings = self._settings
        while self._reports and self._reports[0][0] + settings.report_lag_s <= now_s:
            taken_s, queued = self._reports.popleft()
            for view in self._views:
                for upstream, tokens in zip(self._upstreams, queued, strict=True):
                    view.note_report(upstream.name, taken_s, tokens)
        while self._batches and self._batches[0][0] + settings.event_lag_s <= now_s:
            _, name, events = self._batches.popleft()
            for host, index in enumerate(self._indexes):
                self._deliver_batch(host, index, name, events, now_s)

    def _deliver_batch(
        self,
        host: int,
        index: PrefixIndex,
        name: str,
        events: tuple[CacheEvent, ...],
        now_s: float,
    ) -> None:
        if self._rng.random() < self._settings.event_loss:
            self._lost.add((host, name))
            return
        gap = (host, name) in self._lost
        self._lost.discard((host, name))
        index.note_events(name, CacheEventBatch(events, 0, gap), now_s)

    def _figures(self) -> FleetFigures:
        samples = len(self._queues)
        by_engine = [sum(queue) / samples for queue in zip(*self._queues, strict=True)]
        mean_s = sum(by_engine) / len(by_engine)
        mean_longest_s = sum(max(queue) for queue in self._queues) / samples
        return FleetFigures(
            hit_pieces=self._hit_pieces,
            mean_queue_s=mean_s,
            worst_engine_over_mean=max(by_engine) / mean_s,
            longest_queue_over_mean=mean_longest_s / mean_s,
        )
