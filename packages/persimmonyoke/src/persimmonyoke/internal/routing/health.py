"""Upstreams that failed a short time ago and get only single trials."""

from collections import OrderedDict
from dataclasses import dataclass

# A restarting engine is back after about a second. Each trial of an upstream that stays
# broken costs a retry; doubling the hold instead of HOLD_FACTOR used up the budget.
FIRST_HOLD_S = 1.0
HOLD_FACTOR = 4
MAX_HOLD_S = 16.0
MAX_UPSTREAMS = 4_096


@dataclass
class _Failing:
    incarnation: str
    failures: int
    failed_s: float
    held_until_s: float


class UpstreamHealth:
    """Hold back work from upstreams whose last call from this host failed.

    After the hold, which grows with each failure in a row, one call is let through.
    The upstream is in use again when a call that began after the failure succeeds.
    """

    def __init__(self) -> None:
        self._failing: OrderedDict[str, _Failing] = OrderedDict()

    def note_failure(self, name: str, now_s: float, *, incarnation: str = "") -> None:
        """Count a failed call; calls that were open together count once."""
        failing = self._failing.get(name)
        if failing is None:
            failing = self._failing[name] = _Failing(incarnation, 0, now_s, now_s)
            if len(self._failing) > MAX_UPSTREAMS:
                self._failing.popitem(last=False)
        elif now_s - failing.failed_s < FIRST_HOLD_S / 2:
            return
        failing.failures += 1
        failing.failed_s = now_s
        failing.held_until_s = now_s + _hold_s(failing)

    def note_success(self, name: str, started_s: float) -> None:
        """Use the upstream again unless it has failed after the call had started."""
        failing = self._failing.get(name)
        if failing is not None and started_s > failing.failed_s:
            del self._failing[name]

    def note_dispatch(self, name: str, now_s: float) -> None:
        """Let no second call through until the outcome of a trial is known."""
        failing = self._failing.get(name)
        if failing is not None:
            failing.held_until_s = max(failing.held_until_s, now_s + _hold_s(failing))

    def forget(self, name: str) -> None:
        """Drop what is known, since another process has taken the place."""
        self._failing.pop(name, None)

    def is_held(self, name: str, now_s: float, *, incarnation: str = "") -> bool:
        """Return whether the upstream must get no call now.

        A process of another incarnation than the one that failed is not held back.
        """
        failing = self._failing.get(name)
        if failing is None:
            return False
        if failing.incarnation != incarnation:
            del self._failing[name]
            return False
        return failing.held_until_s > now_s

    def is_failing(self, name: str) -> bool:
        """Return whether no call has succeeded since the last failure."""
        return name in self._failing


def _hold_s(failing: _Failing) -> float:
    return min(MAX_HOLD_S, FIRST_HOLD_S * HOLD_FACTOR ** (failing.failures - 1))
