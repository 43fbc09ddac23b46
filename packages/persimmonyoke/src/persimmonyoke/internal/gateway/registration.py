"""Registration of this host in the store."""

import time

import gevent

from persimmonyoke.errors import LeaseEnded, StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import FleetStore
from persimmonyoke.internal.fleet.store_lease import StoreLease
from persimmonyoke.internal.gateway.state import GatewayState

HOST_LEASE_S = 4.0
RENEW_S = 1.2
"""Two renewals may be lost before a host's entry expires."""

READY_POLL_S = 0.1
"""Interval at which a starting host checks whether it is ready for callers."""


class HostRegistration:
    """Keep this host's entry in the store."""

    def __init__(self, state: GatewayState, store: FleetStore) -> None:
        self._state = state
        self._store = store
        self._lease: StoreLease | None = None
        self._registered = False

    def run(self) -> None:
        """Register and renew the lease for the lifetime of the process."""
        while True:
            try:
                self._step()
                delay_s = RENEW_S if self._lease is not None else READY_POLL_S
            except LeaseEnded as error:
                self._state.journal.failure("host_lease_ended", error)
                self._lease = None
                delay_s = 0.05
            except StoreUnavailable as error:
                self._state.journal.failure("host_not_registered", error)
                self._state.note_store_lost(error)
                delay_s = self._retry_s()
            except Exception:
                self._state.journal.unexpected("host_registration_failed")
                delay_s = RENEW_S
            gevent.sleep(delay_s * self._state.rng.uniform(0.85, 1.0))

    def _retry_s(self) -> float:
        """Return the retry delay, longer if the store refuses only this host."""
        served = self._state.hosts.store_answers_a_peer(time.monotonic())
        return RENEW_S if served else RENEW_S / 2

    def withdraw(self) -> None:
        """Remove this host's entry, so that callers are directed to other hosts."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            self._store.end_lease(lease)
        except (LeaseEnded, StoreUnavailable) as error:
            # The lease expires on its own, and peers learn of the drain from datagrams.
            self._state.journal.failure("host_not_withdrawn", error)

    def _step(self) -> None:
        # Registering before the host is ready would notify all watches twice.
        if self._state.draining or not self._state.ready:
            return
        if self._lease is None:
            self._lease = self._store.grant_lease(HOST_LEASE_S)
            self._registered = False
        elif self._registered:
            self._store.renew_lease(self._lease)
        if not self._registered:
            self._store.register_host(self._state.own_entry(), self._lease)
            self._registered = True
        self._state.note_store_answer(time.monotonic())
