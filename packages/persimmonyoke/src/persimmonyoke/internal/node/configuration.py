"""Configuration of one process: watched in the store and exchanged with peers."""

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
    """Update the configuration view from the store and from peers."""

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
        """Watch the store and publish each new revision to the peers."""

        def publish(revision: Revision, preset: Preset) -> None:
            # The peer service forwards a peer's revision on all links but the one that
            # it came from; publishing it here would send it back.
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
        """Stop watching the store."""
        self._stop.set()
        if self._follower is not None:
            self._follower.kill(block=False)

    def receive_from_peer(self, number: int, payload: bytes) -> bool:
        """Offer a peer's revision; return whether it or a newer one is now active."""
        try:
            revision = decode_stored(payload).revision
        except ProtocolError as error:
            log.error("invalid revision {} from a peer: {}", number, error)
            return False
        if revision is None:
            log.error("revision {} from a peer has no document", number)
            return False
        if revision.number != number or revision.firm != self._firm:
            log.error(
                "revision {} from a peer has another number or firm in its document",
                number,
            )
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
    """Return the compressed form, which has about a quarter of the document's size.

    Its header has an empty diff, since only the history in the store shows diffs.
    """
    return encode_stored(revision, header_of(revision, revision))
