"""Decision which hosts ask engines for the parts of prompts that they hold."""

from dataclasses import dataclass
from enum import Enum

PEERS_WAIT_S = 1.5
"""Time after which a host that knows no peers takes its deployment for a small one.

Hosts that start together register within a second of the first configuration.
"""

COLLECTOR_WAIT_S = 3.0
"""Time after which a host asks by itself if it hears nobody collect for its zone."""


class CacheDuty(Enum):
    """Name what to do about engines whose cached parts are not known."""

    ASK = "ask"
    WAIT = "wait"
    LEAVE = "leave"
    """Another host asks and tells this one."""


@dataclass(frozen=True)
class CollectingView:
    """Hold what a host knows of the hosts that collect reports.

    ``relays`` says that the deployment is large enough for it.
    """

    relays: bool
    collecting: bool
    collector_heard: bool


def cache_duty(
    view: CollectingView, *, ready_for_s: float, knows_peers: bool
) -> CacheDuty:
    """Decide whether this host asks engines what they hold.

    Each question delays its engine, so in a large deployment one host of a zone asks.
    """
    if not knows_peers and ready_for_s < PEERS_WAIT_S:
        return CacheDuty.WAIT
    if not view.relays or view.collecting:
        return CacheDuty.ASK
    if view.collector_heard:
        return CacheDuty.LEAVE
    return CacheDuty.WAIT if ready_for_s < COLLECTOR_WAIT_S else CacheDuty.ASK
