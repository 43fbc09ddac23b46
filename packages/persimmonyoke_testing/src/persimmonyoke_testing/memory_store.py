"""In-memory key-value store with the fault switches of the simulated service."""

import time
from collections.abc import Callable
from threading import Event

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.platform import (
    MAX_VALUE_BYTES,
    KeyValue,
    KeyValueStore,
    Purpose,
    WatchCompacted,
    WatchNotice,
    WriteApplied,
    WriteConflict,
    WriteNotApplied,
    WriteOutcome,
    WriteUnknown,
)
from persimmonyoke_testing.key_value_state import (
    Compacted,
    KeyValueState,
    LeaseNotFound,
    StoreCounts,
    StoreFaults,
)

DEFAULT_TIMEOUT_S = 2.0


class MemoryStore(KeyValueStore):
    """Keep keys in memory; several stores may share one ``KeyValueState``.

    Faults apply to this client only: ``down`` disconnects it alone from the service. A
    ``slow_s`` of at least ``timeout_s`` fails reads and makes write outcomes unknown.
    """

    def __init__(
        self,
        *,
        state: KeyValueState | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.state = state if state is not None else KeyValueState(clock=clock)
        self.faults = StoreFaults()
        self.counts = StoreCounts()
        self._timeout_s = timeout_s
        self._sleep = sleep

    def for_purpose(self, purpose: Purpose) -> "MemoryStore":
        """Return this store; purposes are not distinguished."""
        return self

    def get(self, key: str) -> KeyValue | None:
        """Return a key's value; raise ``StoreUnavailable``."""
        self.counts.reads += 1
        self._check_read()
        return self.state.get(key)

    def list_prefix(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[KeyValue, ...]:
        """Return the keys under a prefix; raise ``StoreUnavailable``."""
        self.counts.reads += 1
        self._check_read()
        found = self.state.select(
            lambda key: key.startswith(prefix), limit=limit, newest_first=newest_first
        )
        return tuple(found)

    def compare_and_swap(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = 0
    ) -> WriteOutcome:
        """Write the key if its last write has the expected revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"value of {key} has {len(value)} bytes; accepted: {MAX_VALUE_BYTES}"
            )
        return self._write(
            key,
            expected_revision,
            lambda: self.state.put(key, value, lease_id=lease_id),
        )

    def delete(self, key: str, *, expected_revision: int) -> WriteOutcome:
        """Delete the key if its last write has the expected revision."""
        return self._write(key, expected_revision, lambda: self.state.delete(key))

    def grant_lease(self, *, ttl_s: float) -> int:
        """Create a lease; raise ``StoreUnavailable``."""
        self.counts.lease_calls += 1
        self._check_read()
        return self.state.grant_lease(ttl_s)

    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its TTL in seconds; raise ``StoreUnavailable``."""
        self.counts.lease_calls += 1
        self._check_read()
        return self.state.keep_alive(lease_id)

    def revoke(self, lease_id: int) -> None:
        """End a lease; raise ``StoreUnavailable``."""
        self.counts.lease_calls += 1
        self._check_read()
        self.state.revoke(lease_id)

    def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
        on_event: Callable[[WatchNotice], None],
        stop: Event,
    ) -> None:
        """Report each write under a prefix until ``stop`` is set."""
        self.counts.watches += 1
        self.counts.waiting_watches += 1
        next_revision = max(1, from_revision)
        try:
            while not stop.is_set():
                if not self.faults.down:
                    next_revision = self._deliver(prefix, next_revision, on_event)
                self.state.wait_for_change()
        finally:
            self.counts.waiting_watches -= 1

    def _deliver(
        self, prefix: str, revision: int, on_event: Callable[[WatchNotice], None]
    ) -> int:
        """Report the events since a revision and return the next revision."""
        try:
            events = self.state.events_from(
                revision, lambda key: key.startswith(prefix)
            )
        except Compacted as error:
            on_event(WatchCompacted(error.compact_revision))
            return error.compact_revision
        for event in events:
            on_event(event)
            revision = event.revision + 1
        return revision

    def _check_read(self) -> None:
        if self.faults.down:
            raise StoreUnavailable("connection refused")
        if self._is_too_slow():
            raise StoreUnavailable("no answer within the timeout")

    def _is_too_slow(self) -> bool:
        slow_s = self.faults.slow_s
        if slow_s:
            self._sleep(min(slow_s, self._timeout_s))
        return slow_s >= self._timeout_s

    def _write(
        self, key: str, expected_revision: int, apply: Callable[[], int]
    ) -> WriteOutcome:
        if self.faults.down:
            return WriteNotApplied("connection refused")
        self.counts.writes += 1
        if self.faults.take_lost_request():
            return WriteUnknown("the request was lost")
        too_slow = self._is_too_slow()
        outcome = self._apply(key, expected_revision, apply)
        if too_slow or self.faults.take_lost_answer():
            return WriteUnknown("the answer was lost")
        return outcome

    def _apply(
        self, key: str, expected_revision: int, apply: Callable[[], int]
    ) -> WriteOutcome:
        if self.state.mod_revision(key) != expected_revision:
            return WriteConflict(self.state.get(key))
        try:
            return WriteApplied(apply())
        except LeaseNotFound as error:
            return WriteNotApplied(f"lease {error} not found")
