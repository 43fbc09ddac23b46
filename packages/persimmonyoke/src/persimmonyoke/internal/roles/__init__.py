"""Decide on the roles of engines, without I/O."""

from persimmonyoke.internal.roles.goodput import (
    EngineRates,
    GoodputModel,
    OfferedWork,
)
from persimmonyoke.internal.roles.mix import MixEstimate, MixEstimator
from persimmonyoke.internal.roles.policy import (
    ChangeRole,
    EngineRole,
    HysteresisRolePolicy,
    KeepReason,
    KeepRoles,
    PoolState,
    RoleDecision,
    RolePolicy,
    possible_changes,
)
from persimmonyoke.internal.roles.split import Split

__all__ = [
    "ChangeRole",
    "EngineRates",
    "EngineRole",
    "GoodputModel",
    "HysteresisRolePolicy",
    "KeepReason",
    "KeepRoles",
    "MixEstimate",
    "MixEstimator",
    "OfferedWork",
    "PoolState",
    "RoleDecision",
    "RolePolicy",
    "Split",
    "possible_changes",
]
