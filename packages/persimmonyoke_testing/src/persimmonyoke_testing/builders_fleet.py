"""Builders of replicas, prompts and entry hosts of a fleet."""

from collections.abc import Sequence

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
    software_version: str = "v1",
) -> Replica:
    """Return an engine of service ``llm`` unless another one is given."""
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
        software_version=software_version,
    )


def prompt(*part_tokens: int, output_tokens: int = 50, name: str = "p") -> Prompt:
    """Return a prompt whose parts have these numbers of tokens."""
    parts = tuple(
        PromptPart(f"{name}{index}", tokens) for index, tokens in enumerate(part_tokens)
    )
    return Prompt(sum(part_tokens), output_tokens, parts)


def configuration(service: str = "llm", routes: Sequence[Route] = ()) -> Configuration:
    """Return a configuration with one service of engines and some routes."""
    limits = ClientLimits(4_096, 65_536, 0.4, 5.0)
    services = {service: Service(service, ENGINE_LIMITS)}
    return Configuration(1, tuple(routes), services, limits)


def stream_route(service: str = "llm", *, target_latency_s: float = 1.0) -> Route:
    """Return a route of streams that may be resumed."""
    return Route(
        name="chat",
        host="a.example",
        path_prefix="/chat",
        kind=RequestKind.STREAMING,
        timeout_s=8.0,
        target_latency_s=target_latency_s,
        gap_target_s=0.2,
        services=(WeightedService(service, 1.0),),
        max_attempts=2,
        resumable=True,
        has_prompt=True,
    )


def host(
    name: str,
    *,
    port: int = 1,
    ready: bool = True,
    zone: str = "zone-a",
    tunnel_key: str = "",
    link_mbit_per_s: float = 0.0,
) -> HostEntry:
    """Return the store entry of an entry host."""
    return HostEntry(
        name,
        f"127.0.0.1:{port}",
        "127.0.0.1",
        port,
        zone,
        ready,
        tunnel_key,
        link_mbit_per_s=link_mbit_per_s,
    )
