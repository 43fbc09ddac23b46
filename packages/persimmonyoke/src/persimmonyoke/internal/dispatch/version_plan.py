"""Choice of the software version at which the new streams of a service begin.

New streams begin at one version at a time, so that a long rolling release needs few
records of single streams: only those around each change of the version.
"""

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import Replica, ServiceVersions, Stage

MAJORITY_HOLD_S = 3.0
"""Time after a change of the version in which a majority alone does not change it."""


SPARE_WRITERS = 2
"""Writers that a version needs so that its streams go on after one has left.

A replacement for the last one takes 3 s, or longer if no host reaches the engines. A
majority with fewer writers than the active version changes it only after the life of a
stream, as the engines of the active version could never prefill otherwise.
"""


def writes_events(replica: Replica) -> bool:
    """Return whether a replica can write the events of streams in its stage."""
    return replica.stage is None or replica.stage is Stage.DECODE


def majority_version(replicas: Sequence[Replica], active: str | None) -> str | None:
    """Return the version of most replicas that stay; the active one on a tie."""
    counts = Counter(r.software_version for r in replicas if not r.draining)
    if not counts:
        return active
    return max(counts, key=lambda version: (counts[version], version == active))


@dataclass(frozen=True)
class VersionInputs:
    """Hold what decides on the versions of one service."""

    replicas: Sequence[Replica]
    unreachable: Collection[str]
    """Ids of replicas that this host cannot reach, or that change their stage now."""

    begun_here: Collection[str]
    """Versions of streams that began here and may still be resumed."""

    life_s: float


class VersionPlanner:
    """Plan the record of one service; remembers since when versions are not in use."""

    def __init__(self) -> None:
        self._active: str | None = None
        self._active_since_s = float("-inf")
        self._revision: int | None = None
        self._earlier_since_s: dict[str, float] = {}

    def plan(
        self, record: ServiceVersions | None, inputs: VersionInputs, *, now_s: float
    ) -> ServiceVersions | None:
        """Return the record that is to replace the present one, or ``None``."""
        self._observe(record, now_s)
        if record is None:
            return self._first_record(inputs)
        active = self._choose_active(record, inputs, now_s)
        earlier = {v for v in record.earlier if not self._ended(v, inputs, now_s)}
        earlier |= set(inputs.begun_here) | {record.active}
        earlier.discard(active)
        if active == record.active and earlier == set(record.earlier):
            return None
        return record.replaced_by(active, earlier)

    def _observe(self, record: ServiceVersions | None, now_s: float) -> None:
        active = record.active if record else None
        if active != self._active:
            self._active, self._active_since_s = active, now_s
        revision = record.revision if record else None
        if revision != self._revision:
            # Between two records a version may have been the active one again.
            self._revision, self._earlier_since_s = revision, {}
        earlier = record.earlier if record else ()
        self._earlier_since_s = {
            version: self._earlier_since_s.get(version, now_s) for version in earlier
        }

    def _first_record(self, inputs: VersionInputs) -> ServiceVersions | None:
        """Return the first record: streams may have begun at each version present."""
        writers = _writers(inputs)
        if not writers:
            return None
        active = majority_version(writers, None)
        assert active is not None
        present = {r.software_version for r in inputs.replicas}
        present |= set(inputs.begun_here)
        service = writers[0].service
        return ServiceVersions(service, active, tuple(sorted(present - {active})), 0)

    def _choose_active(
        self, record: ServiceVersions, inputs: VersionInputs, now_s: float
    ) -> str:
        """Return the version for new streams: one of which a replica can write."""
        writers = _writers(inputs)
        able = {replica.software_version for replica in writers}
        if not able:
            return record.active
        if record.active not in able:
            return majority_version(writers, record.active) or record.active
        preferred = majority_version(inputs.replicas, record.active)
        if preferred is None or preferred not in able:
            return record.active
        active_s = now_s - self._active_since_s
        if active_s < MAJORITY_HOLD_S:
            return record.active
        fewer = _has_fewer_spare_writers(writers, preferred, record.active)
        return record.active if fewer and active_s < inputs.life_s else preferred

    def _ended(self, version: str, inputs: VersionInputs, now_s: float) -> bool:
        """Return whether no stream that began at an earlier version is left."""
        return now_s - self._earlier_since_s[version] > inputs.life_s


def _has_fewer_spare_writers(
    writers: Sequence[Replica], version: str, active: str
) -> bool:
    counts = Counter(replica.software_version for replica in writers)
    return counts[version] < min(SPARE_WRITERS, counts[active])


def _writers(inputs: VersionInputs) -> list[Replica]:
    return [
        replica
        for replica in inputs.replicas
        if writes_events(replica)
        and not replica.draining
        and replica.replica_id not in inputs.unreachable
    ]
