"""What this host's own links tell of the replicas, and whether the links are cut.

A replica that can't be reached from here may be down, or the links of this host may be
cut. Only a peer that reaches the replica at the same time tells one from the other.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

NEVER_S = float("-inf")

MIN_REPLICAS = 2
"""Replicas whose loss shows that the links are cut, as a single one may have failed."""

DIRECT_RETRY_S = 1.0
"""Time after which the link to a single replica is tried again before peers are."""

TRIAL_INTERVAL_S = 1.0
"""Interval at which one connection tries links on which no replica answers."""

PEER_ANSWER_TTL_S = 0.5
"""Time for which peers are not asked again for a replica that one could not reach."""


class LinkState(StrEnum):
    """Say what is known of the links between this host and the replicas.

    ``NO_NEW_CONNECTIONS`` means that open connections still work. ``UNCONFIRMED`` means
    that no replica answers, and no peer has shown that one could be reached.
    """

    INTACT = "intact"
    NO_NEW_CONNECTIONS = "no_new_connections"
    CUT_OFF = "cut_off"
    UNCONFIRMED = "unconfirmed"


PARTITIONED = frozenset({LinkState.NO_NEW_CONNECTIONS, LinkState.CUT_OFF})
"""States in which peers reach replicas that this host can't connect to."""


@dataclass(frozen=True)
class LinkEvidence:
    """Hold the observations behind a link state; times are ages at the decision."""

    failing: int
    confirmed: int
    failing_for_s: float | None
    last_answer_age_s: float | None
    last_connected_age_s: float | None


@dataclass
class _Link:
    """Hold what connections to one replica have shown.

    ``failing_since_s`` is the time of the first failed connection since any replica
    accepted one, or ``None`` if the replica accepted the last connection.
    """

    failing_since_s: float | None = None
    failed_s: float = NEVER_S
    answered_s: float = NEVER_S
    reached_by_peer_s: float = NEVER_S
    unreached_by_peer_s: float = NEVER_S
    silent_until_s: float = NEVER_S
    """Connections that have been idle since before this time may be silent for good."""

    @property
    def confirmed(self) -> bool:
        """Return whether a peer reached the replica since the link began to fail."""
        since_s = self.failing_since_s
        return since_s is not None and self.reached_by_peer_s >= since_s


