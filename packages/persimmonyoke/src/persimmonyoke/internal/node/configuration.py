"""Configuration of one process: followed in the store and shared with peers."""

import threading
import time

import gevent

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import KeyValueStore
from persimmonyoke.internal.presets import (
    ConfigurationView,
    Preset,
    Revision,
    decode_revision,
    encode_revision,
    follow_revisions,
)

log = part_logger("node")


class ConfigurationKeeper:
    """Keep the view up to date from the store and from peers, whichever is first."""

    def __init__(
        self, store: KeyValueStore, view: ConfigurationView, *, firm: str
    ) -> None:
        self._store = store
        self._view = view
        self._firm = firm
        self._stop = threading.Event()
        self._follower: gevent.Greenlet | None = None

    def start(self, peers: PeerService) -> None:
        """Follow the store and spread each revision that is new here."""

        def publish(revision: Revision, preset: Preset) -> None:
            peers.publish_revision(revision.number, encode_revision(revision))

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

    def take_from_peer(self, number: int, payload: bytes) -> bool:
        """Offer a peer's revision to the view; return whether it is in force."""
        try:
            revision = decode_revision(payload)
        except ProtocolError as error:
            log.error("a peer sent an invalid revision {}: {}", number, error)
            return False
        if revision.number != number or revision.firm != self._firm:
            log.error("a peer sent revision {} under a wrong name", number)
            return False
        self._view.offer(revision, now_s=time.monotonic())
        return self._view.number >= number
