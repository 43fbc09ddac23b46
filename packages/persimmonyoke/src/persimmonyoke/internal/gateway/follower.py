"""Following the store by readings, watches and what peers pass on."""

import time
from collections import deque
from collections.abc import Callable
from functools import partial

import gevent
from gevent.event import Event

from persimmonyoke.errors import HistoryLost, StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import (
    FleetStore,
    HostRemoved,
    RelayedChanges,
    ReplicaRemoved,
    StoreChanges,
)
from persimmonyoke.internal.fleet.watch_pacing import WatchPacer
from persimmonyoke.internal.gateway.interruptible import CallInterrupted, call_unless
from persimmonyoke.internal.gateway.orders import OrderDuty
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.view_updates import ViewUpdates

WATCH_MARGIN_S = 0.4
"""Time beyond the wait of a watch after which its connection counts as silent.

Answers take 4 ms, and up to 0.25 s while the store is slow.
"""

MIN_WATCH_WAIT_S = 0.1

WATCH_LAG_S = 0.4
"""Time by which a watch may be later than that of a peer, with a slow store."""

FOLLOW_CHECK_S = 0.2
"""Interval at which a host that does not watch looks whether it is behind its peers."""

FOLLOW_LAG_S = 0.3
"""Time for which a peer may be ahead before this host asks the store itself.

A datagram with the changes takes a few milliseconds, and the next one 0.25 s.
"""

CATCH_UP_WAIT_S = 0.01
"""Wait of a call for changes that are there already."""

MAX_RELAYED = 32
"""Changes of peers' watches that wait to be applied; later ones replace the oldest."""

REMOVALS = (HostRemoved, ReplicaRemoved)

RETRY_S = 0.15
MAX_RETRY_S = 0.4
"""Longest pause between two readings while the store does not answer any host.

The grace for missing replicas begins with the first answer, not with the return.
"""

MAX_OWN_RETRY_S = 1.2
"""Longest pause while it answers peers, which pass on what they are told."""


