"""Retries that hosts lend each other, as losses hit some hosts more than others.

The lender counts what it lends until no retry made with it is in any window with one of
its own, so that all hosts together never exceed their budget. A lost message therefore
costs retries, and never adds any.
"""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass

LOAN_TTL_S = 0.5
"""Time from the request of a loan in which it is spent; the rest of it is lost."""

MIN_SEND_DELAY_S = 2.0
"""Time that a retry which is counted may wait for its prompt and engine, at least."""

ASKED_PEERS = 2
"""Peers that are asked at once; others are chosen for the next request."""

MAX_LOAN = 16
"""Retries lent at once, so that a malformed request can't use up a share."""


@dataclass(frozen=True)
class LoanRequest:
    """Ask a host for retries to one service."""

    borrower: str
    service: str
    number: int
    """Number of the request at the borrower."""

    count: int


@dataclass(frozen=True)
class Loan:
    """Lend retries to one service in answer to a request."""

    lender: str
    service: str
    number: int
    count: int


@dataclass(frozen=True)
class _OpenRequest:
    peer: str
    service: str
    asked_s: float


class RetryBorrower:
    """Choose the peers to ask for retries, and accept each loan once."""

    def __init__(self, host_name: str, rng: random.Random) -> None:
        self._host_name = host_name
        self._rng = rng
        self._numbers = itertools.count(1)
        self._open: dict[int, _OpenRequest] = {}

    def ask(
        self, service: str, count: int, peers: Sequence[str], *, now_s: float
    ) -> dict[str, LoanRequest]:
        """Return the requests for some retries by the peer that gets each."""
        self._drop_expired(now_s)
        asked = min(ASKED_PEERS, count, len(peers))
        requests = {}
        for index, peer in enumerate(self._rng.sample(list(peers), asked)):
            number = next(self._numbers)
            share = (count + asked - 1 - index) // asked
            requests[peer] = LoanRequest(self._host_name, service, number, share)
            self._open[number] = _OpenRequest(peer, service, now_s)
        return requests

    def accept(self, loan: Loan, *, now_s: float) -> float | None:
        """Return until when a loan may be spent, or ``None`` if it may not be.

        It is not if nobody asked for it, it was accepted before, or it is late.
        """
        self._drop_expired(now_s)
        asked = self._open.get(loan.number)
        if asked is None or (asked.peer, asked.service) != (loan.lender, loan.service):
            return None
        del self._open[loan.number]
        return asked.asked_s + LOAN_TTL_S

    def _drop_expired(self, now_s: float) -> None:
        for number, asked in list(self._open.items()):
            if now_s >= asked.asked_s + LOAN_TTL_S:
                del self._open[number]
