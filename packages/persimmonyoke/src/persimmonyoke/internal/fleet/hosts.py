"""View of the entry hosts, from store entries and peer datagrams."""

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import takewhile

from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.fleet.store_revision import era_of

PEER_TIMEOUT_S = 1.2
"""Silence after which a peer gets no new callers, in a small deployment."""

TIMEOUT_INTERVALS = 4
"""Minimum of a timeout in datagram intervals, since datagrams may be lost."""


PROPAGATION_HOPS = 2
"""Number of hops from a host through the collector to the other hosts of a zone."""

PEER_DISCOVERY_S = 2.0
"""Time after its first full read in which a host hears from the other hosts."""

MAX_MESH_HOSTS = 16
"""Number of registered hosts up to which datagrams are sent in a full mesh."""

EXPIRED_KEPT_S = 60.0
"""Time for which the entry of a host is kept after it was removed from the store."""

WATCHERS_PER_ZONE = 3
"""Number of hosts per availability zone that watch the store; two of them may fail."""

WATCHER_TIMEOUT_S = 0.6
"""Silence after which a watcher is replaced, in a small deployment."""


@dataclass(frozen=True)
class PeerState:
    """Hold the last state that a peer reported of itself."""

    heard_s: float
    ready: bool
    config_version: int
    store_connected: bool = False
    store_revision: int = 0
    store_contact_since_s: float | None = None
    """Start of the peer's current uninterrupted contact with the store."""

    view_confirmed_s: float = float("-inf")
    """Time at which the store confirmed the peer's view up to its revision."""

    heard_boot_s: float = float("-inf")
    """Earliest boot time at which the state may have been sent."""

    view_confirmed_boot_s: float = float("-inf")
    """Earliest boot time to which ``view_confirmed_s`` may correspond."""


@dataclass(frozen=True)
class _ExpiredEntry:
    """Hold the last entry of a host whose registration ended."""

    entry: HostEntry
    expired_s: float