class StoreFollower:
    """Keep the state of this process in step with the store.

    One task reads, watches and applies, so that nothing is applied after what is newer.
    """

    def __init__(
        self,
        state: GatewayState,
        store: FleetStore,
        orders: OrderDuty,
        on_configuration: Callable[[], None],
        pass_on: Callable[[RelayedChanges], None],
    ) -> None:
        self._state = state
        self._store = store
        self._updates = ViewUpdates(state, orders, on_configuration)
        self._pass_on = pass_on
        self._revision: int | None = None
        self._must_read = True
        self._relayed: deque[RelayedChanges] = deque(maxlen=MAX_RELAYED)
        self._news = Event()
        self._behind_since_s: float | None = None
        self._watching = True
        self._checking_version = False
        self._read_again = Event()
        self._pacer = WatchPacer()
        state.on_newer_version = self.note_newer_version
        state.on_store_changes = self.note_relayed

    def note_relayed(self, changes: RelayedChanges) -> None:
        """Take changes that a peer's watch returned."""
        self._relayed.append(changes)
        self._news.set()

    def note_newer_version(self, version: int) -> None:
        """Read the store if the watch does not bring a version that a peer has.

        A host that does not watch asks for all that its peers are ahead by.
        """
        if not self._checking_version and self._watching:
            self._checking_version = True
            gevent.spawn_later(WATCH_LAG_S, self._check_version, version)

    def _check_version(self, version: int) -> None:
        self._checking_version = False
        if self._state.version < version and not self._must_read:
            self._state.journal.event(
                "watch_behind", version=version, known=self._state.version
            )
            self._read_again.set()

    def run(self) -> None:
        """Follow the store for as long as the process runs."""
        delay_s, pause_s = RETRY_S, 0.0
        while True:
            try:
                self._hear_peers(pause_s)
                pause_s = 0.0
                self._step()
                delay_s = RETRY_S
            except CallInterrupted:
                self._must_read = True
            except HistoryLost as error:
                self._state.journal.failure("store_history_lost", error)
                self._must_read = True
            except StoreUnavailable as error:
                # Events may have been missed, and entries may lapse in an outage.
                self._must_read = True
                self._state.note_store_lost(error)
                pause_s = delay_s * self._state.rng.uniform(0.7, 1.3)
                delay_s = min(self._longest_pause_s(), delay_s * 2)
            except Exception:
                self._state.journal.unexpected("store_following_failed")
                self._must_read = True
                gevent.sleep(MAX_RETRY_S)

    def _longest_pause_s(self) -> float:
        """Return how long to wait at most before the store is asked again."""
        served = self._state.hosts.store_answers_a_peer(time.monotonic())
        return MAX_OWN_RETRY_S if served else MAX_RETRY_S

    def _hear_peers(self, duration_s: float) -> None:
        """Apply for a while what peers pass on that the store still answers."""
        until_s = time.monotonic() + duration_s
        while (left_s := until_s - time.monotonic()) > 0:
            self._news.clear()
            while self._relayed and self._revision is not None:
                self._apply_additions(self._relayed.popleft(), self._revision)
            self._news.wait(left_s)

    def _apply_additions(self, relayed: RelayedChanges, revision: int) -> None:
        """Apply changes that follow what is known, but for removals.

        Entries also lapse in an outage; removals wait for the host's own reading.
        """
        changes = self._decode_next(relayed, revision)
        if changes is None:
            return
        self._revision = changes.revision
        kept = tuple(e for e in changes.events if not isinstance(e, REMOVALS))
        self._state.view.note_relayed(changes.revision, time.monotonic())
        # They may have waited for a call to the store, so none counts as just made.
        self._updates.apply_events(kept, watched=False)

    def _step(self) -> None:
        now_s = time.monotonic()
        own_zone = self._state.settings.availability_zone
        if self._must_read or self._revision is None:
            self._read()
            return
        watching = self._state.hosts.watches_store(own_zone, now_s)
        if watching != self._watching:
            self._watching = watching
            self._state.journal.event(
                "store_watch", watching=watching, revision=self._revision
            )
        if watching:
            self._watch(self._revision)
        else:
            self._follow(self._revision)

    def _read(self) -> None:
        """Read all entries."""
        self._read_again.clear()
        asked_s = time.monotonic()
        changes = self._store.snapshot()
        self._state.note_store_answer(time.monotonic())
        # Its first page tells nothing of what changed during the calls for the others.
        self._note_told(changes.revision, asked_s)
        self._must_read = False
        self._updates.apply_snapshot(changes.events)

    def _watch(self, revision: int) -> None:
        """Wait for the next changes for as long as the view may be old."""
        self._pace()
        view_age_s = self._state.view.age_s(time.monotonic())
        limit_s = (
            self._state.settings.view_age_limit_s - self._state.hosts.propagation_lag_s
        )
        wait_s = max(MIN_WATCH_WAIT_S, limit_s - view_age_s - WATCH_MARGIN_S)
        self._apply_changes(revision, wait_s=wait_s, watched=True)

    def _pace(self) -> None:
        """Wait while changes come in quick succession."""
        gevent.sleep(self._pacer.next_call_delay_s(time.monotonic()))

    def _apply_changes(self, revision: int, *, wait_s: float, watched: bool) -> None:
        """Apply the next changes and pass them on to the hosts that do not watch.

        ``watched`` says that they are new, and not those that this host has missed.
        """
        changes = call_unless(
            self._read_again,
            partial(
                self._store.changes,
                after_revision=revision,
                wait_s=wait_s,
                timeout_s=wait_s + WATCH_MARGIN_S,
            ),
        )
        self._state.note_store_answer(time.monotonic())
        # What a host has missed and asks for, each of its peers may ask for as well.
        if watched and changes.revision != revision:
            self._pass_on(RelayedChanges(revision, changes.encoded))
        self._note_told(changes.revision, time.monotonic())
        self._updates.apply_events(changes.events, watched=watched)

    def _follow(self, revision: int) -> None:
        """Apply what peers pass on; ask the store if something was missed."""
        self._news.wait(FOLLOW_CHECK_S)
        self._news.clear()
        while self._relayed:
            revision = self._apply_relayed(self._relayed.popleft(), revision)
        now_s = time.monotonic()
        self._state.view.note_peer_confirmed(
            self._state.hosts.view_confirmed_s(revision)
        )
        view_age_s = self._state.view.age_s(now_s)
        view_is_old = view_age_s > self._state.settings.view_age_limit_s
        if view_is_old or self._behind(revision, now_s):
            self._behind_since_s = None
            self._state.journal.event(
                "behind_peers",
                revision=revision,
                newest=self._state.hosts.newest_revision(now_s),
                view_age_ms=int(view_age_s * 1_000),
            )
            self._pace()
            self._apply_changes(revision, wait_s=CATCH_UP_WAIT_S, watched=False)

    def _apply_relayed(self, relayed: RelayedChanges, revision: int) -> int:
        """Apply changes that follow what is known; return the revision reached."""
        changes = self._decode_next(relayed, revision)
        if changes is None:
            return revision
        self._revision = changes.revision
        self._state.view.note_relayed(changes.revision, time.monotonic())
        self._updates.apply_events(changes.events, watched=True)
        return changes.revision

    def _decode_next(
        self, relayed: RelayedChanges, revision: int
    ) -> StoreChanges | None:
        """Return the changes that follow a revision, or ``None`` if these do not."""
        if relayed.after_revision != revision:
            return None
        try:
            return self._store.decode_changes(relayed.encoded)
        except StoreUnavailable as error:
            # What it held is missed, and asked for as soon as a peer tells of it.
            self._state.journal.failure("relayed_changes_malformed", error)
            return None

    def _behind(self, revision: int, now_s: float) -> bool:
        """Return whether a peer has been ahead for longer than changes take."""
        if self._state.hosts.newest_revision(now_s) <= revision:
            self._behind_since_s = None
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        return now_s - self._behind_since_s >= FOLLOW_LAG_S

    def _note_told(self, revision: int, known_s: float) -> None:
        self._revision = revision
        self._state.view.note_store_confirmed(revision, known_s)
