"""Data classes of a parsed preset."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class PoolKind(StrEnum):
    """Kind of the upstreams of a pool: model engines or plain services."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Deadlines:
    """Hold the deadlines that a request must meet to count as goodput."""

    first_token_s: float = 0.99
    inter_token_s: float = 0.034
    total_s: float = 120.0


@dataclass(frozen=True)
class RetryPolicy:
    """Limit retries to a share of the first attempts."""

    budget_share: float = 0.10


@dataclass(frozen=True)
class AdmissionPolicy:
    """Bound the queue of each entry node."""

    max_queue: int = 256
    max_wait_s: float = 5.0


@dataclass(frozen=True)
class ModelSpec:
    """Name a model version and the adapters that its engines load."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class PoolPolicy:
    """Hold the bounds on engine roles and the models of one pool."""

    name: str
    kind: PoolKind
    min_prefill_share: float = 0.0
    max_prefill_share: float = 1.0
    min_mixed_share: float = 0.0
    models: tuple[ModelSpec, ...] = ()
    checks_fencing: bool = True


@dataclass(frozen=True)
class ServicePolicy:
    """Hold the timeout of a plain service and the retry rules of its HTTP methods.

    Methods in ``once_methods`` run at most once; ``idempotent_methods`` may be retried.
    """

    pool: str
    once_methods: frozenset[str] = frozenset({"POST"})
    idempotent_methods: frozenset[str] = frozenset({"GET", "HEAD", "PUT", "DELETE"})
    timeout_s: float = 10.0


@dataclass(frozen=True)
class WorkspacePolicy:
    """Hold the limits of one workspace and the digests of its API keys."""

    name: str
    key_digests: tuple[str, ...]
    requests_per_s: float = 50.0
    tokens_per_s: float = 20_000.0
    weight: float = 1.0
    priority: int = 0


@dataclass(frozen=True)
class Preset:
    """Hold one parsed preset, merged with its base.

    Mappings are keyed by pool or workspace name. ``goodput_weight`` and
    ``role_change_weight`` are relative; only their ratio matters.
    """

    name: str
    base: str | None = None
    goodput_weight: float = 1.0
    role_change_weight: float = 1.0
    deadlines: Deadlines = Deadlines()
    retry: RetryPolicy = RetryPolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    pools: Mapping[str, PoolPolicy] = field(default_factory=dict)
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    workspaces: Mapping[str, WorkspacePolicy] = field(default_factory=dict)
    maintenance_zones: frozenset[str] = frozenset()
    quarantine_hold_s: float = 600.0
    once_keep_s: float = 86_400.0
