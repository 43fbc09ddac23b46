"""Decide whether an engine of a pool should change its role."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from persimmonyoke.internal.presets.model import PoolKind, PoolPolicy, Preset
from persimmonyoke.internal.roles.goodput import EngineRates, GoodputModel
from persimmonyoke.internal.roles.mix import MixEstimate
from persimmonyoke.internal.roles.split import Split
from persimmonyoke.internal.upstreams.api import Role

# Time over which a change is evaluated: the current mix while it lasts, then the
# long-run mix.
HORIZON_S = 240.0
# A draining engine still finishes its work, so about half of its time is lost.
DRAIN_LOSS_SHARE = 0.5
# Gains below this share of the pool's capacity are within the error of the model.
MIN_GAIN_SHARE = 0.03
# A change that only the current mix requires will have to be reverted.
RETURN_CHANGES = 2.0


@dataclass(frozen=True)
class EngineRole:
    """Hold the role and the open work of one engine."""

    name: str
    role: Role
    running_sequences: float = 0.0
    queued_prefill_tokens: float = 0.0


@dataclass(frozen=True)
class PoolState:
    """Describe a pool; leaving engines are not listed.

    ``change_in_flight`` means that an engine is draining or changing its role, or that
    an order of unknown outcome is open.
    """

    pool: str
    engines: tuple[EngineRole, ...]
    rates: EngineRates
    change_in_flight: bool = False

    @property
    def split(self) -> Split:
        """Return the current split."""
        return Split.of(engine.role for engine in self.engines)


class KeepReason(StrEnum):
    """Name the reason for which no role changes."""

    CHANGE_IN_FLIGHT = "change_in_flight"
    NO_ENGINES = "no_engines"
    NO_WORK = "no_work"
    NO_BETTER_SPLIT = "no_better_split"
    GAIN_BELOW_COST = "gain_below_cost"


@dataclass(frozen=True)
class ChangeRole:
    """Drain an engine and give it a role; gain and cost are in engine-seconds."""

    engine: str
    role: Role
    gain: float
    cost: float


@dataclass(frozen=True)
class KeepRoles:
    """Keep all roles."""

    reason: KeepReason


RoleDecision = ChangeRole | KeepRoles


class RolePolicy(ABC):
    """Decide on the roles of one pool, one change at a time."""

    @abstractmethod
    def decide(
        self, state: PoolState, mix: MixEstimate, preset: Preset, *, now_s: float
    ) -> RoleDecision:
        """Return the change to start now, or the reason for which there is none."""


class HysteresisRolePolicy(RolePolicy):
    """Change a role only if its weighted gain exceeds its weighted cost.

    The gain is counted over the expected duration of the current mix and, for the rest
    of the horizon, over the long-run mix. A mix that alternates faster than a change
    pays off therefore leads to mixed engines, which serve both phases, and not to more
    changes.
    """

    def decide(
        self, state: PoolState, mix: MixEstimate, preset: Preset, *, now_s: float
    ) -> RoleDecision:
        """Return the change with the largest net gain, if it pays off."""
        if state.change_in_flight:
            return KeepRoles(KeepReason.CHANGE_IN_FLIGHT)
        if not state.engines:
            return KeepRoles(KeepReason.NO_ENGINES)
        repair = self._repair(state, preset)
        if repair is not None:
            return repair
        if mix.fast.engines <= 0:
            return KeepRoles(KeepReason.NO_WORK)
        return self._best_change(state, mix, preset)

    def _repair(self, state: PoolState, preset: Preset) -> ChangeRole | None:
        """Return the change that a split outside its constraints needs at any cost.

        Such a split serves no requests, or the bounds of the preset forbid it.
        """
        policy = pool_policy(preset, state.pool)
        violation = _constraint_violation(state.split, policy)
        if violation == 0:
            return None
        covered = state.split.covers_both_phases
        changes = [
            change
            for change in possible_changes(state)
            if _constraint_violation(change.after, policy) < violation
            # A bound does not justify taking a working pool out of service.
            and (change.during.covers_both_phases or not covered)
        ]
        if not changes:
            return None
        best = min(changes, key=lambda change: _repair_rank(change, policy))
        return ChangeRole(best.engine, best.role, violation, best.lost_s)

    def _best_change(
        self, state: PoolState, mix: MixEstimate, preset: Preset
    ) -> RoleDecision:
        model = GoodputModel(state.rates, preset.deadlines)
        policy = pool_policy(preset, state.pool)
        before = _GoodputForecast(model, state.split, mix)
        min_gain = MIN_GAIN_SHARE * state.split.engines * HORIZON_S
        best: ChangeRole | None = None
        found_gain = False
        for change in possible_changes(state):
            if _constraint_violation(change.after, policy) > 0:
                continue
            # The last engine of a phase would take the whole pool out of service.
            if not change.during.covers_both_phases:
                continue
            forecast = _GoodputForecast(model, change.after, mix)
            gain = forecast.gain_over(before, lost_s=change.lost_s)
            during = model.goodput_engines(change.during, mix.fast)
            gain -= change.lost_s * max(0.0, before.present - during)
            if gain < min_gain:
                continue
            found_gain = True
            cost = change.lost_s * forecast.changes_needed(before)
            net_gain = gain * preset.goodput_weight - cost * preset.role_change_weight
            if net_gain > 0 and (best is None or gain - cost > best.gain - best.cost):
                best = ChangeRole(change.engine, change.role, gain, cost)
        if best is not None:
            return best
        reason = (
            KeepReason.GAIN_BELOW_COST if found_gain else KeepReason.NO_BETTER_SPLIT
        )
        return KeepRoles(reason)


class _GoodputForecast:
    """Predict the goodput of one split for the current and for the long-run mix."""

    def __init__(self, model: GoodputModel, split: Split, mix: MixEstimate) -> None:
        self.present = model.goodput_engines(split, mix.fast)
        self._long_run = sum(
            weight * model.goodput_engines(split, work)
            for weight, work in mix.long_run()
        )
        self._present_s = min(mix.expected_duration_s, HORIZON_S)

    def gain_over(self, other: "_GoodputForecast", *, lost_s: float) -> float:
        """Return the engine-seconds gained; there is no gain during the change."""
        present_s = max(0.0, self._present_s - lost_s)
        rest_s = max(0.0, HORIZON_S - self._present_s)
        return present_s * (self.present - other.present) + rest_s * (
            self._long_run - other._long_run
        )

    def changes_needed(self, other: "_GoodputForecast") -> float:
        """Return the changes to count: two if the long-run mix requires a reversal."""
        return 1.0 if self._long_run > other._long_run else RETURN_CHANGES


@dataclass(frozen=True)
class PossibleChange:
    """Describe the change of one role: its engine, its result and the time lost.

    ``during`` is the split that serves while the engine drains and changes.
    """

    engine: str
    source: Role
    role: Role
    during: Split
    after: Split
    lost_s: float


def possible_changes(state: PoolState) -> list[PossibleChange]:
    """Return each change of one role with the engine that is cheapest to drain."""
    changes = []
    for source, target, after in state.split.neighbours():
        engines = [engine for engine in state.engines if engine.role is source]
        costs = {engine.name: lost_s(engine, state.rates) for engine in engines}
        cheapest = min(costs, key=lambda name: (costs[name], name))
        during = state.split.without(source)
        changes.append(
            PossibleChange(cheapest, source, target, during, after, costs[cheapest])
        )
    return changes


def lost_s(engine: EngineRole, rates: EngineRates) -> float:
    """Return the engine-seconds lost by a change of the engine's role."""
    prefill_s = engine.queued_prefill_tokens / rates.prefill_tokens_per_s
    # Sequences end at different times; the last of many takes longer than the mean.
    decode_s = 0.0
    if engine.running_sequences > 0:
        decode_s = rates.sequence_s * (1 + min(1.0, engine.running_sequences / 32))
    return rates.change_s + DRAIN_LOSS_SHARE * (prefill_s + decode_s)


def pool_policy(preset: Preset, pool: str) -> PoolPolicy:
    """Return the pool's policy; an unlisted pool has no bounds."""
    known = preset.pools.get(pool)
    return known or PoolPolicy(name=pool, kind=PoolKind.ENGINE)


def _repair_rank(change: PossibleChange, policy: PoolPolicy) -> tuple:
    """Rank repairs by the remaining violation, then by what serves during and after.

    Mixed roles come first because they serve any mix.
    """
    return (
        _constraint_violation(change.after, policy),
        not change.during.covers_both_phases,
        change.role is not Role.MIXED,
        change.lost_s,
    )


def _constraint_violation(split: Split, policy: PoolPolicy) -> float:
    """Return by how much a split violates its constraints; zero if it is allowed."""
    uncovered = 0.0 if split.covers_both_phases else 100.0
    return uncovered + split.bound_violation(policy)
