"""Load shedding: refusal of generations that can't meet their deadline."""

from dataclasses import dataclass

DEADLINE_SHARE = 0.85
"""Share of the remaining time within which the first event must be expected.

The rest is a margin for estimates that are too low.
"""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
"""Bursts on the deployment sheets alternate every 2.8 s."""


@dataclass(frozen=True)
class Refused:
    """Hold why a request is refused and when a retry is likely to succeed."""

    reason: str
    retry_after_s: float
    first_event_s: float | None = None


def refuse_if_late(
    first_event_s: float, remaining_s: float, *, is_retry: bool = False
) -> Refused | None:
    """Refuse a request whose first event is expected too late for its caller.

    A retry of a refused request has priority and may use all of its remaining time.
    """
    latest_s = remaining_s if is_retry else remaining_s * DEADLINE_SHARE
    if first_event_s <= latest_s:
        return None
    excess_s = first_event_s - latest_s
    return Refused(
        "first event would come too late",
        min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s)),
        first_event_s,
    )
