"""Choice of the engines of a generation.

An engine gets a prompt only when it has nearly read those before it, so that prompts
wait at the gateways, where they can be ordered and given up, and not at engines.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from persimmonyoke.internal.dispatch.costs import (
    EngineSpeed,
    local_prefill_s,
    prefill_s,
    transfer_s,
)
from persimmonyoke.internal.dispatch.decode_demand import MAX_FILL, StageLoad
from persimmonyoke.internal.dispatch.loads import WorkLedger
from persimmonyoke.internal.dispatch.prefixes import PrefixIndex
from persimmonyoke.internal.dispatch.speeds import EngineFactors
from persimmonyoke.internal.fleet.model import (
    EngineLimits,
    Prompt,
    Replica,
    Stage,
)

FIRST_EVENT_OVERHEAD_S = 0.11
"""Fixed time of a prefill call, a transfer and the first event beside the reading.

Prompts on idle engines took 47 ms beside their reading, the first event 60 ms.
"""

MAX_DISPATCH_BACKLOG_S = 0.06
"""Backlog up to which an engine gets the next prompt.

Chunks take 45 ms, and the answer and the next call some milliseconds on the network,
in which the engine shall not be idle.
"""

COPY_COST_SHARE = 0.6
"""Share of its reading time that one more copy of a part counts against a plan.

A copy displaces another part, which may have to be read again.
"""

MIN_FETCH_TOKENS = 256
"""A smaller part is read sooner than its transfer is set up."""


@dataclass(frozen=True)
class PrefillPlan:
    """Hold how one engine would read a prompt.

    ``fetch_from`` is an engine that holds leading parts of the prompt. ``local`` says
    that the engine is the one that will generate. ``unknown_s`` is work that hosts of
    other zones may have sent to the engine since they last told of it.
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
        """Return when the prompt would be read."""
        return self.wait_s + self.prefill_s

    @property
    def rank_s(self) -> float:
        """Return the time to compare plans by; copies take memory from other parts."""
        return self.done_s + self.copy_cost_s + self.unreported_s


@dataclass(frozen=True)
class HeldTokens:
    """Hold how many leading tokens of a prompt an engine can give to others."""

    engine: Replica
    tokens: int


class KvSources:
    """Find the engine to fetch the leading parts of one prompt from.

    The candidates are ranked once for all readers. Comparing each reader with each
    engine takes thousands of steps for a plan over 70 engines.
    """

    def __init__(self, holders: Sequence[HeldTokens]) -> None:
        ranked = sorted(holders, key=lambda held: -held.tokens)
        # The best may be the reader itself, so the second is kept, too.
        self._best = ranked[:2]
        self._best_in_zone: dict[str, list[HeldTokens]] = {}
        for held in ranked:
            in_zone = self._best_in_zone.setdefault(held.engine.availability_zone, [])
            if len(in_zone) < 2:
                in_zone.append(held)

    def best_for(self, reader: Replica) -> HeldTokens | None:
        """Return the other engine that holds most, one of the same zone first."""
        near = self._first_other(
            self._best_in_zone.get(reader.availability_zone, ()), reader
        )
        best = self._first_other(self._best, reader)
        if near is not None and best is not None and near.tokens >= best.tokens:
            return near
        return best

    @staticmethod
    def _first_other(
        ranked: Sequence[HeldTokens], reader: Replica
    ) -> HeldTokens | None:
        others = (h for h in ranked if h.engine.replica_id != reader.replica_id)
        return next(others, None)


