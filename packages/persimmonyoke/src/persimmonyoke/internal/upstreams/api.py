"""Types and interfaces of engines and plain services."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Role(StrEnum):
    """Phase of a generation that an engine serves."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class Phase(StrEnum):
    """Phases that a call asks an engine to run."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class Upstream:
    """Describe one engine or one replica of a plain service.

    ``leaving`` is true while the upstream drains: it finishes its work and must get no
    new work. ``incarnation`` changes with each start of the upstream's process.
    """

    name: str
    pool: str
    address: str
    availability_zone: str
    region: str = ""
    role: Role = Role.MIXED
    models: tuple[str, ...] = ()
    leaving: bool = False
    incarnation: str = ""


@dataclass(frozen=True)
class GenerateCall:
    """Ask an engine to generate text.

    ``prefix_text`` is the part of the answer that the caller already has; the engine
    continues after it and counts offsets from its end. ``kv_handle`` names an
    imported KV cache. ``max_tokens`` bounds the whole answer including the prefix, so
    a retry only has to extend the prefix. A higher ``priority`` runs earlier.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    prefix_text: str = ""
    prefix_tokens: int = 0
    priority: int = 0
    phase: Phase = Phase.BOTH
    kv_handle: str | None = None


class StreamEvent(NamedTuple):
    """Carry the next tokens of a stream.

    ``offset`` is the number of tokens of the answer before this event. The class is a
    tuple because one is created for each token, and creating a frozen dataclass takes
    several times as long.
    """

    request_id: str
    stream_id: str
    offset: int
    text: str
    tokens: int
    finish_reason: str | None = None


@dataclass(frozen=True)
class LoadReport:
    """Hold the load that an engine reported for the time ``taken_unix_s``."""

    engine: str
    incarnation: str
    taken_unix_s: float
    queued_prefill_tokens: int
    running_sequences: int
    queued_sequences: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    max_sequences: int
    role: Role


@dataclass(frozen=True)
class CacheEvent:
    """Report that an engine stored a prompt piece in its prefix cache or evicted it."""

    number: int
    stored: bool
    piece: bytes


@dataclass(frozen=True)
class CacheEventBatch:
    """Hold cache events in order; ``gap`` is true if earlier events were lost."""

    events: tuple[CacheEvent, ...]
    next_number: int
    gap: bool


@dataclass(frozen=True)
class EngineState:
    """Hold the current state of an engine; unlike load reports, it has no lag."""

    name: str
    incarnation: str
    role: Role
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    fencing: int
    open_order_id: str | None
    last_order_id: str | None
    last_order_status: str | None
    running_sequences: int


@dataclass(frozen=True)
class Order:
    """Tell an engine to change its role or to load a model or adapter."""

    order_id: str
    engine: str
    fencing: int
    action: str
    arguments: Mapping[str, str]


@dataclass(frozen=True)
class OrderAccepted:
    """Report that the engine accepted the order and carries it out."""

    order_id: str


@dataclass(frozen=True)
class OrderRefused:
    """Report that the engine refused the order, so that it has no effect."""

    order_id: str
    reason: str


@dataclass(frozen=True)
class OrderUnknown:
    """Report that the engine may or may not have accepted the order."""

    order_id: str
    reason: str


OrderOutcome = OrderAccepted | OrderRefused | OrderUnknown


class EngineFailure(Exception):
    """Report that an engine call failed.

    ``sent`` is false only if no byte of the call was written. ``refused`` is true if
    the engine answered that it did not run the call. ``crashed`` is true if a new
    connection showed that the engine's process has ended. ``silent`` is true if no
    data arrived before a timeout, so the connection or the engine may be stalled.
    ``status`` is the HTTP status of an error response.
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool = True,
        refused: bool = False,
        crashed: bool = False,
        silent: bool = False,
        status: int | None = None,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused
        self.crashed = crashed
        self.silent = silent
        self.status = status


class EngineClient(ABC):
    """Call one engine. Each method raises ``EngineFailure``.

    Streams also raise ``ProtocolError`` for an event of another request or one that
    is out of order; no such event is yielded. ``first_event_timeout_s`` and
    ``idle_timeout_s`` bound the wait for the first and for each further event; ``None``
    selects the default of the client. Infinity avoids the cost of a timer for each
    event if the caller detects stalled streams itself.
    """

    @abstractmethod
    def generate(
        self,
        call: GenerateCall,
        *,
        first_event_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
    ) -> Iterator[StreamEvent]:
        """Start a stream and yield its events; closing the iterator disconnects.

        The request is sent when the first event is requested.
        """

    @abstractmethod
    def resume(
        self,
        stream_id: str,
        *,
        offset: int,
        request_id: str | None = None,
        first_event_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
    ) -> Iterator[StreamEvent]:
        """Yield the events of a running or finished stream, starting at a token offset.

        With ``request_id``, events of another request raise ``ProtocolError``.
        """

    @abstractmethod
    def cancel(self, request_id: str) -> None:
        """Stop the work of a request."""

    @abstractmethod
    def state(self) -> EngineState:
        """Return the current state of the engine."""

    @abstractmethod
    def load(self) -> LoadReport:
        """Return the latest load report of the engine, which lags."""

    @abstractmethod
    def cache_events(self, *, since: int) -> CacheEventBatch:
        """Return the cache events from the event number ``since`` on."""

    @abstractmethod
    def export_kv(self, request_id: str) -> bytes:
        """Return the KV cache that a prefill-only call left for a request."""

    @abstractmethod
    def import_kv(self, blob: bytes) -> str:
        """Upload a KV cache and return its handle for ``GenerateCall``."""

    @abstractmethod
    def order(self, order: Order, *, timeout_s: float) -> OrderOutcome:
        """Send an order over a dedicated connection; never raises."""


@dataclass(frozen=True)
class ServiceCall:
    """Carry one call of a plain service."""

    request_id: str
    pool: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    idempotency_key: str | None = None


@dataclass(frozen=True)
class ServiceAnswer:
    """Hold the answer of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class ServiceNotSent:
    """Report that no byte was written, or that the upstream did not run the call."""

    reason: str


@dataclass(frozen=True)
class ServiceOutcomeUnknown:
    """Report that the call may have run."""

    reason: str


ServiceOutcome = ServiceAnswer | ServiceNotSent | ServiceOutcomeUnknown


class ServiceClient(ABC):
    """Call one replica of a plain service."""

    @abstractmethod
    def call(self, call: ServiceCall, *, timeout_s: float) -> ServiceOutcome:
        """Send one call and return its outcome; never raises for network faults."""

    @abstractmethod
    def outcome(self, idempotency_key: str) -> ServiceAnswer | None:
        """Return the stored answer of an earlier call, or ``None`` if there is none.

        Raises ``ConnectionError`` if the replica can't be reached.
        """
