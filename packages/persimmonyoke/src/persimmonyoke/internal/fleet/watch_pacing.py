"""Rate limit of the watch calls to the store."""

BURST_CALLS = 3
"""Calls without a delay between them, so that a single event is seen at once."""

CALLS_PER_S = 2.0
"""Rate of calls in a burst of events, in which each call returns several events.

When all hosts and replicas register within seconds, a call per event would make the
total number of calls quadratic in the size of the fleet.
"""


class WatchPacer:
    """Limit the rate of watch calls with a token bucket."""

    def __init__(
        self, *, burst_calls: float = BURST_CALLS, calls_per_s: float = CALLS_PER_S
    ) -> None:
        self._burst_calls = burst_calls
        self._calls_per_s = calls_per_s
        self._tokens = float(burst_calls)
        self._updated_s: float | None = None

    def next_call_delay_s(self, now_s: float) -> float:
        """Take a token for the next call and return how long the call must wait."""
        if self._updated_s is not None:
            refilled = (now_s - self._updated_s) * self._calls_per_s
            self._tokens = min(self._burst_calls, self._tokens + refilled)
        self._updated_s = now_s
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._calls_per_s)
