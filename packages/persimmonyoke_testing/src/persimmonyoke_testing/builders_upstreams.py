"""Builders of test data about upstreams."""

from dataclasses import dataclass
from types import MappingProxyType

from persimmonyoke.internal.upstreams.api import (
    GenerateCall,
    LoadReport,
    Order,
    Role,
    ServiceCall,
    Upstream,
)

MODEL = "base-model"


@dataclass(frozen=True)
class ListedUpstream:
    """Represent one entry of the host list."""

    name: str
    role: str = "engine"
    pool: str = "llm-pool"
    address: str = "127.0.0.1:9000"
    availability_zone: str = "zone-a"
    region: str = "region-a"
    state: str = "live"


def prompt_of(words: int, *, name: str = "word") -> str:
    """Return a prompt of ``words`` distinct tokens."""
    return " ".join(f"{name}{index}" for index in range(words))


def generate_call(request_id: str = "request-1", **changes: object) -> GenerateCall:
    """Return a call that generates 20 tokens."""
    fields = {"model": MODEL, "prompt": f"prompt of {request_id}", "max_tokens": 20}
    return GenerateCall(request_id=request_id, **(fields | changes))


def role_order(
    order_id: str = "order-1", *, role: Role = Role.PREFILL, fencing: int = 1
) -> Order:
    """Return an order to change the role of an engine."""
    arguments = MappingProxyType({"role": role.value})
    return Order(order_id, "engine-0", fencing, "change_role", arguments)


def adapter_order(order_id: str, *, fencing: int = 1, adapter: str = "a") -> Order:
    """Return an order to load an adapter."""
    arguments = MappingProxyType({"adapter": adapter})
    return Order(order_id, "engine-0", fencing, "load_adapter", arguments)


def service_call(key: str | None = "key-1", **changes: object) -> ServiceCall:
    """Return a call that registers a domain."""
    fields = {
        "request_id": "request-1",
        "pool": "registry-api",
        "method": "POST",
        "path": "/registrations",
        "headers": {"Content-Type": "application/json"},
        "body": b'{"domain": "example.gh"}',
        "idempotency_key": key,
    }
    return ServiceCall(**(fields | changes))


def load_report(engine: str = "engine-0", **changes: object) -> LoadReport:
    """Return the report of an idle engine, taken at wall-clock time 1,000 s."""
    fields = {
        "incarnation": "i1",
        "taken_unix_s": 1_000.0,
        "queued_prefill_tokens": 0,
        "running_sequences": 0,
        "queued_sequences": 0,
        "prefill_tokens_per_s": 20_000.0,
        "decode_tokens_per_s": 2_800.0,
        "max_sequences": 64,
        "role": Role.MIXED,
    }
    return LoadReport(engine=engine, **(fields | changes))


def upstream(name: str = "engine-0", **changes: object) -> Upstream:
    """Return an engine that is in service."""
    fields = {
        "pool": "llm-pool",
        "address": "127.0.0.1:9000",
        "availability_zone": "zone-a",
        "region": "region-a",
        "models": (MODEL,),
        "incarnation": "i1",
    }
    return Upstream(name=name, **(fields | changes))
