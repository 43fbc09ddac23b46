"""Claims, stored answers and the outcomes of a claim."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from persimmonyoke.errors import ErrorKind


@dataclass(frozen=True)
class StoredAnswer:
    """Hold the answer of a call that ran.

    ``body`` is ``None`` if it was over the size limit; its digest is always kept.
    """

    status: int
    content_type: str
    body: bytes | None
    body_digest: bytes

    @classmethod
    def of(cls, status: int, content_type: str, body: bytes) -> "StoredAnswer":
        """Return the answer with the digest of its body."""
        return cls(status, content_type, body, hashlib.sha256(body).digest())

    def agrees_with(self, other: "StoredAnswer | None") -> bool:
        """Return whether both are the answer of one run, with or without the body."""
        if other is None:
            return False
        return (self.status, self.body_digest) == (other.status, other.body_digest)


@dataclass(frozen=True)
class Claim:
    """Hold the right to dispatch one call once.

    ``attempt`` is drawn for each call of ``ClaimService.claim``; the shard's document
    names the attempt that holds the key.
    """

    workspace: str
    key: str
    shard: str
    entry_key: bytes
    attempt: bytes
    body_digest: bytes


@dataclass(frozen=True)
class ClaimGranted:
    """Say that the claim is committed, so the call may be dispatched."""

    claim: Claim


@dataclass(frozen=True)
class ClaimReplay:
    """Say that the call ran before, and return its answer."""

    answer: StoredAnswer


@dataclass(frozen=True)
class ClaimInProgress:
    """Say that another attempt of a live host holds the key."""

    host: str


@dataclass(frozen=True)
class ClaimBodyMismatch:
    """Say that the key was used with another body; this call did not run."""


@dataclass(frozen=True)
class ClaimOutcomeUnknown:
    """Say that the call may have run, at a host that has ended or long ago.

    ``host`` is empty if only the key's fingerprint is kept.
    """

    host: str


@dataclass(frozen=True)
class ClaimExpired:
    """Say that the key is older than the time for which claims are kept."""


@dataclass(frozen=True)
class ClaimStoreUnavailable:
    """Say that the claim could not be committed; this call did not run."""

    reason: str


@dataclass(frozen=True)
class ClaimRefused:
    """Say that the key or the shard's size rules the claim out; nothing ran."""

    kind: ErrorKind
    reason: str


ClaimOutcome = (
    ClaimGranted
    | ClaimReplay
    | ClaimInProgress
    | ClaimBodyMismatch
    | ClaimOutcomeUnknown
    | ClaimExpired
    | ClaimStoreUnavailable
    | ClaimRefused
)


class AttemptState(StrEnum):
    """Say how far the call of a granted attempt has come."""

    GRANTED = "granted"
    FINISHED = "finished"
    RELEASED = "released"
