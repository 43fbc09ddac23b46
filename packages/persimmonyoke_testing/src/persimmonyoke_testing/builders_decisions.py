"""Builders of test data for routing, admission and roles."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from persimmonyoke.internal.admission import AdmissionQueue, Ticket
from persimmonyoke.internal.presets.model import AdmissionPolicy, WorkspacePolicy
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
    """Be a load source with fixed estimates; other engines are unknown."""

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
    """Return a workspace whose limits never bind unless they are given."""
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
