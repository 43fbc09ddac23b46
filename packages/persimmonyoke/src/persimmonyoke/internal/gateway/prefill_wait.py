"""Decision when a prefill call to a silent engine is given up for another engine."""

from collections.abc import Callable, Sequence
from random import Random

from persimmonyoke.internal.dispatch.engine_silence import (
    ENGINE_SILENCE_S,
    STREAM_SILENCE_S,
    EngineSilences,
    engines_to_continue,
    engines_to_probe,
    next_look_s,
)
from persimmonyoke.internal.dispatch.placement import PrefillPlan
from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import UpstreamConnection
from persimmonyoke.internal.gateway.engine_calls import CALL_TIMEOUT_S
from persimmonyoke.internal.gateway.engine_probe import EngineProbes
from persimmonyoke.internal.gateway.hedge import AnswerWait

SLOWDOWN = 2.0
"""Further multiple of the expected time that an engine gets which answers probes."""


class PrefillWait(AnswerWait):
    """Keep a prefill call waiting unless it is late and another engine answers.

    Late engines are probed. One that answers may only be slower than expected, so its
    call gets more time than that of a silent one. Near the deadline it is kept, as a
    stream that begins less than ``stream_s`` before it would be cut. ``readers``
    returns the engines that may read the prompt now, and ``hold_retry`` holds a retry
    for the next call and returns whether there is one.
    """

    def __init__(
        self,
        plan: PrefillPlan,
        *,
        last_s: float,
        stream_s: float,
        silences: EngineSilences,
        probes: EngineProbes,
        readers: Callable[[], Sequence[Replica]],
        hold_retry: Callable[[], bool],
        rng: Random,
    ) -> None:
        self._plan = plan
        self._last_s = last_s
        self._stream_s = stream_s
        self._silences = silences
        self._probes = probes
        self._readers = readers
        self._hold_retry = hold_retry
        self._rng = rng
        self._expected_s = last_s
        self._probed_s = float("inf")
        self._leaves = False
        self.left: UpstreamConnection | None = None
        """The connection of the call if it was given up for another engine."""

    def first_limit_s(self, sent_s: float, deadline_s: float) -> float:
        """Return when the engine is late enough to be asked for a sign of life."""
        self._expected_s = sent_s + self._plan.done_s
        return min(deadline_s, self._expected_s + next_look_s(0.0, 0.0))

    def wait_until_s(self, now_s: float) -> float | None:
        """Return how long to wait further, or ``None`` if the call is given up."""
        if now_s >= self._last_s:
            return None
        others = self._others(now_s)
        is_late = now_s >= self._leave_s(now_s) and self._leaves_time(now_s)
        if others and is_late and self._hold_retry():
            self._leaves = True
            return None
        if self._probed_s > now_s or not others or not self._was_heard(now_s):
            self._probe(now_s)
        return min(self._last_s, now_s + next_look_s(self._expected_s, now_s))

    def keep(self, connection: UpstreamConnection) -> bool:
        """Keep the connection of a call that was given up, whose answer may be late."""
        if self._leaves:
            self.left = connection
        return self._leaves

    def _leaves_time(self, now_s: float) -> bool:
        """Return whether a stream could still be written after another prefill."""
        return self._last_s - now_s >= self._plan.done_s + self._stream_s

    def _leave_s(self, now_s: float) -> float:
        """Return when the call may be given up, which a probe comes before."""
        leave_s = max(
            self._expected_s + STREAM_SILENCE_S, self._probed_s + CALL_TIMEOUT_S
        )
        if self._was_heard(now_s):
            leave_s += SLOWDOWN * self._plan.done_s
        return leave_s

    def _was_heard(self, now_s: float) -> bool:
        age_s = self._silences.age_s(self._plan.engine, now_s)
        return age_s is not None and age_s < ENGINE_SILENCE_S

    def _others(self, now_s: float) -> list[Replica]:
        """Return the other engines that answer and may read the prompt."""
        engines = engines_to_continue(
            self._readers(),
            left=self._plan.engine,
            avoided=(),
            silences=self._silences,
            now_s=now_s,
        )
        return [engine for engine in engines if engine != self._plan.engine]

    def _probe(self, now_s: float) -> None:
        """Ask the engine and some others for a sign of life."""
        self._probed_s = min(self._probed_s, now_s)
        self._probes.start_all(
            engines_to_probe(
                self._readers(), left=self._plan.engine, avoided=(), rng=self._rng
            )
        )
