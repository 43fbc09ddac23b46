"""Assignment of the engines of one service to the prefill and decode stages.

Prefill limits the throughput of a deployment: with the engines on the deployment
sheets, one decode engine keeps up with five prefill engines. More engines decode when
the load requires it (``decode_demand``).
"""

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.dispatch.version_plan import majority_version
from persimmonyoke.internal.fleet.model import Replica, ServiceVersions, Stage

ENGINES_PER_DECODER = 6
"""Number of engines per decode engine, by default; the others prefill."""

ORDER_EFFECT_TIMEOUT_S = 6.0
"""Time within which an accepted order takes effect in the engine's entry.

A stage change takes 3 s on the deployment sheets, and the entry is up to 2 s late.
"""

ORDER_RETRY_S = 0.5
"""Time after which an order without a response is sent again.

The engine executes at most one of both, since both carry the same sequence number.
"""


SETTLE_S = 1.5
"""Time without a registration after which the set of engines counts as complete."""


class EngineWatch:
    """Decide whether the set of engines of a service is stable enough for a plan.

    Engines register one after the other, and a plan for the first few would be reversed
    at once. The loss of the last decode engine is handled without delay.
    """

    def __init__(self) -> None:
        self._known: set[str] = set()
        self._added_s = 0.0
        self._had_decoder = False

    def observe(self, engines: Sequence[Replica], *, now_s: float) -> None:
        """Record the engines that are registered now."""
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
    """Hold the last order of an engine; ``accepted`` is false without a response."""

    stage: Stage
    sent_s: float
    accepted: bool

    def pending(self, now_s: float) -> bool:
        """Return whether the order may still take effect."""
        keep_s = ORDER_EFFECT_TIMEOUT_S if self.accepted else ORDER_RETRY_S
        return now_s - self.sent_s <= keep_s


@dataclass(frozen=True)
class StageChange:
    """Describe the planned change of one engine to another stage."""

    replica: Replica
    stage: Stage


def decoders_wanted(engine_count: int) -> int:
    """Return the default number of decode engines."""
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
    versions: ServiceVersions | None = None,
) -> list[StageChange]:
    """Return the stage changes that are needed now.

    ``wanted_decoders`` maps the number of usable engines to the number that should
    decode. ``orders`` holds the last order of each engine. An engine leaves the decode
    stage only if enough others decode already, because its replacement generates
    nothing until its own change is complete. Unreachable engines count as lost even
    while their entries exist. Decode engines of versions at which no new streams begin
    are surplus once no stream that began there can be resumed.
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
    becoming = [e for e in usable if pending.get(e.replica_id) is Stage.DECODE]
    wanted = wanted_decoders(len(usable))
    preferred = majority_version(usable, versions.active) if versions else None
    main, other = _by_version(decoding, preferred)
    main_becoming, _ = _by_version(becoming, preferred)
    missing = wanted - len(main) - len(main_becoming)
    if missing > 0:
        prefill_engines = [e for e in free if e.stage is not Stage.DECODE]
        candidates, _ = _by_version(prefill_engines, preferred)
        return _changes(candidates, orders, Stage.DECODE, missing)
    needed = {versions.active, *versions.earlier} if versions else set()
    surplus = [engine for engine in other if engine.software_version not in needed]
    return [
        *_changes(main, orders, Stage.PREFILL, len(main) - wanted),
        *_changes(surplus, orders, Stage.PREFILL, len(surplus)),
    ]


def _by_version(
    engines: Sequence[Replica], version: str | None
) -> tuple[list[Replica], list[Replica]]:
    """Split engines into those of a version and the others; all match ``None``."""
    matching = [e for e in engines if version in (None, e.software_version)]
    others = [e for e in engines if version not in (None, e.software_version)]
    return matching, others


def _changes(
    candidates: Sequence[Replica],
    orders: Mapping[str, SentOrder],
    stage: Stage,
    count: int,
) -> list[StageChange]:
    """Choose engines, first those that may have received the same order already.

    The others are taken from the zones with the most candidates, to keep engines of
    both stages in each zone: hosts prefer the engines of their own zone.
    """

    def unanswered(engine: Replica) -> bool:
        order = orders.get(engine.replica_id)
        return order is not None and order.stage is stage and not order.accepted

    remaining, chosen = list(candidates), []
    while remaining and len(chosen) < count:
        in_zone = Counter(engine.availability_zone for engine in remaining)
        best = min(
            remaining,
            key=lambda engine: (
                not unanswered(engine),
                -in_zone[engine.availability_zone],
                engine.replica_id,
            ),
        )
        remaining.remove(best)
        chosen.append(StageChange(best, stage))
    return chosen
