"""Log of revisions in the key-value service: propose, newest and history."""

import time
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from persimmonyoke.errors import (
    Fault,
    PresetError,
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
from persimmonyoke.internal.presets.aside import run_aside
from persimmonyoke.internal.presets.difference import revision_difference
from persimmonyoke.internal.presets.parser import check_presets
from persimmonyoke.internal.presets.revision import (
    MAX_AUTHOR_CHARACTERS,
    MAX_REASON_CHARACTERS,
    ChangeAction,
    Revision,
    decode_revision,
    encode_revision,
)

KEY_ROOT = "/persimmonyoke"
SETTLE_S = 3.0
"""How long a lost answer is settled before the operator is told that it is unknown."""

SETTLE_PAUSE_S = 0.2
DEFAULT_HISTORY = 50

log = part_logger("presets")


@dataclass(frozen=True)
class Change:
    """Carry what an operator asks for; ``text`` is the TOML of a create or edit."""

    action: ChangeAction
    preset: str
    author: str
    reason: str
    text: str | None = None


@dataclass(frozen=True)
class Accepted:
    """Say that the revision is stored and will be in force everywhere."""

    revision: Revision


@dataclass(frozen=True)
class Conflict:
    """Say that another change came first; nothing was written.

    ``difference`` shows what changed since the operator's base.
    """

    current: Revision | None
    difference: tuple[str, ...]


@dataclass(frozen=True)
class Unsettled:
    """Say that the store did not tell whether the revision was stored."""

    revision: Revision


ProposeOutcome = Accepted | Conflict | Unsettled


@dataclass(frozen=True)
class StoredRevision:
    """Hold a revision and the store revision of its key."""

    revision: Revision
    store_revision: int


@dataclass
class _Attempt:
    """Hold one write of a revision while its outcome is being settled."""

    revision: Revision
    key: str
    blob: bytes
    may_be_written: bool = field(default=False)


class RevisionLog:
    """Append revisions, each under its own number that is created only once."""

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
    ) -> None:
        self._store = store.for_purpose(Purpose.CONFIG)
        self._firm = firm
        self._unix_clock = unix_clock
        self._clock = clock
        self._sleep = sleep
        self._settle_s = settle_s
        self._settle_pause_s = settle_pause_s

    @property
    def store(self) -> KeyValueStore:
        """Return the store, with its calls counted for the configuration."""
        return self._store

    @property
    def firm(self) -> str:
        """Return the firm whose configuration this is."""
        return self._firm

    @property
    def prefix(self) -> str:
        """Return the prefix of the keys of all revisions."""
        return f"{KEY_ROOT}/{self._firm}/config/"

    def key(self, number: int) -> str:
        """Return the key of a revision."""
        return f"{self.prefix}{number:010d}"

    def newest(self) -> Revision | None:
        """Return the newest revision; raise ``StoreUnavailable``."""
        stored = self.newest_stored()
        return stored.revision if stored else None

    def newest_stored(self) -> StoredRevision | None:
        """Return the newest revision with its store revision.

        Raises ``StoreUnavailable``, and ``ProtocolError`` if it is unreadable.
        """
        found = self._store.list_prefix(self.prefix, limit=1, newest_first=True)
        if not found:
            return None
        return StoredRevision(self.decode(found[0]), found[0].mod_revision)

    def get(self, number: int) -> Revision | None:
        """Return the revision of a number, or ``None``; raise ``StoreUnavailable``."""
        found = self._store.get(self.key(number))
        return self.decode(found) if found else None

    def history(self, limit: int = DEFAULT_HISTORY) -> tuple[Revision, ...]:
        """Return the newest revisions, newest first; raise ``StoreUnavailable``."""
        if limit < 1:
            raise ValueError(f"limit is {limit}; accepted: 1 or more")
        found = self._store.list_prefix(self.prefix, limit=limit, newest_first=True)
        return tuple(self.decode(item) for item in found)

    def decode(self, item: KeyValue) -> Revision:
        """Return the revision of a stored key; raise ``ProtocolError``."""
        revision = decode_revision(item.value)
        if item.key != self.key(revision.number) or revision.firm != self._firm:
            raise ProtocolError(
                f"{item.key} holds revision {revision.number} of {revision.firm}"
            )
        return revision

    def propose(self, change: Change, *, base_number: int) -> ProposeOutcome:
        """Append a revision that applies a change to the revision ``base_number``.

        Base 0 is the empty configuration. Raises ``PresetError`` if a preset of the
        result has a fault, and ``StoreUnavailable`` if nothing was written.
        """
        current = self.newest()
        if (current.number if current else 0) != base_number:
            return self._conflict(base_number, current)
        presets, active = _changed_presets(change, current)
        return self._append(change, presets, active, base_number)

    def bootstrap(
        self, presets: Mapping[str, str], *, active: str, author: str, reason: str
    ) -> ProposeOutcome:
        """Write the first revision with several presets at once.

        Raises ``PresetError`` and ``StoreUnavailable``; it is a ``Conflict`` if there
        is a revision already.
        """
        current = self.newest()
        if current is not None:
            return self._conflict(0, current)
        if active not in presets:
            accepted = ", ".join(sorted(presets))
            raise _refusal("active", f"there is no preset {active!r}", accepted)
        change = Change(ChangeAction.CREATE, active, author, reason)
        return self._append(change, presets, active, 0)

    def _append(
        self,
        change: Change,
        presets: Mapping[str, str],
        active: str,
        base_number: int,
    ) -> ProposeOutcome:
        _check_author_and_reason(change)
        run_aside(presets, check_presets, presets)
        revision = Revision(
            number=base_number + 1,
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
            blob = encode_revision(revision)
        except ValueError as error:
            raise _refusal("presets", str(error), "smaller presets") from error
        return self._write(_Attempt(revision, self.key(revision.number), blob))

    def _write(self, attempt: _Attempt) -> ProposeOutcome:
        """Create the key, again while the answer is lost.

        A repeated create can't write twice: if the first one took effect, the second
        one finds the key, and the write id shows whose it is.
        """
        deadline_s = self._clock() + self._settle_s
        while True:
            outcome = self._store.compare_and_swap(
                attempt.key, attempt.blob, expected_revision=EXPECT_ABSENT
            )
            match outcome:
                case WriteApplied():
                    return Accepted(attempt.revision)
                case WriteConflict(current=KeyValue() as found):
                    return self._settled_by(attempt, found)
                case WriteNotApplied(reason=reason):
                    log.warning("revision was not written: {}", reason)
                case WriteUnknown(reason=reason):
                    attempt.may_be_written = True
                    log.warning("outcome of a revision is unknown: {}", reason)
                case _:
                    # The key was deleted between the comparison and now.
                    raise ProtocolError(f"{attempt.key} conflicts but is absent")
            if self._clock() + self._settle_pause_s > deadline_s:
                break
            self._sleep(self._settle_pause_s)
        if attempt.may_be_written:
            return Unsettled(attempt.revision)
        raise StoreUnavailable("the revision was not written")

    def _settled_by(self, attempt: _Attempt, found: KeyValue) -> ProposeOutcome:
        stored = self.decode(found)
        if stored.write_id == attempt.revision.write_id:
            return Accepted(stored)
        return self._conflict(attempt.revision.number - 1, stored)

    def _conflict(self, base_number: int, current: Revision | None) -> Conflict:
        base = None
        if base_number:
            try:
                base = self.get(base_number)
            except (StoreUnavailable, ProtocolError) as error:
                log.warning("base of a conflict can't be read: {}", error)
        return Conflict(current, revision_difference(base, current))


def _changed_presets(
    change: Change, current: Revision | None
) -> tuple[dict[str, str], str]:
    """Return the presets and the active one after a change; raise ``PresetError``."""
    presets = dict(current.presets) if current else {}
    exists = change.preset in presets
    if exists == (change.action is ChangeAction.CREATE):
        names = ", ".join(sorted(presets)) or "none"
        problem = "exists already" if exists else "does not exist"
        accepted = f"a new name; existing: {names}" if exists else f"one of: {names}"
        raise _refusal("preset", f"{change.preset!r} {problem}", accepted)
    if change.action is ChangeAction.CHOOSE:
        if change.text is not None:
            raise _refusal("text", "is set", "no text for choose")
        return presets, change.preset
    if change.text is None:
        raise _refusal("text", "missing", "the TOML text of the preset")
    presets[change.preset] = change.text
    return presets, current.active if current else change.preset


def _check_author_and_reason(change: Change) -> None:
    for key, text, limit in (
        ("author", change.author, MAX_AUTHOR_CHARACTERS),
        ("reason", change.reason, MAX_REASON_CHARACTERS),
    ):
        if not text.strip() or len(text) > limit:
            problem = f"has {len(text)} characters"
            raise _refusal(key, problem, f"1 to {limit} characters")


def _refusal(key: str, problem: str, accepted: str) -> PresetError:
    return PresetError("change", (Fault(key, problem, accepted),))
