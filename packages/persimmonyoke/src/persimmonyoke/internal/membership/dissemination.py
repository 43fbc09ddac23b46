"""Dissemination of revisions, beats, suspects, loads and leaving marks over links."""

import hashlib
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.membership.codec import encode
from persimmonyoke.internal.membership.handshake import NodeIdentity
from persimmonyoke.internal.membership.hosts import HostView
from persimmonyoke.internal.membership.link import Link
from persimmonyoke.internal.membership.messages import (
    MAX_BEATS,
    MAX_ORIGINS,
    Digest,
    Graft,
    Heartbeat,
    HostBeat,
    Leaving,
    Load,
    Message,
    OriginName,
    Prune,
    Pull,
    RevisionMessage,
    Roles,
    Suspect,
)
from persimmonyoke.internal.membership.sources import Grafts, SourceSelector

MAX_SEEN_MESSAGES = 8_192
MAX_LEAVING_MARKS = 4_096
MAX_SUSPECTS_SENT = 256
HOST_KIND = "host"
BEAT = "beat"
LOAD = "load"
# Each host's beats arrive over two links, so that one silent link does not make a host
# look silent.
BEAT_COPIES = 2
# Beats arrive each second and a host counts as silent after 3 s, so other links must be
# asked for its beats earlier.
BEAT_GRAFT_AFTER_S = 1.8
# Load reports tolerate delay, so one copy is enough.
LOAD_COPIES = 1
LOAD_GRAFT_AFTER_S = 2.5
MAX_PRUNED = 8_192


def _ignore(*_: Any) -> None:
    return None


@dataclass(frozen=True)
class PeerHandlers:
    """Hold the callbacks of other modules that receive messages.

    ``revision(number, payload)`` returns whether it accepts the revision.
    ``claim(host, payload)`` returns the reply's payload and may block.
    ``suspects()`` returns the suspects known to this host, for peers that ask. All
    except ``claim`` run in the task that reads the link, so they must not block.
    """

    revision: Callable[[int, bytes], bool] = lambda number, payload: True
    load: Callable[[str, Load], None] = _ignore
    suspect: Callable[[str, Suspect], None] = _ignore
    leaving: Callable[[str, Leaving], None] = _ignore
    roles: Callable[[str, Roles], None] = _ignore
    claim: Callable[[str, bytes], bytes | None] = _ignore
    suspects: Callable[[], Iterable[Suspect]] = tuple


