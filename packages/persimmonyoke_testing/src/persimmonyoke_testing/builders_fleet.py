"""Builders of the replicas, routes and configurations of a fleet."""

from persimmonyoke.internal.fleet.model import (
    ClientLimits,
    Configuration,
    EngineLimits,
    HostEntry,
    Prompt,
    PromptPart,
    Replica,
    RequestKind,
    Route,
    Service,
    Stage,
    WeightedService,
)

ENGINE_LIMITS = EngineLimits(
    slots=64,
    kv_tokens=490_000,
    kv_token_bytes=163_840,
    link_bytes_per_s=212e9,
    stage_change_s=3.0,
)


def engine(
    name: str,
    stage: Stage | None = Stage.PREFILL,
    *,
    zone: str = "zone-a",
    draining: bool = False,
    born_unix_ms: int = 0,
    service: str = "llm",
    host: str = "127.0.0.1",
    port: int = 1,
) -> Replica:
    """Return an engine of a service."""
    return Replica(
        replica_id=name,
        service=service,
        host=host,
        port=port,
        availability_zone=zone,
        slots=64,
        draining=draining,
        stage=stage,
        born_unix_ms=born_unix_ms,
    )


def prompt(*part_tokens: int, output_tokens: int = 50, name: str = "p") -> Prompt:
    """Return a prompt with parts of these sizes."""
    parts = tuple(
        PromptPart(f"{name}{index}", tokens) for index, tokens in enumerate(part_tokens)
    )
    return Prompt(sum(part_tokens), output_tokens, parts)


def route(
    name: str = "route",
    *,
    kind: RequestKind = RequestKind.IDEMPOTENT,
    prefix: str = "/api/",
    service: str = "plain",
    max_attempts: int = 2,
    resumable: bool = False,
    timeout_s: float = 2.0,
    target_latency_s: float = 0.4,
) -> Route:
    """Return a route of one host."""
    return Route(
        name=name,
        host="shop.example",
        path_prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        target_latency_s=target_latency_s,
        gap_target_s=0.15,
        services=(WeightedService(service, 1.0),),
        max_attempts=max_attempts,
        resumable=resumable,
        has_prompt=kind is RequestKind.STREAMING,
    )


def configuration(*routes: Route, version: int = 1) -> Configuration:
    """Return a configuration with an engine service and a plain service."""
    services = {
        "llm": Service("llm", 360, ENGINE_LIMITS),
        "plain": Service("plain", 100, None),
    }
    limits = ClientLimits(
        max_header_bytes=4_096,
        max_body_bytes=65_536,
        header_timeout_s=0.5,
        idle_timeout_s=5.0,
    )
    return Configuration(version, routes, services, limits)


def host(
    name: str, *, port: int = 1, ready: bool = True, zone: str = "zone-a"
) -> HostEntry:
    """Return the entry of an entry host."""
    return HostEntry(name, f"127.0.0.1:{port}", "127.0.0.1", port, zone, ready)
