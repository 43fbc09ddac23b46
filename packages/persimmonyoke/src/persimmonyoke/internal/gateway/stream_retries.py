"""Retries of one stream, counted before they are made."""

import time

from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.run_outcomes import RunInterrupted, RunOutcome
from persimmonyoke.internal.gateway.state import GatewayState

MIN_RETRY_TIME_S = 0.1
"""Least time before the deadline that a further run is worth."""


class StreamRetries:
    """Count the retries of one stream, and give back one that is not made."""

    def __init__(self, state: GatewayState, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._budget = state.retry_budget(exchange.service.name)
        self.is_due = False
        """Whether a retry was counted that has not been sent yet."""

    def note_first_attempt(self) -> None:
        """Count the first attempt."""
        self._budget.note_first_attempt(time.monotonic())

    def take_due(self) -> bool:
        """Return whether the next run is a retry, which is then no longer due."""
        is_due, self.is_due = self.is_due, False
        return is_due

    def give_back(self) -> None:
        """Uncount a retry that is due and not made."""
        if self.is_due:
            self.is_due = False
            self._budget.give_back()

    def count_after(self, outcome: RunOutcome) -> bool:
        """Count a retry unless one is due; return whether another run follows."""
        if self.is_due:
            # It was counted when the stream left a silent engine.
            return True
        obstacle = self._obstacle(outcome)
        if obstacle is not None:
            self._state.journal.event(
                "not_retried",
                request_id=self._exchange.metadata.request_id,
                obstacle=obstacle,
                sends=self._exchange.sends,
            )
        return self.is_due

    def count_for_silent_engine(self) -> bool:
        """Count a retry for a stream that is about to leave; return whether it may."""
        self._obstacle(RunInterrupted("engine is silent"))
        return self.is_due

    def _obstacle(self, outcome: RunOutcome) -> str | None:
        """Return why there is no further run; count a retry if there may be one."""
        exchange = self._exchange
        if isinstance(outcome, RunInterrupted) and not exchange.route.resumable:
            return "route is not resumable"
        if exchange.sends >= exchange.route.max_attempts:
            return "route allows no more attempts"
        if exchange.remaining_s < MIN_RETRY_TIME_S:
            return "deadline is too close"
        self.is_due = self._budget.try_spend(time.monotonic())
        return None if self.is_due else "retry budget is spent"
