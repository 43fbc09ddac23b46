"""Polling of the host list, and the peer addresses that follow from it."""

import random
import time
from collections.abc import Callable

import gevent

from persimmonyoke.errors import PlatformUnavailable
from persimmonyoke.internal.membership.hosts import HostInfo, HostView
from persimmonyoke.internal.membership.peers import PeerAddress
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import HostEntry, HostList, HostRole

READ_INTERVAL_S = 1.0
JITTER_SHARE = 0.1

log = part_logger("node")


class HostListLoop:
    """Poll the host list every second; during an outage the last list stays in use."""

    def __init__(
        self,
        hosts: HostList,
        on_list: Callable[[tuple[HostEntry, ...], float], None],
        *,
        rng: random.Random,
    ) -> None:
        self._hosts = hosts
        self._on_list = on_list
        self._rng = rng
        self._task: gevent.Greenlet | None = None
        self.failures = 0
        self.read_s: float | None = None

    def start(self) -> None:
        """Poll in the background."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.kill(block=False)

    def _run(self) -> None:
        while True:
            self.read_once()
            jitter = self._rng.uniform(-JITTER_SHARE, JITTER_SHARE)
            gevent.sleep(READ_INTERVAL_S * (1 + jitter))

    def read_once(self) -> None:
        """Read the list and pass it to the callback."""
        try:
            entries = self._hosts.list_hosts()
        except PlatformUnavailable as error:
            self.failures += 1
            if self.failures == 1:
                log.warning("host list can't be read: {}", error)
            return
        self.failures = 0
        self.read_s = time.monotonic()
        try:
            self._on_list(entries, self.read_s)
        except Exception:
            # One invalid entry must not stop the polling.
            log.exception("host list can't be applied")


def peer_addresses(
    entries: tuple[HostEntry, ...],
    view: HostView,
    *,
    port_offset: int,
) -> dict[str, PeerAddress]:
    """Return the addresses on which entry hosts listen for peers.

    An address that a host announced over an authenticated link takes precedence over
    the one derived from the host list.
    """
    members = {}
    for entry in entries:
        if entry.role is HostRole.ENTRY:
            known = view.host(entry.name)
            address = known.peers_address if known else ""
            members[entry.name] = PeerAddress(
                address or _offset(entry.address, port_offset),
                entry.availability_zone,
            )
    for info in entry_hosts(view, time.monotonic()):
        if info.name not in members and info.peers_address:
            members[info.name] = PeerAddress(info.peers_address, info.availability_zone)
    return members


def entry_hosts(view: HostView, now_s: float) -> tuple[HostInfo, ...]:
    """Return the live entry hosts; controllers have no callers address."""
    return tuple(h for h in view.live_hosts(now_s) if h.callers_address)


def _offset(address: str, port_offset: int) -> str:
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + port_offset}"
