"""State of a simulated key-value service: keys, revisions, leases and history."""

import itertools
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonyoke.internal.platform import KeyValue, WatchEvent

FIRST_REVISION = 1
WATCH_POLL_S = 0.05
"""Longest time between a watch's checks for expired leases and a closed connection."""


class Compacted(Exception):
    """Report a watch from a revision that has been compacted."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"compacted at {compact_revision}")
        self.compact_revision = compact_revision


class LeaseNotFound(Exception):
    """Report a write under a lease that does not exist."""


@dataclass
class StoreFaults:
    """Hold the faults to inject into a simulated key-value service.

    The next ``lose_answers`` writes take effect but are not answered; the next
    ``lose_requests`` writes are dropped before they take effect.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0

    def take_lost_request(self) -> bool:
        """Return whether to drop this write; if so, decrement ``lose_requests``."""
        lost = self.lose_requests > 0
        self.lose_requests -= lost
        return lost

    def take_lost_answer(self) -> bool:
        """Return whether to drop this answer; if so, decrement ``lose_answers``."""
        lost = self.lose_answers > 0
        self.lose_answers -= lost
        return lost


@dataclass
class StoreCounts:
    """Count the calls that reached a simulated key-value service."""

    reads: int = 0
    writes: int = 0
    lease_calls: int = 0
    watches: int = 0
    waiting_watches: int = 0


@dataclass
class _Lease:
    ttl_s: float
    deadline_s: float
    keys: set[str] = field(default_factory=set)


class KeyValueState:
    """Apply reads, writes and leases as etcd does, one revision for each write."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._keys: dict[str, KeyValue] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1001)
        self._history: list[WatchEvent] = []
        self._changed = threading.Condition()
        self.revision = FIRST_REVISION
        self.compact_revision = 0

    def get(self, key: str) -> KeyValue | None:
        """Return a key's value."""
        self.expire_leases()
        return self._keys.get(key)

    def select(
        self, accept: Callable[[str], bool], *, limit: int, newest_first: bool
    ) -> list[KeyValue]:
        """Return the accepted keys in order; limit 0 returns all."""
        self.expire_leases()
        names = sorted(filter(accept, self._keys), reverse=newest_first)
        return [self._keys[name] for name in (names[:limit] if limit else names)]

    def mod_revision(self, key: str) -> int:
        """Return the revision of the key's last write, 0 if it is absent."""
        found = self.get(key)
        return found.mod_revision if found else 0

    def put(self, key: str, value: bytes, *, lease_id: int = 0) -> int:
        """Write a key and return the new revision; raise ``LeaseNotFound``."""
        self.expire_leases()
        if lease_id and lease_id not in self._leases:
            raise LeaseNotFound(str(lease_id))
        self.revision += 1
        old = self._keys.get(key)
        if old is not None and old.lease_id:
            self._leases[old.lease_id].keys.discard(key)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        written = KeyValue(
            key=key,
            value=value,
            mod_revision=self.revision,
            create_revision=old.create_revision if old else self.revision,
            lease_id=lease_id,
        )
        self._keys[key] = written
        self._record(WatchEvent(key, written, self.revision))
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key and return the revision."""
        self.expire_leases()
        old = self._keys.pop(key, None)
        if old is None:
            return self.revision
        if old.lease_id in self._leases:
            self._leases[old.lease_id].keys.discard(key)
        self.revision += 1
        self._record(WatchEvent(key, None, self.revision))
        return self.revision

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its TTL in seconds, 0 if it has expired."""
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0.0
        lease.deadline_s = self._clock() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else ():
            self.delete(key)

    def expire_leases(self) -> None:
        """Revoke the leases whose TTL has elapsed."""
        now_s = self._clock()
        expired = [i for i, lease in self._leases.items() if lease.deadline_s <= now_s]
        for lease_id in expired:
            self.revoke(lease_id)

    def compact(self) -> None:
        """Discard all events before the newest, as etcd's compaction does.

        The event at the compact revision is retained, since a watch may start there.
        """
        self.compact_revision = self.revision
        self._history = [e for e in self._history if e.revision >= self.revision]
        self.wake_watches()

    def events_from(
        self, revision: int, accept: Callable[[str], bool]
    ) -> list[WatchEvent]:
        """Return the events since a revision, inclusive; raise ``Compacted``."""
        self.expire_leases()
        if revision < self.compact_revision:
            raise Compacted(self.compact_revision)
        return [
            event
            for event in self._history
            if event.revision >= revision and accept(event.key)
        ]

    def wait_for_change(self, timeout_s: float = WATCH_POLL_S) -> None:
        """Wait until the state changes or the timeout expires."""
        with self._changed:
            self._changed.wait(timeout_s)

    def wake_watches(self) -> None:
        """Wake all waiting watches, so that they check the state again."""
        with self._changed:
            self._changed.notify_all()

    def _record(self, event: WatchEvent) -> None:
        self._history.append(event)
        self.wake_watches()
