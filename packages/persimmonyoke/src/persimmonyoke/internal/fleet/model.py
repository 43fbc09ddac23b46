"""Data model of the gateway: configuration, replicas, hosts and prompts."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class RequestKind(StrEnum):
    """Enumerate the kinds of requests by how they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Stage(StrEnum):
    """Enumerate the phases of generation that an engine can serve."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class WeightedService:
    """Hold a service of a route and its traffic weight."""

    name: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Describe a route: its matching requests, services and limits."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    gap_target_s: float
    services: tuple[WeightedService, ...]
    max_attempts: int
    resumable: bool
    has_prompt: bool

    @property
    def caller_timeout_s(self) -> float:
        """Return how long a caller of a stream waits for the next event.

        Callers abandon a stream after the longest of these times, which also applies
        to the first event.
        """
        return max(2.0, 4 * self.target_latency_s, 8 * self.gap_target_s)

    @property
    def repeatable(self) -> bool:
        """Return whether a request of this route may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class EngineLimits:
    """Hold the capacities of the engines of a service."""

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_bytes_per_s: float
    stage_change_s: float


@dataclass(frozen=True)
class Service:
    """Describe an upstream service; ``engine`` is ``None`` for a plain service."""

    name: str
    engine: EngineLimits | None


@dataclass(frozen=True)
class ClientLimits:
    """Limit what a client may send and how long it may be idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float

    def widened(self, other: "ClientLimits") -> "ClientLimits":
        """Return limits that allow what these or others allow."""
        return ClientLimits(
            max_header_bytes=max(self.max_header_bytes, other.max_header_bytes),
            max_body_bytes=max(self.max_body_bytes, other.max_body_bytes),
            header_timeout_s=max(self.header_timeout_s, other.header_timeout_s),
            idle_timeout_s=max(self.idle_timeout_s, other.idle_timeout_s),
        )


LIMITS_BEFORE_CONFIGURATION = ClientLimits(
    max_header_bytes=16_384,
    max_body_bytes=4_194_304,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
"""Limits until the first configuration is known; until then all requests get 503."""


@dataclass(frozen=True)
class Configuration:
    """Hold one version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits


@dataclass(frozen=True)
class Replica:
    """Describe one incarnation of an upstream replica."""

    replica_id: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    draining: bool
    stage: Stage | None
    born_unix_ms: int
    software_version: str
    """Version of the replica's software, not of its model weights."""

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class HostEntry:
    """Describe one entry host as it registered itself in the store."""

    name: str
    front_address: str
    peer_host: str
    peer_port: int
    availability_zone: str
    ready: bool
    tunnel_key: str = ""
    """Key by which other hosts open tunnels through this one; empty if none may."""

    knows_eras: bool = False
    """Whether its build orders revisions of the store across eras."""

    link_mbit_per_s: float = 0.0
    """Capacity of its link; 0 if it is not known."""


@dataclass(frozen=True)
class WithheldRequest:
    """Describe a subject that crashed replicas and is withheld until a given time.

    The digest is that of a request or of a prompt part. ``crashes`` identifies the
    incarnations of the crashed replicas.
    """

    digest: bytes
    crashes: tuple[str, ...]
    until_unix_s: float


@dataclass(frozen=True)
class ServiceVersions:
    """Name the software versions that began streams which may still be resumed.

    New streams begin at the active version only. ``revision`` is that of the record in
    the store, 0 before the first one.
    """

    service: str
    active: str
    earlier: tuple[str, ...]
    revision: int

    def replaced_by(self, active: str, earlier: Iterable[str]) -> "ServiceVersions":
        """Return the record that is to follow this one."""
        return ServiceVersions(
            self.service, active, tuple(sorted(earlier)), self.revision
        )


@dataclass(frozen=True)
class RecordedStreams:
    """Hold the keys of streams that began at one software version."""

    version: str
    keys: tuple[bytes, ...]


@dataclass(frozen=True)
class PromptPart:
    """Identify a part of a prompt, which other prompts may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Describe the prompt of a generation."""

    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts may share, which excludes the last."""
        return self.parts[:-1]


@dataclass(frozen=True)
class RequestMetadata:
    """Hold the metadata from the headers of a client's request."""

    request_id: str
    deadline_s: float | None
    last_event_id: int | None
    prompt: Prompt | None
    resumed_id: str | None = None
    """Id of the client attempt that brought the first event of a resumed stream."""

    @property
    def stream_id(self) -> str:
        """Return the id that all attempts of a client at one stream share."""
        if self.last_event_id is None or self.resumed_id is None:
            return self.request_id
        return self.resumed_id
