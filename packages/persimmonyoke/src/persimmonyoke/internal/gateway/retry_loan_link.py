"""Exchange of retries between hosts, for streams that wait for one."""

import time
from collections import Counter
from collections.abc import Callable, Sequence

import gevent

from persimmonyoke.internal.delivery.retry_budget import RetryUsage
from persimmonyoke.internal.delivery.retry_loans import (
    LOAN_TTL_S,
    MAX_LOAN,
    MIN_SEND_DELAY_S,
    Loan,
    LoanRequest,
    RetryBorrower,
)
from persimmonyoke.internal.fleet.model import HostEntry, RequestKind, Route
from persimmonyoke.internal.gateway.retry_loan_messages import (
    encode_loan,
    encode_loan_request,
)
from persimmonyoke.internal.gateway.state import GatewayState

MIN_ASK_INTERVAL_S = 0.05
"""Least time between requests of this host, however many streams wait for a retry."""

DENIAL_LOG_INTERVAL_S = 1.0
"""Interval of log lines on requests that get no loan; hosts repeat them often."""

Send = Callable[[Sequence[HostEntry], bytes], None]


class RetryLoanLink:
    """Ask peers for retries, and lend them what this host does not need."""

    def __init__(self, state: GatewayState, send: Send) -> None:
        self._state = state
        self._send = send
        self._borrower = RetryBorrower(state.settings.host_name, state.rng)
        self._wanted: Counter[str] = Counter()
        self._next_ask_s = 0.0
        self._next_denial_log_s = 0.0
        state.on_retry_wanted = self.want

    def want(self, service: str, count: int) -> None:
        """Ask for retries, together with those wanted until the next request."""
        if not self._wanted:
            gevent.spawn(self._ask)
        self._wanted[service] += count

    def handle_request(self, request: LoanRequest, *, now_s: float) -> None:
        """Lend a peer what this host does not need of its share."""
        state, peer = self._state, self._state.hosts.entry(request.borrower)
        configuration = state.configuration
        if peer is None or configuration is None:
            return
        if request.service not in configuration.services:
            return
        budget = state.retry_budget(request.service)
        count = min(request.count, MAX_LOAN)
        ttl_s = LOAN_TTL_S + _longest_wait_s(configuration.routes)
        lent = budget.lend(count, now_s=now_s, ttl_s=ttl_s)
        self._log_lent(request, lent, budget.usage(now_s), now_s)
        if lent:
            name = state.settings.host_name
            loan = Loan(name, request.service, request.number, lent)
            self._send([peer], encode_loan(loan))

    def handle_loan(self, loan: Loan, *, now_s: float) -> None:
        """Add a loan to this host's budget if it was asked for and is in time."""
        until_s = self._borrower.accept(loan, now_s=now_s)
        if until_s is not None:
            budget = self._state.retry_budget(loan.service)
            budget.borrow(loan.count, until_s=until_s)
        self._state.journal.event(
            "retries_borrowed",
            service=loan.service,
            lender=loan.lender,
            borrowed=loan.count,
            left_ms=None if until_s is None else int((until_s - now_s) * 1_000),
        )

    def _log_lent(
        self, request: LoanRequest, lent: int, usage: RetryUsage, now_s: float
    ) -> None:
        """Log a loan, and requests that get none at intervals."""
        if not lent and now_s < self._next_denial_log_s:
            return
        if not lent:
            self._next_denial_log_s = now_s + DENIAL_LOG_INTERVAL_S
        self._state.journal.event(
            "retries_lent",
            service=request.service,
            borrower=request.borrower,
            lent=lent,
            wanted=request.count,
            retries=usage.retries,
            retries_allowed=usage.allowed,
        )

    def _ask(self) -> None:
        gevent.sleep(max(0.0, self._next_ask_s - time.monotonic()))
        wanted, self._wanted = self._wanted, Counter()
        entries = {entry.name: entry for entry in self._state.hosts.peers()}
        now_s = time.monotonic()
        self._next_ask_s = now_s + MIN_ASK_INTERVAL_S
        for service, count in wanted.items():
            asked = self._borrower.ask(service, count, list(entries), now_s=now_s)
            for name, request in asked.items():
                self._send([entries[name]], encode_loan_request(request))


def _longest_wait_s(routes: Sequence[Route]) -> float:
    """Return how long a begun stream may wait for an engine with a retry counted."""
    waits_s = [r.caller_timeout_s for r in routes if r.kind is RequestKind.STREAMING]
    return max([MIN_SEND_DELAY_S, *waits_s])
