"""Speed of each engine as its finished prompts show it."""

from collections import defaultdict

WEIGHT = 0.2
"""Weight of the newest prompt in the average over some ten prompts."""

MIN_PREFILL_S = 0.02
"""Shorter prompts tell more of the network than of the engine."""

MAX_FACTOR, MIN_FACTOR = 2.5, 0.7


class EngineFactors:
    """Learn by which factor engines need more time than expected."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = defaultdict(lambda: 1.0)

    def factor(self, replica_id: str) -> float:
        """Return the factor of an engine; 1 is the expected speed."""
        return self._factors[replica_id]

    def note(self, replica_id: str, *, expected_s: float, actual_s: float) -> None:
        """Learn from a prompt that had to wait for no other one."""
        if expected_s < MIN_PREFILL_S:
            return
        measured = min(MAX_FACTOR, max(MIN_FACTOR, actual_s / expected_s))
        known = self._factors[replica_id]
        self._factors[replica_id] = known + WEIGHT * (measured - known)

    def forget(self, replica_id: str) -> None:
        """Drop what was learnt of an engine that is gone."""
        self._factors.pop(replica_id, None)
