"""Silence of engines, and whether a stream leaves one that is silent."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import Replica

STREAM_SILENCE_S = 1.2
"""Time without an event after which a stream may continue on another engine.

A gap of more than 150 ms is late; clients disconnect after 2 s or more.
"""

PROBE_AFTER_S = 0.8
"""Time without an event after which the engine is probed if there is no other one."""

LOOK_AGAIN_S = 0.1
"""Interval at which a stream that waits for its engine looks for another one."""

ENGINE_SILENCE_S = 0.5
"""Time after which an engine of which no stream brings bytes counts as silent."""

RECOVERY_S = 0.3
"""Time that an engine which was silent has to go on with all of its streams."""


@dataclass
class _Heard:
    """Hold the number of open streams of an engine and when it was heard."""

    streams: int = 0
    last_s: float = 0.0
    recovered_s: float = float("-inf")


class EngineSilences:
    """Track which engines leave all streams that this host reads without bytes."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def begin(self, engine: Replica, now_s: float) -> None:
        """Record that an engine has begun to answer."""
        heard = self._heard.setdefault(_key(engine), _Heard(last_s=now_s))
        heard.streams += 1
        self.note_answer(engine, now_s)

    def note_answer(self, engine: Replica, now_s: float) -> None:
        """Record an answer or bytes of a stream."""
        heard = self._heard.get(_key(engine))
        if heard is None:
            return
        if now_s - heard.last_s >= ENGINE_SILENCE_S:
            heard.recovered_s = now_s
        heard.last_s = now_s

    def end(self, engine: Replica) -> None:
        """Record that a stream is no longer read."""
        heard = self._heard[_key(engine)]
        heard.streams -= 1
        if not heard.streams:
            del self._heard[_key(engine)]

    def age_s(self, engine: Replica, now_s: float) -> float | None:
        """Return how long ago an engine was heard, or ``None`` if it was not."""
        heard = self._heard.get(_key(engine))
        return None if heard is None else now_s - heard.last_s

    def silent(self, engine: Replica, now_s: float) -> bool:
        """Return whether an engine with streams is silent, or was until just now."""
        heard = self._heard.get(_key(engine))
        if heard is None:
            return False
        is_silent = now_s - heard.last_s >= ENGINE_SILENCE_S
        return is_silent or now_s - heard.recovered_s < RECOVERY_S


def _key(engine: Replica) -> str:
    """Return the key of an incarnation, as a restarted engine is not silent."""
    return f"{engine.replica_id}/{engine.born_unix_ms}"


def next_look_s(silent_since_s: float, now_s: float) -> float:
    """Return after which further silence a stream looks for another engine."""
    silent_s = now_s - silent_since_s
    if silent_s < PROBE_AFTER_S:
        return PROBE_AFTER_S - silent_s
    return max(LOOK_AGAIN_S, STREAM_SILENCE_S - silent_s)


def engines_to_continue(
    engines: Sequence[Replica],
    *,
    left: Replica,
    avoided: Collection[str],
    silences: EngineSilences,
    now_s: float,
) -> list[Replica]:
    """Return the engines on which a silent stream of one engine may go on sooner.

    An engine that is silent as well is none: a common silence has a cause that moving
    the stream doesn't avoid. The engine itself is one if it answers other calls, as
    this answer is lost then.
    """
    return [
        engine
        for engine in engines
        if engine.stage is left.stage
        and (engine == left or engine.replica_id not in avoided)
        and not silences.silent(engine, now_s)
    ]


def may_leave(
    *,
    silent_since_s: float,
    event_wait_left_s: float,
    first_event_s: float,
    engines: Sequence[Replica],
    now_s: float,
) -> bool:
    """Return whether a stream gains by leaving its engine, if a retry is left.

    ``first_event_s`` is the least time in which another engine brings an event.
    """
    if now_s - silent_since_s < STREAM_SILENCE_S:
        return False
    return bool(engines) and event_wait_left_s > first_event_s