class ReplicaLinks:
    """Record what this host's own connections show, and derive the state of its links.

    Only connections without a peer in between are recorded as connected, answered,
    failed or silent.
    """

    def __init__(self) -> None:
        self._links: dict[str, _Link] = {}
        self._failing: dict[str, _Link] = {}
        self._connected_s = NEVER_S
        self._answered_s = NEVER_S
        self._silent_until_s = NEVER_S
        """End of a call during which no replica answered or accepted a connection."""

        self._unanswered: set[str] = set()
        """Replicas that accepted a connection in vain since any of them answered."""

        self._tried_s = NEVER_S

    def note_connected(self, replica_id: str, now_s: float) -> None:
        """Record that the replica accepted a connection."""
        self._connected_s = now_s
        self._link(replica_id).failing_since_s = None
        self._failing.pop(replica_id, None)

    def note_answer(self, replica_id: str, now_s: float) -> None:
        """Record bytes of the replica on an open connection."""
        self._answered_s = now_s
        self._link(replica_id).answered_s = now_s
        self._unanswered.clear()

    def note_unanswered(self, replica_id: str, *, sent_s: float, now_s: float) -> None:
        """Record a call on a new connection that ended without a byte of the replica.

        A proxy, or the kernel of a host whose process hangs, accepts connections for
        a replica, so that only bytes show that a link works.
        """
        if sent_s > self._answered_s:
            self._unanswered.add(replica_id)
            self._tried_s = now_s

    def note_connect_failed(
        self, replica_id: str, *, begun_s: float, now_s: float
    ) -> None:
        """Record an attempt to connect, begun earlier, that failed now."""
        link = self._link(replica_id)
        since_s = link.failing_since_s
        if since_s is None or since_s <= self._connected_s:
            link.failing_since_s = begun_s
        self._failing[replica_id] = link
        link.failed_s = now_s

    def note_silent(self, replica_id: str, *, sent_s: float, now_s: float) -> None:
        """Record a call without a byte of an answer on an open connection."""
        link = self._link(replica_id)
        if link.answered_s < sent_s:
            link.silent_until_s = now_s
        if self.silent_since(sent_s):
            self._silent_until_s = now_s

    def note_reached_by_peer(self, replica_id: str, now_s: float) -> None:
        """Record that a peer connected to the replica for this host."""
        self._link(replica_id).reached_by_peer_s = now_s

    def note_unreached_by_peer(self, replica_id: str, now_s: float) -> None:
        """Record that a peer could not connect to the replica either."""
        self._link(replica_id).unreached_by_peer_s = now_s

    def forget(self, replica_id: str) -> None:
        """Drop the record of a replica that was removed."""
        self._links.pop(replica_id, None)
        self._failing.pop(replica_id, None)
        self._unanswered.discard(replica_id)

    def state(self, known: int) -> LinkState:
        """Return the state of the links to the replicas, of which ``known`` exist."""
        needed = max(1, min(MIN_REPLICAS, known))
        failing = self._failing_since_last_connection()
        if len(failing) < needed:
            return LinkState.INTACT
        answered = self._answered_s > _began_s(failing)
        if sum(link.confirmed for link in failing) >= needed:
            return LinkState.NO_NEW_CONNECTIONS if answered else LinkState.CUT_OFF
        return LinkState.INTACT if answered else LinkState.UNCONFIRMED

    def evidence(self, now_s: float) -> LinkEvidence:
        """Return the observations behind the present state."""
        failing = self._failing_since_last_connection()
        return LinkEvidence(
            failing=len(failing),
            confirmed=sum(link.confirmed for link in failing),
            failing_for_s=now_s - _began_s(failing) if failing else None,
            last_answer_age_s=_age_s(self._answered_s, now_s),
            last_connected_age_s=_age_s(self._connected_s, now_s),
        )

    @property
    def any_failing(self) -> bool:
        """Return whether the last connection to some replica failed."""
        return bool(self._failing)

    @property
    def unanswered(self) -> bool:
        """Return whether replicas accept connections and none of them answers.

        It is no link state: replicas that are busy or stand still for a while look the
        same, so peers are preferred but nothing is refused.
        """
        return len(self._unanswered) >= MIN_REPLICAS

    def trial_due(self, now_s: float) -> bool:
        """Return whether it is time to try links on which no replica answers."""
        return now_s - self._tried_s >= TRIAL_INTERVAL_S

    def claim_trial(self, now_s: float) -> bool:
        """Return whether a connection may try the own links now, and count it."""
        if not self.trial_due(now_s):
            return False
        self._tried_s = now_s
        return True

    def fails(self, replica_id: str) -> bool:
        """Return whether a link has failed after any replica accepted a connection."""
        link = self._failing.get(replica_id)
        return link is not None and link.failed_s > self._connected_s

    def connected_since(self, time_s: float) -> bool:
        """Return whether some replica has accepted a connection since then."""
        return self._connected_s >= time_s

    def failing_replicas(self) -> list[str]:
        """Return the replicas to which the last connection failed."""
        return list(self._failing)

    def confirmed(self, replica_id: str) -> bool:
        """Return whether a peer reached a replica since its link began to fail."""
        link = self._failing.get(replica_id)
        return link is not None and link.confirmed

    def probe_order(self, replica_ids: Iterable[str]) -> list[str]:
        """Return replicas in the order in which their links are to be tried again."""
        return sorted(replica_ids, key=lambda r: self._link(r).failed_s)

    def prefers_peer(self, replica_id: str, *, known: int, now_s: float) -> bool:
        """Return whether a new connection is to be opened by a peer at once."""
        if self.state(known) in PARTITIONED:
            return True
        link = self._failing.get(replica_id)
        if link is None or not link.confirmed:
            return False
        return now_s - link.failed_s < DIRECT_RETRY_S

    def may_ask_peer(self, replica_id: str, now_s: float) -> bool:
        """Return whether a peer may reach a replica that this host fails to reach."""
        link = self._link(replica_id)
        return now_s - link.unreached_by_peer_s >= PEER_ANSWER_TTL_S

    def trusts_idle(self, replica_id: str, *, idle_since_s: float, known: int) -> bool:
        """Return whether a connection that has been idle so long is likely to work."""
        link = self._links.get(replica_id)
        if link is not None and idle_since_s < link.silent_until_s:
            return False
        if idle_since_s < self._silent_until_s and not self._answered_since_silence:
            return False
        if not self._failing or self.state(known) is not LinkState.CUT_OFF:
            return True
        return idle_since_s >= _began_s(self._failing_since_last_connection())

    @property
    def _answered_since_silence(self) -> bool:
        """Return whether an open connection has worked since all were silent."""
        return self._answered_s > self._silent_until_s

    def silent_since(self, sent_s: float) -> bool:
        """Return whether no replica has answered or accepted a connection since."""
        return max(self._answered_s, self._connected_s) < sent_s

    def _failing_since_last_connection(self) -> list[_Link]:
        """Return the links that failed after any replica accepted a connection."""
        return [
            link for link in self._failing.values() if link.failed_s > self._connected_s
        ]

    def _link(self, replica_id: str) -> _Link:
        return self._links.setdefault(replica_id, _Link())


def _began_s(failing: Collection[_Link]) -> float:
    """Return when the first of some links began to fail."""
    return min(
        link.failing_since_s for link in failing if link.failing_since_s is not None
    )


def _age_s(time_s: float, now_s: float) -> float | None:
    return None if time_s == NEVER_S else now_s - time_s
