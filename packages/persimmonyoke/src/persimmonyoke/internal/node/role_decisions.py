"""Role decisions of one pool, based on offered work, load reports and the preset."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from math import exp

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.node.offered_load import OfferedLoad, PoolTotals
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.presets import Preset
from persimmonyoke.internal.roles import (
    ChangeRole,
    EngineRates,
    EngineRole,
    HysteresisRolePolicy,
    MixEstimator,
    PoolState,
    RolePolicy,
)
from persimmonyoke.internal.upstreams.api import EngineClient, EngineFailure, Upstream
from persimmonyoke.internal.upstreams.load_view import LoadView

# Minimum time between reads of the engines' states after they did not confirm a change:
# the load view catches up with the next reports.
RECHECK_S = 2.0
SIZE_TIME_CONSTANT_S = 60.0
# Request sizes assumed before the first request. The prompt size bounds the load of a
# prefill engine.
DEFAULT_PROMPT_TOKENS, DEFAULT_OUTPUT_TOKENS = 2_000.0, 128.0

log = part_logger("controller")


class RoleDecisions:
    """Track the work offered to one pool and decide on the roles of its engines.

    ``engines`` returns the engines of the pool that are not leaving. ``time_scale`` is
    the time scale of simulated engines; the policy gets unscaled durations and rates.
    """

    def __init__(
        self,
        pool: str,
        *,
        engines: Callable[[], Iterable[Upstream]],
        load: LoadView,
        offered: OfferedLoad,
        preset: Callable[[], Preset | None],
        client_of: Callable[[Upstream], EngineClient],
        policy: RolePolicy | None = None,
        time_scale: float = 1.0,
    ) -> None:
        self.pool = pool
        self._engines = engines
        self._load = load
        self._offered = offered
        self._preset = preset
        self._client_of = client_of
        self._policy = policy or HysteresisRolePolicy()
        self._time_scale = time_scale
        self._estimator: MixEstimator | None = None
        self._last_totals = PoolTotals(0, 0, 0)
        self._sizes = RequestSizes()
        self._recheck_at_s = 0.0

    def observe(self, now_s: float) -> None:
        """Update the mix estimate with newly offered work.

        Also called while another controller holds the lease, so that this one knows the
        long-run mix when it takes over.
        """
        totals, previous = self._offered.totals(self.pool), self._last_totals
        scaled_s = now_s / self._time_scale
        rates = self._rates(now_s)
        if rates is None:
            return
        if self._estimator is None:
            self._estimator = MixEstimator(rates)
        else:
            self._estimator.set_rates(rates)
        increase = PoolTotals(
            totals.prefill_tokens - previous.prefill_tokens,
            totals.output_tokens - previous.output_tokens,
            totals.requests - previous.requests,
        )
        self._last_totals = totals
        self._sizes.add(increase, scaled_s)
        self._estimator.note(
            increase.prefill_tokens, increase.output_tokens, now_s=scaled_s
        )

    def decide(self, now_s: float) -> ChangeRole | None:
        """Return the change to make now, confirmed by the engines' current states."""
        preset = self._preset()
        self.observe(now_s)
        if preset is None or self._estimator is None or now_s < self._recheck_at_s:
            return None
        rates = self._rates(now_s)
        reported = tuple(self._reported(e, now_s) for e in self._engines())
        wanted = self._decide_for(PoolState(self.pool, reported, rates), preset, now_s)
        if wanted is None:
            return None
        confirmed = self._decide_for(
            self._confirmed(preset, rates, now_s), preset, now_s
        )
        if confirmed is None:
            self._recheck_at_s = now_s + RECHECK_S
        return confirmed

    def _decide_for(
        self, state: PoolState, preset: Preset, now_s: float
    ) -> ChangeRole | None:
        scaled_s = now_s / self._time_scale
        mix = self._estimator.estimate(scaled_s)
        limits = preset.deadlines
        first_token_s = limits.first_token_s / self._time_scale
        preset = replace(preset, deadlines=replace(limits, first_token_s=first_token_s))
        decision = self._policy.decide(state, mix, preset, now_s=scaled_s)
        return decision if isinstance(decision, ChangeRole) else None

    def _reported(self, engine: Upstream, now_s: float) -> EngineRole:
        estimate = self._load.estimate(engine.name, now_s)
        return EngineRole(
            engine.name,
            engine.role,
            running_sequences=estimate.running_sequences,
            queued_prefill_tokens=estimate.queued_prefill_tokens,
        )

    def _confirmed(self, preset: Preset, rates: EngineRates, now_s: float) -> PoolState:
        """Return the state of the pool as read from its engines now.

        Reports lag: a role may have changed since, and an engine that has crashed or
        lacks a model would be counted as serving its phase.
        """
        policy = preset.pools.get(self.pool)
        models = {model.name for model in policy.models} if policy else set()
        serving, in_flight = [], False
        for engine in self._engines():
            try:
                state = self._client_of(engine).state()
            except (EngineFailure, ProtocolError) as error:
                log.info(
                    "engine {} excluded from the role decision: {}", engine.name, error
                )
                continue
            in_flight = in_flight or state.open_order_id is not None
            if models <= set(state.models):
                reported = self._reported(engine, now_s)
                serving.append(replace(reported, role=state.role))
        return PoolState(self.pool, tuple(serving), rates, change_in_flight=in_flight)

    def _rates(self, now_s: float) -> EngineRates | None:
        """Return the mean of the engines' reported rates, ``None`` without a report."""
        estimates = [self._load.estimate(e.name, now_s) for e in self._engines()]
        known = [
            e for e in estimates if e.prefill_tokens_per_s and e.decode_tokens_per_s
        ]
        if not known:
            return None
        scale = self._time_scale / len(known)
        decode_tokens_per_s = scale * sum(e.decode_tokens_per_s for e in known)
        slots = sum(e.max_sequences for e in known) / len(known)
        sizes = self._sizes.mean()
        if sizes is None:
            sizes = (DEFAULT_PROMPT_TOKENS, DEFAULT_OUTPUT_TOKENS)
        return EngineRates(
            prefill_tokens_per_s=scale * sum(e.prefill_tokens_per_s for e in known),
            decode_tokens_per_s=decode_tokens_per_s,
            prompt_tokens=max(1.0, sizes[0]),
            sequence_s=sizes[1] * slots / decode_tokens_per_s,
        )


class RequestSizes:
    """Average the token counts of recent requests with exponential decay."""

    def __init__(self) -> None:
        self._sums = [0.0, 0.0, 0.0]
        self._now_s: float | None = None

    def add(self, increase: PoolTotals, now_s: float) -> None:
        """Add the work offered since the last call."""
        elapsed_s = 0.0 if self._now_s is None else max(0.0, now_s - self._now_s)
        self._now_s = now_s
        decay = exp(-elapsed_s / SIZE_TIME_CONSTANT_S)
        added = (increase.prefill_tokens, increase.output_tokens, increase.requests)
        self._sums = [
            old * decay + new for old, new in zip(self._sums, added, strict=True)
        ]

    def mean(self) -> tuple[float, float] | None:
        """Return mean prompt and output tokens, ``None`` without recent requests."""
        prompt, output, requests = self._sums
        return (prompt / requests, output / requests) if requests > 0.5 else None
