"""Replication of the store's entries by snapshots, watches and changes from peers."""

import time
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial

import gevent
from gevent.event import Event

from persimmonyoke.errors import HistoryLost, StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import (
    CATCH_UP_WAIT_S,
    FleetStore,
    HostRemoved,
    RelayedChanges,
    ReplicaRemoved,
    StoreChanges,
)
from persimmonyoke.internal.fleet.model import HostEntry
from persimmonyoke.internal.fleet.recent_changes import RecentChanges
from persimmonyoke.internal.fleet.store_revision import era_of, number_of
from persimmonyoke.internal.fleet.term import ClockReading
from persimmonyoke.internal.fleet.watch_pacing import WatchPacer
from persimmonyoke.internal.gateway.clocks import (
    boot_time_s,
    logged_ms,
    read_clocks,
)
from persimmonyoke.internal.gateway.interruptible import (
    CallInterrupted,
    call_interruptible,
)
from persimmonyoke.internal.gateway.orders import StageOrderController
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.view_confirmation import note_confirmed_by_peers
from persimmonyoke.internal.gateway.view_updates import ViewUpdater

WATCH_MARGIN_S = 0.4
"""Time beyond the wait of a watch after which its connection counts as dead.

Answers take 4 ms, and up to 0.25 s while the store is slow.
"""

MIN_WATCH_WAIT_S = 0.1

LATE_READ_S = 0.2
"""Time after a watch's time-out in which a busy host still reads its answer."""

WATCH_LAG_S = 0.4
"""Time by which this host's watch may lag behind that of a peer with a slow store."""

FOLLOW_CHECK_S = 0.2
"""Interval at which a host that does not watch checks if it is behind its peers."""

FOLLOW_LAG_S = 0.3
"""Time for which a peer may be ahead before this host queries the store itself.

A datagram with the changes arrives within a few milliseconds, the next one in 0.25 s.
"""

REQUEST_AGE_S = 0.5
"""Age of the view at which a host that the store does not answer asks a peer."""

REQUEST_INTERVAL_S = 0.2
"""Shortest interval of such requests, of which some are lost."""

MAX_RELAYED_CHANGES = 32
"""Changes from peers queued to be applied; when full, the oldest are dropped."""

REMOVALS = (HostRemoved, ReplicaRemoved)

RETRY_S = 0.15
"""First pause before a retry; it is doubled after each failure."""

MAX_RETRY_S = 0.4
"""Longest pause between retries while the store does not answer any host.

The grace period of missing replicas starts with the first answer, which may come later
than the return of the store by as much as this pause.
"""

MAX_ISOLATED_RETRY_S = 1.2
"""Longest pause while the store answers peers, which forward the changes."""


