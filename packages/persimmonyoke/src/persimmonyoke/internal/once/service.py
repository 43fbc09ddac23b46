"""Claims for calls that must run at most once."""

import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

from gevent.pool import Group
from loguru import logger

from persimmonyoke.errors import ErrorKind, StoreUnavailable
from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.once.document import (
    MAX_CONTENT_TYPE_CHARS,
    Action,
    Effect,
    EntryState,
    Operation,
    Result,
    needs_withdrawal,
)
from persimmonyoke.internal.once.execution import OperationExecutor
from persimmonyoke.internal.once.forwarding import ClaimForwarder
from persimmonyoke.internal.once.outcomes import (
    AttemptState,
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
from persimmonyoke.internal.once.placement import (
    SLOT_S,
    place,
    slot_shard,
)
from persimmonyoke.internal.once.settings import ClaimSettings
from persimmonyoke.internal.platform.store import KeyValueStore

ATTEMPT_BYTES = 16
# A key far ahead of this host's clock would create a document of its own, which would
# be kept longer than the retention time.
MAX_KEY_AHEAD_S = 300.0
# Documents are deleted this long after their last key has expired, so that hosts with
# slow clocks still find them.
SWEEP_MARGIN_S = 3_600.0
SWEEP_DOCUMENTS = 4
MAX_TRACKED_ATTEMPTS = 20_000


class ClaimService:
    """Grant, finish and release claims for the calls of one host.

    ``live_hosts()`` returns the names of the hosts among which owners are chosen;
    ``is_dead(host, incarnation)`` tells whether an incarnation is known to have ended.
    """

    def __init__(
        self,
        store: KeyValueStore,
        *,
        prefix: str,
        host: str,
        incarnation: str,
        live_hosts: Callable[[], Iterable[str]],
        is_dead: Callable[[str, str], bool],
        forwarder: ClaimForwarder,
        settings: ClaimSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._host = host
        self._incarnation = incarnation
        self._is_dead = is_dead
        self._settings = settings or ClaimSettings()
        self._accepted_age_s = self._settings.keep_s
        self._clock = clock
        self._unix_clock = unix_clock
        self._executor = OperationExecutor(
            store,
            prefix=prefix,
            host=host,
            live_hosts=live_hosts,
            forwarder=forwarder,
            settings=self._settings,
            clock=clock,
            unix_clock=unix_clock,
        )
        self._attempt_states: OrderedDict[bytes, AttemptState] = OrderedDict()
        self._tasks = Group()

    @property
    def accepted_age_s(self) -> float:
        """Return the age from which UUIDv7 keys are refused as expired."""
        return self._accepted_age_s

    @accepted_age_s.setter
    def accepted_age_s(self, age_s: float) -> None:
        # Deletion depends on keep_s, which is the same on all hosts. If it followed the
        # preset, a host with the new preset could delete a document that another host,
        # or a later preset, still treats as complete.
        self._accepted_age_s = min(age_s, self._settings.keep_s)

    # Operations of this host's calls

    def claim(
        self, workspace: str, key: str, body_digest: bytes, *, now_unix_s: float
    ) -> ClaimOutcome:
        """Claim the right to run a call; dispatch the call only if this is granted."""
        placement = place(workspace, key)
        key_unix_s = placement.key_unix_s
        if key_unix_s is not None and key_unix_s < now_unix_s - self._accepted_age_s:
            return ClaimExpired()
        if key_unix_s is not None and key_unix_s > now_unix_s + MAX_KEY_AHEAD_S:
            reason = f"the key's time is over {MAX_KEY_AHEAD_S:g} s ahead"
            return ClaimRefused(ErrorKind.INVALID_VALUE, reason)
        attempt = secrets.token_bytes(ATTEMPT_BYTES)
        claim = Claim(
            workspace, key, placement.shard, placement.entry_key, attempt, body_digest
        )
        timeout_s = self._settings.claim_timeout_s
        operation = self._operation(Action.CLAIM, claim, valid_s=timeout_s)
        result = self._executor.execute(operation, timeout_s=timeout_s)
        if needs_withdrawal(result):
            self._withdraw(claim)
        return self._claim_outcome(claim, result)

    def finish(
        self, claim: Claim, answer: StoredAnswer, *, is_urgent: bool = True
    ) -> bool:
        """Store the answer of a call that ran; return whether it is stored yet.

        If it is not, it is stored in the background once the store answers. Operations
        that are not urgent may be deferred and batched with others to the same host.
        """
        check_invariant(
            self._attempt_states.get(claim.attempt) is AttemptState.GRANTED,
            Invariant.AT_MOST_ONCE,
            f"call with key {claim.key!r} finished without a held claim",
        )
        self._track_attempt(claim.attempt, AttemptState.FINISHED)
        operation = self._operation(
            Action.FINISH, claim, answer=self._limit_answer(answer)
        )
        timeout_s = self._settings.finish_timeout_s
        result = self._executor.execute(
            operation, timeout_s=timeout_s, is_urgent=is_urgent
        )
        check_invariant(
            result.effect is not Effect.CONTRADICTED,
            Invariant.AT_MOST_ONCE,
            f"call with key {claim.key!r} ran while another attempt held the key",
        )
        return result.effect is Effect.STORED

    def release(self, claim: Claim) -> bool:
        """Release the claim of a call that did not run; return whether this is stored.

        If it is not, the claim is released in the background once the store answers.
        """
        check_invariant(
            self._attempt_states.get(claim.attempt) is AttemptState.GRANTED,
            Invariant.NOT_RUN_IS_TRUE,
            f"claim of key {claim.key!r} is released but not held",
        )
        self._track_attempt(claim.attempt, AttemptState.RELEASED)
        operation = self._operation(Action.RELEASE, claim)
        timeout_s = self._settings.finish_timeout_s
        result = self._executor.execute(operation, timeout_s=timeout_s)
        check_invariant(
            result.effect is not Effect.CONTRADICTED,
            Invariant.NOT_RUN_IS_TRUE,
            f"released call with key {claim.key!r} has an answer",
        )
        return result.effect is Effect.RELEASED

    def finish_later(self, claim: Claim, answer: StoredAnswer) -> None:
        """Store the answer of a call that ran, in the background."""
        self._tasks.spawn(self.finish, claim, answer, is_urgent=False)

    def record_outcome_later(
        self,
        workspace: str,
        key: str,
        body_digest: bytes,
        answer: StoredAnswer,
        *,
        now_unix_s: float,
    ) -> None:
        """Store an outcome found at the upstream, in the background."""
        self._tasks.spawn(
            self.record_outcome,
            workspace,
            key,
            body_digest,
            answer,
            now_unix_s=now_unix_s,
        )

    def abandon(self, claim: Claim) -> bool:
        """Record that the call's answer was lost; return whether this is stored yet.

        The call never runs again. Without the record, retries would be answered as in
        progress for as long as this process lives.
        """
        check_invariant(
            self._attempt_states.get(claim.attempt) is AttemptState.GRANTED,
            Invariant.AT_MOST_ONCE,
            f"call with key {claim.key!r} abandoned without a held claim",
        )
        operation = self._operation(Action.ABANDON, claim)
        timeout_s = self._settings.finish_timeout_s
        result = self._executor.execute(operation, timeout_s=timeout_s)
        check_invariant(
            result.effect is not Effect.CONTRADICTED,
            Invariant.AT_MOST_ONCE,
            f"call with key {claim.key!r} was lost while another attempt held the key",
        )
        return result.effect is Effect.STORED

    def record_outcome(
        self,
        workspace: str,
        key: str,
        body_digest: bytes,
        answer: StoredAnswer,
        *,
        now_unix_s: float,
    ) -> bool:
        """Store an outcome found at the upstream; return whether it is stored yet.

        A different stored answer is never replaced.
        """
        placement = place(workspace, key)
        key_unix_s = placement.key_unix_s
        if key_unix_s is not None and key_unix_s < now_unix_s - self._settings.keep_s:
            # The key's document may have been deleted and must not be created again.
            return False
        attempt = secrets.token_bytes(ATTEMPT_BYTES)
        claim = Claim(
            workspace, key, placement.shard, placement.entry_key, attempt, body_digest
        )
        operation = self._operation(
            Action.LEARN, claim, answer=self._limit_answer(answer)
        )
        timeout_s = self._settings.finish_timeout_s
        result = self._executor.execute(operation, timeout_s=timeout_s)
        if result.effect in (Effect.CONTRADICTED, Effect.MISMATCH):
            logger.error(
                "[once] outcome found at the upstream for key {} contradicts its claim",
                key,
            )
        return result.effect is Effect.STORED

    # Operations that other hosts forward

    def handle(self, host: str, payload: bytes) -> bytes:
        """Execute operations that another host forwards; raise ``ProtocolError``."""
        return self._executor.handle(host, payload)

    def owner(self, shard: str) -> str:
        """Return the host that batches the writes of a shard."""
        return self._executor.owner(shard)

    # Retention

    def sweep(self, *, now_unix_s: float) -> int:
        """Delete a few documents whose keys have all expired; return their number.

        Does not raise while the store is down; the next sweep continues.
        """
        horizon_s = now_unix_s - self._settings.keep_s - SWEEP_MARGIN_S - SLOT_S
        oldest_kept = self._prefix + slot_shard(horizon_s)
        deleted = 0
        try:
            found = self._store.list_prefix(f"{self._prefix}t", limit=SWEEP_DOCUMENTS)
        except StoreUnavailable:
            return 0
        for item in found:
            if item.key >= oldest_kept:
                break
            self._store.delete(item.key, expected_revision=item.mod_revision)
            deleted += 1
        return deleted

    def busy(self) -> bool:
        """Return whether operations wait for the store, for a graceful shutdown."""
        return self._executor.busy() or len(self._tasks) > 0

    def stop(self) -> None:
        """Stop the writers and background tasks."""
        self._tasks.kill(block=False)
        self._executor.stop()

    # Helpers

    def _operation(
        self,
        action: Action,
        claim: Claim,
        *,
        valid_s: float = 0.0,
        answer: StoredAnswer | None = None,
    ) -> Operation:
        created_unix_s = float(self._unix_clock())
        return Operation(
            action=action,
            shard=claim.shard,
            entry_key=claim.entry_key,
            attempt=claim.attempt,
            body_digest=claim.body_digest,
            host=self._host,
            incarnation=self._incarnation,
            created_unix_s=created_unix_s,
            valid_until_unix_s=created_unix_s + valid_s,
            answer=answer,
        )

    def _limit_answer(self, answer: StoredAnswer) -> StoredAnswer:
        body = answer.body
        if body is not None and len(body) > self._settings.answer_limit_bytes:
            body = None
        content_type = answer.content_type[:MAX_CONTENT_TYPE_CHARS]
        return StoredAnswer(answer.status, content_type, body, answer.body_digest)

    # Outcomes

    def _claim_outcome(self, claim: Claim, result: Result) -> ClaimOutcome:
        entry = result.entry
        match result.effect:
            case Effect.GRANTED:
                return self._granted(claim, result)
            case Effect.DONE:
                return ClaimReplay(entry.answer)
            case Effect.HELD if self._is_holder_dead(entry.host, entry.incarnation):
                return ClaimOutcomeUnknown(entry.host)
            case Effect.HELD:
                return ClaimInProgress(entry.host)
            case Effect.MISMATCH:
                return ClaimBodyMismatch()
            case Effect.ARCHIVED:
                return ClaimOutcomeUnknown("")
            case Effect.FULL:
                reason = "the claim shard is full; use UUIDv7 keys or retry later"
                return ClaimRefused(ErrorKind.OVERLOADED, reason)
            case _:
                return self._not_run(claim, result)

    def _is_holder_dead(self, host: str, incarnation: str) -> bool:
        if not host:
            # The holder has lost the answer and abandoned its claim.
            return True
        if host == self._host:
            return incarnation != self._incarnation
        return self._is_dead(host, incarnation)

    def _granted(self, claim: Claim, result: Result) -> ClaimOutcome:
        entry = result.entry
        holds = check_invariant(
            entry is not None
            and entry.state is EntryState.CLAIMED
            and entry.attempt == claim.attempt
            and claim.attempt not in self._attempt_states,
            Invariant.AT_MOST_ONCE,
            f"claim of key {claim.key!r} granted without its own committed attempt",
        )
        if not holds:
            return ClaimInProgress(self._host)
        self._track_attempt(claim.attempt, AttemptState.GRANTED)
        return ClaimGranted(claim)

    def _not_run(self, claim: Claim, result: Result) -> ClaimOutcome:
        check_invariant(
            claim.attempt not in self._attempt_states,
            Invariant.NOT_RUN_IS_TRUE,
            f"claim of key {claim.key!r} was granted and is reported as not run",
        )
        return ClaimStoreUnavailable(result.reason or result.effect.value)

    def _withdraw(self, claim: Claim) -> None:
        """Release an unsettled claim in the background, so that a retry can run."""
        operation = self._operation(Action.RELEASE, claim)
        deadline_s = self._clock() + self._settings.retry_for_s
        self._executor.submit(operation, deadline_s=deadline_s)

    def _track_attempt(self, attempt: bytes, state: AttemptState) -> None:
        self._attempt_states[attempt] = state
        self._attempt_states.move_to_end(attempt)
        if len(self._attempt_states) > MAX_TRACKED_ATTEMPTS:
            self._attempt_states.popitem(last=False)
