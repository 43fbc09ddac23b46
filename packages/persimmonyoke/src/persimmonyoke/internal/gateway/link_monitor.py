"""Keep and log what this host believes of its links to the replicas."""

from collections.abc import Callable

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.fleet.replica_links import (
    PARTITIONED,
    LinkState,
    ReplicaLinks,
)
from persimmonyoke.internal.gateway.journal import Journal


class LinkMonitor:
    """Pass observations on to ``ReplicaLinks``, and apply each change of the state.

    What failed on links that were cut says nothing of the replicas, so
    ``forget_failures`` is called when peers turn out to reach them, and when the links
    work again.
    """

    def __init__(
        self,
        journal: Journal,
        *,
        count_replicas: Callable[[], int],
        forget_failures: Callable[[], None],
    ) -> None:
        self._journal = journal
        self._count_replicas = count_replicas
        self._forget_failures = forget_failures
        self._links = ReplicaLinks()
        self.state = LinkState.INTACT
        self._was_unanswered = False
        self._answered_by_peer = False

    @property
    def partitioned(self) -> bool:
        """Return whether only peers open connections to the replicas."""
        return self.state in PARTITIONED

    @property
    def unanswered(self) -> bool:
        """Return whether replicas accept connections and none of them answers."""
        return self._links.unanswered

    @property
    def failing(self) -> list[str]:
        """Return the replicas to which the last connection failed."""
        return self._links.failing_replicas()

    def note_connected(self, replica: Replica, now_s: float) -> None:
        """Record that a replica accepted a connection of this host."""
        self._links.note_connected(replica.replica_id, now_s)
        self._review(now_s)

    def note_connect_failed(
        self, replica: Replica, *, begun_s: float, now_s: float
    ) -> None:
        """Record an attempt of this host to connect, begun earlier, that failed."""
        self._links.note_connect_failed(
            replica.replica_id, begun_s=begun_s, now_s=now_s
        )
        self._review(now_s)

    def note_answer(self, replica: Replica, now_s: float) -> None:
        """Record an answer on a connection of this host."""
        self._links.note_answer(replica.replica_id, now_s)
        self._review(now_s)
        self._review_answers()

    def note_unanswered(self, replica: Replica, *, sent_s: float, now_s: float) -> None:
        """Record a call on a new connection that ended without a byte."""
        self._links.note_unanswered(replica.replica_id, sent_s=sent_s, now_s=now_s)
        self._review_answers()

    def note_answer_by_peer(self) -> None:
        """Record an answer through a peer, which shows that replicas are sound."""
        if self.unanswered and not self._answered_by_peer:
            self._answered_by_peer = True
            self._forget_failures()

    def note_silent(self, replica: Replica, *, sent_s: float, now_s: float) -> None:
        """Record a call on a connection of this host that got no answer."""
        self._links.note_silent(replica.replica_id, sent_s=sent_s, now_s=now_s)

    def note_reached_by_peer(self, replica: Replica, now_s: float) -> None:
        """Record that a peer connected to a replica for this host."""
        self._links.note_reached_by_peer(replica.replica_id, now_s)
        self._review(now_s)

    def note_unreached_by_peer(self, replica: Replica, now_s: float) -> None:
        """Record that a peer could not connect to a replica either."""
        self._links.note_unreached_by_peer(replica.replica_id, now_s)

    def forget(self, replica_id: str, now_s: float) -> None:
        """Drop the record of a replica that was removed."""
        self._links.forget(replica_id)
        self._review(now_s)
        self._review_answers()

    def trial_due(self, now_s: float) -> bool:
        """Return whether it is time to try links on which no replica answers."""
        return self._links.trial_due(now_s)

    def claim_trial(self, now_s: float) -> bool:
        """Return whether a connection may try the own links now, and count it."""
        return self._links.claim_trial(now_s)

    def fails(self, replica: Replica) -> bool:
        """Return whether a link has failed after any replica accepted a connection."""
        return self._links.fails(replica.replica_id)

    def confirmed(self, replica: Replica) -> bool:
        """Return whether a peer reached a replica since its link began to fail."""
        return self._links.confirmed(replica.replica_id)

    def prefers_peer(self, replica: Replica, now_s: float) -> bool:
        """Return whether a new connection is to be opened by a peer at once."""
        known = self._count_replicas()
        return self._links.prefers_peer(replica.replica_id, known=known, now_s=now_s)

    def may_ask_peer(self, replica: Replica, now_s: float) -> bool:
        """Return whether a peer may reach a replica that this host fails to reach."""
        return self._links.may_ask_peer(replica.replica_id, now_s)

    def trusts_idle(self, replica: Replica, idle_since_s: float) -> bool:
        """Return whether a connection that has been idle so long is likely to work."""
        known = self._count_replicas()
        return self._links.trusts_idle(
            replica.replica_id, idle_since_s=idle_since_s, known=known
        )

    def silent_since(self, sent_s: float) -> bool:
        """Return whether no replica has answered or accepted a connection since."""
        return self._links.silent_since(sent_s)

    def connected_since(self, time_s: float) -> bool:
        """Return whether some replica has accepted a connection since then."""
        return self._links.connected_since(time_s)

    def probe_order(self, replica_ids: list[str]) -> list[str]:
        """Return replicas in the order in which their links are to be tried again."""
        return self._links.probe_order(replica_ids)

    def _review_answers(self) -> None:
        """Apply and log a change of whether replicas answer."""
        if self._links.unanswered is self._was_unanswered:
            return
        self._was_unanswered = self._links.unanswered
        self._answered_by_peer = False
        self._journal.event("links_answers", unanswered=self._was_unanswered)

    def _review(self, now_s: float) -> None:
        """Apply and log a change of the state."""
        former, known = self.state, self._count_replicas
        if former is LinkState.INTACT and not self._links.any_failing:
            return
        self.state = self._links.state(known())
        if self.state is former:
            return
        if self.state is not LinkState.UNCONFIRMED:
            self._forget_failures()
        evidence = self._links.evidence(now_s)
        self._journal.event(
            "links",
            state=self.state,
            former=former,
            failing=evidence.failing,
            confirmed=evidence.confirmed,
            failing_ms=_ms(evidence.failing_for_s),
            last_answer_ms=_ms(evidence.last_answer_age_s),
            last_connected_ms=_ms(evidence.last_connected_age_s),
            replicas=known(),
        )


def _ms(duration_s: float | None) -> int | None:
    return None if duration_s is None else int(duration_s * 1_000)
