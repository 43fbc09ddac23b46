"""Interfaces between the gateway and its deployment platform."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import (
    Configuration,
    HostEntry,
    PromptPart,
    RecordedStreams,
    Replica,
    RequestMetadata,
    ServiceVersions,
    Stage,
    WithheldRequest,
)
from persimmonyoke.internal.fleet.store_era import StoreEra
from persimmonyoke.internal.fleet.store_lease import StoreLease
from persimmonyoke.internal.fleet.term import OrderRecord

Headers = Sequence[tuple[bytes, bytes]]

CATCH_UP_WAIT_S = 0.01
"""Wait time of a call for changes that the store already has."""


@dataclass(frozen=True)
class UpstreamCall:
    """Hold the call metadata that the gateway adds to a request to a replica."""

    replica_id: str
    deadline_ms: int
    stage: Stage | None = None
    kv_source: str | None = None
    kv_fetch: str | None = None
    last_event_id: int | None = None


@dataclass(frozen=True)
class ResponseMetadata:
    """Hold the metadata from the headers of a replica's response."""

    request_id: str | None
    not_executed: bool
    stamped: bool
    leaving: bool = False
    """Whether the replica announces that it is about to shut down."""
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    """Requests a second that the replica accepts from all hosts together."""


@dataclass(frozen=True)
class PrefillResult:
    """Hold the handle under which an engine keeps the KV cache of a prompt."""

    handle: str
    tokens: int


@dataclass(frozen=True)
class StageOrder:
    """Describe an order to change an engine's stage, under one holder's authority."""

    replica_id: str
    stage: Stage
    holder: str
    fencing_number: int
    expected_sequence: int


@dataclass(frozen=True)
class EngineReport:
    """Hold the stage state that an engine reports."""

    stage: Stage | None
    order_in_progress: bool
    sequence: int


@dataclass(frozen=True)
class ToldStart:
    """Hold the start that an engine tells in an answer, if it tells one."""

    born_unix_ms: int | None


@dataclass(frozen=True)
class RawCall:
    """Hold the method, target, headers and body of an HTTP call to a replica."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray = b""
    repeatable: bool = True
    """Whether the call may be sent again if its connection fails."""


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
        """Return the headers of a replica's response to forward to the client."""

    @abstractmethod
    def response_metadata(self, headers: Headers) -> ResponseMetadata:
        """Decode the metadata of a replica's response."""

    @abstractmethod
    def prefill_result(self, body: bytes) -> PrefillResult | None:
        """Decode the response to a prefill call; ``None`` if it is malformed."""

    @abstractmethod
    def release_handle(self, handle: str) -> RawCall:
        """Return the call that frees a KV handle."""

    @abstractmethod
    def report_call(self, replica_id: str) -> RawCall:
        """Return the call that queries an engine's state."""

    @abstractmethod
    def decode_report(self, body: bytes) -> EngineReport | None:
        """Decode an engine's state; ``None`` if it is malformed."""

    @abstractmethod
    def decode_start(self, body: bytes) -> ToldStart | None:
        """Decode the start in an engine's report; ``None`` if it is malformed."""

    @abstractmethod
    def cache_call(self, replica_id: str) -> RawCall:
        """Return the call that queries which prompt parts an engine has cached."""

    @abstractmethod
    def decode_cache(self, body: bytes) -> tuple[PromptPart, ...] | None:
        """Decode the cached parts of an engine; ``None`` if malformed."""

    @abstractmethod
    def order_call(self, order: StageOrder) -> RawCall:
        """Return the call that sends an order."""


@dataclass(frozen=True)
class ConfigurationUpdated:
    """Report the operator's configuration as of a store revision."""

    configuration: Configuration


@dataclass(frozen=True)
class ReplicaUpdated:
    """Report a replica's current entry."""

    replica: Replica


@dataclass(frozen=True)
class ReplicaRemoved:
    """Report that a replica's entry was removed."""

    replica_id: str


@dataclass(frozen=True)
class HostUpdated:
    """Report an entry host's current registration."""

    host: HostEntry


@dataclass(frozen=True)
class HostRemoved:
    """Report that an entry host's registration ended."""

    name: str


@dataclass(frozen=True)
class HolderChanged:
    """Report the holder of the order key, ``None`` if the key is free."""

    holder: str | None


@dataclass(frozen=True)
class OrderRecorded:
    """Report the announcement of an order."""

    record: OrderRecord


@dataclass(frozen=True)
class WithheldRecorded:
    """Report a request that a host withholds because it crashed replicas."""

    withheld: WithheldRequest


