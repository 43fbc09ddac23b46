"""Configuration in force on one node and the loop that keeps it up to date."""

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
"""An accepted configuration must be in force within 2 s after an outage ends."""

MIN_LOG_INTERVAL_S = 5.0
"""A store that stays unavailable or holds unreadable values must not flood the log."""

Subscriber = Callable[[Revision, Preset], None]

log = part_logger("presets")


class ConfigurationView:
    """Hold the revision in force, whose number only increases."""

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
        """Register a function to call with revision and preset after each change."""
        self._subscribers.append(subscriber)

    def offer(self, revision: Revision, *, now_s: float) -> bool:
        """Apply a revision if its number is higher; return whether it was applied.

        A revision whose active preset does not parse is refused. It can only come from
        a faulty peer or a newer version, and the revision in force still works.
        """
        if revision.number <= self.number:
            self._check_write_id(revision)
            return False
        try:
            preset = run_in_thread_if_large(
                revision.presets, parse_preset, revision.active, revision.presets
            )
        except PresetError as error:
            log.error("revision {} refused: {}", revision.number, error)
            return False
        # A higher revision may have been applied while this one was parsed.
        if revision.number <= self.number:
            return False
        self._apply(revision, preset, now_s)
        return True

    def _check_write_id(self, revision: Revision) -> None:
        """Check that a revision number identifies a single document."""
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
            # Raised only in tests and benchmarks, where it must propagate.
            raise
        except Exception:
            # A failing subscriber must not keep the others on an old configuration.
            log.exception("a subscriber failed to apply revision {}", revision.number)


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

        A newest revision that can't be decoded is not read again, because the watch
        delivers its replacement or successor.
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
                self._log.error("keeping revision {}: {}", self._view.number, error)
            else:
                self._view.offer(revision, now_s=self._clock())
            return found.mod_revision + 1
        return 1

    def _handle_notice(self, notice: WatchNotice, stop: Event) -> None:
        if isinstance(notice, WatchCompacted):
            # The compacted events may have contained new revisions.
            self._read_until_success(stop)
            return
        if notice.key_value is None:
            if self._view.revision is None:
                # The deleted key may have hidden the newest readable revision.
                self._read_until_success(stop)
            return
        try:
            form = self._revisions.decode_form(notice.key_value)
        except ProtocolError as error:
            self._log.error("{} can't be decoded: {}", notice.key, error)
            return
        # A header that replaces an old document does not affect what is in force.
        if form.revision is not None:
            self._view.offer(form.revision, now_s=self._clock())


class _RateLimitedLog:
    """Log failures of the loop, at most one line every ``MIN_LOG_INTERVAL_S``."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._logged_s = -math.inf

    def warning(self, message: str, *values: object) -> None:
        """Log a failure that is expected to be temporary."""
        if self._is_due():
            log.warning(message, *values)

    def error(self, message: str, *values: object) -> None:
        """Log a failure that an operator has to fix."""
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
    """Apply new revisions to a view as they are stored; block until ``stop`` is set.

    ``clock`` is the monotonic clock. The loop continues after outages of the store.
    """
    revisions = RevisionLog(store, firm=firm)
    _Follower(revisions, view, clock, rng or random.Random()).run(stop)
