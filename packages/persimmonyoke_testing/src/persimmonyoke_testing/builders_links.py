"""Builders of what a host observes of its links to the replicas."""

from collections.abc import Callable

from persimmonyoke.internal.fleet.replica_links import ReplicaLinks

Observation = Callable[[ReplicaLinks], None]


def replica_links(*observations: Observation) -> ReplicaLinks:
    """Return links for which some observations were made, in this order."""
    links = ReplicaLinks()
    for observe in observations:
        observe(links)
    return links


def connected(replica_id: str, now_s: float) -> Observation:
    """Return the observation that a replica accepted a connection."""
    return lambda links: links.note_connected(replica_id, now_s)


def answered(replica_id: str, now_s: float) -> Observation:
    """Return the observation that a replica answered on an open connection."""
    return lambda links: links.note_answer(replica_id, now_s)


def failed(replica_id: str, now_s: float) -> Observation:
    """Return the observation that a replica accepted no connection."""
    return lambda links: links.note_connect_failed(
        replica_id, begun_s=now_s, now_s=now_s
    )


def timed_out(replica_id: str, begun_s: float, now_s: float) -> Observation:
    """Return the observation that a replica accepted no connection for a while."""
    return lambda links: links.note_connect_failed(
        replica_id, begun_s=begun_s, now_s=now_s
    )


def silent(replica_id: str, sent_s: float, now_s: float) -> Observation:
    """Return the observation that a call got no byte of an answer."""
    return lambda links: links.note_silent(replica_id, sent_s=sent_s, now_s=now_s)


def unanswered(replica_id: str, sent_s: float, now_s: float) -> Observation:
    """Return the observation that a new connection brought no byte of the replica."""
    return lambda links: links.note_unanswered(replica_id, sent_s=sent_s, now_s=now_s)


def reached_by_peer(replica_id: str, now_s: float) -> Observation:
    """Return the observation that a peer connected to a replica."""
    return lambda links: links.note_reached_by_peer(replica_id, now_s)


def unreached_by_peer(replica_id: str, now_s: float) -> Observation:
    """Return the observation that a peer could not connect to a replica."""
    return lambda links: links.note_unreached_by_peer(replica_id, now_s)