class Dissemination:
    """Decide what to send on each link; hold the newest revision and leaving marks."""

    def __init__(
        self,
        identity: NodeIdentity,
        view: HostView,
        handlers: PeerHandlers,
        *,
        links: Callable[[], Iterable[Link]],
        relays: Callable[[], bool],
        clock: Callable[[], float],
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self.load_percent = 0
        self.leaving = False
        self._identity = identity
        self._view = view
        self._handlers = handlers
        self._links = links
        self._relays = relays
        self._clock = clock
        self._sequence = int(unix_clock())
        self._revision = RevisionMessage(0, b"")
        self._leaving_marks: OrderedDict[tuple[str, str], Leaving] = OrderedDict()
        self._seen: OrderedDict[bytes | Load, None] = OrderedDict()
        self._pending_loads: dict[str, tuple[Load, Link | None]] = {}
        self._sources = {
            BEAT: SourceSelector(copies=BEAT_COPIES, graft_after_s=BEAT_GRAFT_AFTER_S),
            LOAD: SourceSelector(copies=LOAD_COPIES, graft_after_s=LOAD_GRAFT_AFTER_S),
        }
        self._pending_prunes: dict[tuple[Link, str], list[str]] = {}

    @property
    def revision(self) -> RevisionMessage:
        """Return the newest revision; number 0 if there is none."""
        return self._revision

    # Changes of this host

    def publish_revision(self, number: int, payload: bytes) -> bool:
        """Install and broadcast a revision that this host has accepted."""
        return self._install_revision(RevisionMessage(number, payload), source=None)

    def broadcast(self, message: Message) -> None:
        """Broadcast a message of this host."""
        match message:
            case RevisionMessage():
                self._install_revision(message, source=None)
            case Leaving():
                self._note_leaving_mark(message, source=None)
            case Load():
                self._mark_seen(message)
                self._pending_loads[message.engine] = (message, None)
            case _:
                self._mark_seen(message)
                self._offer_all(message, source=None)

    # Messages of peers

    def receive(self, link: Link, message: Message) -> None:
        """Handle a message; an exception in a handler does not end the link."""
        try:
            self._dispatch(link, message)
        except Exception:
            logger.exception("[peers] handler of {} failed", type(message).__name__)

    def _dispatch(self, link: Link, message: Message) -> None:
        host = link.peer.host
        match message:
            case Heartbeat():
                self._receive_heartbeat(link, message)
            case RevisionMessage():
                self._receive_revision(link, message)
            case Digest():
                self._compare_digest(link, message)
            case Pull():
                self._answer_pull(link, message)
            case Leaving():
                if self._note_leaving_mark(message, source=link):
                    self._handlers.leaving(host, message)
            case Suspect():
                if self._accept_and_relay(link, message, always=True):
                    self._handlers.suspect(host, message)
            case Load():
                self._receive_load(link, message)
            case Prune():
                pruned = link.pruned.get(message.kind)
                if pruned is not None and len(pruned) < MAX_PRUNED:
                    pruned.update(origin.name for origin in message.origins)
            case Graft():
                self._graft(link, message)
            case Roles():
                if self._accept_and_relay(link, message, always=False):
                    self._handlers.roles(host, message)

    def _receive_revision(self, link: Link, message: RevisionMessage) -> None:
        if message.number <= self._revision.number:
            return
        if self._handlers.revision(message.number, message.payload):
            self._install_revision(message, source=link)

    def _install_revision(
        self, message: RevisionMessage, *, source: Link | None
    ) -> bool:
        if message.number <= self._revision.number:
            return False
        previous, self._revision = self._revision, message
        check_invariant(
            self._revision.number > previous.number,
            Invariant.CONFIGURATION_NEVER_REVERTS,
            f"revision {previous.number} was replaced by {message.number}",
        )
        for link in self._links():
            if link is not source and not self._has_revision(link, message.number):
                link.queue.offer(message)
        return True

    def _has_revision(self, link: Link, number: int) -> bool:
        info = self._view.host(link.peer.host)
        return bool(info and info.beat and info.beat.revision >= number)

    def _note_leaving_mark(self, mark: Leaving, *, source: Link | None) -> bool:
        key = (mark.name, mark.incarnation)
        if key in self._leaving_marks:
            return False
        self._leaving_marks[key] = mark
        if len(self._leaving_marks) > MAX_LEAVING_MARKS:
            self._leaving_marks.popitem(last=False)
        if mark.kind == HOST_KIND:
            self._view.note_leaving(mark.name, mark.incarnation, self._clock())
        self._offer_all(mark, source=source)
        return True

    def _accept_and_relay(self, link: Link, message: Message, *, always: bool) -> bool:
        if not self._mark_seen(message):
            return False
        if always or self._relays():
            self._offer_all(message, source=link)
        return True

    def _mark_seen(self, message: Message) -> bool:
        digest: bytes | Load
        if isinstance(message, Load):
            # Load reports are small and arrive by the hundred, so encoding one costs
            # more than its digest saves.
            digest = message
        else:
            digest = hashlib.blake2b(encode(message), digest_size=16).digest()
        if digest in self._seen:
            return False
        self._seen[digest] = None
        if len(self._seen) > MAX_SEEN_MESSAGES:
            self._seen.popitem(last=False)
        return True

    def _offer_all(self, message: Message, *, source: Link | None) -> None:
        for link in self._links():
            if link is not source:
                link.queue.offer(message)

    # Load reports and the source links of relayed messages

    def _receive_load(self, link: Link, load: Load) -> None:
        is_new = self._mark_seen(load)
        if self._relays():
            self._note_source(LOAD, load.engine, link, is_new=is_new)
            if is_new:
                self._pending_loads[load.engine] = (load, link)
        if is_new:
            self._handlers.load(link.peer.host, load)

    def _note_source(self, kind: str, key: str, link: Link, *, is_new: bool) -> None:
        if self._sources[kind].note_copy(key, link, is_new=is_new, now_s=self._clock()):
            self._pending_prunes.setdefault((link, kind), []).append(key)

    def flush(self) -> None:
        """Send the collected load reports and prunes, and the overdue grafts."""
        waiting, self._pending_loads = self._pending_loads, {}
        for link in self._links():
            pruned = link.pruned[LOAD]
            for load, source in waiting.values():
                if source is not link and load.engine not in pruned:
                    link.queue.offer(load)
        prunes, self._pending_prunes = self._pending_prunes, {}
        for (link, kind), keys in prunes.items():
            self._offer_origins(link, Prune, kind, keys)
        for kind, sources in self._sources.items():
            self._send_grafts(kind, sources.overdue(self._clock()))

    def drop_link(self, link: Link) -> None:
        """Graft the origins that arrived over a closed link onto other links."""
        for kind, sources in self._sources.items():
            self._send_grafts(kind, sources.drop_link(link))

    def _send_grafts(self, kind: str, grafts: Grafts) -> None:
        for link, keys in grafts.items():
            self._offer_origins(link, Graft, kind, keys)

    @staticmethod
    def _offer_origins(
        link: Link, message: type[Prune | Graft], kind: str, keys: list[str]
    ) -> None:
        for start in range(0, len(keys), MAX_ORIGINS):
            names = tuple(OriginName(k) for k in keys[start : start + MAX_ORIGINS])
            link.queue.offer(message(kind, names))

    def _graft(self, link: Link, message: Graft) -> None:
        pruned = link.pruned.get(message.kind, set())
        pruned.difference_update(origin.name for origin in message.origins)
        if message.kind == BEAT:
            # These hosts are about to become silent in the peer's view.
            link.queue.offer(Heartbeat(self._beats_for(link)))

    # Repair of lost messages

    def sync_link(self, link: Link) -> None:
        """Send the state that the peer of a new link may lack."""
        self._view.note_identity(link.peer, self._clock())
        for mark in self._leaving_marks.values():
            link.queue.offer(mark)
        link.queue.offer(Heartbeat(self._beats_for(link)))
        link.queue.offer(self._digest())

    def send_digests(self) -> None:
        """Send a digest on each link, so that peers pull what they lack."""
        digest = self._digest()
        for link in self._links():
            link.queue.offer(digest)

    def _digest(self) -> Digest:
        suspects = sorted(encode(suspect) for suspect in self._handlers.suspects())
        content = hashlib.blake2b(b"".join(suspects), digest_size=16).digest()
        return Digest(self._revision.number, len(suspects), content)

    def _compare_digest(self, link: Link, remote: Digest) -> None:
        own = self._digest()
        newer = remote.revision > own.revision
        suspects = (
            remote.suspect_count > 0 and remote.suspects_digest != own.suspects_digest
        )
        if newer or suspects:
            link.queue.offer(Pull(own.revision, suspects))

    def _answer_pull(self, link: Link, pull: Pull) -> None:
        if self._revision.number > pull.revision:
            link.queue.offer(self._revision)
        if pull.suspects:
            for suspect in tuple(self._handlers.suspects())[:MAX_SUSPECTS_SENT]:
                link.queue.offer(suspect)

    # Heartbeats

    def send_heartbeats(self) -> None:
        """Increment the sequence and send a heartbeat on each link."""
        self._sequence += 1
        self._view.note_heartbeat(self._own_beat(), self._clock())
        for link in self._links():
            link.queue.offer(Heartbeat(self._beats_for(link)))

    def _own_beat(self) -> HostBeat:
        return HostBeat(
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            revision=self._revision.number,
            leaving=self.leaving,
            load_percent=self.load_percent,
        )

    def _beats_for(self, link: Link) -> tuple[HostBeat, ...]:
        beats = [self._own_beat()]
        if not self._relays():
            return tuple(beats)
        known, pruned = link.known_sequences, link.pruned[BEAT]
        ends = (self._identity.host, link.peer.host)
        for beat in self._view.beats():
            if beat.host in ends or beat.host in pruned:
                continue
            if beat.sequence > known.get(beat.host, -1):
                known[beat.host] = beat.sequence
                beats.append(beat)
        return tuple(beats[:MAX_BEATS])

    def _receive_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        now_s = self._clock()
        relays = self._relays()
        for beat in heartbeat.beats:
            link.known_sequences[beat.host] = beat.sequence
            if beat.host == self._identity.host:
                continue
            is_new = self._view.note_heartbeat(beat, now_s)
            # The peer's own beat is part of each heartbeat and is never pruned.
            if relays and beat.host != link.peer.host:
                self._note_source(BEAT, beat.host, link, is_new=is_new)
