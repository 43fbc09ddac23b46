"""The configuration in force on one node, and the loop that keeps it up to date."""

import math
import random
from collections.abc import Callable
from threading import Event

from persimmonyoke.errors import (
    InvariantViolation,
    PresetError,
    ProtocolError,
    StoreUnavailable,
)
from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import KeyValueStore, WatchCompacted, WatchNotice
from persimmonyoke.internal.presets.aside import run_in_thread_if_large
from persimmonyoke.internal.presets.model import Preset
from persimmonyoke.internal.presets.parser import parse_preset
from persimmonyoke.internal.presets.revision import Revision
from persimmonyoke.internal.presets.revision_log import RevisionLog

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""An accepted configuration has to be in force within 2 s after an outage ends."""

MIN_LOG_INTERVAL_S = 5.0
"""A store that stays down, or holds what can't be read, must not flood the log."""

Subscriber = Callable[[Revision, Preset], None]

log = part_logger("presets")


class ConfigurationView:
    """Hold the revision in force, which only moves to higher numbers."""

    def __init__(self) -> None:
        self._revision: Revision | None = None
        self._preset: Preset | None = None
        self._applied_s: float | None = None
        self._subscribers: list[Subscriber] = []

    @property
    def revision(self) -> Revision | None:
        """Return the revision in force, or ``None`` before the first one."""
        return self._revision

    @property
    def number(self) -> int:
        """Return the number of the revision in force, 0 before the first one."""
        return self._revision.number if self._revision else 0

    @property
    def preset(self) -> Preset | None:
        """Return the preset in force, or ``None`` before the first revision."""
        return self._preset

    @property
    def applied_s(self) -> float | None:
        """Return the monotonic time of the last change."""
        return self._applied_s

    def subscribe(self, subscriber: Subscriber) -> None:
        """Have a function called after each change, with what is in force then."""
        self._subscribers.append(subscriber)

    def offer(self, revision: Revision, *, now_s: float) -> bool:
        """Apply a revision if its number is higher; return whether it was applied.

        A revision whose active preset does not parse is refused: it can only come
        from a faulty peer or a newer version, and the one in force still works.
        """
        if revision.number <= self.number:
            self._check_write_id(revision)
            return False
        try:
            preset = run_in_thread_if_large(
                revision.presets, parse_preset, revision.active, revision.presets
            )
        except PresetError as error:
            log.error("revision {} is refused: {}", revision.number, error)
            return False
        # A higher revision may have been applied while this one was parsed.
        if revision.number <= self.number:
            return False
        self._apply(revision, preset, now_s)
        return True

    def _check_write_id(self, revision: Revision) -> None:
        """Check that a number stands for one document only."""
        current = self._revision
        if current is None or revision.number != current.number:
            return
        check_invariant(
            revision.write_id == current.write_id,
            Invariant.CONFIGURATION_NEVER_REVERTS,
            f"revision {revision.number} exists with two contents",
        )

    def _apply(self, revision: Revision, preset: Preset, now_s: float) -> None:
        check_invariant(
            revision.number > self.number,
            Invariant.CONFIGURATION_NEVER_REVERTS,
            f"revision {revision.number} after {self.number}",
        )
        self._revision = revision
        self._preset = preset
        self._applied_s = now_s
        log.info("revision {} in force: {}", revision.number, revision.active)
        for subscriber in tuple(self._subscribers):
            self._notify(subscriber, revision, preset)

    def _notify(
        self, subscriber: Subscriber, revision: Revision, preset: Preset
    ) -> None:
        try:
            subscriber(revision, preset)
        except InvariantViolation:
            # Raised only in tests and benchmarks, which have to see it.
            raise
        except Exception:
            # One faulty part must not keep the others on an old configuration.
            log.exception("a part failed to take revision {}", revision.number)


class _Follower:
    """Read the newest revision, then watch for later ones."""

    def __init__(
        self,
        revisions: RevisionLog,
        view: ConfigurationView,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._revisions = revisions
        self._view = view
        self._clock = clock
        self._rng = rng
        self._log = _RateLimitedLog(clock)

    def run(self, stop: Event) -> None:
        """Follow the revisions until ``stop`` is set."""
        from_revision = self._read_until_success(stop)
        if stop.is_set():
            return
        self._revisions.store.watch(
            self._revisions.prefix,
            from_revision=from_revision,
            on_event=lambda notice: self._handle_notice(notice, stop),
            stop=stop,
        )

    def _read_until_success(self, stop: Event) -> int:
        """Offer the newest revision; return the store revision to watch from.

        A newest revision that can't be read is not polled: what replaces or follows
        it arrives by the watch.
        """
        failures = 0
        while not stop.is_set():
            try:
                found = self._revisions.newest_item()
            except StoreUnavailable as error:
                failures += 1
                self._log.warning("newest revision can't be read: {}", error)
                ceiling_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 10))
                stop.wait(self._rng.uniform(MIN_BACKOFF_S, ceiling_s))
                continue
            if found is None:
                return 1
            try:
                revision = self._revisions.decode_newest(found)
            except ProtocolError as error:
                self._log.error("revision {} stays: {}", self._view.number, error)
            else:
                self._view.offer(revision, now_s=self._clock())
            return found.mod_revision + 1
        return 1

    def _handle_notice(self, notice: WatchNotice, stop: Event) -> None:
        if isinstance(notice, WatchCompacted):
            # Revisions may have been written among the events that are gone.
            self._read_until_success(stop)
            return
        if notice.key_value is None:
            if self._view.revision is None:
                # What was deleted may have hidden the newest readable revision.
                self._read_until_success(stop)
            return
        try:
            form = self._revisions.decode_form(notice.key_value)
        except ProtocolError as error:
            self._log.error("{} is not a revision: {}", notice.key, error)
            return
        # A header that replaces an old document changes nothing in force.
        if form.revision is not None:
            self._view.offer(form.revision, now_s=self._clock())


class _RateLimitedLog:
    """Log the failures of the loop, at most one line in ``MIN_LOG_INTERVAL_S``."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._logged_s = -math.inf

    def warning(self, message: str, *values: object) -> None:
        """Log a failure that is expected to pass."""
        if self._is_due():
            log.warning(message, *values)

    def error(self, message: str, *values: object) -> None:
        """Log a failure that an operator has to repair."""
        if self._is_due():
            log.error(message, *values)

    def _is_due(self) -> bool:
        now_s = self._clock()
        if now_s - self._logged_s < MIN_LOG_INTERVAL_S:
            return False
        self._logged_s = now_s
        return True


def follow_revisions(
    store: KeyValueStore,
    view: ConfigurationView,
    stop: Event,
    *,
    firm: str,
    clock: Callable[[], float],
    rng: random.Random | None = None,
) -> None:
    """Apply new revisions to a view at once; block until ``stop`` is set.

    ``clock`` is the monotonic clock. Outages of the store are outlasted.
    """
    revisions = RevisionLog(store, firm=firm)
    _Follower(revisions, view, clock, rng or random.Random()).run(stop)
