"""Retries for the prefills of one request after its first one."""

import time

from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.gateway.exchange import StreamBroken

MAX_PREFILL_ATTEMPTS = 3


class PrefillRetries:
    """Count the prefills of one request, and hold a retry for the next one."""

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget
        self._attempts = 0
        self._held = False

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
        """Hold a retry; raise ``StreamBroken`` if there may be none."""
        if self.exhausted:
            raise StreamBroken("prompt was read too often")
        if not self._budget.try_spend(time.monotonic()):
            raise StreamBroken("retry budget is spent")
        self._held = True

    def try_hold(self) -> bool:
        """Hold a retry for the next prefill; return whether there is one."""
        if self._held or self._attempts + 1 >= MAX_PREFILL_ATTEMPTS:
            return False
        self._held = self._budget.try_spend(time.monotonic())
        return self._held

    def take(self, *, begun: bool) -> bool:
        """Use the retry that is held, or count one; return whether there is one.

        A stream that has begun may use one that another host has lent.
        """
        held, self._held = self._held, False
        return held or self._budget.try_spend(time.monotonic(), loans=begun)

    def give_back(self) -> None:
        """Uncount a retry that was taken and not sent."""
        self._budget.give_back()

    def end_hold(self) -> None:
        """Uncount the retry that is held, if there is one."""
        held, self._held = self._held, False
        if held:
            self._budget.give_back()
