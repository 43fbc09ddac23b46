"""Role policies that the shipped one is compared with."""

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
    """Follow the present mix with prefill and decode engines in proportion to it.

    It begins a change whenever the rounded number of prefill engines differs from the
    one in the pool and no change is in flight; mixed engines are given up on the way.
    """

    def decide(
        self, state: PoolState, mix: MixEstimate, preset: Preset, *, now_s: float
    ) -> RoleDecision:
        """Move one engine towards the proportional split."""
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
    """Return the number of prefill engines for a mix, one at least of each role."""
    return min(engines - 1, max(1, round(engines * prefill_share)))
