"""Decision which hosts ask engines for the parts of prompts that they hold."""

from dataclasses import dataclass
from enum import Enum

PEER_DISCOVERY_WAIT_S = 1.5
"""Time after which a host that knows no peers takes its deployment for a small one.

Hosts that start together register within a second of the first configuration.
"""

COLLECTOR_WAIT_S = 3.0
"""Time after which a host asks by itself if it hears nobody collect for its zone."""


class CacheQueryDecision(Enum):
    """Name what to do about engines whose cached parts are not known."""

    QUERY = "ask"
    WAIT = "wait"
    DELEGATE = "leave"
    """Another host asks and tells this one."""


@dataclass(frozen=True)
class CollectorState:
    """Hold what a host knows of the hosts that collect reports.

    ``relays`` says that the deployment is large enough for it.
    """

    relays: bool
    collecting: bool
    collector_heard: bool


def decide_cache_query(
    view: CollectorState, *, ready_for_s: float, knows_peers: bool
) -> CacheQueryDecision:
    """Decide whether this host asks engines what they hold.

    Each question delays its engine, so in a large deployment one host of a zone asks.
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