class Placement:
    """Choose engines by when a prompt would be read, and by room for its output."""

    def __init__(
        self,
        ledger: WorkLedger,
        prefixes: PrefixIndex,
        factors: EngineFactors,
        speed: EngineSpeed,
        *,
        own_zone: str = "",
    ) -> None:
        self._ledger = ledger
        self._own_zone = own_zone
        self._remote_report_age_s = 0.0
        self._prefixes = prefixes
        self._factors = factors
        self._speed = speed

    def set_remote_report_age(self, age_s: float) -> None:
        """Note by how much reports from other zones are older than those from here.

        Engines are used by the hosts near them before by others, so that the hosts that
        use an engine know each other's work there.
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
        """Return where the prompt would be read first.

        Decode engines read prompts only if there is no prefill engine.
        """
        readers = [engine for engine in engines if engine.stage is Stage.PREFILL]
        if not readers:
            return self._best_local_plan(prompt, engines, now_s=now_s)
        sources = self._sources(prompt, engines, now_s=now_s)
        best: PrefillPlan | None = None
        for reader in readers:
            # Most engines of a busy fleet are ruled out by their backlog alone.
            if best is not None and self._wait_s(reader, now_s) >= best.rank_s:
                continue
            plan = self._plan(prompt, reader, sources, limits, now_s=now_s)
            if best is None or plan.rank_s < best.rank_s:
                best = plan
        return best

    def any_accepts_prompt(self, engines: Sequence[Replica], *, now_s: float) -> bool:
        """Return whether an engine may get a prompt now, or whether none is there."""
        readers = _prefill_engines(engines)
        return not readers or any(
            self._ledger.backlog_s(reader.replica_id, now_s=now_s)
            <= MAX_DISPATCH_BACKLOG_S
            for reader in readers
        )

    def mean_backlog_s(self, engines: Sequence[Replica], *, now_s: float) -> float:
        """Return the mean time that engines need for prompts sent to them."""
        readers = _prefill_engines(engines)
        if not readers:
            return 0.0
        total = sum(
            self._ledger.backlog_s(reader.replica_id, now_s=now_s) for reader in readers
        )
        return total / len(readers)

    def decoder(
        self,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        zone: str,
        now_s: float,
    ) -> Replica | None:
        """Return the decode engine with the most room, the same zone first."""
        decoders = [engine for engine in engines if engine.stage is Stage.DECODE]

        def rank(engine: Replica) -> tuple[float, bool, str]:
            fill = self.decode_fill(engine, limits, now_s=now_s)
            return (round(fill, 1), engine.availability_zone != zone, engine.address)

        return min(decoders, key=rank, default=None)

    def decode_fill(
        self, engine: Replica, limits: EngineLimits, *, now_s: float
    ) -> float:
        """Return the share of an engine's slots or memory that runs take."""
        work = self._ledger.total(engine.replica_id, now_s=now_s)
        slots = max(1, engine.slots or limits.slots)
        return max(work.running / slots, work.tokens / limits.kv_tokens)

    def _decode_fills(
        self, engines: Sequence[Replica], limits: EngineLimits, now_s: float
    ) -> list[float]:
        return [
            self.decode_fill(engine, limits, now_s=now_s)
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
        """Return how many engines the work of all hosts fills or keeps reading.

        A second of reading that waits for an engine counts as one more of them.
        """
        fills = self._decode_fills(engines, limits, now_s)
        readers = [engine for engine in engines if engine.stage is Stage.PREFILL]
        busy = sum(
            1
            for engine in readers
            if self._ledger.backlog_s(engine.replica_id, now_s=now_s) > 0.0
        )
        prefilling = min(MAX_FILL * len(readers), busy + waiting_s)
        decoding = sum(min(MAX_FILL, fill) for fill in fills)
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
        wait_s = self._ledger.backlog_s(engine.replica_id, now_s=now_s)
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
        """Return the least time until an engine begins to read a new prompt."""
        backlog_s = self._ledger.backlog_s(engine.replica_id, now_s=now_s)
        return backlog_s + self._unreported_s(engine)

    def _unreported_s(self, engine: Replica) -> float:
        """Return the mean work of which a report of another zone does not tell yet."""
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
        """Return the engines that can hold any leading part of a prompt."""
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
            wait_s = self._ledger.backlog_s(engine.replica_id, now_s=now_s)
            plans.append(PrefillPlan(engine, None, wait_s, cost_s, local=True))
        return min(plans, key=lambda plan: plan.done_s, default=None)


def _prefill_engines(engines: Sequence[Replica]) -> list[Replica]:
    """Return the engines that read prompts: all, if none is there for that only."""
    return [e for e in engines if e.stage is Stage.PREFILL] or list(engines)
