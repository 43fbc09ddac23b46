"""Append-only log of revisions in the key-value store."""

import itertools
import time
import uuid
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import gevent

from persimmonyoke.errors import (
    ProtocolError,
    StoreUnavailable,
)
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import (
    EXPECT_ABSENT,
    KeyValue,
    KeyValueStore,
    Purpose,
    WriteApplied,
    WriteConflict,
    WriteNotApplied,
    WriteUnknown,
)
from persimmonyoke.internal.presets.aside import run_in_thread_if_large
from persimmonyoke.internal.presets.changes import (
    Accepted,
    Change,
    Conflict,
    ProposeOutcome,
    Unsettled,
    change_refusal,
    changed_presets,
    check_author_and_reason,
)
from persimmonyoke.internal.presets.difference import revision_difference
from persimmonyoke.internal.presets.parser import check_presets
from persimmonyoke.internal.presets.retention import Pruner, Retention
from persimmonyoke.internal.presets.revision import (
    MAX_NUMBER,
    ChangeAction,
    Revision,
)
from persimmonyoke.internal.presets.stored_form import (
    RevisionHeader,
    StoredForm,
    decode_stored,
    encode_stored,
    header_of,
)

KEY_ROOT = "/persimmonyoke"
SETTLE_S = 3.0
"""How long a write that failed or has an unknown outcome is repeated before the
operator is told."""

SETTLE_PAUSE_S = 0.2
MAX_UNCHECKED_S = 60.0
"""A change that takes longer is checked against the newest revision. The limit is far
less than the time in which a number can be written, pruned and deleted."""

DEFAULT_HISTORY = 50
REVISIONS_PER_PAGE = 10
"""The keys of a page share all digits but the last one, so a page is one prefix."""


log = part_logger("presets")


class UnreadableNewest(ProtocolError):
    """Report that this version can't read the newest stored revision."""


@dataclass(frozen=True)
class UnreadableRevision:
    """Represent, in the history, a revision that can't be read."""

    number: int
    problem: str


HistoryEntry = RevisionHeader | UnreadableRevision


@dataclass
class _Attempt:
    """Hold one write of a revision while its outcome is being settled."""

    revision: Revision
    key: str
    blob: bytes
    started_s: float
    may_be_written: bool = field(default=False)


