"""Pace of the calls by which a host watches the store."""

BURST_CALLS = 3
"""Calls that may follow each other at once; a lone event is seen without delay."""

CALLS_PER_S = 2.0
"""Rate in a burst of events; each call then returns several of them.

Where all hosts and replicas register within seconds, a call for each event would cost
calls in the square of their number.
"""


class WatchPacer:
    """Delay watch calls while events come in quick succession (a token bucket)."""

    def __init__(
        self, *, burst_calls: float = BURST_CALLS, calls_per_s: float = CALLS_PER_S
    ) -> None:
        self._burst_calls = burst_calls
        self._calls_per_s = calls_per_s
        self._tokens = float(burst_calls)
        self._updated_s: float | None = None

    def next_call_delay_s(self, now_s: float) -> float:
        """Take the turn of the next call and return how long it must wait."""
        if self._updated_s is not None:
            refilled = (now_s - self._updated_s) * self._calls_per_s
            self._tokens = min(self._burst_calls, self._tokens + refilled)
        self._updated_s = now_s
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._calls_per_s)
