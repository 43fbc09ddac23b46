"""Changes of the store for peers that it does not answer.

The store may turn single hosts away. Such a host hears the changes that the watchers
of its own zone forward, and asks a peer for those that it missed. While the store
answers no host, a peer gives what it has applied before, so that all know the same.
"""

import hmac
import time
from collections.abc import Sequence

import gevent

from persimmonyoke.errors import HistoryLost, StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import (
    CATCH_UP_WAIT_S,
    ChangesRequest,
    FleetStore,
    RelayedChanges,
    SendChanges,
)
from persimmonyoke.internal.fleet.recent_changes import RecentChanges
from persimmonyoke.internal.fleet.store_revision import era_of, number_of
from persimmonyoke.internal.gateway.clocks import read_clocks
from persimmonyoke.internal.gateway.state import GatewayState

MAX_ANSWERING = 16
"""Requests answered at a time; a host whose request is dropped asks another peer."""

READ_TIMEOUT_S = 0.4
"""Time after which the answer of the store is too late for the host that asked."""


class ChangeServer:
    """Give peers the changes of the store that they missed."""

    def __init__(
        self, state: GatewayState, store: FleetStore, recent: RecentChanges
    ) -> None:
        self._state = state
        self._store = store
        self._recent = recent
        self._answering = 0
        state.on_changes_requested = self.handle

    def handle(self, request: ChangesRequest, send: SendChanges) -> None:
        """Answer a request in a task of its own, unless there are too many."""
        obstacle = self._obstacle(request)
        if obstacle is not None:
            self._state.metrics.change_requests.add(result="refused")
            self._state.journal.event(
                "changes_not_served", error=obstacle, asked_by=request.host
            )
            return
        self._answering += 1
        gevent.spawn(self._answer, request, send)

    def _obstacle(self, request: ChangesRequest) -> str | None:
        """Return why a request is refused, if it is."""
        if not self._accepts(request):
            return "key or era of the request is not this host's"
        if self._answering >= MAX_ANSWERING:
            return "too many requests are being answered"
        return None

    def _accepts(self, request: ChangesRequest) -> bool:
        """Return whether a host has read this one's entry and knows its era.

        The revisions of another era can't be told apart by the host that asks.
        """
        own_key = self._state.tunnel_key.encode()
        return (
            hmac.compare_digest(request.tunnel_key.encode(), own_key)
            and era_of(request.after_revision) == self._store.era.current
        )

    def _answer(self, request: ChangesRequest, send: SendChanges) -> None:
        """Send what this host has applied, then what the store says now.

        The store may not answer this host in time, whatever it did a moment ago.
        """
        after_revision = request.after_revision
        known = self._recent.after(after_revision)
        try:
            if known:
                after_revision = self._recent.revision
                self._send(request, known, send)
            if self._state.store_connected:
                self._send(request, [self._latest(after_revision)], send)
            elif not known:
                self._send_entries(request, send)
        except StoreUnavailable as error:
            self._state.journal.failure(
                "changes_not_served", error, asked_by=request.host
            )
            if not known:
                self._send_entries(request, send)
        except Exception:
            self._state.journal.unexpected("changes_not_served", asked_by=request.host)
        finally:
            self._answering -= 1

    def _send_entries(self, request: ChangesRequest, send: SendChanges) -> None:
        entries = self._recent.entries_after(request.after_revision)
        self._send(request, entries, send)

    def _send(
        self,
        request: ChangesRequest,
        missed: Sequence[RelayedChanges],
        send: SendChanges,
    ) -> None:
        """Send changes, unless the era has changed since the host asked."""
        sent = sum(map(send, missed)) if self._accepts(request) else 0
        self._log(request, missed, sent)

    def _latest(self, after_revision: int) -> RelayedChanges:
        """Return what the store says of the changes after a revision."""
        asked = read_clocks()
        encoded = self._read(after_revision)
        is_recent = read_clocks().elapsed_s(asked) <= READ_TIMEOUT_S
        return RelayedChanges(after_revision, encoded, is_recent=is_recent)

    def _read(self, after_revision: int) -> bytes:
        """Return the changes after a revision, or all entries if they are lost."""
        try:
            return self._store.changes(
                after_revision=after_revision,
                wait_s=CATCH_UP_WAIT_S,
                timeout_s=READ_TIMEOUT_S,
            ).encoded
        except HistoryLost:
            return self._store.encoded_snapshot()

    def _log(
        self, request: ChangesRequest, missed: Sequence[RelayedChanges], sent: int
    ) -> None:
        state = self._state
        state.metrics.change_requests.add(result="served" if sent else "refused")
        state.journal.event(
            "changes_served",
            asked_by=request.host,
            after_revision=number_of(request.after_revision),
            recent=bool(missed) and missed[-1].is_recent,
            datagrams=sent,
            bytes=sum(len(changes.encoded) for changes in missed),
            view_age_ms=int(state.view.age_s(time.monotonic()) * 1_000),
        )
