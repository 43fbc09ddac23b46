"""Silence of engines, and whether a stream leaves one that is silent."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from persimmonyoke.internal.fleet.model import Replica

STREAM_SILENCE_S = 1.2
"""Time without an event after which a stream may continue on another engine.

A gap of more than 150 ms is late; clients disconnect after 2 s or more.
"""

PROBE_AFTER_S = 0.8
"""Time without an event after which engines are probed if none is known to answer."""

LOOK_AGAIN_S = 0.1
"""Interval at which a stream that waits for its engine looks for another one."""

ENGINE_SILENCE_S = 0.5
"""Time without an answer or bytes of a stream after which an engine may be silent."""

RECOVERY_S = 0.3
"""Time that an engine which was silent has to go on with all of its streams."""

ENGINES_PROBED = 2
"""Other engines that are asked for a sign of life for one silent stream."""


@dataclass
class _Heard:
    """Hold the number of open streams of an engine and when it was heard."""

    streams: int = 0
    last_s: float = 0.0
    recovered_s: float = float("-inf")


class EngineSilences:
    """Track when engines were last heard, by answers or by bytes of streams."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def begin(self, engine: Replica, now_s: float) -> None:
        """Record that an engine has begun to write a stream."""
        self.note_answer(engine, now_s)
        self._heard[_key(engine)].streams += 1

    def note_answer(
        self, engine: Replica, now_s: float, *, waited_s: float = 0.0
    ) -> None:
        """Record an answer after a wait, or bytes of a stream."""
        heard = self._heard.setdefault(_key(engine), _Heard(last_s=now_s))
        silent_s = now_s - heard.last_s if heard.streams else 0.0
        if max(silent_s, waited_s) >= ENGINE_SILENCE_S:
            heard.recovered_s = now_s
        heard.last_s = now_s

    def end(self, engine: Replica) -> None:
        """Record that a stream is no longer read."""
        heard = self._heard.get(_key(engine))
        if heard is not None:
            heard.streams -= 1

    def forget(self, engine: Replica) -> None:
        """Discard what is known of an engine that is gone."""
        self._heard.pop(_key(engine), None)

    def age_s(self, engine: Replica, now_s: float) -> float | None:
        """Return how long ago an engine was heard, or ``None`` if it was not."""
        heard = self._heard.get(_key(engine))
        return None if heard is None else now_s - heard.last_s

    def answers(self, engine: Replica, now_s: float) -> bool:
        """Return whether an engine was heard just now, and not after a silence.

        An engine that this host has not heard may be silent like the others.
        """
        heard = self._heard.get(_key(engine))
        if heard is None or now_s - heard.last_s >= ENGINE_SILENCE_S:
            return False
        return now_s - heard.recovered_s >= RECOVERY_S


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

    Only an engine that answers is one: a common silence has a cause that moving the
    stream doesn't avoid. The engine itself is one if it answers other calls, as this
    answer is lost then.
    """
    return [
        engine
        for engine in engines
        if _may_continue(engine, left, avoided) and silences.answers(engine, now_s)
    ]


def engines_to_probe(
    engines: Sequence[Replica],
    *,
    left: Replica,
    avoided: Collection[str],
    rng: Random,
) -> list[Replica]:
    """Return the engines to ask whether they answer, the stream's own first."""
    others = [e for e in engines if e != left and _may_continue(e, left, avoided)]
    return [left, *rng.sample(others, min(ENGINES_PROBED, len(others)))]


def _may_continue(engine: Replica, left: Replica, avoided: Collection[str]) -> bool:
    """Return whether an engine may write a stream that another one began."""
    if engine.stage is not left.stage:
        return False
    return engine == left or engine.replica_id not in avoided


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
