"""Plan of the stages of the engines of one service.

Prefill bounds what a deployment can serve: with the engines of the deployment sheets,
one decode engine generates what five prefill engines read. More of them decode when the
runs need it (``decode_demand``).
"""

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import Replica, Stage

ENGINES_PER_DECODER = 6
"""Engines of which one decodes at least; the others read prompts."""

ORDER_EFFECT_TIMEOUT_S = 6.0
"""Time in which an accepted order is expected to show in its engine's entry.

A stage change takes 3 s on the deployment sheets, and its entry is up to 2 s late.
"""

ORDER_RETRY_S = 0.5
"""Time after which an order without an answer is sent again.

The engine carries out at most one of both, since both name the same sequence.
"""


SETTLE_S = 1.5
"""Time without a new engine after which the registered ones are taken for all."""


class EngineWatch:
    """Decide whether the engines of a service are known well enough for a plan.

    Engines register one after the other, and a plan for the first few would be undone
    at once. The loss of the last decode engine is answered without delay.
    """

    def __init__(self) -> None:
        self._known: set[str] = set()
        self._added_s = 0.0
        self._had_decoder = False

    def observe(self, engines: Sequence[Replica], *, now_s: float) -> None:
        """Note the engines that are registered now."""
        known = {engine.replica_id for engine in engines}
        if known - self._known:
            self._added_s = now_s
        self._known = known
        self._had_decoder = self._had_decoder or any(
            engine.stage is Stage.DECODE for engine in engines
        )

    def settled(
        self,
        engines: Sequence[Replica],
        unreachable: Collection[str],
        *,
        now_s: float,
    ) -> bool:
        """Return whether a plan may be made."""
        decoding = any(
            engine.stage is Stage.DECODE
            and not engine.draining
            and engine.replica_id not in unreachable
            for engine in engines
        )
        if self._had_decoder and not decoding:
            return True
        return now_s - self._added_s >= SETTLE_S


@dataclass(frozen=True)
class SentOrder:
    """Hold the last order of an engine; ``accepted`` is false without an answer."""

    stage: Stage
    sent_s: float
    accepted: bool

    def pending(self, now_s: float) -> bool:
        """Return whether the engine may still be about to change by this order."""
        keep_s = ORDER_EFFECT_TIMEOUT_S if self.accepted else ORDER_RETRY_S
        return now_s - self.sent_s <= keep_s


@dataclass(frozen=True)
class StageChange:
    """Ask for one engine to change its stage."""

    replica: Replica
    stage: Stage


def decoders_wanted(engine_count: int) -> int:
    """Return how many of the engines decode."""
    if engine_count <= 0:
        return 0
    return max(1, -(-engine_count // ENGINES_PER_DECODER))


def plan_changes(
    engines: Sequence[Replica],
    orders: Mapping[str, SentOrder],
    *,
    unreachable: Collection[str],
    now_s: float,
    wanted_decoders: Callable[[int], int] = decoders_wanted,
) -> list[StageChange]:
    """Return the changes that lead to the wanted stages.

    ``wanted_of`` tells how many of a number of engines shall decode.

    ``orders`` holds the last order of each engine. An engine leaves the decode stage
    only if enough others decode already: until a change is complete, nobody generates
    in its place. Engines that can't be reached count as lost before their entries end.
    """
    usable = [
        e
        for e in engines
        if not e.draining and e.stage is not None and e.replica_id not in unreachable
    ]
    pending = {
        e.replica_id: orders[e.replica_id].stage
        for e in usable
        if e.replica_id in orders
        and orders[e.replica_id].stage is not e.stage
        and orders[e.replica_id].pending(now_s)
    }
    free = [e for e in usable if e.replica_id not in pending]
    decoding = [e for e in free if e.stage is Stage.DECODE]
    becoming = [r for r, stage in pending.items() if stage is Stage.DECODE]
    wanted = wanted_decoders(len(usable))
    missing = wanted - len(decoding) - len(becoming)
    if missing > 0:
        readers = [e for e in free if e.stage is not Stage.DECODE]
        return _changes(readers, orders, Stage.DECODE, missing)
    return _changes(decoding, orders, Stage.PREFILL, len(decoding) - wanted)


def _changes(
    candidates: Sequence[Replica],
    orders: Mapping[str, SentOrder],
    stage: Stage,
    count: int,
) -> list[StageChange]:
    """Choose engines, first those that may have got the same order already.

    The others come from the zones that have most of them, since hosts use the engines
    of their own zone first.
    """

    def unanswered(engine: Replica) -> bool:
        order = orders.get(engine.replica_id)
        return order is not None and order.stage is stage and not order.accepted

    left, chosen = list(candidates), []
    while left and len(chosen) < count:
        in_zone = Counter(engine.availability_zone for engine in left)
        best = min(
            left,
            key=lambda engine: (
                not unanswered(engine),
                -in_zone[engine.availability_zone],
                engine.replica_id,
            ),
        )
        left.remove(best)
        chosen.append(StageChange(best, stage))
    return chosen