@dataclass(frozen=True)
class VersionsRecorded:
    """Report the software versions that began the streams of a service."""

    versions: ServiceVersions


@dataclass(frozen=True)
class StreamsRecorded:
    """Report streams that began at a host."""

    host: str
    streams: tuple[RecordedStreams, ...]


StoreEvent = (
    ConfigurationUpdated
    | ReplicaUpdated
    | ReplicaRemoved
    | HostUpdated
    | HostRemoved
    | HolderChanged
    | OrderRecorded
    | WithheldRecorded
    | VersionsRecorded
    | StreamsRecorded
)


@dataclass(frozen=True)
class StoreChanges:
    """Hold entries or changes, and the revision from which to continue.

    Revisions are those of ``store_revision``, which order those of all eras.

    ``encoded`` holds changes in the encoding of the store, for relaying to other hosts.
    """

    events: tuple[StoreEvent, ...]
    revision: int
    encoded: bytes = b""


@dataclass(frozen=True)
class RelayedChanges:
    """Hold changes from a peer's watch, and the revision that they follow."""

    after_revision: int
    encoded: bytes
    current_boot_s: float = float("-inf")
    """Earliest boot time of this host at which the store may have told the peer."""

    is_recent: bool = True
    """Whether the store has just told the peer, and no later revision existed."""


SendChanges = Callable[[RelayedChanges], int]
"""Sends changes to the host that asked for them; returns the number of datagrams."""


@dataclass(frozen=True)
class ChangesRequest:
    """Ask a peer for the changes after a revision.

    ``tunnel_key`` is that of the peer, which only the readers of its entry know.
    """

    host: str
    after_revision: int
    tunnel_key: str


ChangesListener = Callable[[ChangesRequest, SendChanges], None]


class FleetStore(ABC):
    """Read, watch and write the fleet's state; raise ``StoreUnavailable``.

    A lease ends with the era in which it was granted.
    """

    def __init__(self) -> None:
        self.era = StoreEra()

    @abstractmethod
    def snapshot(self) -> StoreChanges:
        """Read all entries; the reads are linearizable."""

    @abstractmethod
    def changes(
        self, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> StoreChanges:
        """Wait for events; raise ``HistoryLost`` if they or their era are gone.

        The store responds after ``wait_s`` at the latest. A connection without a
        response after ``timeout_s`` is closed.
        """

    @abstractmethod
    def encoded_snapshot(self) -> bytes:
        """Read all entries, encoded like changes that write each of them."""

    @abstractmethod
    def decode_changes(self, encoded: bytes) -> StoreChanges:
        """Decode changes that another host relayed; raise ``StoreUnavailable``."""

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> StoreLease:
        """Create a lease."""

    @abstractmethod
    def renew_lease(self, lease: StoreLease) -> None:
        """Renew a lease; raise ``LeaseEnded`` if it no longer exists."""

    @abstractmethod
    def end_lease(self, lease: StoreLease) -> None:
        """Revoke a lease and remove its keys."""

    @abstractmethod
    def register_host(self, host: HostEntry, lease: StoreLease) -> None:
        """Write this host's entry under a lease; raise ``LeaseEnded``."""

    @abstractmethod
    def record_withheld(self, withheld: WithheldRequest, lease: StoreLease) -> None:
        """Write a withheld request under a lease; raise ``LeaseEnded``."""

    @abstractmethod
    def remove_withheld(self, digest: bytes) -> None:
        """Remove the record of a subject that is no longer withheld, if any."""

    @abstractmethod
    def write_versions(self, versions: ServiceVersions) -> ServiceVersions | None:
        """Replace the record of its revision and return the new one, or ``None``."""

    @abstractmethod
    def record_streams(
        self,
        host: str,
        batch: str,
        streams: Sequence[RecordedStreams],
        lease: StoreLease,
        *,
        expired_batches: Sequence[str] = (),
    ) -> None:
        """Write a batch of begun streams under a lease; raise ``LeaseEnded``."""

    @abstractmethod
    def stream_records(self) -> tuple[StoreEvent, ...]:
        """Read the records of versions and streams; the reads are linearizable."""

    @abstractmethod
    def current_holder(self, *, allow_stale: bool) -> str | None:
        """Return the holder of the order key; a stale read may be seconds old."""

    @abstractmethod
    def acquire_term(self, holder: str, lease: StoreLease) -> int | None:
        """Take the order key if it is free; return the fencing number or ``None``.

        The fencing number is the revision of the key, which rises across eras.
        """

    @abstractmethod
    def announce_order(self, record: OrderRecord) -> OrderRecord | None:
        """Write a record if its holder holds the key; return it with its revision.

        A holder of an earlier era holds nothing.
        """
