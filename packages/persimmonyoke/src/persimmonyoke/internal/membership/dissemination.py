"""Spread of revisions, beats, suspects, loads and leaving marks over the links."""

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
    Digest,
    Heartbeat,
    HostBeat,
    Leaving,
    Load,
    Message,
    Pull,
    RevisionMessage,
    Roles,
    Suspect,
)

MAX_SEEN_MESSAGES = 8_192
MAX_LEAVING_MARKS = 4_096
MAX_SUSPECTS_SENT = 256
HOST_KIND = "host"


def _ignore(*_: Any) -> None:
    return None


@dataclass(frozen=True)
class PeerHandlers:
    """Hold the callables of other modules that receive messages.

    ``revision(number, payload)`` returns whether it accepts the revision.
    ``claim(host, payload)`` returns the reply's payload and may block.
    ``suspects()`` returns what this host knows, for peers that ask. The others must
    not block, since they run in the task that reads the link.
    """

    revision: Callable[[int, bytes], bool] = lambda number, payload: True
    load: Callable[[str, Load], None] = _ignore
    suspect: Callable[[str, Suspect], None] = _ignore
    leaving: Callable[[str, Leaving], None] = _ignore
    roles: Callable[[str, Roles], None] = _ignore
    claim: Callable[[str, bytes], bytes | None] = _ignore
    suspects: Callable[[], Iterable[Suspect]] = tuple


class Dissemination:
    """Decide what each link carries; holds the newest revision and leaving marks."""

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
        self._marks: OrderedDict[tuple[str, str], Leaving] = OrderedDict()
        self._seen: OrderedDict[bytes, None] = OrderedDict()

    @property
    def revision(self) -> RevisionMessage:
        """Return the newest revision; number 0 if there is none."""
        return self._revision

    # Changes of this host

    def publish_revision(self, number: int, payload: bytes) -> bool:
        """Install and spread a revision that this host has accepted."""
        return self._install_revision(RevisionMessage(number, payload), source=None)

    def spread(self, message: Message) -> None:
        """Spread a message of this host."""
        match message:
            case RevisionMessage():
                self._install_revision(message, source=None)
            case Leaving():
                self._note_mark(message, source=None)
            case _:
                self._mark_seen(message)
                self._offer_all(message, source=None)

    # Messages of peers

    def receive(self, link: Link, message: Message) -> None:
        """Handle a message; a fault of a handler does not end the link."""
        try:
            self._dispatch(link, message)
        except Exception:
            logger.exception("[peers] handler of {} failed", type(message).__name__)

    def _dispatch(self, link: Link, message: Message) -> None:
        host = link.peer.host
        match message:
            case Heartbeat():
                self._note_beats(link, message)
            case RevisionMessage():
                self._receive_revision(link, message)
            case Digest():
                self._compare_digest(link, message)
            case Pull():
                self._answer_pull(link, message)
            case Leaving():
                if self._note_mark(message, source=link):
                    self._handlers.leaving(host, message)
            case Suspect():
                if self._pass_on(link, message, always=True):
                    self._handlers.suspect(host, message)
            case Load():
                if self._pass_on(link, message, always=False):
                    self._handlers.load(host, message)
            case Roles():
                if self._pass_on(link, message, always=False):
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

    def _note_mark(self, mark: Leaving, *, source: Link | None) -> bool:
        key = (mark.name, mark.incarnation)
        if key in self._marks:
            return False
        self._marks[key] = mark
        if len(self._marks) > MAX_LEAVING_MARKS:
            self._marks.popitem(last=False)
        if mark.kind == HOST_KIND:
            self._view.note_leaving(mark.name, mark.incarnation, self._clock())
        self._offer_all(mark, source=source)
        return True

    def _pass_on(self, link: Link, message: Message, *, always: bool) -> bool:
        if not self._mark_seen(message):
            return False
        if always or self._relays():
            self._offer_all(message, source=link)
        return True

    def _mark_seen(self, message: Message) -> bool:
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

    # Repair of losses

    def start_link(self, link: Link) -> None:
        """Send a new link what its peer may lack."""
        self._view.note_identity(link.peer, self._clock())
        for mark in self._marks.values():
            link.queue.offer(mark)
        link.queue.offer(Heartbeat(self._beats_for(link)))
        link.queue.offer(self._digest())

    def send_digests(self) -> None:
        """Send a digest on each link, so that peers pull what they miss."""
        digest = self._digest()
        for link in self._links():
            link.queue.offer(digest)

    def _digest(self) -> Digest:
        suspects = sorted(encode(suspect) for suspect in self._handlers.suspects())
        content = hashlib.blake2b(b"".join(suspects), digest_size=16).digest()
        return Digest(self._revision.number, len(suspects), content)

    def _compare_digest(self, link: Link, theirs: Digest) -> None:
        mine = self._digest()
        newer = theirs.revision > mine.revision
        suspects = (
            theirs.suspect_count > 0 and theirs.suspects_digest != mine.suspects_digest
        )
        if newer or suspects:
            link.queue.offer(Pull(mine.revision, suspects))

    def _answer_pull(self, link: Link, pull: Pull) -> None:
        if self._revision.number > pull.revision:
            link.queue.offer(self._revision)
        if pull.suspects:
            for suspect in tuple(self._handlers.suspects())[:MAX_SUSPECTS_SENT]:
                link.queue.offer(suspect)

    # Heartbeats

    def beat(self) -> None:
        """Count up and send a heartbeat on each link."""
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
        for beat in self._view.beats():
            is_third = beat.host not in (self._identity.host, link.peer.host)
            if is_third and beat.sequence > link.known_sequences.get(beat.host, -1):
                link.known_sequences[beat.host] = beat.sequence
                beats.append(beat)
        return tuple(beats[:MAX_BEATS])

    def _note_beats(self, link: Link, heartbeat: Heartbeat) -> None:
        now_s = self._clock()
        for beat in heartbeat.beats:
            link.known_sequences[beat.host] = beat.sequence
            if beat.host != self._identity.host:
                self._view.note_heartbeat(beat, now_s)
