"""Run one call of a plain service: retried, claimed or sent at most once."""

import hashlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.delivery.api import (
    GENERATED_KEY_PREFIX,
    ClaimGate,
    Clock,
    GateGranted,
    GateOutcomeUnknown,
    GateRefused,
    GateReplay,
    ServicePool,
)
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.presets.model import ServicePolicy
from persimmonyoke.internal.upstreams.api import (
    ServiceAnswer,
    ServiceCall,
    ServiceNotSent,
    ServiceOutcome,
    ServiceOutcomeUnknown,
    Upstream,
)

MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0
# A call with less time left would be written and then time out, which leaves its
# outcome unknown.
MIN_DISPATCH_S = 0.01


@dataclass(frozen=True)
class ServiceRequest:
    """Carry a service call with its workspace, policy and monotonic deadline."""

    call: ServiceCall
    workspace: str
    policy: ServicePolicy
    deadline_s: float


def call_digest(call: ServiceCall) -> bytes:
    """Return a digest that tells a resent call from another one with the same key."""
    digest = hashlib.blake2b(digest_size=32)
    for part in (call.pool, call.method, call.path):
        encoded = part.encode("utf-8", "surrogatepass")
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.digest()


class ServiceDelivery:
    """Call plain services so that no non-idempotent call runs twice."""

    def __init__(
        self,
        *,
        services: ServicePool,
        gate: ClaimGate,
        budget: RetryBudget,
        clock: Clock,
        spawn: Callable[..., object],
    ) -> None:
        self._services = services
        self._gate = gate
        self._budget = budget
        self._clock = clock
        self._spawn = spawn

    def run(self, request: ServiceRequest) -> ServiceAnswer:
        """Return the answer; raises ``RequestError`` with a correct ``ran``."""
        call = request.call
        if call.method in request.policy.idempotent_methods:
            return self._run_repeatable(request)
        if call.idempotency_key is None:
            key = GENERATED_KEY_PREFIX + uuid.uuid4().hex
            keyed = replace(request, call=replace(call, idempotency_key=key))
            return self._run_unclaimed(keyed)
        return self._run_claimed(request)

    def _run_repeatable(self, request: ServiceRequest) -> ServiceAnswer:
        outcome = self._dispatch(request, repeatable=True)
        if isinstance(outcome, ServiceAnswer):
            return outcome
        if isinstance(outcome, ServiceNotSent):
            raise self._not_sent(request, outcome)
        raise RequestError(
            ErrorKind.UPSTREAM_FAILED,
            f"the service did not answer: {outcome.reason}",
            ran=Ran.UNKNOWN,
            retry_after_s=RETRY_AFTER_S,
        )

    def _run_unclaimed(self, request: ServiceRequest) -> ServiceAnswer:
        # No caller can resend a generated key, so a claim would only cost two writes.
        outcome = self._dispatch(request, repeatable=False)
        if isinstance(outcome, ServiceAnswer):
            return outcome
        if isinstance(outcome, ServiceNotSent):
            raise self._not_sent(request, outcome)
        answer = self._query_outcome(request)
        if answer is not None:
            return answer
        raise self._outcome_unknown(outcome.reason)

    def _run_claimed(self, request: ServiceRequest) -> ServiceAnswer:
        call = request.call
        claimed = self._gate.claim(
            request.workspace,
            call.idempotency_key,
            call_digest(call),
            now_s=self._clock(),
        )
        if isinstance(claimed, GateGranted):
            return self._run_granted(request, claimed.claim)
        if isinstance(claimed, GateReplay):
            return claimed.answer
        if isinstance(claimed, GateOutcomeUnknown):
            return self._resolve_outcome(
                request, claimed.claim, "an earlier call was lost"
            )
        return self._refuse(claimed)

    def _run_granted(self, request: ServiceRequest, claim: object) -> ServiceAnswer:
        try:
            outcome = self._dispatch(request, repeatable=False)
        except RequestError as error:
            # Raised only before the first byte of any attempt was written.
            self._release(claim, error.ran)
            raise
        if isinstance(outcome, ServiceAnswer):
            self._gate.finish(claim, outcome)
            return outcome
        if isinstance(outcome, ServiceNotSent):
            self._release(claim, Ran.NOT_RUN)
            raise self._not_sent(request, outcome)
        return self._resolve_outcome(request, claim, outcome.reason)

    def _resolve_outcome(
        self, request: ServiceRequest, claim: object | None, reason: str
    ) -> ServiceAnswer:
        """Query the outcome of a call that may have run, without repeating the call."""
        answer = self._query_outcome(request)
        if answer is None:
            if claim is not None:
                self._spawn(self._gate.abandon, claim)
            raise self._outcome_unknown(reason)
        if claim is not None:
            self._gate.finish(claim, answer)
        return answer

    def _release(self, claim: object, ran: Ran) -> None:
        holds = check_invariant(
            ran is Ran.NOT_RUN,
            Invariant.AT_MOST_ONCE,
            "a claim of a call that may have run must not be released",
        )
        if holds:
            # The caller doesn't wait for a write that only frees the key.
            self._spawn(self._gate.release, claim)

    def _dispatch(self, request: ServiceRequest, *, repeatable: bool) -> ServiceOutcome:
        """Try replicas until one answers or the call must not be sent again."""
        tried: set[str] = set()
        # An earlier attempt of a repeatable call that may have run decides what is
        # reported, even if the last attempt was not sent.
        unknown_outcome: ServiceOutcomeUnknown | None = None
        outcome: ServiceOutcome = ServiceNotSent("no replica is available")
        self._budget.note_first_attempt(self._clock())
        for attempt in range(MAX_ATTEMPTS):
            now_s = self._clock()
            replica = self._choose(request, tried, now_s)
            if replica is None:
                break
            left_s = request.deadline_s - now_s
            if left_s < MIN_DISPATCH_S:
                self._check_before_dispatch(unknown_outcome)
                break
            if attempt and not self._budget.try_spend(now_s):
                break
            tried.add(replica.name)
            check_invariant(
                repeatable or unknown_outcome is None,
                Invariant.AT_MOST_ONCE,
                f"call {request.call.request_id} may have run already",
            )
            outcome = self._call(request, replica, left_s)
            if isinstance(outcome, ServiceAnswer):
                return outcome
            if isinstance(outcome, ServiceOutcomeUnknown):
                unknown_outcome = outcome
                if not repeatable:
                    break
        result = unknown_outcome or outcome
        check_invariant(
            unknown_outcome is None or not isinstance(result, ServiceNotSent),
            Invariant.NOT_RUN_IS_TRUE,
            f"call {request.call.request_id} may have run",
        )
        return result

    def _call(
        self, request: ServiceRequest, replica: Upstream, left_s: float
    ) -> ServiceOutcome:
        timeout_s = min(request.policy.timeout_s, left_s)
        outcome = self._services.client(replica).call(request.call, timeout_s=timeout_s)
        if not isinstance(outcome, ServiceAnswer):
            logger.info(
                "[delivery] request {}: {} did not answer: {}",
                request.call.request_id,
                replica.name,
                outcome.reason,
            )
        return outcome

    def _choose(
        self, request: ServiceRequest, tried: set[str], now_s: float
    ) -> Upstream | None:
        return self._services.choose(request.call.pool, frozenset(tried), now_s=now_s)

    def _check_before_dispatch(
        self, unknown_outcome: ServiceOutcomeUnknown | None
    ) -> None:
        if unknown_outcome is None:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline of the call has passed before it was sent",
                ran=Ran.NOT_RUN,
            )

    def _query_outcome(self, request: ServiceRequest) -> ServiceAnswer | None:
        key = request.call.idempotency_key
        replicas = self._services.replicas(request.call.pool, now_s=self._clock())
        for replica in replicas:
            try:
                answer = self._services.client(replica).outcome(key)
            except ConnectionError:
                continue
            if answer is not None:
                return answer
        return None

    def _not_sent(
        self, request: ServiceRequest, outcome: ServiceNotSent
    ) -> RequestError:
        return RequestError(
            ErrorKind.UPSTREAM_UNAVAILABLE,
            f"no replica of {request.call.pool} took the call: {outcome.reason}",
            ran=Ran.NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
        )

    def _outcome_unknown(self, reason: str) -> RequestError:
        return RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            f"the call may have run and its outcome is not known: {reason}",
            ran=Ran.UNKNOWN,
        )

    def _refuse(self, refused: GateRefused) -> ServiceAnswer:
        raise RequestError(
            refused.kind,
            refused.message,
            ran=refused.ran,
            retry_after_s=refused.retry_after_s,
        )
