"""This host's shares of the retry budgets of the services."""

from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.gateway.settings import GatewaySettings

RETRY_MARGIN = 0.85
"""Share of the retry budget that is used, since the windows of hosts differ."""

MIN_HOSTS_SHARING_SLACK = 4
"""Least number of hosts that the slack is divided among.

While hosts are still registering, fewer are known.
"""


class RetryBudgets:
    """Hold one budget for each service."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}

    def of_service(self, service: str, *, hosts: int) -> RetryBudget:
        """Return the budget of a service that some hosts share.

        The slack is divided by the number of registered hosts, on which hosts agree
        even when they cannot reach each other.
        """
        settings = self._settings
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                share=settings.retry_share * RETRY_MARGIN,
                window_s=settings.retry_window_s,
                floor=0,
            )
        sharing = max(MIN_HOSTS_SHARING_SLACK, hosts)
        budget.slack = settings.retry_slack * RETRY_MARGIN / sharing
        return budget
