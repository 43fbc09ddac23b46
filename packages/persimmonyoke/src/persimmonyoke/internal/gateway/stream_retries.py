"""Retries of one stream, counted before they are made."""

import time

import gevent

from persimmonyoke.internal.delivery.retry_budget import BUDGET_SPENT, SpentRetry
from persimmonyoke.internal.dispatch.placement import FIRST_EVENT_OVERHEAD_S
from persimmonyoke.internal.gateway.exchange import Exchange
from persimmonyoke.internal.gateway.run_outcomes import (
    RunInterrupted,
    RunOutcome,
    RunRejected,
)
from persimmonyoke.internal.gateway.state import GatewayState

MIN_RETRY_TIME_S = 0.1
"""Least time before the deadline that a further run is worth."""

FIRST_PAUSE_S = 0.1
"""Pause of a begun stream that finds no engine or retry, doubled with each failure."""

RETRIES_PER_RUN = 2
"""Retries of a run whose prompt is read again, for the prompt and for the run."""

MAX_ENDED_ENGINES = 1
"""Engines that end under a begun stream without using up an attempt of its route."""

MAX_REJECTED_MOVES = 3
"""Rejections after which a stream stays with its silent engine.

Each of them uses up a retry of the host, which other streams may need.
"""


class StreamRetries:
    """Count the retries of one stream, and give back one that is not made."""

    def __init__(self, state: GatewayState, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._budget = state.retry_budget(exchange.service.name)
        self._is_due = False
        """Whether a retry was counted that has not been sent yet."""

        self._retry: SpentRetry | None = None
        """The retry that was counted last."""

        self._was_due = False
        """Whether the newest run is a retry that was counted."""

        self._rejections = 0
        self._ended_engines = 0
        self._failures = 0
        """Runs of the begun stream that were rejected or lost."""

        self._logged_wait = ""
        """What the stream waited for according to its newest log line."""

    def note_first_attempt(self) -> None:
        """Count the first attempt."""
        self._budget.note_first_attempt(time.monotonic())

    def note_sent(self) -> None:
        """Use the retry that is due, if there is one, for a run that is made now."""
        self._was_due, self._is_due = self._is_due, False

    def note_not_sent(self) -> None:
        """Make the retry of the newest run due again, as the run was not sent."""
        self._is_due = self._is_due or self._was_due

    def note_rejected(self) -> None:
        """Count a run that an engine rejected."""
        self._rejections += 1

    def give_back(self) -> None:
        """Uncount a retry that is due and not made."""
        if self._is_due:
            self._is_due = False
            self._budget.give_back(self._retry)

    def count_after(self, outcome: RunOutcome) -> bool:
        """Count a retry; return whether another run follows.

        A stream that has begun waits for its retry, and outlives a rejection: the run
        used up no attempt of the route, as it did not take place.
        """
        if self._exchange.response_started:
            obstacle = self._obstacle_of_begun(outcome)
        else:
            obstacle = self._obstacle(outcome) or self._spend()
        if obstacle is not None:
            self._log("not_retried", obstacle, time.monotonic())
        return self._is_due

    def count_for_silent_engine(self) -> bool:
        """Count a retry for a stream that is about to leave; return whether it may."""
        if self._rejections >= MAX_REJECTED_MOVES:
            return False
        if self._obstacle(RunInterrupted("engine is silent")) is not None:
            return False
        if self._spend() is not None:
            self._ask_for_retries(time.monotonic())
        return self._is_due

    def note_not_moved(self, obstacle: str) -> None:
        """Uncount the retry of a move that was not sent; ask for one that it lacked."""
        self.note_not_sent()
        self.give_back()
        if obstacle == BUDGET_SPENT:
            self._state.on_retry_wanted(self._exchange.service.name, 1)

    def pause_after_failure(self, obstacle: str) -> bool:
        """Pause a begun stream before the next attempt at a run after a failed one.

        Returns false if it has not begun, or its client would not wait for the run.
        """
        exchange, now_s = self._exchange, time.monotonic()
        left_s = exchange.event_wait_left_s(now_s) - FIRST_EVENT_OVERHEAD_S
        if not exchange.response_started or left_s <= 0.0:
            return False
        if obstacle != self._logged_wait:
            self._logged_wait = obstacle
            self._log("stream_waits", obstacle, now_s)
        pause_s = FIRST_PAUSE_S * 2 ** max(0, self._failures - 1)
        if obstacle == BUDGET_SPENT and self._ask_for_retries(now_s):
            pause_s = FIRST_PAUSE_S
        gevent.sleep(min(pause_s, left_s))
        exchange.cancel_scope.raise_if_cancelled()
        return True

    def _obstacle_of_begun(self, outcome: RunOutcome) -> str | None:
        """Wait for a retry while the client waits; return why there is none."""
        self._failures += 1
        if isinstance(outcome, RunInterrupted) and outcome.engine_ended:
            self._uncount_ended_engine()
        if isinstance(outcome, RunRejected):
            self._exchange.sends -= 1
            self.note_rejected()
            if self._rejections > 1 and not self.pause_after_failure(outcome.reason):
                return outcome.reason
        while (obstacle := self._obstacle(outcome)) is None:
            spent = self._spend()
            if spent is None or not self.pause_after_failure(spent):
                return spent
        return obstacle

    def _uncount_ended_engine(self) -> None:
        """Make the run of an engine that ended no attempt of the route.

        Further ones count, as the stream itself may end the engines that run it.
        """
        if self._ended_engines < MAX_ENDED_ENGINES:
            self._ended_engines += 1
            self._exchange.sends -= 1

    def _obstacle(self, outcome: RunOutcome) -> str | None:
        """Return why there can be no further run."""
        exchange = self._exchange
        if isinstance(outcome, RunInterrupted) and not exchange.route.resumable:
            return "route is not resumable"
        if exchange.sends >= exchange.route.max_attempts:
            return "route allows no more attempts"
        if exchange.remaining_s < MIN_RETRY_TIME_S:
            return "deadline is too close"
        return None

    def _spend(self) -> str | None:
        """Count a retry; return why there is none."""
        begun = self._exchange.response_started
        self._retry = self._budget.spend(time.monotonic(), loans=begun)
        self._is_due = self._retry is not None
        return None if self._is_due else BUDGET_SPENT

    def _ask_for_retries(self, now_s: float) -> bool:
        """Ask peers for the retries that the next run takes, if this host has none."""
        usage = self._budget.usage(now_s)
        if usage.retries < usage.allowed:
            return False
        needed = RETRIES_PER_RUN - self._is_due
        self._state.on_retry_wanted(self._exchange.service.name, needed)
        return True

    def _log(self, event: str, obstacle: str, now_s: float) -> None:
        """Log what keeps the request from its next run, and the state of the budget."""
        usage = self._budget.usage(now_s)
        self._state.journal.event(
            event,
            request_id=self._exchange.metadata.request_id,
            obstacle=obstacle,
            retries=usage.retries,
            retries_allowed=usage.allowed,
            first_attempts=usage.first_attempts,
            wait_left_ms=int(self._exchange.event_wait_left_s(now_s) * 1_000),
            sends=self._exchange.sends,
            rejections=self._rejections,
        )
