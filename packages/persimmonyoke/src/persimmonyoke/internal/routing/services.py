"""Selection of the replica of a plain service for a call."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from persimmonyoke.internal.routing.candidates import sample_upstreams
from persimmonyoke.internal.routing.engines import NoEngineReason
from persimmonyoke.internal.routing.load import LoadSource
from persimmonyoke.internal.upstreams.api import Upstream

RANDOM_REPLICAS = 2


@dataclass(frozen=True)
class ServiceRoute:
    """Hold the properties of a call to a plain service that routing depends on."""

    availability_zone: str = ""
    exclude: frozenset[str] = frozenset()
    avoid_zones: frozenset[str] = frozenset()


@dataclass(frozen=True)
class ServiceChoice:
    """Hold the replica for a call and its estimated calls in flight."""

    replica: Upstream
    calls_in_flight: float


@dataclass(frozen=True)
class NoReplica:
    """Report that no replica can serve the call."""

    reason: NoEngineReason


def choose_service(
    route: ServiceRoute,
    candidates: Sequence[Upstream],
    load: LoadSource,
    *,
    now_s: float,
    rng: Random,
) -> ServiceChoice | NoReplica:
    """Return the less loaded of two random replicas, the one in the own zone on a tie.

    ``running_sequences`` of an estimate is the number of calls in flight.
    """
    if not candidates:
        return NoReplica(NoEngineReason.NO_CANDIDATES)
    staying = [replica for replica in candidates if not replica.leaving]
    if not staying:
        return NoReplica(NoEngineReason.ALL_LEAVING)
    allowed = [replica for replica in staying if replica.name not in route.exclude]
    if not allowed:
        return NoReplica(NoEngineReason.ALL_EXCLUDED)
    in_service = [
        replica
        for replica in allowed
        if replica.availability_zone not in route.avoid_zones
    ]

    def cost(replica: Upstream) -> tuple[float, bool]:
        estimate = load.estimate(replica.name, now_s)
        calls = max(0.0, estimate.running_sequences) if estimate else 0.0
        return calls, replica.availability_zone != route.availability_zone

    picks = sample_upstreams(in_service or allowed, RANDOM_REPLICAS, rng)
    best = min(picks, key=cost)
    return ServiceChoice(best, cost(best)[0])
