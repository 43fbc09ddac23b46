"""Exchange of notices between hosts about requests that may crash replicas.

Strong notices, which decide how a request is sent, go to all hosts at once, since the
host that saw a crash may fail next. Hosts that missed them, or have just started, catch
up through gossip: each host repeats them to a few random peers every second. In a large
deployment a first crash is reported only to the hosts that count the crashes of the
request.
"""

import time
import zlib
from collections import defaultdict, deque
from collections.abc import Callable, Sequence

import gevent

from persimmonyoke.internal.delivery.suspect_types import SuspectNotice
from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.suspect_messages import (
    SuspectsMessage,
    encode_suspects,
)

MAX_PENDING = 2_048
"""Notices queued until the next iteration of the event loop."""

REPEAT_DELAYS_S = (0.05, 0.25)
"""Delays after which strong notices are sent again, since datagrams may be lost."""

GOSSIP_INTERVAL_S = 1.0
GOSSIP_PEERS = 3

COUNTING_HOSTS = 3
"""Hosts that count the crashes of one request; two of them may fail."""

Send = Callable[[Sequence[HostEntry], bytes], None]


class SuspectLink:
    """Send changes of this host's suspect register to peers, and merge theirs."""

    def __init__(self, state: GatewayState, send: Send) -> None:
        self._state = state
        self._send = send
        self._pending: deque[SuspectNotice] = deque(maxlen=MAX_PENDING)
        self._flushing = False
        state.on_suspect = self.publish

    def publish(self, notice: SuspectNotice) -> None:
        """Queue a notice for the peers, to be sent together with simultaneous ones."""
        self._pending.append(notice)
        if not self._flushing:
            self._flushing = True
            gevent.spawn(self._flush)

    def handle(self, message: SuspectsMessage, *, now_s: float) -> None:
        """Merge a peer's notices, and publish those that become strong by it."""
        for notice in message.notices:
            self._handle_notice(notice, now_s)

    def _handle_notice(self, notice: SuspectNotice, now_s: float) -> None:
        suspects = self._state.suspects
        merge_notice(self._state, notice, now_s=now_s)
        if self._is_strong(notice) or not self._state.hosts.needs_relay(
            time.monotonic()
        ):
            return
        known = suspects.notice(notice.digest, now_s)
        if self._is_strong(known):
            # Two hosts reported one crash each, which only the counting hosts know.
            self.publish(known)

    def gossip(self) -> None:
        """Repeat strong notices to a few random peers at intervals while they hold."""
        while True:
            gevent.sleep(GOSSIP_INTERVAL_S * self._state.rng.uniform(0.8, 1.2))
            try:
                if self._state.suspects.size:
                    self._gossip_once(time.monotonic())
            except Exception:
                self._state.journal.unexpected("gossip_failed")

    def _gossip_once(self, now_s: float) -> None:
        peers = self._receivers(now_s)
        receivers = self._state.rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
        for datagram in encode_suspects(self._state.suspects.isolated_notices(now_s)):
            self._send(receivers, datagram)

    def _flush(self) -> None:
        self._flushing = False
        notices = list(self._pending)
        self._pending.clear()
        peers = self._receivers(time.monotonic())
        strong = [notice for notice in notices if self._is_strong(notice)]
        weak = [notice for notice in notices if not self._is_strong(notice)]
        for datagram in encode_suspects(strong):
            self._send(peers, datagram)
            for delay_s in REPEAT_DELAYS_S:
                gevent.spawn_later(delay_s, self._send, peers, datagram)
        self._send_weak(weak, peers)

    def _receivers(self, now_s: float) -> list[HostEntry]:
        """Return all peers, also unregistered ones that are heard."""
        hosts = self._state.hosts
        return [*hosts.peers(), *hosts.unregistered(now_s)]

    def _send_weak(
        self, notices: Sequence[SuspectNotice], peers: Sequence[HostEntry]
    ) -> None:
        """Send first crashes, of which the loss of many engines causes thousands."""
        if not self._state.hosts.needs_relay(time.monotonic()):
            for datagram in encode_suspects(notices):
                self._send(peers, datagram)
            return
        by_host: dict[str, list[SuspectNotice]] = defaultdict(list)
        entries = {peer.name: peer for peer in self._state.hosts.peers()}
        for notice in notices:
            for name in counting_hosts(notice.digest, list(entries)):
                by_host[name].append(notice)
        for name, host_notices in by_host.items():
            for datagram in encode_suspects(host_notices):
                self._send([entries[name]], datagram)

    def _is_strong(self, notice: SuspectNotice) -> bool:
        return (
            len(notice.crashes) >= self._state.suspects.rule.isolation_threshold
            or notice.quarantine_left_s > 0
            or notice.isolated_on is not None
            or notice.cleared
        )


def counting_hosts(digest: bytes, names: Sequence[str]) -> list[str]:
    """Choose the hosts that count the crashes of a request, by rendezvous hashing.

    All hosts make the same choice; a lost or added host changes it for few requests.
    """

    def weight(name: str) -> int:
        return zlib.crc32(digest + name.encode())

    return sorted(names, key=weight)[:COUNTING_HOSTS]


def merge_notice(state: GatewayState, notice: SuspectNotice, *, now_s: float) -> None:
    """Merge a notice from a peer or the store, and log a quarantine caused by it."""
    before = state.suspects.quarantined([notice.digest], now_s)
    state.suspects.merge(notice, now_s)
    after = state.suspects.quarantined([notice.digest], now_s)
    if after and not before:
        state.journal.event(
            "quarantine_heard",
            content=notice.digest.hex(),
            source=notice.host,
            crashes=sorted(notice.crashes),
            quarantine_left_ms=int(notice.quarantine_left_s * 1_000),
        )