class StoreFollower:
    """Keep the state of this process in sync with the store.

    A single task reads, watches and applies, so that older entries never overwrite
    newer ones.
    """

    def __init__(
        self,
        state: GatewayState,
        store: FleetStore,
        orders: StageOrderController,
        on_configuration: Callable[[], None],
        forward_changes: Callable[[RelayedChanges], None],
        request_changes: Callable[[HostEntry, int], None],
    ) -> None:
        self._state = state
        self._store = store
        self._orders = orders
        self._updates = ViewUpdater(state, orders, on_configuration)
        self._forward_changes = forward_changes
        self._request_changes = request_changes
        self._revision: int | None = None
        self._needs_snapshot = True
        self._relayed: deque[RelayedChanges] = deque(maxlen=MAX_RELAYED_CHANGES)
        self._changes_arrived = Event()
        self.recent = RecentChanges()
        self._confirmation_wanted = False
        self._behind_since_s: float | None = None
        self._asked_s = float("-inf")
        self._unanswered = False
        self._watching = True
        self._checking_version = False
        self._snapshot_requested = Event()
        self._pacer = WatchPacer()
        self._own_zone = state.settings.availability_zone
        state.on_newer_version = self.note_newer_version
        store.era.subscribe(self.note_era)
        state.on_store_changes = self.note_relayed
        state.want_confirmation = self.want_confirmation

    def note_relayed(self, changes: RelayedChanges) -> None:
        """Queue changes that a peer's watch returned."""
        self._unanswered = False
        self._relayed.append(changes)
        self._changes_arrived.set()

    def want_confirmation(self) -> None:
        """Ask a peer soon whether this host's view is the latest."""
        self._confirmation_wanted = True
        self._changes_arrived.set()

    def note_era(self, previous: int, era: int) -> None:
        """Read everything again if the store came back from a copy."""
        view = self._state.view.revision
        self._state.journal.event(
            "store_era", era=era, previous=previous, revision=number_of(view)
        )
        self._state.metrics.store_era.set(era)
        self._orders.note_era(era)
        if previous:
            self._needs_snapshot = True
            self._snapshot_requested.set()
            self._changes_arrived.set()

    def note_newer_version(self, version: int) -> None:
        """Schedule a snapshot in case the watch does not deliver a peer's version.

        Only for a host that watches; others request all changes that they miss.
        """
        if not self._checking_version and self._watching:
            self._checking_version = True
            gevent.spawn_later(WATCH_LAG_S, self._check_version, version)

    def _check_version(self, version: int) -> None:
        self._checking_version = False
        if self._state.version < version and not self._needs_snapshot:
            self._state.journal.event(
                "watch_behind", version=version, known=self._state.version
            )
            self._snapshot_requested.set()

    def run(self) -> None:
        """Follow the store for the lifetime of the process."""
        delay_s, pause_s = RETRY_S, 0.0
        while True:
            try:
                self._apply_peer_additions(pause_s)
                pause_s = 0.0
                self._step()
                delay_s = RETRY_S
            except CallInterrupted:
                self._needs_snapshot = True
            except HistoryLost as error:
                self._state.journal.failure("store_history_lost", error)
                self._needs_snapshot = True
            except StoreUnavailable as error:
                # Events may have been missed, and entries may expire during an outage.
                self._needs_snapshot = True
                self._state.note_store_lost(error)
                pause_s = delay_s * self._state.rng.uniform(0.7, 1.3)
                delay_s = min(self._max_retry_s(), delay_s * 2)
            except Exception:
                self._state.journal.unexpected("store_following_failed")
                self._needs_snapshot = True
                gevent.sleep(MAX_RETRY_S)

    def _max_retry_s(self) -> float:
        """Return the longest pause before the next attempt to reach the store."""
        served = self._state.hosts.store_answers_a_peer(time.monotonic())
        return MAX_ISOLATED_RETRY_S if served else MAX_RETRY_S

    def _apply_peer_additions(self, duration_s: float) -> None:
        """Apply additions from peers that still reach the store, for a while."""
        until_s = time.monotonic() + duration_s
        while (left_s := until_s - time.monotonic()) > 0:
            self._changes_arrived.clear()
            while self._relayed and self._revision is not None:
                self._apply_additions(self._relayed.popleft(), self._revision)
            if self._revision is not None:
                self._keep_up_with_peers(self._revision)
            self._changes_arrived.wait(min(left_s, FOLLOW_CHECK_S))

    def _keep_up_with_peers(self, revision: int) -> None:
        """Note what peers confirm; ask one for what this host has missed."""
        now_s = time.monotonic()
        note_confirmed_by_peers(self._state)
        outdated_s = boot_time_s() - self._state.view.current_boot_s
        is_behind = self._behind(revision, now_s) and outdated_s > REQUEST_AGE_S
        if not is_behind and not self._confirmation_wanted:
            return
        peers = self._state.hosts.peers_to_ask(revision, now_s)
        if not peers or now_s - self._asked_s < REQUEST_INTERVAL_S:
            return
        self._confirmation_wanted, self._asked_s = False, now_s
        # A peer that has not answered may be as unable to as others of its zone.
        asked = peers if self._unanswered else _nearest(peers, self._own_zone)
        peer, self._unanswered = self._state.rng.choice(asked), True
        self._log_behind(revision, now_s, asked=peer.name)
        self._request_changes(peer, revision)

    def _apply_additions(self, relayed: RelayedChanges, revision: int) -> None:
        """Apply consecutive changes except removals.

        Entries also expire in an outage, so removals wait for this host's own snapshot.
        """
        changes = self._decode_next(relayed, revision)
        if changes is None:
            return
        self._revision = changes.revision
        kept = tuple(e for e in changes.events if not isinstance(e, REMOVALS))
        self._note_relayed(changes, relayed)
        # They may have been queued during a store call and are not necessarily recent.
        self._updates.apply_events(kept, watched=False)

    def _note_relayed(self, changes: StoreChanges, relayed: RelayedChanges) -> None:
        view, now_s = self._state.view, time.monotonic()
        self.recent.note(relayed.after_revision, changes.revision, relayed.encoded)
        if relayed.is_recent:
            boot_s = relayed.current_boot_s
            view.note_relayed(changes.revision, now_s, current_boot_s=boot_s)
        else:
            view.revision = changes.revision

    def _step(self) -> None:
        now_s = time.monotonic()
        if self._needs_snapshot or self._revision is None:
            self._read_snapshot()
            return
        watching = self._state.hosts.watches_store(self._own_zone, now_s)
        if watching != self._watching:
            self._watching = watching
            self._state.journal.event(
                "store_watch", watching=watching, revision=self._revision
            )
        if watching:
            self._watch(self._revision)
        else:
            self._follow(self._revision)

    def _read_snapshot(self) -> None:
        """Read all entries and replace the view with them."""
        self._snapshot_requested.clear()
        asked = read_clocks()
        changes = self._store.snapshot()
        self._state.note_store_answer(time.monotonic())
        # The first page does not reflect changes made while later pages are read.
        self.recent.note_entries(changes)
        self._note_store_revision(changes.revision, asked)
        self._needs_snapshot = False
        self._updates.apply_snapshot(changes.events)

    def _watch(self, revision: int) -> None:
        """Wait for the next changes, at most until the view would be too old."""
        self._pace()
        view_age_s = self._state.view.age_s(time.monotonic())
        limit_s = (
            self._state.settings.view_age_limit_s - self._state.hosts.propagation_lag_s
        )
        wait_s = max(MIN_WATCH_WAIT_S, limit_s - view_age_s - WATCH_MARGIN_S)
        self._apply_changes(revision, wait_s=wait_s, watched=True)

    def _pace(self) -> None:
        """Limit the rate of watch calls during bursts of changes."""
        gevent.sleep(self._pacer.next_call_delay_s(time.monotonic()))

    def _apply_changes(self, revision: int, *, wait_s: float, watched: bool) -> None:
        """Apply the next changes and forward them to the hosts that do not watch.

        ``watched`` means that the changes are recent, not ones this host has missed.
        """
        asked, timeout_s = read_clocks(), wait_s + WATCH_MARGIN_S
        changes = call_interruptible(
            self._snapshot_requested,
            partial(
                self._store.changes,
                after_revision=revision,
                wait_s=wait_s,
                timeout_s=timeout_s,
            ),
        )
        answered = read_clocks()
        self._state.note_store_answer(answered.steady_s)
        # A host that stood still reads an answer that the store gave long before.
        late = answered.elapsed_s(asked) > timeout_s + LATE_READ_S
        # Missed changes are not forwarded: peers that miss them request them as well.
        if watched and not late and changes.revision != revision:
            self._forward_changes(RelayedChanges(revision, changes.encoded))
        self.recent.note(revision, changes.revision, changes.encoded)
        self._note_store_revision(changes.revision, asked if late else answered)
        self._updates.apply_events(changes.events, watched=watched)

    def _follow(self, revision: int) -> None:
        """Apply changes forwarded by peers; query the store if some were missed."""
        self._changes_arrived.wait(FOLLOW_CHECK_S)
        self._changes_arrived.clear()
        while self._relayed:
            revision = self._apply_relayed(self._relayed.popleft(), revision)
        now_s = time.monotonic()
        note_confirmed_by_peers(self._state)
        view_age_s = self._state.view.age_s(now_s)
        view_is_old = view_age_s > self._state.settings.view_age_limit_s
        if view_is_old or self._behind(revision, now_s):
            self._behind_since_s = None
            self._log_behind(revision, now_s, asked="store")
            self._pace()
            self._apply_changes(revision, wait_s=CATCH_UP_WAIT_S, watched=False)

    def _apply_relayed(self, relayed: RelayedChanges, revision: int) -> int:
        """Apply consecutive changes; return the revision reached."""
        changes = self._decode_next(relayed, revision)
        if changes is None:
            return revision
        self._revision = changes.revision
        self._note_relayed(changes, relayed)
        self._updates.apply_events(changes.events, watched=True)
        return changes.revision

    def _decode_next(
        self, relayed: RelayedChanges, revision: int
    ) -> StoreChanges | None:
        """Decode changes; return ``None`` if they do not follow the revision."""
        in_era = era_of(relayed.after_revision) == self._store.era.current
        if relayed.after_revision != revision or not in_era:
            return None
        try:
            return self._store.decode_changes(relayed.encoded)
        except StoreUnavailable as error:
            # The changes count as missed; they are requested once a peer reports them.
            self._state.journal.failure("relayed_changes_malformed", error)
            return None

    def _log_behind(self, revision: int, now_s: float, *, asked: str) -> None:
        state = self._state
        state.journal.event(
            "behind_peers",
            asked=asked,
            revision=number_of(revision),
            newest=number_of(state.hosts.newest_revision(now_s)),
            view_age_ms=int(state.view.age_s(now_s) * 1_000),
            outdated_ms=logged_ms(boot_time_s() - state.view.current_boot_s),
        )

    def _behind(self, revision: int, now_s: float) -> bool:
        """Return whether a peer has been ahead for longer than forwarding takes."""
        if self._state.hosts.newest_revision(now_s) <= revision:
            self._behind_since_s = None
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        return now_s - self._behind_since_s >= FOLLOW_LAG_S

    def _note_store_revision(self, revision: int, known: ClockReading) -> None:
        self._revision = revision
        self._state.view.note_store_confirmed(
            revision, known.steady_s, current_boot_s=known.boot_s
        )


def _nearest(peers: Sequence[HostEntry], own_zone: str) -> Sequence[HostEntry]:
    """Return the peers of the own availability zone, or all if there are none."""
    near = [peer for peer in peers if peer.availability_zone == own_zone]
    return near or peers
