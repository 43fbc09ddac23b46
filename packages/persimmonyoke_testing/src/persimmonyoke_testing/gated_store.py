"""In-memory store whose answers a test can delay or withhold."""

from collections.abc import Sequence

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import (
    FleetStore,
    RelayedChanges,
    StoreChanges,
    StoreEvent,
)
from persimmonyoke.internal.fleet.model import (
    HostEntry,
    RecordedStreams,
    ServiceVersions,
    WithheldRequest,
)
from persimmonyoke.internal.fleet.store_lease import StoreLease
from persimmonyoke.internal.fleet.term import OrderRecord


class GatedStore(FleetStore):
    """Answer snapshots and watches from memory; hosts cannot write.

    A snapshot is taken when the call begins and returned once ``snapshot_gate`` is set.
    While ``silent`` is true, watches get no answer; while ``unavailable`` is true,
    snapshots and watches are refused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.events: tuple[StoreEvent, ...] = ()
        self.revision = 1
        self.snapshot_gate = Event()
        self.snapshot_gate.set()
        self.snapshots = 0
        self.watch_calls = 0
        self.waits_s: list[float] = []
        self.silent = False
        self.unavailable = False
        self._pending_changes: Queue = Queue()
        self._encoded: dict[bytes, StoreChanges] = {}

    def publish(self, *events: StoreEvent) -> None:
        """Change the entries in one revision and notify the watch."""
        self.relay(*events)

    def relay(self, *events: StoreEvent) -> RelayedChanges:
        """Change the entries like ``publish``; return what peers forward."""
        after_revision = self.revision
        self.revision += 1
        self.events = (*self.events, *events)
        encoded = b"changes up to %d" % self.revision
        changes = StoreChanges(events, self.revision, encoded)
        self._encoded[encoded] = changes
        self._pending_changes.put(changes)
        return RelayedChanges(after_revision, encoded)

    def snapshot(self) -> StoreChanges:
        """Return the entries as of the start of the call."""
        self.snapshots += 1
        self._check_available()
        taken = self._all_entries()
        self.snapshot_gate.wait()
        return taken

    def changes(
        self, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> StoreChanges:
        """Return the next change after a revision, or none after the wait."""
        self.watch_calls += 1
        self.waits_s.append(wait_s)
        self._check_available()
        if self.silent:
            gevent.sleep(timeout_s)
            raise StoreUnavailable("no answer in time")
        try:
            changes = self._pending_changes.get(timeout=wait_s)
        except Empty:
            return StoreChanges((), after_revision)
        return changes

    def _check_available(self) -> None:
        if self.unavailable:
            raise StoreUnavailable("refused")

    def encoded_snapshot(self) -> bytes:
        """Return the entries in a form that ``decode_changes`` knows."""
        self._check_available()
        return self._all_entries().encoded

    def _all_entries(self) -> StoreChanges:
        encoded = b"snapshot at %d" % self.revision
        entries = StoreChanges(self.events, self.revision, encoded)
        self._encoded[encoded] = entries
        return entries

    def decode_changes(self, encoded: bytes) -> StoreChanges:
        """Return what ``relay`` or ``encoded_snapshot`` encoded."""
        if encoded not in self._encoded:
            raise StoreUnavailable(f"not understood: {encoded!r}")
        return self._encoded[encoded]

    def grant_lease(self, ttl_s: float) -> StoreLease:
        """Refuse."""
        raise StoreUnavailable(f"no lease of {ttl_s} s")

    def renew_lease(self, lease: StoreLease) -> None:
        """Refuse."""
        raise StoreUnavailable(f"no lease {lease.number}")

    def end_lease(self, lease: StoreLease) -> None:
        """Refuse."""
        raise StoreUnavailable(f"no lease {lease.number}")

    def register_host(self, host: HostEntry, lease: StoreLease) -> None:
        """Refuse."""
        raise StoreUnavailable(f"no lease {lease.number} for {host.name}")

    def record_withheld(self, withheld: WithheldRequest, lease: StoreLease) -> None:
        """Refuse."""
        raise StoreUnavailable(f"no lease {lease.number} for {withheld.digest.hex()}")

    def remove_withheld(self, digest: bytes) -> None:
        """Refuse."""
        raise StoreUnavailable(f"no writes for {digest.hex()}")

    def write_versions(self, versions: ServiceVersions) -> ServiceVersions | None:
        """Refuse."""
        raise StoreUnavailable(f"no writes for {versions.service}")

    def record_streams(
        self,
        host: str,
        batch: str,
        streams: Sequence[RecordedStreams],
        lease: StoreLease,
        *,
        expired_batches: Sequence[str] = (),
    ) -> None:
        """Refuse."""
        raise StoreUnavailable(f"no lease {lease.number} for {host}")

    def stream_records(self) -> tuple[StoreEvent, ...]:
        """Return the entries, of which callers pick the records of streams."""
        self._check_available()
        return self.events

    def current_holder(self, *, allow_stale: bool) -> str | None:
        """Return ``None``, as no host holds the order key."""
        return None

    def acquire_term(self, holder: str, lease: StoreLease) -> int | None:
        """Refuse."""
        raise StoreUnavailable(f"no lease {lease.number} for {holder}")

    def announce_order(self, record: OrderRecord) -> OrderRecord | None:
        """Refuse."""
        raise StoreUnavailable(f"no order for {record.replica_id}")
