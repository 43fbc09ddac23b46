"""Persistence of quarantined requests in the store, beyond the lifetime of hosts."""

import time

import gevent

from persimmonyoke.errors import LeaseEnded, StoreUnavailable
from persimmonyoke.internal.delivery.suspect_types import SuspectNotice
from persimmonyoke.internal.fleet.interfaces import FleetStore
from persimmonyoke.internal.fleet.model import WithheldRequest
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.suspect_link import merge_notice

RETRY_S = 1.0
MAX_ATTEMPTS = 30
"""Attempts to write one record while the store does not answer.

Peers know of the request as well.
"""

STORE_SOURCE = "store"


class WithheldRecorder:
    """Write the requests that this host has quarantined to the store."""

    def __init__(self, state: GatewayState, store: FleetStore) -> None:
        self._state = state
        self._store = store
        self._writing: set[bytes] = set()
        state.on_withheld = self.write
        state.on_quarantine_lifted = self.remove

    def write(self, digest: bytes) -> None:
        """Record a request in the background, unless that is already in progress."""
        if digest not in self._writing:
            self._writing.add(digest)
            gevent.spawn(self._write_until_done, digest)

    def remove(self, digest: bytes) -> None:
        """Remove the record of a request in the background."""
        gevent.spawn(self._remove, digest)

    def _remove(self, digest: bytes) -> None:
        try:
            self._store.remove_withheld(digest)
        except StoreUnavailable as error:
            # Hosts that start later are told by peers that the record is outdated.
            self._state.journal.failure(
                "withheld_not_removed", error, content=digest.hex()
            )

    def _write_until_done(self, digest: bytes) -> None:
        try:
            for _ in range(MAX_ATTEMPTS):
                if self._write_once(digest):
                    return
                gevent.sleep(RETRY_S * self._state.rng.uniform(0.8, 1.2))
            self._state.journal.event("withheld_not_recorded", content=digest.hex())
        finally:
            self._writing.discard(digest)

    def _write_once(self, digest: bytes) -> bool:
        """Try to record a request; return whether no further attempt is needed."""
        notice = self._state.suspects.notice(digest, time.monotonic())
        left_s = notice.quarantine_left_s
        if left_s <= 0:
            return True
        crashes = tuple(sorted(notice.crashes))
        withheld = WithheldRequest(digest, crashes, time.time() + left_s)
        try:
            lease = self._store.grant_lease(left_s)
            self._store.record_withheld(withheld, lease)
        except (LeaseEnded, StoreUnavailable) as error:
            self._state.journal.failure(
                "withheld_not_written", error, content=digest.hex()
            )
            return False
        self._state.journal.event(
            "withheld_recorded", content=digest.hex(), crashes=list(crashes)
        )
        return True


def merge_withheld(
    state: GatewayState, withheld: WithheldRequest, *, unix_s: float, now_s: float
) -> None:
    """Quarantine a request recorded in the store for the rest of its time."""
    left_s = min(state.suspects.hold_s, withheld.until_unix_s - unix_s)
    if left_s <= 0:
        return
    notice = SuspectNotice(
        digest=withheld.digest,
        host=STORE_SOURCE,
        crashes=frozenset(withheld.crashes),
        quarantine_left_s=left_s,
        crash_age_s=state.suspects.hold_s - left_s,
    )
    merge_notice(state, notice, now_s=now_s)
