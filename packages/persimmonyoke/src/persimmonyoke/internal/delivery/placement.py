"""Choose an engine for a request and isolate suspects."""

from dataclasses import dataclass

import gevent

from persimmonyoke.internal.delivery.api import (
    CompletionRequest,
    NoRoute,
    RouteChoice,
    RouteQuery,
)
from persimmonyoke.internal.delivery.parts import DeliveryContext
from persimmonyoke.internal.delivery.silence import DeadlineExceeded
from persimmonyoke.internal.delivery.suspect_types import (
    Quarantined,
    SuspectStatus,
)
from persimmonyoke.internal.delivery.suspects import ISOLATION_SETTLE_S

ISOLATION_POLL_S = 0.02
# Bounds the wait, because reservations of lost hosts expire without changing the
# version of the register.
ISOLATION_POLLS = 25
# Several crashing requests can take down all engines at once. An engine process that
# restarts is back within about the time of these polls, so waiting completes the
# request.
ENGINES_DOWN_POLL_S = 0.1
# Polls are counted instead of time, because this host can't see engines come back
# while it is stalled.
ENGINES_DOWN_POLLS = 30
# A saturated event loop is never idle; a request waits no longer than this for it.
MAX_NOTICE_READ_S = 0.05


@dataclass(frozen=True)
class EnginesDown(NoRoute):
    """Report that engines exist for the request but none of them answers."""


class Placement:
    """Choose an engine for one request, and another one after each failure."""

    def __init__(self, context: DeliveryContext, request: CompletionRequest) -> None:
        self._context = context
        self._request = request
        self._excluded: set[str] = set()
        self._crashed: set[str] = set()
        self._incarnations: dict[str, str] = {}
        self._isolated_on: str | None = None

    def exclude(self, engine: str, *, crashed: bool = False) -> None:
        """Exclude an engine from further choices.

        A crashed engine is considered again when no other is left.
        """
        self._excluded.add(engine)
        known = self._context.engines.find(engine)
        self._incarnations[engine] = known.incarnation if known else ""
        if crashed:
            self._crashed.add(engine)

    def choose(self, prefix_tokens: int) -> RouteChoice | NoRoute | Quarantined:
        """Choose an engine; a suspect waits for one without other suspects.

        Raises ``DeadlineExceeded``.
        """
        polls_left = ENGINES_DOWN_POLLS
        while True:
            self._check_deadline()
            status = self.status()
            if isinstance(status, Quarantined):
                return status
            must_isolate = self._context.suspects.rule.must_run_isolated(status)
            choice = self._try_choose(prefix_tokens, must_isolate)
            if isinstance(choice, EnginesDown) and polls_left:
                polls_left -= 1
                gevent.sleep(ENGINES_DOWN_POLL_S)
            elif choice is None:
                self._wait_for_change()
            else:
                return self._refuse_quarantined(choice) if must_isolate else choice

    def read_notices(self) -> None:
        """Let the event loop read the notices of peers that have already arrived.

        A host that was stalled would otherwise run a request before the notice of its
        quarantine, which arrived earlier.
        """
        with gevent.Timeout(MAX_NOTICE_READ_S, False):
            gevent.idle()

    def status(self) -> SuspectStatus:
        """Return whether the request is clear, a suspect or quarantined.

        Waits until notices of peers can no longer lift a recent quarantine.
        """
        suspects, clock = self._context.suspects, self._context.clock
        digest = self._request.content_digest
        settling_s = suspects.settling_s(digest, clock())
        if settling_s > 0:
            gevent.sleep(settling_s)
        return suspects.status(digest, clock())

    def query(
        self, prefix_tokens: int, excluded: frozenset[str] = frozenset()
    ) -> RouteQuery:
        """Describe the request to the router."""
        request = self._request
        return RouteQuery(
            request_id=request.request_id,
            workspace=request.workspace,
            model=request.model,
            adapter=request.adapter,
            prompt=request.prompt or "",
            prompt_tokens=request.prompt_tokens,
            prefix_tokens=prefix_tokens,
            max_tokens=request.max_tokens,
            priority=request.priority,
            deadline_s=request.deadline_s,
            excluded=excluded,
        )

    def end_isolation(self) -> None:
        """Release the engine that was reserved for this request."""
        if self._isolated_on is not None:
            self._context.suspects.end_isolation(
                self._request.content_digest, self._isolated_on
            )
            self._isolated_on = None

    def _try_choose(
        self, prefix_tokens: int, must_isolate: bool
    ) -> RouteChoice | NoRoute | None:
        """Return ``None`` if a suspect has to wait for an engine."""
        now_s = self._context.clock()
        excluded = frozenset(self._excluded)
        reserved = frozenset()
        if must_isolate:
            reserved = self._context.suspects.isolated_engines(now_s)
        query = self.query(prefix_tokens, excluded | reserved)
        choice = self._context.router.choose(query, now_s=now_s)
        if isinstance(choice, EnginesDown):
            self._readmit_restarted()
        if isinstance(choice, NoRoute):
            if reserved - excluded:
                return None
            if self._crashed:
                # A crashed engine may have restarted. One that may still run this
                # request is never tried again: its cancellation is in progress.
                self._excluded -= self._crashed
                self._crashed.clear()
                return self._try_choose(prefix_tokens, must_isolate)
            return choice
        if not must_isolate:
            return choice
        return self._isolate(choice)

    def _refuse_quarantined(
        self, choice: RouteChoice | NoRoute
    ) -> RouteChoice | NoRoute | Quarantined:
        """Return the choice unless the suspect was quarantined meanwhile.

        The notice of a peer can arrive while the reservation of an engine settles.
        """
        status = self.status()
        return status if isinstance(status, Quarantined) else choice

    def _readmit_restarted(self) -> None:
        """Readmit engines that restarted; their new process can't run this request."""
        for name in list(self._excluded):
            engine = self._context.engines.find(name)
            if engine and engine.incarnation != self._incarnations.get(name, ""):
                self._excluded.discard(name)
                self._crashed.discard(name)

    def _isolate(self, choice: RouteChoice) -> RouteChoice | None:
        suspects = self._context.suspects
        digest, engine = self._request.content_digest, choice.engine.name
        reserved = suspects.try_isolate(
            digest,
            engine,
            now_s=self._context.clock(),
            until_s=self._request.deadline_s,
        )
        if not reserved:
            return None
        self._isolated_on = engine
        gevent.sleep(ISOLATION_SETTLE_S)
        if suspects.holds_isolation(digest, engine, self._context.clock()):
            # A prefill engine would be a second engine that the suspect can crash.
            return RouteChoice(
                choice.engine,
                expected_first_token_s=choice.expected_first_token_s,
                expected_inter_token_s=choice.expected_inter_token_s,
            )
        self.end_isolation()
        return None

    def _wait_for_change(self) -> None:
        """Wait until a reservation may have ended, because each choice is costly."""
        suspects = self._context.suspects
        version = suspects.version
        for _ in range(ISOLATION_POLLS):
            gevent.sleep(ISOLATION_POLL_S)
            self._check_deadline()
            if suspects.version != version:
                return

    def _check_deadline(self) -> None:
        if self._context.clock() >= self._request.deadline_s:
            raise DeadlineExceeded