class RevisionLog:
    """Append revisions, each under a number that is accepted only once."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        firm: str,
        unix_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        settle_s: float = SETTLE_S,
        settle_pause_s: float = SETTLE_PAUSE_S,
        retention: Retention | None = None,
        run_later: Callable[[Callable[[], None]], object] = gevent.spawn,
    ) -> None:
        self._store = store.for_purpose(Purpose.CONFIG)
        self._firm = firm
        self._retention = retention or Retention()
        self._run_later = run_later
        self._pruner = Pruner(
            self._store, prefix=self.prefix, retention=self._retention
        )
        self._unix_clock = unix_clock
        self._clock = clock
        self._sleep = sleep
        self._settle_s = settle_s
        self._settle_pause_s = settle_pause_s

    @property
    def store(self) -> KeyValueStore:
        """Return the store, with its calls accounted to the configuration."""
        return self._store

    @property
    def firm(self) -> str:
        """Return the firm whose configuration this is."""
        return self._firm

    @property
    def prefix(self) -> str:
        """Return the key prefix of all revisions."""
        return f"{KEY_ROOT}/{self._firm}/config/"

    def key(self, number: int) -> str:
        """Return the key of a revision."""
        return f"{self.prefix}{number:010d}"

    def newest(self) -> Revision | None:
        """Return the newest revision.

        Raises ``StoreUnavailable``, and ``UnreadableNewest`` if it can't be read.
        """
        found = self.newest_item()
        return self.decode_newest(found) if found else None

    def newest_item(self) -> KeyValue | None:
        """Return the stored item of the newest revision; raise ``StoreUnavailable``."""
        found = self._store.list_prefix(self.prefix, limit=1, newest_first=True)
        return found[0] if found else None

    def decode_newest(self, item: KeyValue) -> Revision:
        """Decode the item of the newest revision; raise ``UnreadableNewest``."""
        try:
            return self.decode(item)
        except ProtocolError as error:
            raise UnreadableNewest(
                f"the newest stored revision, {item.key}, can't be read by this "
                f"program: {error}"
            ) from error

    def get(self, number: int) -> Revision | None:
        """Return the revision of a number, or ``None`` if there is none.

        Raises ``StoreUnavailable``, and ``ProtocolError`` if the document was pruned or
        can't be read.
        """
        found = self._store.get(self.key(number))
        return self.decode(found) if found else None

    def history(self, limit: int = DEFAULT_HISTORY) -> tuple[HistoryEntry, ...]:
        """Return the headers of the newest revisions, newest first.

        Raises ``StoreUnavailable``. Revisions are read in pages of 10, and their
        documents are not kept in memory.
        """
        if limit < 1:
            raise ValueError(f"limit is {limit}; accepted: 1 or more")
        return tuple(itertools.islice(self.entries(), limit))

    def entries(self) -> Iterator[HistoryEntry]:
        """Yield all headers, newest first, with one read for each 10 revisions.

        Raises ``StoreUnavailable``.
        """
        newest = self.newest_item()
        page = self._number(newest.key) // REVISIONS_PER_PAGE if newest else -1
        while page >= 0:
            found = self._store.list_prefix(
                f"{self.prefix}{page:09d}", newest_first=True
            )
            if not found:
                # Numbers have no gaps, so all lower ones are deleted.
                return
            yield from map(self._entry, found)
            page -= 1

    def find_write(self, write_id: str, *, limit: int) -> RevisionHeader | None:
        """Return the header with a write id among the ``limit`` newest, or ``None``.

        Raises ``StoreUnavailable``.
        """
        for entry in itertools.islice(self.entries(), limit):
            if isinstance(entry, RevisionHeader) and entry.write_id == write_id:
                return entry
        return None

    def decode(self, item: KeyValue) -> Revision:
        """Return the revision of a stored item; raise ``ProtocolError``."""
        revision = self.decode_form(item).revision
        if revision is None:
            raise ProtocolError(f"of {item.key} only the header is kept")
        return revision

    def decode_form(self, item: KeyValue, *, with_document: bool = True) -> StoredForm:
        """Decode a stored item; raise ``ProtocolError``."""
        form = decode_stored(item.value, with_document=with_document)
        header = form.header
        if item.key != self.key(header.number) or header.firm != self._firm:
            raise ProtocolError(
                f"{item.key} holds revision {header.number} of {header.firm}"
            )
        return form

    def _entry(self, item: KeyValue) -> HistoryEntry:
        try:
            return self.decode_form(item, with_document=False).header
        except ProtocolError as error:
            return UnreadableRevision(self._number(item.key), str(error))

    def _number(self, key: str) -> int:
        digits = key.removeprefix(self.prefix)
        if not (digits.isascii() and digits.isdigit() and int(digits) <= MAX_NUMBER):
            raise ProtocolError(f"{key} is not the key of a revision")
        return int(digits)

    def propose(self, change: Change, *, base_number: int) -> ProposeOutcome:
        """Append a revision that applies a change to the revision ``base_number``.

        Base 0 is the empty configuration. Raises ``PresetError`` if a resulting preset
        is invalid, and ``StoreUnavailable`` if nothing was written.
        """
        current = self.newest()
        if (current.number if current else 0) != base_number:
            return self._conflict(base_number, current)
        presets, active = changed_presets(change, current)
        return self._append(change, presets, active, current)

    def bootstrap(
        self, presets: Mapping[str, str], *, active: str, author: str, reason: str
    ) -> ProposeOutcome:
        """Write the first revision with several presets at once.

        Raises ``PresetError`` and ``StoreUnavailable``; returns a ``Conflict`` if a
        revision exists already.
        """
        current = self.newest()
        if current is not None:
            return self._conflict(0, current)
        if active not in presets:
            accepted = ", ".join(sorted(presets))
            raise change_refusal("active", f"there is no preset {active!r}", accepted)
        change = Change(ChangeAction.CREATE, active, author, reason)
        return self._append(change, presets, active, None)

    def _append(
        self,
        change: Change,
        presets: Mapping[str, str],
        active: str,
        base: Revision | None,
    ) -> ProposeOutcome:
        started_s = self._clock()
        check_author_and_reason(change)
        run_in_thread_if_large(presets, check_presets, presets)
        revision = Revision(
            number=base.number + 1 if base else 1,
            firm=self._firm,
            author=change.author,
            reason=change.reason,
            created_unix_s=self._unix_clock(),
            write_id=uuid.uuid4().hex,
            action=change.action,
            preset_name=change.preset,
            active=active,
            presets=MappingProxyType(dict(presets)),
        )
        try:
            blob = run_in_thread_if_large(presets, _encoded, revision, base)
        except ValueError as error:
            raise change_refusal("presets", str(error), "smaller presets") from error
        key = self.key(revision.number)
        outcome = self._write(_Attempt(revision, key, blob, started_s))
        if isinstance(outcome, Accepted):
            # Pruning runs later, because a slow store must not delay the answer and the
            # push to the peers.
            self._run_later(lambda: self._pruner.prune_after(revision.number))
        return outcome

    def _write(self, attempt: _Attempt) -> ProposeOutcome:
        """Create the key, repeating a write that failed or has an unknown outcome.

        A repeated create can't write twice: if the first one took effect, the second
        one finds the key, and the write id identifies its writer.
        """
        deadline_s = self._clock() + self._settle_s
        while True:
            outcome = self._store.compare_and_swap(
                attempt.key, attempt.blob, expected_revision=EXPECT_ABSENT
            )
            match outcome:
                case WriteApplied():
                    return self._applied(attempt)
                case WriteConflict(current=KeyValue() as found):
                    return self._resolve_conflict(attempt, found)
                case WriteNotApplied(reason=reason):
                    log.warning("revision not written: {}", reason)
                case WriteUnknown(reason=reason):
                    attempt.may_be_written = True
                    log.warning("outcome of writing a revision is unknown: {}", reason)
                case _:
                    # The key was deleted after the comparison.
                    raise ProtocolError(f"{attempt.key} conflicts but is absent")
            if self._clock() + self._settle_pause_s > deadline_s:
                break
            self._sleep(self._settle_pause_s)
        if attempt.may_be_written:
            return Unsettled(attempt.revision)
        raise StoreUnavailable("the revision was not written")

    def _applied(self, attempt: _Attempt) -> ProposeOutcome:
        """Accept a created key unless its number had been deleted before.

        A process that was suspended for days between reading the base and writing can
        create a number again that was written and deleted in the meantime.
        """
        if self._clock() - attempt.started_s <= MAX_UNCHECKED_S:
            return Accepted(attempt.revision)
        number = attempt.revision.number
        try:
            newest = self.newest()
        except (StoreUnavailable, ProtocolError) as error:
            log.warning("newest revision can't be read: {}", error)
            return Unsettled(attempt.revision)
        if newest is not None and newest.number >= number + self._retention.documents:
            return self._conflict(number - 1, newest)
        return Accepted(attempt.revision)

    def _resolve_conflict(self, attempt: _Attempt, found: KeyValue) -> ProposeOutcome:
        form = self.decode_form(found)
        if form.header.write_id == attempt.revision.write_id:
            return Accepted(attempt.revision)
        # After a long pause only the header of the other change may be left.
        current = form.revision or self.newest()
        return self._conflict(attempt.revision.number - 1, current)

    def _conflict(self, base_number: int, current: Revision | None) -> Conflict:
        base = None
        if base_number:
            try:
                base = self.get(base_number)
            except (StoreUnavailable, ProtocolError) as error:
                log.warning("base revision of a conflict can't be read: {}", error)
                problem = f"revision {base_number} can't be compared: {error}"
                return Conflict(current, (problem,))
        return Conflict(current, revision_difference(base, current))


def _encoded(revision: Revision, base: Revision | None) -> bytes:
    return encode_stored(revision, header_of(revision, base))
