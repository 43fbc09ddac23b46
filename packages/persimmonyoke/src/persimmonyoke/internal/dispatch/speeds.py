"""Speed of each engine, estimated from its completed prefills."""

from collections import defaultdict

WEIGHT = 0.2
"""Weight of the newest prompt in a moving average over about ten prompts."""

MIN_PREFILL_S = 0.02
"""The times of shorter prefills depend on the network more than on the engine."""

MAX_FACTOR, MIN_FACTOR = 2.5, 0.7


class SlowdownFactors:
    """Track by which factor engines are slower than the cost model."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = defaultdict(lambda: 1.0)

    def factor(self, replica_id: str) -> float:
        """Return the factor of an engine; 1 is the modelled speed."""
        return self._factors[replica_id]

    def note(self, replica_id: str, *, expected_s: float, actual_s: float) -> None:
        """Update the factor from a prompt that did not queue behind another."""
        if expected_s < MIN_PREFILL_S:
            return
        measured = min(MAX_FACTOR, max(MIN_FACTOR, actual_s / expected_s))
        known = self._factors[replica_id]
        self._factors[replica_id] = known + WEIGHT * (measured - known)

    def forget(self, replica_id: str) -> None:
        """Drop the factor of an engine that was removed."""
        self._factors.pop(replica_id, None)
