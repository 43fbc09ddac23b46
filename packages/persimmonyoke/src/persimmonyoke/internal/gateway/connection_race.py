"""Outcomes of the ways on which a connection to a replica is opened at once."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.queue import Empty, Queue

from persimmonyoke.internal.gateway.connections import (
    NotConnected,
    UpstreamConnection,
)
from persimmonyoke.internal.gateway.tunnel_client import NoTunnel, PeerCannotReach

WayError = NotConnected | NoTunnel | PeerCannotReach


@dataclass(frozen=True)
class Opened:
    """Report a connection that was opened."""

    connection: UpstreamConnection


@dataclass(frozen=True)
class NotOpened:
    """Report that a way to the replica failed."""

    error: WayError


class ConnectionRace:
    """Run attempts to open a connection; the first connection wins.

    ``dispose`` is called with each connection that is opened too late.
    """

    def __init__(self, dispose: Callable[[UpstreamConnection], None]) -> None:
        self._dispose = dispose
        self._outcomes: Queue[Opened | NotOpened] = Queue()
        self._pending = 0
        self._decided = False
        self.direct_error: NotConnected | None = None
        self.peer_error: NoTunnel | PeerCannotReach | None = None

    def start(self, attempt: Callable[[], UpstreamConnection]) -> None:
        """Start an attempt, which returns a connection or raises a ``WayError``."""
        self._pending += 1
        gevent.spawn(self._run, attempt)

    def winner(self, timeout_s: float) -> UpstreamConnection | None:
        """Return the first connection, or ``None`` if there is none in time."""
        deadline_s = time.monotonic() + timeout_s
        while self._pending:
            try:
                left_s = max(0.0, deadline_s - time.monotonic())
                outcome = self._outcomes.get(timeout=left_s)
            except Empty:
                return None
            self._pending -= 1
            if isinstance(outcome, Opened):
                return outcome.connection
            self._note_error(outcome.error)
        return None

    def end(self) -> None:
        """Dispose of the connections that have been opened or are opened later."""
        self._decided = True
        while not self._outcomes.empty():
            self._dispose_of(self._outcomes.get())

    def _run(self, attempt: Callable[[], UpstreamConnection]) -> None:
        try:
            outcome = Opened(attempt())
        except (NotConnected, NoTunnel, PeerCannotReach) as error:
            outcome = NotOpened(error)
        if self._decided:
            self._dispose_of(outcome)
        else:
            self._outcomes.put(outcome)

    def _dispose_of(self, outcome: Opened | NotOpened) -> None:
        if isinstance(outcome, Opened):
            self._dispose(outcome.connection)

    def _note_error(self, error: WayError) -> None:
        if isinstance(error, NotConnected):
            self.direct_error = error
        elif not isinstance(self.peer_error, PeerCannotReach):
            self.peer_error = error
