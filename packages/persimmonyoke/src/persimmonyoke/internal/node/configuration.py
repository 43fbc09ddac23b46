"""Configuration of one process: followed in the store and shared with peers."""

import threading
import time
from collections import Counter

import gevent

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import KeyValueStore
from persimmonyoke.internal.presets import (
    ConfigurationView,
    Preset,
    Revision,
    follow_revisions,
)
from persimmonyoke.internal.presets.stored_form import (
    decode_stored,
    encode_stored,
    header_of,
)

log = part_logger("node")


class ConfigurationSync:
    """Keep the view up to date from the store and from peers, whichever is first."""

    def __init__(
        self, store: KeyValueStore, view: ConfigurationView, *, firm: str
    ) -> None:
        self._store = store
        self._view = view
        self._firm = firm
        self._from_peers: Counter[int] = Counter()
        self._stop = threading.Event()
        self._follower: gevent.Greenlet | None = None

    def start(self, peers: PeerService) -> None:
        """Follow the store and spread each revision that is new here."""

        def publish(revision: Revision, preset: Preset) -> None:
            # What a peer sent is passed on by the peer service, which leaves out the
            # link it came from; publishing it here would send it back.
            if revision.number not in self._from_peers:
                peers.publish_revision(revision.number, _peer_form(revision))

        self._view.subscribe(publish)
        if self._view.revision is not None:
            publish(self._view.revision, self._view.preset)
        self._follower = gevent.spawn(
            follow_revisions,
            self._store,
            self._view,
            self._stop,
            firm=self._firm,
            clock=time.monotonic,
        )

    def stop(self) -> None:
        """End the follow loop."""
        self._stop.set()
        if self._follower is not None:
            self._follower.kill(block=False)

    def receive_from_peer(self, number: int, payload: bytes) -> bool:
        """Offer a peer's revision to the view; return whether it is in force."""
        try:
            revision = decode_stored(payload).revision
        except ProtocolError as error:
            log.error("a peer sent an invalid revision {}: {}", number, error)
            return False
        if revision is None:
            log.error("a peer sent revision {} without its document", number)
            return False
        if revision.number != number or revision.firm != self._firm:
            log.error("a peer sent revision {} under a wrong name", number)
            return False
        self._from_peers[number] += 1
        try:
            self._view.offer(revision, now_s=time.monotonic())
        finally:
            self._from_peers[number] -= 1
            if not self._from_peers[number]:
                del self._from_peers[number]
        return self._view.number >= number


def _peer_form(revision: Revision) -> bytes:
    """Return the compressed form, about a quarter of the bytes of the document.

    Its header leaves out the difference, which only the history in the store shows.
    """
    return encode_stored(revision, header_of(revision, revision))
