"""Choice of the peers to which a host connects."""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Mapping

# In a full mesh of 60 hosts each host takes 4.1% of a core, over the 2.1% that all
# control work may take; a bounded mesh takes 1.7% (bench spreading).
FULL_MESH_HOSTS = 8
DEFAULT_OWN_ZONE_LINKS = 1
DEFAULT_OTHER_ZONE_LINKS = 2


class Topology(ABC):
    """Choose peers as a pure function of the members, so that all hosts agree.

    ``members`` maps each host's name to its availability zone, and holds the host
    itself. A link carries messages both ways, so a host also serves the peers that
    chose it.
    """

    @abstractmethod
    def relays(self, member_count: int) -> bool:
        """Return whether hosts pass on loads and beats, for lack of direct links."""

    @abstractmethod
    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return the names of the peers to which the host connects."""


class FullMesh(Topology):
    """Connect each pair of hosts."""

    def relays(self, member_count: int) -> bool:
        """Return false: each host hears each other one directly."""
        return False

    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return all other members."""
        return frozenset(members) - {host}


def _pair_score(one: str, other: str) -> bytes:
    low, high = sorted((one, other))
    content = f"{low}\0{high}".encode()
    return hashlib.blake2b(content, digest_size=8).digest()


class BoundedDegree(Topology):
    """Connect to the next host of a ring and to a few peers by rendezvous hash.

    The ring keeps the mesh connected whatever the hashes are; the other links give it
    a small diameter and survive the loss of hosts. With the default, each host opens
    4 links and has about 6.
    """

    def __init__(
        self,
        *,
        own_zone_links: int = DEFAULT_OWN_ZONE_LINKS,
        other_zone_links: int = DEFAULT_OTHER_ZONE_LINKS,
    ) -> None:
        if own_zone_links < 0 or other_zone_links < 1:
            raise ValueError(
                "own_zone_links must be at least 0 and other_zone_links at least 1, "
                f"got {own_zone_links} and {other_zone_links}"
            )
        self._own_zone_links = own_zone_links
        self._other_zone_links = other_zone_links

    def relays(self, member_count: int) -> bool:
        """Return true: most pairs of hosts have no link."""
        return True

    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return the ring successor and the peers with the highest scores."""
        others = [name for name in members if name != host]
        if not others:
            return frozenset()
        zone = members.get(host, "")
        ranked = sorted(others, key=lambda name: _pair_score(host, name), reverse=True)
        own = [name for name in ranked if members[name] == zone]
        other = [name for name in ranked if members[name] != zone]
        chosen = own[: self._own_zone_links] + other[: self._other_zone_links]
        return frozenset([*chosen, self._successor(host, members)])

    @staticmethod
    def _successor(host: str, members: Mapping[str, str]) -> str:
        ring = sorted({*members, host}, key=lambda name: _pair_score(name, ""))
        return ring[(ring.index(host) + 1) % len(ring)]


class SizedTopology(Topology):
    """Use a full mesh up to 8 hosts and a bounded degree above."""

    def __init__(self, *, above: Topology | None = None) -> None:
        self._full = FullMesh()
        self._above = above or BoundedDegree()

    def relays(self, member_count: int) -> bool:
        """Return whether the topology for this number of members relays."""
        return self._for(member_count).relays(member_count)

    def peers(self, host: str, members: Mapping[str, str]) -> frozenset[str]:
        """Return the peers by the number of members."""
        return self._for(len(members)).peers(host, members)

    def _for(self, member_count: int) -> Topology:
        return self._full if member_count <= FULL_MESH_HOSTS else self._above
