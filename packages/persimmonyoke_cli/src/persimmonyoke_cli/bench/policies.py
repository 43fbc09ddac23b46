"""Baseline role policies for comparison with the shipped policy."""

from persimmonyoke.internal.presets.model import Preset
from persimmonyoke.internal.roles import (
    ChangeRole,
    KeepReason,
    KeepRoles,
    MixEstimate,
    PoolState,
    RoleDecision,
    RolePolicy,
    possible_changes,
)
from persimmonyoke.internal.upstreams.api import Role


class StaticRolePolicy(RolePolicy):
    """Never change a role."""

    def decide(
        self, state: PoolState, mix: MixEstimate, preset: Preset, *, now_s: float
    ) -> RoleDecision:
        """Keep all roles."""
        return KeepRoles(KeepReason.NO_BETTER_SPLIT)


class ProportionalRolePolicy(RolePolicy):
    """Split the pool into prefill and decode engines in proportion to the mix.

    A change starts whenever the rounded number of prefill engines differs from the
    number in the pool and no change is in flight. Mixed engines are converted over
    time.
    """

    def decide(
        self, state: PoolState, mix: MixEstimate, preset: Preset, *, now_s: float
    ) -> RoleDecision:
        """Change the role of one engine towards the proportional split."""
        if state.change_in_flight:
            return KeepRoles(KeepReason.CHANGE_IN_FLIGHT)
        split = state.split
        wanted = proportional_prefill(split.engines, mix.fast.prefill_share)
        if split.prefill < wanted:
            target, sources = Role.PREFILL, (Role.MIXED, Role.DECODE)
        elif split.prefill > wanted:
            target, sources = Role.DECODE, (Role.PREFILL,)
        else:
            target, sources = Role.DECODE, (Role.MIXED,)
        for source in sources:
            for change in possible_changes(state):
                if change.source is source and change.role is target:
                    return ChangeRole(change.engine, target, 0.0, change.lost_s)
        return KeepRoles(KeepReason.NO_BETTER_SPLIT)


def proportional_prefill(engines: int, prefill_share: float) -> int:
    """Return the number of prefill engines, leaving at least one of each role."""
    return min(engines - 1, max(1, round(engines * prefill_share)))
