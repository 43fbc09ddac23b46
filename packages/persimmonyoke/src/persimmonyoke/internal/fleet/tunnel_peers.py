"""Choice of the peers through which a host that is cut off reaches replicas."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import HostEntry, Replica

PEER_PAUSE_S = 1.0
"""Time for which a peer that could not help is not asked again."""

TUNNELS_PER_STEP = 4
"""Tunnels by which peers may differ before a farther one with fewer is preferred."""


UNKNOWN_ADDRESS_PAUSE_S = 0.3
"""Time for which a peer is not asked for a replica that it does not know yet."""

ANY_ADDRESS = ""


@dataclass(frozen=True)
class _Pause:
    """Name a process that could not help, by the key that it was asked with.

    ``address`` is that of the replica if the process may help with others.
    """

    peer: str
    tunnel_key: str
    address: str


class TunnelPeers:
    """Count the open tunnels through each peer, and order peers by suitability."""

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._open: Counter[str] = Counter()
        self._paused_until_s: dict[_Pause, float] = {}
        self._doubted_until_s: dict[str, float] = {}

    def note_opened(self, peer: str) -> None:
        """Count a tunnel that was opened through a peer."""
        self._open[peer] += 1

    def note_closed(self, peer: str) -> None:
        """Count a tunnel that was closed."""
        self._open[peer] -= 1
        if self._open[peer] <= 0:
            del self._open[peer]

    def note_failed(self, peer: HostEntry, now_s: float) -> None:
        """Record that a peer, as entered, refused a tunnel or could not be reached."""
        self._pause(peer, ANY_ADDRESS, now_s, PEER_PAUSE_S)

    def note_unknown(self, peer: HostEntry, address: str, now_s: float) -> None:
        """Record that a peer does not know a replica, which may be new."""
        self._pause(peer, address, now_s, UNKNOWN_ADDRESS_PAUSE_S)

    def note_lost(self, peer: str, now_s: float) -> None:
        """Record that an answer was lost on a tunnel, perhaps due to the peer."""
        self._doubted_until_s[peer] = now_s + PEER_PAUSE_S

    def doubted(self, peer: str, now_s: float) -> bool:
        """Return whether an answer was lost on a tunnel a short time ago."""
        return now_s < self._doubted_until_s.get(peer, 0.0)

    def paused(
        self, peer: HostEntry, now_s: float, *, address: str = ANY_ADDRESS
    ) -> bool:
        """Return whether a peer could not help a short time ago.

        Each process of a peer has a key of its own, so a pause ends with the entry of
        the next one.
        """
        return any(
            now_s < self._paused_until_s.get(_pause_of(peer, reason), 0.0)
            for reason in (ANY_ADDRESS, address)
        )

    def ranked(
        self,
        peers: Iterable[HostEntry],
        *,
        replica: Replica,
        now_s: float,
        rng: random.Random,
    ) -> list[HostEntry]:
        """Return the peers to ask for a tunnel to a replica, the best one first.

        A peer in the zone of this host or of the replica adds no traffic between
        zones. Peers with as many tunnels are ordered at random, so that hosts that are
        cut off together don't all choose the same one. A peer on whose tunnel an answer
        was lost comes last, as that may have been the replica's fault.
        """
        near_zones = (self._own_zone, replica.availability_zone)
        usable = [
            peer
            for peer in peers
            if peer.tunnel_key and not self.paused(peer, now_s, address=replica.address)
        ]

        def rank(peer: HostEntry) -> tuple[bool, int, bool, float]:
            step = self._open[peer.name] // TUNNELS_PER_STEP
            is_far = peer.availability_zone not in near_zones
            return self.doubted(peer.name, now_s), step, is_far, rng.random()

        return sorted(usable, key=rank)

    def _pause(
        self, peer: HostEntry, address: str, now_s: float, pause_s: float
    ) -> None:
        self._paused_until_s = {
            pause: until_s
            for pause, until_s in self._paused_until_s.items()
            if now_s < until_s
        }
        self._paused_until_s[_pause_of(peer, address)] = now_s + pause_s


def _pause_of(peer: HostEntry, address: str) -> _Pause:
    return _Pause(peer.name, peer.tunnel_key, address)
