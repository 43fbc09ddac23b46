"""Decision which hosts query engines for the prompt parts in their caches."""

from dataclasses import dataclass
from enum import Enum

PEER_DISCOVERY_WAIT_S = 1.5
"""Time after which a host without known peers assumes a small deployment.

Hosts that start together register within one second of the first configuration.
"""

COLLECTOR_WAIT_S = 3.0
"""Time after which a host queries engines itself if its zone has no collector."""


class CacheQueryDecision(Enum):
    """Enumerate what to do about engines whose cached parts are unknown."""

    QUERY = "ask"
    WAIT = "wait"
    DELEGATE = "leave"
    """Another host queries the engines and shares the result."""


@dataclass(frozen=True)
class CollectorState:
    """Hold what a host knows of the report collectors of its zone.

    ``relays`` says that the deployment is large enough to use collectors.
    """

    relays: bool
    collecting: bool
    collector_heard: bool


def decide_cache_query(
    view: CollectorState, *, ready_for_s: float, knows_peers: bool
) -> CacheQueryDecision:
    """Decide whether this host queries the caches of engines.

    Each query delays its engine, so only one host per zone of a large deployment does
    it.
    """
    if not knows_peers and ready_for_s < PEER_DISCOVERY_WAIT_S:
        return CacheQueryDecision.WAIT
    if not view.relays or view.collecting:
        return CacheQueryDecision.QUERY
    if view.collector_heard:
        return CacheQueryDecision.DELEGATE
    return (
        CacheQueryDecision.WAIT
        if ready_for_s < COLLECTOR_WAIT_S
        else CacheQueryDecision.QUERY
    )
