"""Engines that were ordered to change their stage and have yet to do so."""

from dataclasses import dataclass

from persimmonyoke.internal.fleet.model import Replica, Stage

STAGE_CHANGE_TIMEOUT_S = 4.0
"""Time for which an engine that was ordered to change its stage gets no work.

A change takes 3 s; the timeout is for orders that are never carried out.
"""


@dataclass(frozen=True)
class ExpectedStage:
    """Hold the stage that an engine was ordered to change to, and the time."""

    stage: Stage
    since_s: float


class StageChanges:
    """Track which engines are changing their stage."""

    def __init__(self) -> None:
        self._expected: dict[str, ExpectedStage] = {}

    def note_order(self, replica_id: str, stage: Stage, *, now_s: float) -> None:
        """Record that an engine is being ordered to change to a stage."""
        self._expected[replica_id] = ExpectedStage(stage, now_s)

    def is_pending(self, replica: Replica, now_s: float) -> bool:
        """Return whether an engine has yet to complete an ordered stage change."""
        expected = self._expected.get(replica.replica_id)
        if expected is None:
            return False
        overdue = now_s - expected.since_s > STAGE_CHANGE_TIMEOUT_S
        if overdue or expected.stage is replica.stage:
            del self._expected[replica.replica_id]
            return False
        return True

    def is_pending_to(self, replica: Replica, stage: Stage, now_s: float) -> bool:
        """Return whether an engine has yet to complete a change to a stage."""
        if not self.is_pending(replica, now_s):
            return False
        return self._expected[replica.replica_id].stage is stage
