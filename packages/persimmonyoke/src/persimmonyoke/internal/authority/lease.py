"""Acquire and renew the lease of a pool and track when it ends."""

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

import cbor2

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.authority.timer import LeaseTimer
from persimmonyoke.internal.platform.store import (
    EXPECT_ABSENT,
    KeyValue,
    KeyValueStore,
    WriteApplied,
    WriteNotApplied,
    WriteUnknown,
)

RENEWALS_PER_LEASE = 4
"""Renewals within one lease, so that a single lost renewal does not end it."""

USABLE_SHARE = 0.85
"""Share of the lease after which the holder gives up authority by itself."""

TIMER_SHARE = 0.95
"""Share of the lease after which the kernel ends the process.

It is above ``USABLE_SHARE``, so that a running holder gives up authority and survives
an outage of the store, and below 1, because the clock of the store may be a little
fast.
"""


@dataclass(frozen=True)
class Authority:
    """Hold the fencing number and the monotonic time at which authority ends."""

    pool: str
    fencing: int
    lease_id: int
    acquired_s: float
    expires_s: float

    def remaining_s(self, now_s: float) -> float:
        """Return the time for which orders may still be sent."""
        return max(0.0, self.expires_s - now_s)


class AuthorityLease:
    """Acquire and renew the lease of one pool.

    Lease time is counted on the monotonic clock from before each request is sent, so
    the holder's view of the end is never later than the store's.
    """

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        *,
        pool: str,
        holder: str,
        lease_s: float,
        timer: LeaseTimer,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        if lease_s <= 0:
            raise ValueError(f"lease_s must be positive, got {lease_s!r}")
        self._store = store
        self._key = key
        self._pool = pool
        self._holder = holder
        self._lease_s = lease_s
        self._timer = timer
        self._clock_s = clock_s
        self._pending: tuple[str, int, float] | None = None
        self.authority: Authority | None = None

    @property
    def usable_s(self) -> float:
        """Return for how long authority lasts after an acquisition or renewal."""
        return self._lease_s * USABLE_SHARE

    @property
    def renewal_interval_s(self) -> float:
        """Return the time between two renewals."""
        return self._lease_s / RENEWALS_PER_LEASE

    def recorded_holder(self) -> str | None:
        """Return the name of the controller that the store records as the holder."""
        current = self._store.get(self._key)
        return None if current is None else str(cbor2.loads(current.value)["holder"])

    def try_acquire(self, *, now_s: float) -> Authority | None:
        """Try once to acquire the lease; raises ``StoreUnavailable``."""
        if self._pending is not None:
            return self._resolve_acquisition(now_s)
        if self._store.get(self._key) is not None:
            return None
        lease_id = self._store.grant_lease(ttl_s=self._lease_s)
        write_id = secrets.token_hex(8)
        value = cbor2.dumps({"holder": self._holder, "write_id": write_id})
        outcome = self._store.compare_and_swap(
            self._key, value, expected_revision=EXPECT_ABSENT, lease_id=lease_id
        )
        match outcome:
            case WriteApplied(revision):
                return self._accept_acquisition(revision, lease_id, now_s)
            case WriteUnknown() if not isinstance(outcome, WriteNotApplied):
                self._pending = (write_id, lease_id, now_s)
            case _:
                self._revoke(lease_id)
        return None

    def renew(self, *, now_s: float) -> bool:
        """Renew the lease; return whether it is still held.

        A renewal that fails because the store is down does not extend the lease.
        """
        authority = self.authority
        if authority is None:
            return False
        try:
            remaining_s = self._store.keep_alive(authority.lease_id)
        except StoreUnavailable:
            return True
        if self.authority is not authority:
            # Authority was given up while the renewal was pending. The lease is revoked
            # and not resumed, so that authority has one beginning and one end.
            self._revoke(authority.lease_id)
            return False
        if remaining_s <= 0 or self._is_expired(now_s):
            self.relinquish()
            return False
        self._set_authority(
            authority.fencing, authority.lease_id, authority.acquired_s, now_s
        )
        return True

    def check(self, *, now_s: float) -> Authority | None:
        """Return the authority; give it up if it has expired."""
        if self.authority is not None and self.authority.remaining_s(now_s) <= 0:
            self.relinquish()
        return self.authority

    def relinquish(self) -> None:
        """Drop authority and cancel the timer.

        The caller must have closed all order connections before, because only the timer
        prevents an order from being sent after a pause.
        """
        self.authority = None
        self._timer.disarm(self._pool)

    def release(self) -> None:
        """Give up authority and revoke the lease, so that a successor need not wait."""
        authority = self.authority
        self.relinquish()
        if authority is not None:
            self._revoke(authority.lease_id)

    def _resolve_acquisition(self, now_s: float) -> Authority | None:
        """Determine whether an acquisition with a lost answer took effect.

        Its authority counts from the time of the first request. The lease is revoked if
        too much of it has passed, so that a late write can't block the pool.
        """
        write_id, lease_id, started_s = self._pending or ("", 0, 0.0)
        current = self._store.get(self._key)
        self._pending = None
        fresh = now_s - started_s < self.usable_s / 2
        if fresh and current is not None and _write_id(current) == write_id:
            return self._accept_acquisition(current.mod_revision, lease_id, started_s)
        self._revoke(lease_id)
        return None

    def _accept_acquisition(
        self, fencing: int, lease_id: int, started_s: float
    ) -> Authority | None:
        if self._is_expired(started_s):
            # Arming the timer for a time in the past would end the process.
            self._revoke(lease_id)
            return None
        return self._set_authority(fencing, lease_id, started_s, started_s)

    def _is_expired(self, counted_from_s: float) -> bool:
        return self._clock_s() >= counted_from_s + self.usable_s

    def _set_authority(
        self, fencing: int, lease_id: int, acquired_s: float, counted_from_s: float
    ) -> Authority:
        expires_s = counted_from_s + self.usable_s
        self._timer.arm(self._pool, counted_from_s + self._lease_s * TIMER_SHARE)
        self.authority = Authority(self._pool, fencing, lease_id, acquired_s, expires_s)
        return self.authority

    def _revoke(self, lease_id: int) -> None:
        try:
            self._store.revoke(lease_id)
        except StoreUnavailable:
            # The lease expires by itself; until then no other controller can acquire
            # it.
            return


def _write_id(key_value: KeyValue) -> str:
    return str(cbor2.loads(key_value.value).get("write_id", ""))
