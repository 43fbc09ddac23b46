"""Choice of the prefill and decode engines of a generation.

An engine gets a prompt only when it has almost finished the earlier ones. Prompts are
therefore queued at the gateways, where they can be reordered and cancelled, and not at
the engines.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from persimmonyoke.internal.dispatch.costs import (
    EngineSpeed,
    local_prefill_s,
    prefill_s,
    transfer_s,
)
from persimmonyoke.internal.dispatch.decode_demand import MAX_UTILISATION, StageLoad
from persimmonyoke.internal.dispatch.limits import ReplicaLimits
from persimmonyoke.internal.dispatch.loads import WorkLedger
from persimmonyoke.internal.dispatch.prefixes import PrefixIndex
from persimmonyoke.internal.dispatch.speeds import SlowdownFactors
from persimmonyoke.internal.fleet.model import (
    EngineLimits,
    Prompt,
    Replica,
    Stage,
)

FIRST_EVENT_OVERHEAD_S = 0.11
"""Fixed time of a prefill call, a transfer and the first event, without the prefill.

On idle engines, prefill calls took 47 ms more than the prefill itself, and the first
event 60 ms.
"""

MAX_DISPATCH_BACKLOG_S = 0.06
"""Backlog up to which an engine gets the next prompt.

A chunk takes 45 ms, and the response and the next call take some milliseconds on the
network, during which the engine must not be idle.
"""

COPY_COST_SHARE = 0.6
"""Cost of one more copy of a part, as a share of the part's prefill time.

