"""View of the replicas that are registered in the store."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from persimmonyoke.internal.fleet.address_starts import AddressStarts
from persimmonyoke.internal.fleet.model import Replica

REREGISTRATION_GRACE_S = 2.0
"""Time after an outage within which replicas register again.

The platform's documentation states about two seconds; a replica that is still missing
after that has left.
"""

LEAVING_FALLBACK_S = 1.0
"""Time for which a leaving replica is used if there is no other one.

It accepts work until two seconds after the store accepted its departure; the rest is a
margin for the watch and the network.
"""

MAX_LEAVING_INCARNATIONS = 4_096
"""Bound of the incarnations known to be leaving; old entries of them may reappear."""


@dataclass(frozen=True)
class ReplicaAdded:
    """Report a new replica or a new incarnation of a known one."""

    replica: Replica


@dataclass(frozen=True)
class ReplicaChanged:
    """Report a changed entry of a known incarnation."""

    replica: Replica
    previous: Replica

    @property
    def stage_changed(self) -> bool:
        """Return whether the engine has changed its stage."""
        return self.previous.stage is not self.replica.stage


@dataclass(frozen=True)
class ReplicaGone:
    """Report a removed replica, which gets no new work; its connections are closed."""

    replica: Replica
    reason: str


@dataclass(frozen=True)
class ReplicaLeaving:
    """Report a replica that announced its shutdown in a response."""

    replica: Replica


@dataclass(frozen=True)
class ReplicaMissing:
    """Report a replica without an entry that is used until the grace period ends."""

    replica: Replica
    outage_ended_ago_s: float


@dataclass(frozen=True)
class ReplicaReturned:
    """Report that a missing replica has an entry again."""

    replica: Replica


ReplicaChange = (
    ReplicaAdded
    | ReplicaChanged
    | ReplicaGone
    | ReplicaLeaving
    | ReplicaMissing
    | ReplicaReturned
)


@dataclass(frozen=True)
class _Incarnation:
    """Identify one incarnation of a replica."""

    replica_id: str
    address: str
    born_unix_ms: int


def _incarnation(replica: Replica) -> _Incarnation:
    return _Incarnation(replica.replica_id, replica.address, replica.born_unix_ms)


class ReplicaView:
    """Track the registered replicas across outages of the store.

    After an outage, a replica without an entry stays usable for
    ``REREGISTRATION_GRACE_S``, since a running replica may have been unable to renew
    its entry. A replica whose address a later start has taken is not listed.
    """

    def __init__(self) -> None:
        self._replicas: dict[str, Replica] = {}
        self._starts = AddressStarts()
        self._missing: set[str] = set()
        self._outage_ended_s = float("-inf")
        self._leaving_since_s: dict[str, float] = {}
        self._announced_leaving: OrderedDict[_Incarnation, None] = OrderedDict()

    def get(self, replica_id: str) -> Replica | None:
        """Return a known replica, draining, missing and former ones included."""
        return self._replicas.get(replica_id)

    def all(self) -> tuple[Replica, ...]:
        """Return all known replicas, draining and missing ones included."""
        return tuple(
            replica
            for replica in self._replicas.values()
            if replica.replica_id not in self._starts.former
        )

    def usable(self, service: str, *, now_s: float) -> list[Replica]:
        """Return the replicas of a service that may get new work."""
        in_grace = self.in_grace(now_s)
        return [
            replica
            for replica in self._replicas.values()
            if replica.service == service
            and not replica.draining
            and replica.replica_id not in self._starts.former
            and (in_grace or replica.replica_id not in self._missing)
        ]

    def leaving(self, service: str, *, now_s: float) -> list[Replica]:
        """Return the replicas that began to leave within ``LEAVING_FALLBACK_S``.

        They are a fallback for work that no other replica can do. Only departures seen
        as they happen count, since one that is read after an outage may be old.
        """
        return [
            replica
            for replica in self._replicas.values()
            if replica.service == service
            and replica.draining
            and replica.replica_id not in self._starts.former
            and now_s - self._leaving_since_s.get(replica.replica_id, float("-inf"))
            < LEAVING_FALLBACK_S
        ]

    def note_outage_end(self, ended_s: float) -> None:
        """Record when the store became available after the last outage."""
        self._outage_ended_s = ended_s

    def in_grace(self, now_s: float) -> bool:
        """Return whether the grace period after the last outage is running."""
        return now_s < self._outage_ended_s + REREGISTRATION_GRACE_S

    def replace_all(
        self, entries: Iterable[Replica], *, now_s: float
    ) -> list[ReplicaChange]:
        """Apply a full read: update the entries in it and remove all others."""
        changes = []
        seen = set()
        for replica in entries:
            seen.add(replica.replica_id)
            changes.extend(self.put(replica, now_s=now_s, watched=False))
        for replica_id in set(self._replicas) - seen:
            changes.extend(self.remove(replica_id, now_s=now_s))
        return changes

    def put(
        self, replica: Replica, *, now_s: float, watched: bool = True
    ) -> list[ReplicaChange]:
        """Add or update one entry; ``watched`` says that it was written just now."""
        known = self._replicas.get(replica.replica_id)
        if known is not None and replica.born_unix_ms < known.born_unix_ms:
            # A late write of a previous incarnation.
            return []
        if self._is_leaving(replica, known):
            # Its entry is older: it announced that it leaves in an answer, or the store
            # came back from a copy.
            replica = replace(replica, draining=True)
        returned = replica.replica_id in self._missing
        self._missing.discard(replica.replica_id)
        self._replicas[replica.replica_id] = replica
        self._starts.put(replica, known)
        if known is None:
            return [ReplicaAdded(replica)]
        if known == replica:
            return [ReplicaReturned(replica)] if returned else []
        if watched and replica.draining and not known.draining:
            self._leaving_since_s[replica.replica_id] = now_s
        if _same_incarnation(known, replica):
            return [ReplicaChanged(replica, known)]
        return [ReplicaGone(known, "started again"), ReplicaAdded(replica)]

    def note_leaving(self, replica: Replica, *, now_s: float) -> list[ReplicaChange]:
        """Mark an incarnation as draining for good, as it announced its shutdown."""
        self._announced_leaving[_incarnation(replica)] = None
        if len(self._announced_leaving) > MAX_LEAVING_INCARNATIONS:
            self._announced_leaving.popitem(last=False)
        known = self._replicas.get(replica.replica_id)
        if known is None or known.draining or not _same_incarnation(known, replica):
            return []
        self._replicas[known.replica_id] = replace(known, draining=True)
        self._leaving_since_s[known.replica_id] = now_s
        return [ReplicaLeaving(self._replicas[known.replica_id])]

    def remove(self, replica_id: str, *, now_s: float) -> list[ReplicaChange]:
        """Remove an entry; within the grace period the replica stays usable."""
        replica = self._replicas.get(replica_id)
        if replica is None or replica_id in self._missing:
            return []
        if self.in_grace(now_s):
            self._missing.add(replica_id)
            return [ReplicaMissing(replica, now_s - self._outage_ended_s)]
        return self._drop(replica_id, "entry removed")

    def expire(self, now_s: float) -> list[ReplicaChange]:
        """Drop the replicas that did not register again after an outage."""
        if self.in_grace(now_s):
            return []
        changes = []
        for replica_id in tuple(self._missing):
            changes.extend(self._drop(replica_id, "missing after an outage"))
        return changes

    def _is_leaving(self, replica: Replica, known: Replica | None) -> bool:
        """Return whether an incarnation is known to leave, whatever its entry says."""
        if _incarnation(replica) in self._announced_leaving:
            return True
        return (
            known is not None and known.draining and _same_incarnation(known, replica)
        )

    def _drop(self, replica_id: str, reason: str) -> list[ReplicaChange]:
        self._missing.discard(replica_id)
        self._leaving_since_s.pop(replica_id, None)
        replica = self._replicas.pop(replica_id, None)
        if replica is None:
            return []
        self._starts.remove(replica)
        return [ReplicaGone(replica, reason)]


def _same_incarnation(known: Replica, replica: Replica) -> bool:
    return _incarnation(known) == _incarnation(replica)
