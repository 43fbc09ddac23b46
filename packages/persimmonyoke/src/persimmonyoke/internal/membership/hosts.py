"""View of the entry hosts, merged from the host list and the heartbeats."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from persimmonyoke.internal.membership.handshake import NodeIdentity
from persimmonyoke.internal.membership.messages import HostBeat

SILENT_AFTER_S = 3.0
HOST_RETENTION_S = 3_600.0
ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"


class ListedHost(Protocol):
    """Describe the fields of a host list entry that membership reads."""

    name: str
    role: str
    address: str
    availability_zone: str
    state: str


@dataclass(frozen=True)
class HostInfo:
    """Hold what is known about one entry host."""

    name: str
    incarnation: str = ""
    callers_address: str = ""
    peers_address: str = ""
    availability_zone: str = ""
    listed: bool = False
    listed_leaving: bool = False
    last_beat_s: float | None = None
    beat: HostBeat | None = None

    def with_beat(self, beat: HostBeat, now_s: float) -> "HostInfo":
        """Return the entry with a newer beat."""
        # dataclasses.replace would take twice as long, and this runs for each beat.
        return HostInfo(
            self.name,
            beat.incarnation,
            self.callers_address,
            self.peers_address,
            self.availability_zone,
            self.listed,
            self.listed_leaving,
            now_s,
            beat,
        )


class HostView:
    """Track which hosts are members, silent or leaving.

    A host is a member while the host list or its heartbeats show it alive. A leaving
    mark from either source is final for the host's incarnation; only a new incarnation
    of the host is a member again.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, HostInfo] = {}
        self._leaving_marks: dict[tuple[str, str], float] = {}

    def merge_host_list(self, entries: Iterable[ListedHost], now_s: float) -> None:
        """Merge the host list; pass only a list that was read successfully."""
        listed = {entry.name: entry for entry in entries if entry.role == ENTRY_ROLE}
        for name in self._hosts.keys() - listed.keys():
            self._hosts[name] = replace(
                self._hosts[name], listed=False, listed_leaving=False
            )
        for entry in listed.values():
            self._merge_entry(entry, now_s)
        self._remove_expired(now_s)

    def _merge_entry(self, entry: ListedHost, now_s: float) -> None:
        info = self._hosts.get(entry.name, HostInfo(entry.name))
        leaving = entry.state == LEAVING_STATE
        if leaving and not info.listed_leaving and info.incarnation:
            # The list has no incarnations. The mark applies to the incarnation known at
            # the change, so that a lagging list does not mark its successor.
            self.note_leaving(entry.name, info.incarnation, now_s)
        self._hosts[entry.name] = replace(
            info,
            listed=True,
            listed_leaving=leaving,
            callers_address=entry.address or info.callers_address,
            availability_zone=entry.availability_zone or info.availability_zone,
        )

    def note_identity(self, identity: NodeIdentity, now_s: float) -> None:
        """Record the addresses and zone that an authenticated peer states."""
        info = self._hosts.get(identity.host, HostInfo(identity.host))
        self._hosts[identity.host] = replace(
            info,
            callers_address=identity.callers_address or info.callers_address,
            peers_address=identity.peers_address or info.peers_address,
            availability_zone=identity.availability_zone or info.availability_zone,
        )

    def note_heartbeat(self, beat: HostBeat, now_s: float) -> bool:
        """Record a beat; return whether it is newer than the earlier ones.

        Sequences start at the wall-clock second of the host's start, so that a late
        beat of an earlier incarnation never replaces one of the current incarnation.
        """
        info = self._hosts.get(beat.host, HostInfo(beat.host))
        if info.beat is not None and beat.sequence <= info.beat.sequence:
            return False
        first = not info.incarnation
        self._hosts[beat.host] = info.with_beat(beat, now_s)
        if beat.leaving or (first and info.listed_leaving):
            self.note_leaving(beat.host, beat.incarnation, now_s)
        return True

    def note_leaving(self, name: str, incarnation: str, now_s: float) -> None:
        """Mark an incarnation of a host as leaving; the mark is permanent."""
        self._leaving_marks.setdefault((name, incarnation), now_s)

    def is_leaving(self, name: str) -> bool:
        """Return whether the current incarnation has a leaving mark."""
        info = self._hosts.get(name)
        if info is None:
            return False
        if not info.incarnation:
            return info.listed_leaving
        return (name, info.incarnation) in self._leaving_marks

    def is_silent(self, name: str, now_s: float) -> bool:
        """Return whether no beat of the host has arrived for 3 s."""
        info = self._hosts.get(name)
        last_beat_s = info.last_beat_s if info else None
        return last_beat_s is None or now_s - last_beat_s >= SILENT_AFTER_S

    def is_member(self, name: str, now_s: float) -> bool:
        """Return whether the host is listed or not silent, and not leaving."""
        info = self._hosts.get(name)
        if info is None or self.is_leaving(name):
            return False
        listed_live = info.listed and not info.listed_leaving
        return listed_live or not self.is_silent(name, now_s)

    def is_incarnation_dead(self, name: str, incarnation: str, now_s: float) -> bool:
        """Return whether an incarnation is known to have ended.

        That is the case if another incarnation is known, or if the host is unknown or
        both unlisted and silent. A paused host may resume, so callers must not treat
        this as proof that it can't act any more.
        """
        info = self._hosts.get(name)
        if info is None:
            return True
        if info.incarnation and info.incarnation != incarnation:
            return True
        return not info.listed and self.is_silent(name, now_s)

    def live_hosts(self, now_s: float) -> tuple[HostInfo, ...]:
        """Return the members in order of their names, including silent ones."""
        names = sorted(self._hosts)
        return tuple(self._hosts[n] for n in names if self.is_member(n, now_s))

    def host(self, name: str) -> HostInfo | None:
        """Return the entry of a host, or ``None`` if it is unknown."""
        return self._hosts.get(name)

    def beats(self) -> tuple[HostBeat, ...]:
        """Return the newest beat of each known host that has sent one."""
        return tuple(info.beat for info in self._hosts.values() if info.beat)

    def count_with_revision(self, number: int, *, excluding: str, now_s: float) -> int:
        """Return how many hosts that are not silent hold a revision or a later one."""
        return sum(
            beat.revision >= number
            and beat.host != excluding
            and not self.is_silent(beat.host, now_s)
            for beat in self.beats()
        )

    def _remove_expired(self, now_s: float) -> None:
        for name, info in list(self._hosts.items()):
            silent_s = (
                HOST_RETENTION_S
                if info.last_beat_s is None
                else now_s - info.last_beat_s
            )
            if not info.listed and silent_s >= HOST_RETENTION_S:
                del self._hosts[name]
        for mark, marked_s in list(self._leaving_marks.items()):
            info = self._hosts.get(mark[0])
            is_current = info is not None and info.incarnation == mark[1]
            if not is_current and now_s - marked_s >= HOST_RETENTION_S:
                del self._leaving_marks[mark]
