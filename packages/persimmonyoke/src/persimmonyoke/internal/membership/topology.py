"""Selection of the peers to which a host connects."""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

# In a full mesh of 60 hosts each host uses 4.1% of a core, over the limit of 2.1% for
# all control work; with a bounded degree it uses 1.7% (bench spreading).
FULL_MESH_HOSTS = 8
# Three rings give each host 6 links; a mesh of 60 hosts then has a diameter of about 4.
DEFAULT_RINGS = 3


class Topology(ABC):
    """Choose peers as a pure function of the members, so that all hosts agree.

    ``members`` maps each host's name to its availability zone, and includes the host
    itself. A link carries messages both ways, so a host also serves the peers that
    chose it.
    """

    @abstractmethod
    def relays(self, member_count: int) -> bool:
        """Return whether hosts relay loads and beats, for lack of direct links."""

    @abstractmethod
    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return the names of the peers to which the host connects."""


class FullMesh(Topology):
    """Connect each pair of hosts."""

    def relays(self, member_count: int) -> bool:
        """Return false, since each pair of hosts has a link."""
        return False

    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return all other members."""
        return frozenset(members) - {host}


def _ring_position(ring: int, name: str) -> bytes:
    return hashlib.blake2b(f"{ring}\0{name}".encode(), digest_size=8).digest()


class BoundedDegree(Topology):
    """Connect each host to its successor on each of a few rings, ordered by hash.

    Each host opens a link to its successor and gets one from its predecessor, so all
    have the same number of links. With links chosen by rendezvous hash, the busiest
    of 60 hosts sent 1.6 times as much as the mean. A host that joins or leaves affects
    only its neighbours on each ring.
    """

    def __init__(self, *, rings: int = DEFAULT_RINGS) -> None:
        if rings < 1:
            raise ValueError(f"rings is {rings}; accepted: 1 or more")
        self._rings = rings

    def relays(self, member_count: int) -> bool:
        """Return true, since most pairs of hosts have no link."""
        return True

    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return the successor of the host on each ring."""
        names = {*members, host}
        found = {self._successor(ring, host, names) for ring in range(self._rings)}
        return frozenset(found - {host})

    @staticmethod
    def _successor(ring: int, host: str, names: Iterable[str]) -> str:
        ordered = sorted(names, key=lambda name: (_ring_position(ring, name), name))
        return ordered[(ordered.index(host) + 1) % len(ordered)]


class SizeBasedTopology(Topology):
    """Use a full mesh for up to 8 hosts and a bounded degree for more."""

    def __init__(self, *, large: Topology | None = None) -> None:
        self._small = FullMesh()
        self._large = large or BoundedDegree()

    def relays(self, member_count: int) -> bool:
        """Return whether hosts relay with this number of members."""
        return self._select(member_count).relays(member_count)

    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return the peers in the topology for this number of members."""
        return self._select(len(members)).peers(host, members)

    def _select(self, member_count: int) -> Topology:
        return self._small if member_count <= FULL_MESH_HOSTS else self._large