A copy evicts another part, which may have to be prefilled again.
"""

MIN_FETCH_TOKENS = 256
"""Smaller parts are prefilled in less time than the setup of a transfer takes."""


@dataclass(frozen=True)
class PrefillPlan:
    """Hold how one engine would prefill a prompt.

    ``fetch_from`` is an engine that holds leading parts of the prompt. ``local`` says
    that the engine will also decode. ``unreported_s`` is work that hosts of other zones
    may have sent to the engine since their last report.
    """

    engine: Replica
    fetch_from: Replica | None
    wait_s: float
    prefill_s: float
    local: bool = False
    copy_cost_s: float = 0.0
    unreported_s: float = 0.0

    @property
    def done_s(self) -> float:
        """Return the time until the prefill would be done."""
        return self.wait_s + self.prefill_s

    @property
    def rank_s(self) -> float:
        """Return the cost by which plans are compared; see ``COPY_COST_SHARE``."""
        return self.done_s + self.copy_cost_s + self.unreported_s


@dataclass(frozen=True)
class HeldTokens:
    """Hold the number of leading prompt tokens that can be fetched from an engine."""

    engine: Replica
    tokens: int


class KvSources:
    """Find the engine from which to fetch the leading parts of one prompt.

    The holders are ranked once for all prefill engines, since comparing each pair takes
    thousands of steps for a plan over 70 engines.
    """

    def __init__(self, holders: Sequence[HeldTokens]) -> None:
        ranked = sorted(holders, key=lambda held: -held.tokens)
        # The best may be the prefill engine itself, so the second best is kept too.
        self._best = ranked[:2]
        self._best_in_zone: dict[str, list[HeldTokens]] = {}
        for held in ranked:
            in_zone = self._best_in_zone.setdefault(held.engine.availability_zone, [])
            if len(in_zone) < 2:
                in_zone.append(held)

    def best_for(self, prefill_engine: Replica) -> HeldTokens | None:
        """Return the other engine with the most tokens, in the same zone on a tie."""
        near = self._first_other(
            self._best_in_zone.get(prefill_engine.availability_zone, ()), prefill_engine
        )
        best = self._first_other(self._best, prefill_engine)
        if near is not None and best is not None and near.tokens >= best.tokens:
            return near
        return best

    @staticmethod
    def _first_other(
        ranked: Sequence[HeldTokens], prefill_engine: Replica
    ) -> HeldTokens | None:
        others = (h for h in ranked if h.engine.replica_id != prefill_engine.replica_id)
        return next(others, None)


class Placement:
    """Choose prefill engines by completion time and decode engines by free capacity."""

    def __init__(
        self,
        ledger: WorkLedger,
        prefixes: PrefixIndex,
        factors: SlowdownFactors,
        speed: EngineSpeed,
        *,
        own_zone: str = "",
        limits: ReplicaLimits | None = None,
    ) -> None:
        self._ledger = ledger
        self._limits = limits or ReplicaLimits("")
        self._own_zone = own_zone
        self._remote_report_age_s = 0.0
        self._prefixes = prefixes
        self._factors = factors
        self._speed = speed

    def set_remote_report_age(self, age_s: float) -> None:
        """Set how much older the reports of other zones are than those of this zone.

        The age counts against engines of other zones. Most work of an engine then comes
        from hosts of its own zone, which have recent reports of each other's work.
        """
        self._remote_report_age_s = age_s

    def prefill_plan(
        self,
        prompt: Prompt,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        now_s: float,
    ) -> PrefillPlan | None:
        """Return the plan with the lowest cost, or ``None`` without engines.

        Decode engines prefill prompts only if there is no prefill engine.
        """
        prefill_engines = [
            engine for engine in engines if engine.stage is Stage.PREFILL
        ]
        if not prefill_engines:
            return self._best_local_plan(prompt, engines, now_s=now_s)
        sources = self._sources(prompt, engines, now_s=now_s)
        best: PrefillPlan | None = None
        for engine in prefill_engines:
            # In a busy fleet the backlog alone rules out most engines.
            if best is not None and self._wait_s(engine, now_s) >= best.rank_s:
                continue
            plan = self._plan(prompt, engine, sources, limits, now_s=now_s)
            if best is None or plan.rank_s < best.rank_s:
                best = plan
        return best

    def any_accepts_prompt(self, engines: Sequence[Replica], *, now_s: float) -> bool:
        """Return whether an engine can take a prompt now; true without engines."""
        prefill_engines = _prefill_engines(engines)
        return not prefill_engines or any(
            self._ready_in_s(engine, now_s) <= MAX_DISPATCH_BACKLOG_S
            for engine in prefill_engines
        )

    def mean_backlog_s(self, engines: Sequence[Replica], *, now_s: float) -> float:
        """Return the mean backlog of the engines that prefill prompts."""
        prefill_engines = _prefill_engines(engines)
        if not prefill_engines:
            return 0.0
        total = sum(
            self._ledger.backlog_s(engine.replica_id, now_s=now_s)
            for engine in prefill_engines
        )
        return total / len(prefill_engines)

    def limits_wait_s(
        self, engines: Sequence[Replica], *, waiting: int, now_s: float
    ) -> float:
        """Return how long the limits of engines delay a prompt behind others."""
        ids = [engine.replica_id for engine in _prefill_engines(engines)]
        return self._limits.queue_wait_s(ids, waiting=waiting, now_s=now_s)

    def decoder(
        self,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        zone: str,
        now_s: float,
    ) -> Replica | None:
        """Return the least utilised decode engine, in the same zone on a tie."""
        decoders = [engine for engine in engines if engine.stage is Stage.DECODE]

        def rank(engine: Replica) -> tuple[float, bool, str]:
            utilisation = self.decode_utilisation(engine, limits, now_s=now_s)
            return (
                round(utilisation, 1),
                engine.availability_zone != zone,
                engine.address,
            )

        return min(decoders, key=rank, default=None)

    def decode_utilisation(
        self, engine: Replica, limits: EngineLimits, *, now_s: float
    ) -> float:
        """Return the share of slots or of KV memory in use, whichever is higher."""
        work = self._ledger.total(engine.replica_id, now_s=now_s)
        slots = max(1, engine.slots or limits.slots)
        return max(work.running / slots, work.tokens / limits.kv_tokens)

    def _decode_utilisations(
        self, engines: Sequence[Replica], limits: EngineLimits, now_s: float
    ) -> list[float]:
        return [
            self.decode_utilisation(engine, limits, now_s=now_s)
            for engine in engines
            if engine.stage is Stage.DECODE
        ]

    def stage_load(
        self,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        waiting_s: float,
        now_s: float,
    ) -> StageLoad:
        """Return the load of both stages over all hosts, measured in engines.

        Each second of queued prefill counts as one more busy prefill engine.
        """
        utilisations = self._decode_utilisations(engines, limits, now_s)
        prefill_engines = [
            engine for engine in engines if engine.stage is Stage.PREFILL
        ]
        busy = sum(
            1
            for engine in prefill_engines
            if self._ledger.backlog_s(engine.replica_id, now_s=now_s) > 0.0
        )
        prefilling = min(MAX_UTILISATION * len(prefill_engines), busy + waiting_s)
        decoding = sum(
            min(MAX_UTILISATION, utilisation) for utilisation in utilisations
        )
        return StageLoad(decoding=decoding, prefilling=prefilling)

    def _plan(
        self,
        prompt: Prompt,
        engine: Replica,
        sources: KvSources,
        limits: EngineLimits,
        *,
        now_s: float,
    ) -> PrefillPlan:
        wait_s = self._ready_in_s(engine, now_s)
        unreported_s = self._unreported_s(engine)
        factor = self._factors.factor(engine.replica_id)
        cached = self._cached(engine, prompt, now_s=now_s)
        held = sources.best_for(engine)
        if held is None or held.tokens < cached + MIN_FETCH_TOKENS:
            cost_s = prefill_s(prompt.input_tokens - cached, cached, self._speed)
            return PrefillPlan(
                engine, None, wait_s, cost_s * factor, unreported_s=unreported_s
            )
        source, source_tokens = held.engine, held.tokens
        same_zone = source.availability_zone == engine.availability_zone
        copied = source_tokens - cached
        moved_s = transfer_s(copied, limits, same_zone=same_zone, speed=self._speed)
        cost_s = prefill_s(
            prompt.input_tokens - source_tokens, source_tokens, self._speed
        )
        return PrefillPlan(
            engine,
            source,
            wait_s,
            moved_s + cost_s * factor,
            copy_cost_s=COPY_COST_SHARE * copied / self._speed.prefill_tokens_per_s,
            unreported_s=unreported_s,
        )

    def _wait_s(self, engine: Replica, now_s: float) -> float:
        """Return a lower bound of the time until an engine starts a new prompt."""
        return self._ready_in_s(engine, now_s) + self._unreported_s(engine)

    def _ready_in_s(self, engine: Replica, now_s: float) -> float:
        """Return when an engine can begin a prompt, by its backlog and its limit."""
        backlog_s = self._ledger.backlog_s(engine.replica_id, now_s=now_s)
        return max(backlog_s, self._limits.wait_s(engine.replica_id, now_s))

    def _unreported_s(self, engine: Replica) -> float:
        """Return the expected work that hosts of other zones have not reported yet."""
        if engine.availability_zone == self._own_zone:
            return 0.0
        return self._remote_report_age_s / 2

    def _sources(
        self, prompt: Prompt, engines: Sequence[Replica], *, now_s: float
    ) -> KvSources:
        holders = []
        for engine in self._first_part_holders(prompt, engines):
            tokens = self._prefixes.fetchable_tokens(
                engine.replica_id, prompt.parts, now_s=now_s
            )
            if tokens:
                holders.append(HeldTokens(engine, tokens))
        return KvSources(holders)

    def _first_part_holders(
        self, prompt: Prompt, engines: Sequence[Replica]
    ) -> list[Replica]:
        """Return the engines that hold the first part, which all prefixes include."""
        if not prompt.parts:
            return []
        names = frozenset(self._prefixes.holders(prompt.parts[0].part_id))
        return [engine for engine in engines if engine.replica_id in names]

    def _cached(self, engine: Replica, prompt: Prompt, *, now_s: float) -> int:
        tokens = self._prefixes.cached_tokens(
            engine.replica_id, prompt.parts, now_s=now_s
        )
        return min(tokens, prompt.input_tokens)

    def _best_local_plan(
        self, prompt: Prompt, engines: Sequence[Replica], *, now_s: float
    ) -> PrefillPlan | None:
        plans = []
        for engine in engines:
            if engine.stage is not Stage.DECODE:
                continue
            cached = self._cached(engine, prompt, now_s=now_s)
            cost_s = local_prefill_s(prompt.input_tokens - cached, cached, self._speed)
            wait_s = self._ready_in_s(engine, now_s)
            plans.append(PrefillPlan(engine, None, wait_s, cost_s, local=True))
        return min(plans, key=lambda plan: plan.done_s, default=None)


def _prefill_engines(engines: Sequence[Replica]) -> list[Replica]:
    """Return the prefill engines, or all engines if there are none."""
    return [e for e in engines if e.stage is Stage.PREFILL] or list(engines)
