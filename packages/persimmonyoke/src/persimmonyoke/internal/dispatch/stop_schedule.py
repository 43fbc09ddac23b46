"""Decide which requests a host still accepts after it was told to stop."""

from dataclasses import dataclass

from persimmonyoke.internal.dispatch.stream_pace import Pace

OPEN_S = 2.5
"""Time after the signal in which a request may be accepted that could be cut.

The platform allows a cut of what was sent within 3 s of the signal. The rest is for the
delays of the signal and of the request.
"""

PACE_FACTOR = 1.5
"""Factor by which a stream may be slower than the slowest recent one."""

SILENCE_S = 2.0
"""Time for which a sound engine may fall silent in the middle of a stream.

The least patient callers wait for as long.
"""


@dataclass(frozen=True)
class RequestTime:
    """Hold how long a request may take."""

    longest_s: float
    """Time after which its caller or its route gives it up."""

    first_event_s: float
    """Time in which its answer begins if it is on time."""

    rest_s: float
    """Expected time from the first event to the last."""

    longest_rest_s: float
    """Time from the first event to the last with a margin, or infinity."""


@dataclass(frozen=True)
class StopSchedule:
    """Hold when the answers of a stopping host end, counted from the signal."""

    answers_end_s: float

    def accepts(self, request: RequestTime, *, elapsed_s: float) -> bool:
        """Return whether a request is expected to end before the answers do.

        One that isn't is better refused, as other hosts serve it.
        """
        late = self.must_complete(elapsed_s)
        rest_s = request.longest_rest_s if late else request.rest_s
        left_s = self.answers_end_s - elapsed_s
        return min(request.longest_s, request.first_event_s + rest_s) <= left_s

    def may_begin(self, request: RequestTime, *, elapsed_s: float) -> bool:
        """Return whether an answer that begins now ends before the answers do."""
        left_s = self.answers_end_s - elapsed_s
        return min(request.longest_s, request.longest_rest_s) <= left_s

    @staticmethod
    def must_complete(elapsed_s: float) -> bool:
        """Return whether a request that arrives now must not be cut by the exit."""
        return elapsed_s > OPEN_S


def stream_time(
    max_tokens: int, pace: Pace | None, *, longest_s: float, first_event_s: float
) -> RequestTime:
    """Return the time of a stream with at most some tokens.

    Without a pace nothing is expected of it, and nothing certain is known.
    """
    if pace is None:
        return RequestTime(longest_s, first_event_s, 0.0, float("inf"))
    longest_rest_s = PACE_FACTOR * max_tokens * pace.slowest_event_s + SILENCE_S
    rest_s = max_tokens * pace.max_token_s
    return RequestTime(longest_s, first_event_s, rest_s, longest_rest_s)


def plain_time(*, longest_s: float, answer_s: float) -> RequestTime:
    """Return the time of a request whose answer is sent as a whole."""
    return RequestTime(longest_s, answer_s, 0.0, float("inf"))
