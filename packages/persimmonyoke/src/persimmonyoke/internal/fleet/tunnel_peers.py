"""Choice of the peers through which a host that is cut off reaches replicas."""

import random
from collections import Counter
from collections.abc import Iterable

from persimmonyoke.internal.fleet.model import HostEntry

PEER_PAUSE_S = 1.0
"""Time for which a peer that could not help is not asked again."""

TUNNELS_PER_STEP = 4
"""Tunnels by which peers may differ before a farther one with fewer is preferred."""


class TunnelPeers:
    """Count the open tunnels through each peer, and order peers by suitability."""

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._open: Counter[str] = Counter()
        self._paused_until_s: dict[str, float] = {}
        self._doubted_until_s: dict[str, float] = {}

    def note_opened(self, peer: str) -> None:
        """Count a tunnel that was opened through a peer."""
        self._open[peer] += 1

    def note_closed(self, peer: str) -> None:
        """Count a tunnel that was closed."""
        self._open[peer] -= 1
        if self._open[peer] <= 0:
            del self._open[peer]

    def note_failed(self, peer: str, now_s: float) -> None:
        """Record that a peer refused a tunnel or could not be reached."""
        self._paused_until_s[peer] = now_s + PEER_PAUSE_S

    def note_lost(self, peer: str, now_s: float) -> None:
        """Record that an answer was lost on a tunnel, perhaps due to the peer."""
        self._doubted_until_s[peer] = now_s + PEER_PAUSE_S

    def doubted(self, peer: str, now_s: float) -> bool:
        """Return whether an answer was lost on a tunnel a short time ago."""
        return now_s < self._doubted_until_s.get(peer, 0.0)

    def paused(self, peer: str, now_s: float) -> bool:
        """Return whether a peer could not help a short time ago."""
        return now_s < self._paused_until_s.get(peer, 0.0)

    def ranked(
        self,
        peers: Iterable[HostEntry],
        *,
        replica_zone: str,
        now_s: float,
        rng: random.Random,
    ) -> list[HostEntry]:
        """Return the peers to ask for a tunnel to a replica, the best one first.

        A peer in the zone of this host or of the replica adds no traffic between
        zones. Peers with as many tunnels are ordered at random, so that hosts that are
        cut off together don't all choose the same one. A peer on whose tunnel an answer
        was lost comes last, as that may have been the replica's fault.
        """
        near_zones = (self._own_zone, replica_zone)
        usable = [
            peer
            for peer in peers
            if peer.tunnel_key and not self.paused(peer.name, now_s)
        ]

        def rank(peer: HostEntry) -> tuple[bool, int, bool, float]:
            step = self._open[peer.name] // TUNNELS_PER_STEP
            is_far = peer.availability_zone not in near_zones
            return self.doubted(peer.name, now_s), step, is_far, rng.random()

        return sorted(usable, key=rank)
