"""Interface of the key-value service and the outcomes of its calls."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from threading import Event

EXPECT_ABSENT = 0
"""Value of ``expected_revision`` that creates a key only if it is absent."""

MAX_VALUE_BYTES = 1_000_000
"""Size limit of the key-value service."""


class Purpose(StrEnum):
    """List the purposes that share the call rate of the key-value service."""

    CONFIG = "config"
    CLAIMS = "claims"
    AUTHORITY = "authority"
    OTHER = "other"


@dataclass(frozen=True)
class KeyValue:
    """Hold a key's value and the store revisions of its first and last write."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int
    lease_id: int = 0


@dataclass(frozen=True)
class WriteApplied:
    """Report that the write took effect at this store revision."""

    revision: int


@dataclass(frozen=True)
class WriteConflict:
    """Report that the key was not at the expected revision; nothing was written."""

    current: KeyValue | None


@dataclass(frozen=True)
class WriteUnknown:
    """Report that the write may have taken effect, or may still do so."""

    reason: str


@dataclass(frozen=True)
class WriteNotApplied(WriteUnknown):
    """Report that the write did not and will not take effect.

    The connection could not be opened, the budget refused the call, or the service
    rejected it. This is a subclass of ``WriteUnknown``, so that code that doesn't
    distinguish the two takes the safe branch.
    """


WriteOutcome = WriteApplied | WriteConflict | WriteUnknown


@dataclass(frozen=True)
class WatchEvent:
    """Report a write, or a deletion if ``key_value`` is ``None``."""

    key: str
    key_value: KeyValue | None
    revision: int


@dataclass(frozen=True)
class WatchCompacted:
    """Report that events before this revision are gone; state must be read again."""

    compact_revision: int


WatchNotice = WatchEvent | WatchCompacted


class KeyValueStore(ABC):
    """Read, compare-and-swap, lease and watch keys of the key-value service.

    Reads and lease calls raise ``StoreUnavailable``. A write whose answer was lost
    returns ``WriteUnknown`` instead of raising, so that it isn't taken for a failed
    write. A value above ``MAX_VALUE_BYTES`` raises ``ValueError``.
    """

    def for_purpose(self, purpose: Purpose) -> "KeyValueStore":
        """Return this store with its calls counted towards a purpose."""
        return self

    @abstractmethod
    def get(self, key: str) -> KeyValue | None:
        """Return the key's value, or ``None`` if the key is absent."""

    @abstractmethod
    def list_prefix(
        self, prefix: str, *, limit: int = 0, newest_first: bool = False
    ) -> tuple[KeyValue, ...]:
        """Return the keys under a prefix in key order; limit 0 returns all."""

    @abstractmethod
    def compare_and_swap(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = 0
    ) -> WriteOutcome:
        """Write the key if its last write has the expected revision."""

    @abstractmethod
    def delete(self, key: str, *, expected_revision: int) -> WriteOutcome:
        """Delete the key if its last write has the expected revision."""

    @abstractmethod
    def grant_lease(self, *, ttl_s: float) -> int:
        """Create a lease and return its id."""

    @abstractmethod
    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds, 0 if it lapsed."""

    @abstractmethod
    def revoke(self, lease_id: int) -> None:
        """End a lease; its keys are deleted."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
        on_event: Callable[[WatchNotice], None],
        stop: Event,
    ) -> None:
        """Report each write under a prefix until ``stop`` is set.

        Blocks and reconnects as needed. A revision is never skipped without a
        ``WatchCompacted``.
        """
