"""Evidence by which this host lets new streams begin at the recorded version."""

import time

from persimmonyoke.internal.dispatch.stream_starts import (
    MAX_RECORD_AGE_S,
    RecordEvidence,
    StartBasis,
    start_basis,
)
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.view_confirmation import note_confirmed_by_peers

REVIEW_INTERVAL_S = 0.05
"""Interval of reviews of a record that is not current; each looks at all peers."""


class StreamStarts:
    """Review the record of one service for a new stream."""

    def __init__(self, state: GatewayState, service: str) -> None:
        self._state = state
        self._service = service
        self._basis = StartBasis.NONE
        self._reviewed_s = float("-inf")

    @property
    def record_age_s(self) -> float:
        """Return the time since this host's record was known to be the latest."""
        return boot_time_s() - self._state.record_current_boot_s

    def basis(self) -> StartBasis:
        """Return by what streams may begin now."""
        if self.record_age_s <= MAX_RECORD_AGE_S:
            return StartBasis.CURRENT
        now_s = time.monotonic()
        if now_s - self._reviewed_s > REVIEW_INTERVAL_S:
            # The task that follows the store may be waiting for its answer.
            note_confirmed_by_peers(self._state)
            self._basis, self._reviewed_s = start_basis(self._evidence(now_s)), now_s
        return self._basis

    def sees_one_version(self) -> bool:
        """Return whether the record and all known replicas name one version."""
        record = self._state.stream_versions.service(self._service)
        return (
            record is not None
            and not record.earlier
            and all(
                replica.software_version == record.active
                for replica in self._state.replicas.all()
                if replica.service == self._service
            )
        )

    def _evidence(self, now_s: float) -> RecordEvidence:
        state, hosts = self._state, self._state.hosts
        revision = state.view.revision
        return RecordEvidence(
            record_age_s=self.record_age_s,
            store_connected=state.store_connected,
            most_hosts_without_store=hosts.no_peer_knew_more(
                revision, since_boot_s=boot_time_s() - MAX_RECORD_AGE_S
            ),
            peer_knows_more=hosts.store_answers_a_peer(now_s)
            or hosts.newest_revision(now_s) > revision,
            one_version_known=self.sees_one_version(),
            awake_s=state.awake.duration_s(boot_time_s()),
        )
