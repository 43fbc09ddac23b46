"""Exchange between hosts of what is known of requests that may crash replicas.

A change is told to all hosts at once, since the host that saw a crash may be lost next.
Hosts that missed it, or have just started, learn it from peers, which repeat what
speaks strongly against a request to some of them each second.
"""

import time
from collections import deque
from collections.abc import Callable, Sequence

import gevent

from persimmonyoke.internal.delivery.suspect_types import (
    Quarantined,
    SuspectNotice,
)
from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.suspect_messages import (
    SuspectsMessage,
    encode_suspects,
)

MAX_PENDING = 2_048
"""Notices that wait for the next turn of the event loop."""

REPEAT_DELAYS_S = (0.05, 0.25)
"""Delays after which important notices are told again; datagrams may be lost."""

GOSSIP_INTERVAL_S = 1.0
GOSSIP_PEERS = 3
IMPORTANT_CRASHES = 2

Send = Callable[[Sequence[HostEntry], bytes], None]


class SuspectLink:
    """Tell peers what changes in the register of this host, and merge their notices."""

    def __init__(self, state: GatewayState, send: Send) -> None:
        self._state = state
        self._send = send
        self._pending: deque[SuspectNotice] = deque(maxlen=MAX_PENDING)
        self._flushing = False
        state.on_suspect = self.publish

    def publish(self, notice: SuspectNotice) -> None:
        """Tell all peers of a change, with others of this moment."""
        self._pending.append(notice)
        if not self._flushing:
            self._flushing = True
            gevent.spawn(self._flush)

    def take(self, message: SuspectsMessage, *, now_s: float) -> None:
        """Merge what a peer knows."""
        for notice in message.notices:
            merge_notice(self._state, notice, now_s=now_s)

    def gossip(self) -> None:
        """Tell some peers at intervals what is important, for as long as it holds."""
        while True:
            gevent.sleep(GOSSIP_INTERVAL_S * self._state.rng.uniform(0.8, 1.2))
            if self._state.suspects.size:
                self._gossip_once(time.monotonic())

    def _gossip_once(self, now_s: float) -> None:
        peers = self._state.hosts.peers()
        told = self._state.rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
        notices = filter(_is_important, self._state.suspects.notices(now_s))
        for datagram in encode_suspects(notices):
            self._send(told, datagram)

    def _flush(self) -> None:
        self._flushing = False
        notices = list(self._pending)
        self._pending.clear()
        peers = self._state.hosts.peers()
        for datagram in encode_suspects(notices):
            self._send(peers, datagram)
        important = encode_suspects(filter(_is_important, notices))
        for datagram in important:
            for delay_s in REPEAT_DELAYS_S:
                gevent.spawn_later(delay_s, self._send, peers, datagram)


def merge_notice(state: GatewayState, notice: SuspectNotice, *, now_s: float) -> None:
    """Merge what a peer or the store knows, and log what it withholds."""
    before = state.suspects.status(notice.digest, now_s)
    state.suspects.merge(notice, now_s)
    after = state.suspects.status(notice.digest, now_s)
    if isinstance(after, Quarantined) and not isinstance(before, Quarantined):
        state.journal.event(
            "quarantine_heard",
            content=notice.digest.hex(),
            source=notice.host,
            crashes=sorted(notice.crashes),
            quarantine_left_ms=int(notice.quarantine_left_s * 1_000),
        )


def _is_important(notice: SuspectNotice) -> bool:
    return (
        len(notice.crashes) >= IMPORTANT_CRASHES
        or notice.quarantine_left_s > 0
        or notice.isolated_on is not None
        or notice.cleared
    )
