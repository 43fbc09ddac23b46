"""Choice of the engines of a generation, or its refusal.

Answers bursts in which kinds of requests take turns and one kind doubles: every host
estimates when the first token could come and refuses what would come too late, so that
engines spend no time on prompts whose answers nobody waits for.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from persimmonyoke.internal.dispatch.costs import (
    EngineSpeed,
    local_read_s,
    read_s,
    transfer_s,
)
from persimmonyoke.internal.dispatch.loads import WorkLedger
from persimmonyoke.internal.dispatch.prefixes import PrefixIndex
from persimmonyoke.internal.fleet.model import (
    EngineLimits,
    Prompt,
    Replica,
    Stage,
)

FIRST_TOKEN_S = 0.06
"""Time from the end of a prefill to the first event on a decode engine with room."""

DEADLINE_SHARE = 0.7
"""Share of the remaining time in which the first token is accepted to come.

The rest is for the output and for estimates that are too low.
"""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
"""Bursts on the deployment sheets take turns every 2.8 s."""

MIN_FETCH_TOKENS = 256
"""A smaller part is read sooner than its transfer is set up."""

ZONE_PENALTY_S = 0.004
"""Worth of staying in the zone: transfers between zones cost twice the time."""


@dataclass(frozen=True)
class Placed:
    """Name the engines of a generation and the estimates behind the choice.

    ``prefill`` is ``None`` if the decode engine reads the prompt itself.
    """

    prefill: Replica | None
    decode: Replica
    fetch_from: Replica | None
    read_s: float
    first_token_s: float


@dataclass(frozen=True)
class Refused:
    """Say why no engine is used, and when a place is likely."""

    reason: str
    retry_after_s: float
    first_token_s: float | None = None


@dataclass(frozen=True)
class Demand:
    """Hold what a generation needs and how long its caller waits."""

    prompt: Prompt
    target_latency_s: float
    remaining_s: float


@dataclass(frozen=True)
class _ReadPlan:
    """Hold how one engine would read a prompt."""

    engine: Replica
    fetch_from: Replica | None
    wait_s: float
    read_s: float

    @property
    def done_s(self) -> float:
        """Return when the prompt would be read."""
        return self.wait_s + self.read_s


class Placement:
    """Choose engines by when the first token is expected."""

    def __init__(
        self, ledger: WorkLedger, prefixes: PrefixIndex, speed: EngineSpeed
    ) -> None:
        self._ledger = ledger
        self._prefixes = prefixes
        self._speed = speed

    def place(
        self,
        demand: Demand,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        own_zone: str,
        now_s: float,
    ) -> Placed | Refused:
        """Return the engines of a generation, or why it is refused."""
        decoders = [engine for engine in engines if engine.stage is Stage.DECODE]
        if not decoders:
            return Refused("no decode engine", MIN_RETRY_AFTER_S * 5)
        decode = self._best_decoder(decoders, limits, own_zone=own_zone, now_s=now_s)
        decode_wait_s = self._decode_wait_s(decode, limits, now_s=now_s)
        plan = self._best_plan(demand.prompt, engines, limits, now_s=now_s)
        if plan is None:
            return self._place_without_prefill(demand, decode, now_s=now_s)
        first_token_s = plan.done_s + decode_wait_s + FIRST_TOKEN_S
        latest_s = self._latest_s(demand)
        if first_token_s > latest_s:
            return Refused(
                "first token would come too late",
                _retry_after_s(first_token_s - latest_s),
                first_token_s,
            )
        return Placed(plan.engine, decode, plan.fetch_from, plan.read_s, first_token_s)

    def decoder(
        self,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        own_zone: str,
        now_s: float,
    ) -> Replica | None:
        """Return the decode engine with the most room."""
        decoders = [engine for engine in engines if engine.stage is Stage.DECODE]
        if not decoders:
            return None
        return self._best_decoder(decoders, limits, own_zone=own_zone, now_s=now_s)

    def _latest_s(self, demand: Demand) -> float:
        return demand.remaining_s * DEADLINE_SHARE

    def _best_decoder(
        self,
        decoders: Sequence[Replica],
        limits: EngineLimits,
        *,
        own_zone: str,
        now_s: float,
    ) -> Replica:
        def rank(engine: Replica) -> tuple[float, bool, str]:
            work = self._ledger.total(engine.replica_id, now_s=now_s)
            slots = max(1, engine.slots or limits.slots)
            fill = max(work.running / slots, work.tokens / limits.kv_tokens)
            return (
                round(fill, 1),
                engine.availability_zone != own_zone,
                engine.address,
            )

        return min(decoders, key=rank)

    def _decode_wait_s(
        self, decode: Replica, limits: EngineLimits, *, now_s: float
    ) -> float:
        """Return the wait for a slot, as if streams ended evenly over a second."""
        running = self._ledger.total(decode.replica_id, now_s=now_s).running
        slots = max(1, decode.slots or limits.slots)
        return max(0, running + 1 - slots) / slots

    def _best_plan(
        self,
        prompt: Prompt,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        now_s: float,
    ) -> _ReadPlan | None:
        best = None
        for engine in engines:
            if engine.stage is not Stage.PREFILL:
                continue
            plan = self._plan(prompt, engine, engines, limits, now_s=now_s)
            if best is None or plan.done_s < best.done_s:
                best = plan
        return best

    def _plan(
        self,
        prompt: Prompt,
        engine: Replica,
        engines: Sequence[Replica],
        limits: EngineLimits,
        *,
        now_s: float,
    ) -> _ReadPlan:
        wait_s = self._ledger.total(engine.replica_id, now_s=now_s).read_s
        cached = self._cached(engine, prompt, now_s=now_s)
        source, source_tokens = self._best_source(prompt, engine, engines, now_s=now_s)
        if source is None or source_tokens < cached + MIN_FETCH_TOKENS:
            cost_s = read_s(prompt.input_tokens - cached, cached, self._speed)
            return _ReadPlan(engine, None, wait_s, cost_s)
        same_zone = source.availability_zone == engine.availability_zone
        moved_s = transfer_s(
            source_tokens - cached, limits, same_zone=same_zone, speed=self._speed
        )
        cost_s = moved_s + read_s(
            prompt.input_tokens - source_tokens, source_tokens, self._speed
        )
        return _ReadPlan(engine, source, wait_s, cost_s)

    def _best_source(
        self,
        prompt: Prompt,
        reader: Replica,
        engines: Sequence[Replica],
        *,
        now_s: float,
    ) -> tuple[Replica | None, int]:
        best, best_key = None, (0, False)
        for engine in engines:
            if engine.replica_id == reader.replica_id:
                continue
            tokens = self._cached(engine, prompt, now_s=now_s)
            key = (tokens, engine.availability_zone == reader.availability_zone)
            if tokens and key > best_key:
                best, best_key = engine, key
        return best, best_key[0]

    def _cached(self, engine: Replica, prompt: Prompt, *, now_s: float) -> int:
        tokens = self._prefixes.cached_tokens(
            engine.replica_id, prompt.parts, now_s=now_s
        )
        return min(tokens, prompt.input_tokens)

    def _place_without_prefill(
        self, demand: Demand, decode: Replica, *, now_s: float
    ) -> Placed | Refused:
        """Let a decode engine read the prompt when there is no prefill engine."""
        prompt = demand.prompt
        cached = self._cached(decode, prompt, now_s=now_s)
        cost_s = local_read_s(prompt.input_tokens - cached, cached, self._speed)
        wait_s = self._ledger.total(decode.replica_id, now_s=now_s).read_s
        first_token_s = wait_s + cost_s + FIRST_TOKEN_S
        latest_s = self._latest_s(demand)
        if first_token_s > latest_s:
            return Refused(
                "no prefill engine and first token would come too late",
                _retry_after_s(first_token_s - latest_s),
                first_token_s,
            )
        return Placed(None, decode, None, cost_s, first_token_s)


def _retry_after_s(excess_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s))
