"""Run the control loop of a pool: hold the lease, settle and issue orders."""

import time
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from threading import Event

from loguru import logger

from persimmonyoke.errors import ProtocolError, StoreUnavailable
from persimmonyoke.internal.authority.lease import AuthorityLease
from persimmonyoke.internal.authority.orders import (
    AuthorityLost,
    IssueOutcome,
    OrderIssuer,
)

LOG_PREFIX = "[authority]"
WORK_INTERVAL_S = 0.5
LEASE_CHECKS_PER_RENEWAL = 5


@dataclass(frozen=True)
class PlannedOrder:
    """Describe the next order that a pool needs."""

    engine: str
    incarnation: str
    action: str
    arguments: Mapping[str, str]
    reason: str


class OrderPlanner(ABC):
    """Decide which order a pool needs next."""

    @abstractmethod
    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the next order, or ``None`` if the pool needs no change."""

    @abstractmethod
    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Record the outcome of a planned order."""


class PoolController:
    """Run the control loop of one pool in three tasks.

    Renewal has its own task, because querying the state of engines can take longer than
    the time between two renewals. Expiry has its own task as well: a renewal can wait
    for an unresponsive store until after the end of the lease, and the kernel timer
    would then end a process that was never paused.
    """

    def __init__(
        self,
        *,
        pool: str,
        lease: AuthorityLease,
        issuer: OrderIssuer,
        planner: OrderPlanner,
        work_interval_s: float = WORK_INTERVAL_S,
    ) -> None:
        self.pool = pool
        self._lease = lease
        self._issuer = issuer
        self._planner = planner
        self._work_interval_s = work_interval_s
        self._taken_over_fencing = 0

    def hold_lease(self, stop: Event) -> None:
        """Acquire and renew the lease until ``stop`` is set, then release it."""
        while not stop.is_set():
            self._acquire_or_renew(time.monotonic())
            stop.wait(self._lease.renewal_interval_s)
        self._lease.release()

    def enforce_lease_expiry(self, stop: Event) -> None:
        """Give up authority that was not renewed in time, until ``stop`` is set."""
        interval_s = self._lease.renewal_interval_s / LEASE_CHECKS_PER_RENEWAL
        while not stop.is_set():
            self._lease.check(now_s=time.monotonic())
            stop.wait(interval_s)

    def run_orders(self, stop: Event) -> None:
        """Settle and issue orders while authority is held, until ``stop`` is set."""
        while not stop.is_set():
            try:
                self.step(now_s=time.monotonic(), now_unix_s=time.time())
            except (AuthorityLost, ProtocolError) as error:
                logger.warning(
                    "{} pool {}: authority given up: {}", LOG_PREFIX, self.pool, error
                )
                self._lease.release()
            except StoreUnavailable as error:
                logger.warning("{} pool {}: {}", LOG_PREFIX, self.pool, error)
            stop.wait(self._work_interval_s)

    def step(self, *, now_s: float, now_unix_s: float) -> IssueOutcome | None:
        """Run one iteration; return the outcome of an order if one was issued."""
        authority = self._lease.check(now_s=now_s)
        if authority is None:
            return None
        if self._taken_over_fencing != authority.fencing:
            self._issuer.take_over(authority, now_unix_s=now_unix_s)
            self._taken_over_fencing = authority.fencing
        if not self._issuer.settle_open_orders(now_s=now_s, now_unix_s=now_unix_s):
            return None
        if now_s < self._issuer.first_order_s(authority):
            return None
        planned = self._planner.plan(now_s=now_s)
        if planned is None:
            return None
        outcome = self._issuer.issue(
            planned.engine,
            planned.incarnation,
            planned.action,
            planned.arguments,
            reason=planned.reason,
            now_s=now_s,
            now_unix_s=now_unix_s,
        )
        self._planner.note_outcome(planned, outcome)
        return outcome

    def _acquire_or_renew(self, now_s: float) -> None:
        try:
            if self._lease.authority is not None:
                self._lease.renew(now_s=now_s)
            elif self._lease.try_acquire(now_s=now_s) is not None:
                logger.info("{} pool {}: authority acquired", LOG_PREFIX, self.pool)
        except StoreUnavailable as error:
            logger.warning("{} pool {}: lease: {}", LOG_PREFIX, self.pool, error)
