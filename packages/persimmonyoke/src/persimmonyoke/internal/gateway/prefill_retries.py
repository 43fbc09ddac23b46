"""Retries for the prefills of one request after its first one."""

import time

from persimmonyoke.internal.delivery.retry_budget import (
    BUDGET_SPENT,
    RetryBudget,
    SpentRetry,
)
from persimmonyoke.internal.gateway.exchange import StreamBroken

MAX_PREFILL_ATTEMPTS = 3


class PrefillRetries:
    """Count the prefills of one request, and hold a retry for the next one."""

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget
        self._attempts = 0
        self._held: SpentRetry | None = None
        self._taken: SpentRetry | None = None

    @property
    def is_first(self) -> bool:
        """Return whether no prefill has been sent yet."""
        return not self._attempts

    @property
    def exhausted(self) -> bool:
        """Return whether no further prefill is allowed."""
        return self._attempts >= MAX_PREFILL_ATTEMPTS

    def note_sent(self) -> None:
        """Count a prefill that was sent."""
        self._attempts += 1

    def hold(self) -> None:
        """Hold a retry for a begun stream; raise ``StreamBroken`` if there is none."""
        if self.exhausted:
            raise StreamBroken("prompt was read too often")
        self._held = self._budget.spend(time.monotonic(), loans=True)
        if self._held is None:
            raise StreamBroken(BUDGET_SPENT)

    def try_hold(self) -> bool:
        """Hold a retry for the next prefill; return whether there is one."""
        if self._held is not None or self._attempts + 1 >= MAX_PREFILL_ATTEMPTS:
            return False
        self._held = self._budget.spend(time.monotonic())
        return self._held is not None

    def take(self, *, begun: bool) -> bool:
        """Use the retry that is held, or count one; return whether there is one.

        A stream that has begun may use one that another host has lent.
        """
        held, self._held = self._held, None
        self._taken = held or self._budget.spend(time.monotonic(), loans=begun)
        return self._taken is not None

    def give_back(self) -> None:
        """Uncount a retry that was taken and not sent."""
        self._budget.give_back(self._taken)

    def end_hold(self) -> None:
        """Uncount the retry that is held, if there is one."""
        held, self._held = self._held, None
        if held is not None:
            self._budget.give_back(held)