class HostView:
    """Track the entry hosts, and select those that are offered to callers."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._peer_timeout_s = PEER_TIMEOUT_S
        self._watcher_timeout_s = WATCHER_TIMEOUT_S
        self._propagation_lag_s = 0.0
        self._by_zone: dict[str, list[HostEntry]] | None = None
        self._first_read_s: float | None = None
        self._entries: dict[str, HostEntry] = {}
        self._expired: dict[str, _ExpiredEntry] = {}
        self._peers: dict[str, PeerState] = {}
        self._first_seen_s: dict[str, float] = {}

    def replace_all(self, entries: Iterable[HostEntry], *, now_s: float) -> None:
        """Replace all entries after a full read."""
        if self._first_read_s is None:
            self._first_read_s = now_s
        former, self._entries = self._entries, {}
        self._by_zone = None
        for entry in entries:
            self.put(entry, now_s=now_s)
        for name in former.keys() - self._entries.keys():
            self._keep_expired(former[name], now_s)

    def put(self, entry: HostEntry, *, now_s: float) -> None:
        """Add or update one entry."""
        known = self._entries.get(entry.name)
        if known is None or known.front_address != entry.front_address:
            self._first_seen_s[entry.name] = now_s
        self._entries[entry.name] = entry
        self._expired.pop(entry.name, None)
        self._by_zone = None

    def remove(self, name: str, *, now_s: float) -> None:
        """Remove a host whose registration ended."""
        entry = self._entries.pop(name, None)
        self._by_zone = None
        self._first_seen_s.pop(name, None)
        if entry is not None:
            self._keep_expired(entry, now_s)

    def _keep_expired(self, entry: HostEntry, now_s: float) -> None:
        self._expired = {
            name: expired
            for name, expired in self._expired.items()
            if now_s - expired.expired_s <= EXPIRED_KEPT_S
        }
        self._expired[entry.name] = _ExpiredEntry(entry, now_s)

    def entry(self, name: str) -> HostEntry | None:
        """Return the entry of a registered host."""
        return self._entries.get(name)

    def note_peer(self, name: str, state: PeerState) -> None:
        """Record a peer's state unless a newer one is known."""
        known = self._peers.get(name)
        if known is None or state.heard_s >= known.heard_s:
            self._peers[name] = state

    def set_datagram_interval(
        self, interval_s: float, *, near_interval_s: float = 0.0
    ) -> None:
        """Set the datagram intervals of all peers and of those in the own zone.

        With many hosts, each of them sends less often.
        """
        self._peer_timeout_s = max(PEER_TIMEOUT_S, TIMEOUT_INTERVALS * interval_s)
        self._watcher_timeout_s = max(
            WATCHER_TIMEOUT_S, TIMEOUT_INTERVALS * near_interval_s
        )
        self._propagation_lag_s = PROPAGATION_HOPS * near_interval_s

    @property
    def peer_timeout_s(self) -> float:
        """Return the silence after which a peer counts as gone."""
        return self._peer_timeout_s

    @property
    def propagation_lag_s(self) -> float:
        """Return the time for this host's state to reach the rest of its zone."""
        return self._propagation_lag_s

    def needs_relay(self, now_s: float) -> bool:
        """Return whether there are too many hosts for a full mesh of datagrams.

        Unregistered hosts that are heard count, as they can't know that they are not
        registered any more, and all hosts have to agree.
        """
        if len(self._entries) > MAX_MESH_HOSTS:
            return True
        return len(self._entries) + len(self.unregistered(now_s)) > MAX_MESH_HOSTS

    def registered(self, zone: str) -> list[HostEntry]:
        """Return the registered hosts of a zone in their order, including this one."""
        return self._zones().get(zone, [])

    def members(self, zone: str, now_s: float) -> list[HostEntry]:
        """Return the hosts of a zone in their order, unregistered ones that are heard.

        A host that the store turns away loses its registration, and serves on.
        """
        unregistered = self.unregistered(now_s)
        heard = [entry for entry in unregistered if entry.availability_zone == zone]
        registered = self.registered(zone)
        return _in_order([*registered, *heard]) if heard else registered

    def zones(self) -> list[str]:
        """Return the zones with registered hosts."""
        return list(self._zones())

    def states(self, zone: str, *, newer_than_s: float) -> dict[str, PeerState]:
        """Return the states that hosts of a zone reported since ``newer_than_s``."""
        known = {e.name: self._peers.get(e.name) for e in self.registered(zone)}
        return {
            name: peer
            for name, peer in known.items()
            if peer is not None and peer.heard_s >= newer_than_s
        }

    def _zones(self) -> dict[str, list[HostEntry]]:
        if self._by_zone is None:
            zones: dict[str, list[HostEntry]] = {}
            for entry in sorted(self._entries.values(), key=_name):
                zones.setdefault(entry.availability_zone, []).append(entry)
            self._by_zone = {zone: _in_order(found) for zone, found in zones.items()}
        return self._by_zone

    def peers(self) -> list[HostEntry]:
        """Return the other registered hosts."""
        return [e for e in self._entries.values() if e.name != self._own_name]

    def unregistered(self, now_s: float) -> list[HostEntry]:
        """Return the hosts that are heard although their registration ended.

        A host that the store turns away can't renew it, but serves on.
        """
        return [
            expired.entry
            for name, expired in self._expired.items()
            if name != self._own_name and self._heard(expired.entry, now_s)
        ]

    @property
    def all_know_eras(self) -> bool:
        """Return whether all other hosts order revisions across eras of the store."""
        return all(entry.knows_eras for entry in self.peers())

    def newest_revision(self, now_s: float) -> int:
        """Return the newest store revision that a peer reported recently."""
        return max(
            (
                peer.store_revision
                for peer in self._peers.values()
                if now_s - peer.heard_s <= self._peer_timeout_s
            ),
            default=0,
        )

    def view_confirmed_s(self, revision: int) -> float:
        """Return when the store last confirmed to a peer that a revision is current."""
        confirmed_s = (p.view_confirmed_s for p in self._not_ahead(revision))
        return max(confirmed_s, default=float("-inf"))

    def view_confirmed_boot_s(self, revision: int) -> float:
        """Return the earliest boot time to which ``view_confirmed_s`` corresponds."""
        confirmed_s = (p.view_confirmed_boot_s for p in self._not_ahead(revision))
        return max(confirmed_s, default=float("-inf"))

    def _not_ahead(self, revision: int) -> Iterable[PeerState]:
        peers = self._peers.values()
        return (peer for peer in peers if _precedes(peer.store_revision, revision))

    def store_answering_since_s(self, *, regained_s: float, now_s: float) -> float:
        """Return since when the store has been available without interruption.

        ``regained_s`` is when it answered this host again. A peer that was in contact
        before that and has been heard since shows that the store itself was available.
        """
        since_s = regained_s
        for peer in self._peers.values():
            heard_since = regained_s <= peer.heard_s <= now_s
            if heard_since and peer.store_contact_since_s is not None:
                since_s = min(since_s, peer.store_contact_since_s)
        return since_s

    def watches_store(self, own_zone: str, now_s: float) -> bool:
        """Return whether this host is one of the store watchers of its zone.

        The watchers relay changes to the other hosts. Hosts without contact to the
        store don't count, so that the next ones in the order replace them.
        """
        before = takewhile(self._is_other, self.registered(own_zone))
        watching = sum(1 for entry in before if self._may_watch(entry, now_s))
        return watching < WATCHERS_PER_ZONE

    def forwarding_start(self, own_zone: str, receivers: int) -> int:
        """Return the receiver to which this watcher forwards changes first.

        The watchers of a zone begin at different ones, so that on weak links a large
        change reaches all of them in a fraction of the time that each watcher takes.
        """
        rank = sum(1 for _ in takewhile(self._is_other, self.registered(own_zone)))
        return rank % WATCHERS_PER_ZONE * receivers // WATCHERS_PER_ZONE

    def _is_other(self, entry: HostEntry) -> bool:
        return entry.name != self._own_name

    def _may_watch(self, entry: HostEntry, now_s: float) -> bool:
        """Return whether a host is known to be in contact with the store."""
        peer = self._peers.get(entry.name)
        if peer is None:
            # Without this, hosts that start together would all watch until they hear
            # from each other.
            return (
                self._first_read_s is not None
                and now_s - self._first_read_s < PEER_DISCOVERY_S
            )
        heard = now_s - peer.heard_s <= self._watcher_timeout_s
        return peer.store_connected and heard

    def store_answers_a_peer(self, now_s: float) -> bool:
        """Return whether a peer that was heard recently has contact with the store."""
        return any(
            peer.store_connected and now_s - peer.heard_s <= self._peer_timeout_s
            for peer in self._peers.values()
        )

    def hears_majority(self, now_s: float) -> bool:
        """Return whether most registered hosts, this one included, were heard."""
        heard = [p for p in self.peers() if not self._timed_out(p, now_s)]
        return self._is_majority(len(heard))

    def no_peer_knows_more(self, revision: int, *, since_s: float) -> bool:
        """Return whether most hosts said so since a time, without a store that answers.

        Hosts that are not heard may have been killed, so not all of them are needed,
        but a few may have been cut off together. A peer at revision 0 has started
        again and says nothing of what it knew, nor does one in an earlier era.
        """
        heard = [peer for peer in self._other_states() if peer.heard_s >= since_s]
        return self._know_no_more(heard, revision)

    def no_peer_knew_more(self, revision: int, *, since_boot_s: float) -> bool:
        """Return ``no_peer_knows_more`` by states sent since a boot time."""
        others = self._other_states()
        heard = [peer for peer in others if peer.heard_boot_s >= since_boot_s]
        return self._know_no_more(heard, revision)

    def _other_states(self) -> list[PeerState]:
        return [peer for name, peer in self._peers.items() if name != self._own_name]

    def _know_no_more(self, heard: Sequence[PeerState], revision: int) -> bool:
        if any(p.store_connected or p.store_revision > revision for p in heard):
            return False
        known = [p.store_revision for p in heard if p.store_revision > 0]
        return self._is_majority(sum(_precedes(peer, revision) for peer in known))

    def peers_to_ask(self, revision: int, now_s: float) -> list[HostEntry]:
        """Return the peers that may tell of changes after a revision.

        Those that reach the store are asked first, as they know that it is the latest,
        and of these those that are known to have later changes.
        """
        heard = [e for e in self.peers() if e.tunnel_key and self._heard(e, now_s)]
        connected = [e for e in heard if self._peers[e.name].store_connected]
        asked = connected or heard
        ahead = [e for e in asked if self._peers[e.name].store_revision > revision]
        return ahead or connected

    def _heard(self, entry: HostEntry, now_s: float) -> bool:
        peer = self._peers.get(entry.name)
        return peer is not None and now_s - peer.heard_s <= self._peer_timeout_s

    def _is_majority(self, peers: int) -> bool:
        return 2 * (1 + peers) > 1 + len(self.peers())

    def addresses(
        self,
        *,
        own: HostEntry,
        own_ready: bool,
        now_s: float,
        limit: int,
        caller_zone: str = "",
    ) -> list[str]:
        """Return the front addresses of the hosts that accept new connections.

        With more than ``limit`` hosts, callers get the hosts of their own zone, which
        have the most recent load reports of its engines, and a subset of the others.
        The subset depends on the caller's zone, so that all hosts are used, and stays
        the same between responses.
        """
        found = [own] if own_ready else []
        found += [e for e in self.peers() if self._takes_callers(e, now_s)]
        if len(found) <= limit:
            return sorted(entry.front_address for entry in found)
        near = [e.front_address for e in found if e.availability_zone == caller_zone]
        far = [e.front_address for e in found if e.availability_zone != caller_zone]
        # Ordered by hash, so that the subset includes hosts of all zones.
        far.sort(key=lambda address: zlib.crc32(address.encode()))
        first = zlib.crc32(caller_zone.encode()) % max(1, len(far))
        return (sorted(near) + far[first:] + far[:first])[:limit]

    def takes_callers(self, name: str, now_s: float) -> bool:
        """Return whether a registered host was heard recently and is ready."""
        entry = self._entries.get(name)
        return entry is not None and self._takes_callers(entry, now_s)

    def _takes_callers(self, entry: HostEntry, now_s: float) -> bool:
        peer = self._peers.get(entry.name)
        if self._timed_out(entry, now_s):
            return False
        return entry.ready if peer is None else peer.ready

    def _timed_out(self, entry: HostEntry, now_s: float) -> bool:
        peer = self._peers.get(entry.name)
        heard_s = peer.heard_s if peer else float("-inf")
        # A newly registered host has not had time to send a datagram.
        heard_s = max(heard_s, self._first_seen_s.get(entry.name, float("-inf")))
        return now_s - heard_s > self._peer_timeout_s


def _in_order(entries: Sequence[HostEntry]) -> list[HostEntry]:
    """Return the hosts of a zone in the order in which they take on duties for it.

    A host that sends to its whole zone needs a link that bears it. Builds that do not
    tell their link know the order by name only, and all must know the same one.
    """
    by_name = sorted(entries, key=_name)
    if any(entry.link_mbit_per_s <= 0.0 for entry in by_name):
        return by_name
    return sorted(by_name, key=_link_mbit_per_s, reverse=True)


def _name(entry: HostEntry) -> str:
    return entry.name


def _link_mbit_per_s(entry: HostEntry) -> float:
    return entry.link_mbit_per_s


def _precedes(peer_revision: int, revision: int) -> bool:
    """Return whether a revision is no later than another one of the same era."""
    return peer_revision <= revision and era_of(peer_revision) == era_of(revision)
