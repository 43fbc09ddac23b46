"""Adapter of the claim service to delivery's ``ClaimGate`` interface."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from persimmonyoke.errors import ErrorKind, Ran
from persimmonyoke.internal.delivery.api import (
    GateGranted,
    GateOutcome,
    GateOutcomeUnknown,
    GateRefused,
    GateReplay,
)
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.once.outcomes import (
    Claim,
    ClaimBodyMismatch,
    ClaimExpired,
    ClaimGranted,
    ClaimInProgress,
    ClaimOutcome,
    ClaimOutcomeUnknown,
    ClaimRefused,
    ClaimReplay,
    ClaimStoreUnavailable,
    StoredAnswer,
)
from persimmonyoke.internal.once.service import ClaimService
from persimmonyoke.internal.upstreams.api import ServiceAnswer

STORE_RETRY_S = 2.0
IN_PROGRESS_RETRY_S = 1.0
IN_PROGRESS_WAIT_S = 1.0
IN_PROGRESS_POLL_S = 0.1
CONTENT_TYPE = "Content-Type"

log = part_logger("once")


@dataclass(frozen=True)
class _UnsettledKey:
    """Identify an earlier call whose outcome a replica may know."""

    workspace: str
    key: str
    body_digest: bytes


class ClaimServiceGate:
    """Map each claim outcome to a gate outcome that states whether the call ran."""

    def __init__(
        self, claims: ClaimService, *, unix_clock: Callable[[], float] = time.time
    ) -> None:
        self._claims = claims
        self._unix_clock = unix_clock
        self.outcomes: Counter[str] = Counter()

    def claim(
        self, workspace: str, key: str, body_digest: bytes, *, now_s: float
    ) -> GateOutcome:
        """Commit a claim; only ``GateGranted`` allows a dispatch."""
        outcome = self._claim_or_wait(workspace, key, body_digest)
        self.outcomes[type(outcome).__name__] += 1
        match outcome:
            case ClaimGranted(claim):
                return GateGranted(claim)
            case ClaimReplay(answer):
                return _replay(answer)
            case ClaimOutcomeUnknown(""):
                # The archive does not store the body of a call, so the outcome that a
                # replica knows may belong to a call with another body.
                return GateOutcomeUnknown()
            case ClaimOutcomeUnknown():
                return GateOutcomeUnknown(_UnsettledKey(workspace, key, body_digest))
            case ClaimInProgress(host):
                # Another attempt holds the key and may be running the call now.
                return GateRefused(
                    ErrorKind.CALL_IN_PROGRESS,
                    f"a call with this key is in progress at {host}",
                    ran=Ran.UNKNOWN,
                    retry_after_s=IN_PROGRESS_RETRY_S,
                )
            case ClaimBodyMismatch():
                return GateRefused(
                    ErrorKind.KEY_REUSED, "the key was used for a different call"
                )
            case ClaimExpired():
                return GateRefused(
                    ErrorKind.KEY_EXPIRED,
                    "the key is older than the time for which outcomes are kept",
                    ran=Ran.UNKNOWN,
                )
            case ClaimStoreUnavailable(reason):
                return GateRefused(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"the call could not be claimed: {reason}",
                    retry_after_s=STORE_RETRY_S,
                )
            case ClaimRefused(kind, reason):
                return GateRefused(kind, reason)

    def _claim_or_wait(
        self, workspace: str, key: str, body_digest: bytes
    ) -> ClaimOutcome:
        """Claim the key; retry for up to ``IN_PROGRESS_WAIT_S`` while it is in use.

        The answer of a call is stored after the caller has received it, so a caller
        that repeats the call immediately would otherwise get ``CALL_IN_PROGRESS``.
        """
        end_s = time.monotonic() + IN_PROGRESS_WAIT_S
        while True:
            outcome = self._claims.claim(
                workspace, key, body_digest, now_unix_s=self._unix_clock()
            )
            is_last = time.monotonic() + IN_PROGRESS_POLL_S > end_s
            if is_last or not isinstance(outcome, ClaimInProgress):
                return outcome
            gevent.sleep(IN_PROGRESS_POLL_S)

    def finish(self, claim: object, answer: ServiceAnswer) -> None:
        """Store the answer of a claimed call, or an outcome found at a replica.

        Storing runs in the background, so the caller's answer does not wait for the
        store: the committed claim alone prevents a second run.
        """
        types = (v for n, v in answer.headers.items() if n.lower() == "content-type")
        stored = StoredAnswer.of(answer.status, next(types, ""), answer.body)
        match claim:
            case Claim():
                self._claims.finish_later(claim, stored)
            case _UnsettledKey(workspace, key, body_digest):
                self._claims.record_outcome_later(
                    workspace, key, body_digest, stored, now_unix_s=self._unix_clock()
                )

    def release(self, claim: object) -> None:
        """Release a claim whose call did not run."""
        if isinstance(claim, Claim) and not self._claims.release(claim):
            log.warning("claim of key {!r} is not released yet", claim.key)

    def abandon(self, claim: object) -> None:
        """Record that the answer of a claimed call was lost."""
        if isinstance(claim, Claim) and not self._claims.abandon(claim):
            log.warning("lost answer of key {!r} is not recorded yet", claim.key)


def _replay(answer: StoredAnswer) -> GateOutcome:
    if answer.body is None:
        # The answer exceeded the storage limit; a replica may still have it.
        return GateOutcomeUnknown()
    headers = {CONTENT_TYPE: answer.content_type} if answer.content_type else {}
    return GateReplay(ServiceAnswer(answer.status, headers, answer.body))
