"""Builders of test data for routing, admission and roles."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from persimmonyoke.internal.admission import AdmissionQueue, Ticket
from persimmonyoke.internal.presets.model import (
    AdmissionPolicy,
    PoolKind,
    PoolPolicy,
    Preset,
    WorkspacePolicy,
)
from persimmonyoke.internal.roles import (
    EngineRates,
    EngineRole,
    MixEstimate,
    OfferedWork,
    PoolState,
    Split,
)
from persimmonyoke.internal.routing import RouteRequest
from persimmonyoke.internal.upstreams.api import (
    CacheEvent,
    CacheEventBatch,
    Role,
    Upstream,
)
from persimmonyoke_testing.model_routing import FixedLoad


def engine(name: str, **changes) -> Upstream:
    """Return an engine of pool ``pool`` in zone ``zone-a``."""
    values = {
        "pool": "pool",
        "address": "127.0.0.1:1",
        "availability_zone": "zone-a",
        "region": "region",
        "models": ("model",),
    }
    return Upstream(name, **(values | changes))


def engines(count: int, role: Role = Role.MIXED, prefix: str = "") -> list[Upstream]:
    """Return engines named after their role and number."""
    prefix = prefix or role.value
    return [engine(f"{prefix}-{number}", role=role) for number in range(count)]


def route_request(**changes) -> RouteRequest:
    """Return a request of 4,000 prompt tokens from zone ``zone-a``."""
    values = {
        "model": "model",
        "prompt_tokens": 4_000,
        "output_tokens": 100,
        "availability_zone": "zone-a",
        "region": "region",
    }
    return RouteRequest(**(values | changes))


@dataclass
class LoadTable:
    """Provide fixed load estimates; engines without one are unknown."""

    estimates: Mapping[str, FixedLoad] = field(default_factory=dict)

    def estimate(self, engine_name: str, now_s: float) -> FixedLoad | None:
        """Return the estimate of an engine, or ``None``."""
        return self.estimates.get(engine_name)


def cache_batch(
    stored: tuple[bytes, ...] = (),
    *,
    evicted: tuple[bytes, ...] = (),
    gap: bool = False,
) -> CacheEventBatch:
    """Return a batch of cache events."""
    events = [CacheEvent(0, True, piece) for piece in stored]
    events += [CacheEvent(0, False, piece) for piece in evicted]
    return CacheEventBatch(tuple(events), 0, gap)


def ticket(request_id: str = "request", **changes) -> Ticket:
    """Return a ticket of 1,000 tokens that arrives at 0 and may wait 10 s."""
    values = {
        "workspace": "workspace",
        "tokens": 1_000,
        "arrived_s": 0.0,
        "deadline_s": 10.0,
    }
    return Ticket(request_id, **(values | changes))


def workspace(name: str = "workspace", **changes) -> WorkspacePolicy:
    """Return a workspace with limits too high to apply unless they are given."""
    values = {"key_digests": (), "requests_per_s": 1e6, "tokens_per_s": 1e9}
    return WorkspacePolicy(name, **(values | changes))


def admission_queue(
    *workspaces: WorkspacePolicy, limit: int = 1, seed: int = 1, **policy
) -> AdmissionQueue:
    """Return a queue with the given workspaces and ``AdmissionPolicy`` values."""
    values = {"max_queue": 256, "max_wait_s": 60.0}
    return AdmissionQueue(
        {item.name: item for item in workspaces or (workspace(),)},
        AdmissionPolicy(**(values | policy)),
        limit=limit,
        rng=Random(seed),
    )


RATES = EngineRates(prefill_tokens_per_s=8_000.0, decode_tokens_per_s=1_600.0)


def pool_state(split: Split, **changes) -> PoolState:
    """Return the state of pool ``pool`` with idle engines in a given split."""
    counts = {
        Role.PREFILL: split.prefill,
        Role.DECODE: split.decode,
        Role.MIXED: split.mixed,
    }
    roles = [role for role, count in counts.items() for _ in range(count)]
    members = tuple(
        EngineRole(f"{role.value}-{number}", role) for number, role in enumerate(roles)
    )
    return PoolState(**({"pool": "pool", "engines": members, "rates": RATES} | changes))


def steady_mix(
    engines: float, prefill_share: float, *, expected_duration_s: float = 600.0
) -> MixEstimate:
    """Return the estimate of a constant mix."""
    work = OfferedWork.from_share(engines, prefill_share)
    weights = tuple(float(band == int(prefill_share * 10)) for band in range(10))
    return MixEstimate(work, work, expected_duration_s, weights)


def role_preset(
    *, goodput_weight: float = 1.0, role_change_weight: float = 1.0, **bounds
) -> Preset:
    """Return a preset with bounds on the roles of pool ``pool``."""
    return Preset(
        "day",
        goodput_weight=goodput_weight,
        role_change_weight=role_change_weight,
        pools={"pool": PoolPolicy("pool", PoolKind.ENGINE, **bounds)},
    )
