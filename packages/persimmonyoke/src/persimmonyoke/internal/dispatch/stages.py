"""Plan of the stages of the engines of one service.

Prefill bounds what a deployment can serve: with the engines of the deployment sheets,
one decode engine generates what five prefill engines read.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import Replica, Stage

ENGINES_PER_DECODER = 6
"""Engines of which one decodes; the others read prompts."""

ORDER_KEEP_S = 6.0
"""Time after an order in which its engine gets no other one.

A stage change takes 3 s on the deployment sheets, and its entry is up to 2 s late.
"""


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
    ordered_s: Mapping[str, float],
    ordered_stage: Mapping[str, Stage],
    *,
    now_s: float,
) -> list[StageChange]:
    """Return the changes that lead to the wanted stages.

    ``ordered_s`` and ``ordered_stage`` hold the last order of each engine. An engine
    whose change is under way counts with the stage that it was asked for.
    """
    usable = [e for e in engines if not e.draining and e.stage is not None]
    expected = {
        e.replica_id: _expected_stage(e, ordered_s, ordered_stage, now_s=now_s)
        for e in usable
    }
    free = [
        e for e in usable if now_s - ordered_s.get(e.replica_id, -1e9) > ORDER_KEEP_S
    ]
    decoding = sum(1 for stage in expected.values() if stage is Stage.DECODE)
    surplus = decoding - decoders_wanted(len(usable))
    if surplus > 0:
        return _changes(free, expected, Stage.PREFILL, surplus)
    return _changes(free, expected, Stage.DECODE, -surplus)


def _expected_stage(
    engine: Replica,
    ordered_s: Mapping[str, float],
    ordered_stage: Mapping[str, Stage],
    *,
    now_s: float,
) -> Stage | None:
    if now_s - ordered_s.get(engine.replica_id, -1e9) <= ORDER_KEEP_S:
        return ordered_stage.get(engine.replica_id, engine.stage)
    return engine.stage


def _changes(
    free: Sequence[Replica],
    expected: Mapping[str, Stage | None],
    stage: Stage,
    count: int,
) -> list[StageChange]:
    candidates = [e for e in free if expected[e.replica_id] is not stage]
    candidates.sort(key=lambda e: e.replica_id)
    return [StageChange(engine, stage) for engine in candidates[:count]]
