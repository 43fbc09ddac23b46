"""Interfaces between the gateway and the platform it runs on."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import (
    Configuration,
    HostEntry,
    PromptPart,
    Replica,
    RequestMetadata,
    Stage,
    WithheldRequest,
)
from persimmonyoke.internal.fleet.term import OrderRecord

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True)
class UpstreamCall:
    """Hold what the gateway itself tells a replica about one call."""

    replica_id: str
    deadline_ms: int
    stage: Stage | None = None
    kv_source: str | None = None
    kv_fetch: str | None = None
    last_event_id: int | None = None


@dataclass(frozen=True)
class ResponseMetadata:
    """Hold what the headers of a replica's answer say."""

    request_id: str | None
    not_executed: bool
    stamped: bool
    leaving: bool = False
    """The replica says that it is about to leave."""
    retry_after_s: float | None = None


@dataclass(frozen=True)
class PrefillResult:
    """Hold the handle under which an engine keeps the KV cache of a prompt."""

    handle: str
    tokens: int


@dataclass(frozen=True)
class StageOrder:
    """Ask an engine to change its stage under the authority of one holder."""

    replica_id: str
    stage: Stage
    holder: str
    fencing_number: int
    expected_sequence: int


@dataclass(frozen=True)
class EngineReport:
    """Hold the state that an engine reports of itself."""

    stage: Stage | None
    order_in_progress: bool
    sequence: int


@dataclass(frozen=True)
class RawCall:
    """Hold method, target, headers and body of a call to a replica."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class UpstreamWire(ABC):
    """Translate between the gateway's types and the headers of the platform."""

    @abstractmethod
    def metadata(self, headers: Headers) -> RequestMetadata:
        """Decode a client's headers; raise ``MalformedMetadata``."""

    @abstractmethod
    def request_headers(self, headers: Headers, call: UpstreamCall) -> Headers:
        """Return the headers to send to a replica, without framing."""

    @abstractmethod
    def client_headers(self, headers: Headers) -> Headers:
        """Return the headers of a replica's answer that go to the client."""

    @abstractmethod
    def response_metadata(self, headers: Headers) -> ResponseMetadata:
        """Decode the headers of a replica's answer."""

    @abstractmethod
    def prefill_result(self, body: bytes) -> PrefillResult | None:
        """Decode the answer to a prefill call; ``None`` if it is malformed."""

    @abstractmethod
    def release_handle(self, handle: str) -> RawCall:
        """Return the call that frees a KV handle."""

    @abstractmethod
    def report_call(self, replica_id: str) -> RawCall:
        """Return the call that asks an engine for its state."""

    @abstractmethod
    def decode_report(self, body: bytes) -> EngineReport | None:
        """Decode an engine's state; ``None`` if it is malformed."""

    @abstractmethod
    def cache_call(self, replica_id: str) -> RawCall:
        """Return the call that asks an engine which parts it holds."""

    @abstractmethod
    def decode_cache(self, body: bytes) -> tuple[PromptPart, ...] | None:
        """Decode the parts that an engine holds; ``None`` if malformed."""

    @abstractmethod
    def order_call(self, order: StageOrder) -> RawCall:
        """Return the call that sends an order."""


@dataclass(frozen=True)
class ConfigurationUpdated:
    """Report the operator's configuration as of a store revision."""

    configuration: Configuration


@dataclass(frozen=True)
class ReplicaUpdated:
    """Report a replica's entry."""

    replica: Replica


@dataclass(frozen=True)
class ReplicaRemoved:
    """Report that a replica's entry was removed."""

    replica_id: str


@dataclass(frozen=True)
class HostUpdated:
    """Report an entry host's registration."""

    host: HostEntry


@dataclass(frozen=True)
class HostRemoved:
    """Report that an entry host's registration ended."""

    name: str


@dataclass(frozen=True)
class HolderChanged:
    """Report which host holds the order key; ``None`` if nobody does."""

    holder: str | None


@dataclass(frozen=True)
class OrderRecorded:
    """Report the announcement of an order."""

    record: OrderRecord


@dataclass(frozen=True)
class WithheldRecorded:
    """Report a request that a host has found to crash replicas."""

    withheld: WithheldRequest


StoreEvent = (
    ConfigurationUpdated
    | ReplicaUpdated
    | ReplicaRemoved
    | HostUpdated
    | HostRemoved
    | HolderChanged
    | OrderRecorded
    | WithheldRecorded
)


@dataclass(frozen=True)
class StoreChanges:
    """Hold entries or their changes, and the revision from which to go on.

    ``encoded`` holds changes as the store told them, for other hosts.
    """

    events: tuple[StoreEvent, ...]
    revision: int
    encoded: bytes = b""


@dataclass(frozen=True)
class RelayedChanges:
    """Hold changes that a peer's watch returned, and the revision they follow."""

    after_revision: int
    encoded: bytes


class FleetStore(ABC):
    """Read, watch and write the fleet's state; raise ``StoreUnavailable``."""

    @abstractmethod
    def snapshot(self) -> StoreChanges:
        """Read all entries; the reads are linearizable."""

    @abstractmethod
    def changes(
        self, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> StoreChanges:
        """Wait for events; raise ``HistoryLost`` if they are gone.

        The store answers after ``wait_s`` at the latest, and a connection on which it
        has not answered after ``timeout_s`` is given up.
        """

    @abstractmethod
    def decode_changes(self, encoded: bytes) -> StoreChanges:
        """Return changes that another host passed on; raise ``StoreUnavailable``."""

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raise ``LeaseEnded`` if it is gone."""

    @abstractmethod
    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""

    @abstractmethod
    def register_host(self, host: HostEntry, lease_id: int) -> None:
        """Write this host's entry under a lease; raise ``LeaseEnded``."""

    @abstractmethod
    def record_withheld(self, withheld: WithheldRequest, lease_id: int) -> None:
        """Write which request is withheld, under a lease; raise ``LeaseEnded``."""

    @abstractmethod
    def current_holder(self, *, allow_stale: bool) -> str | None:
        """Return the holder of orders; a stale answer may be seconds old."""

    @abstractmethod
    def acquire_term(self, holder: str, lease_id: int) -> int | None:
        """Become the holder of orders; return the fencing number if it was free."""

    @abstractmethod
    def announce_order(self, record: OrderRecord) -> OrderRecord | None:
        """Write a record if its holder still holds the key; return it as written."""
