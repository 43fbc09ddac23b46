"""Choice of the peers through which a host that is cut off reaches replicas."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import HostEntry

PEER_PAUSE_S = 1.0
"""Time for which a peer that could not help is not asked again."""

TUNNELS_PER_STEP = 4
"""Tunnels by which peers may differ before a farther one with fewer is preferred."""


@dataclass(frozen=True)
class _PausedProcess:
    """Represent a process that could not help, by the key that it was asked with."""

    peer: str
    tunnel_key: str


class TunnelPeers:
    """Count the open tunnels through each peer, and order peers by suitability."""

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._open: Counter[str] = Counter()
        self._paused_until_s: dict[_PausedProcess, float] = {}
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
        self._forget_past_pauses(now_s)
        self._paused_until_s[_process_of(peer)] = now_s + PEER_PAUSE_S

    def note_lost(self, peer: str, now_s: float) -> None:
        """Record that an answer was lost on a tunnel, perhaps due to the peer."""
        self._doubted_until_s[peer] = now_s + PEER_PAUSE_S

    def doubted(self, peer: str, now_s: float) -> bool:
        """Return whether an answer was lost on a tunnel a short time ago."""
        return now_s < self._doubted_until_s.get(peer, 0.0)

    def paused(self, peer: HostEntry, now_s: float) -> bool:
        """Return whether a peer could not help a short time ago.

        Each process of a peer has a key of its own, so a pause ends with the entry of
        the next one.
        """
        return now_s < self._paused_until_s.get(_process_of(peer), 0.0)

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
            peer for peer in peers if peer.tunnel_key and not self.paused(peer, now_s)
        ]

        def rank(peer: HostEntry) -> tuple[bool, int, bool, float]:
            step = self._open[peer.name] // TUNNELS_PER_STEP
            is_far = peer.availability_zone not in near_zones
            return self.doubted(peer.name, now_s), step, is_far, rng.random()

        return sorted(usable, key=rank)

    def _forget_past_pauses(self, now_s: float) -> None:
        self._paused_until_s = {
            process: until_s
            for process, until_s in self._paused_until_s.items()
            if now_s < until_s
        }


def _process_of(peer: HostEntry) -> _PausedProcess:
    return _PausedProcess(peer.name, peer.tunnel_key)
