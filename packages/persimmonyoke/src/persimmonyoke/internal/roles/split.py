"""Describe the split of a pool into roles and check it against a preset's bounds."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from math import ceil

from persimmonyoke.internal.presets.model import PoolPolicy
from persimmonyoke.internal.upstreams.api import Role

# Ensures that a third of six engines is two despite floating-point error.
ROUNDING_TOLERANCE = 1e-6


@dataclass(frozen=True)
class Split:
    """Count the engines of each role."""

    prefill: int
    decode: int
    mixed: int

    @classmethod
    def of(cls, roles: Iterable[Role]) -> "Split":
        """Count roles."""
        counted = list(roles)
        return cls(
            counted.count(Role.PREFILL),
            counted.count(Role.DECODE),
            counted.count(Role.MIXED),
        )

    @property
    def engines(self) -> int:
        """Return the number of engines."""
        return self.prefill + self.decode + self.mixed

    @property
    def covers_both_phases(self) -> bool:
        """Return whether some engine runs prefill and some engine runs decode."""
        return self.mixed > 0 or (self.prefill > 0 and self.decode > 0)

    def without(self, role: Role) -> "Split":
        """Return the split with one engine fewer in a role."""
        return replace(self, **{role.value: getattr(self, role.value) - 1})

    def changed(self, source: Role, target: Role) -> "Split":
        """Return the split after one engine has changed its role."""
        moved = {target.value: getattr(self, target.value) + 1}
        return replace(self.without(source), **moved)

    def neighbours(self) -> Iterator[tuple[Role, Role, "Split"]]:
        """Yield each change of one engine's role and the split after it."""
        for source in Role:
            if getattr(self, source.value) == 0:
                continue
            for target in Role:
                if target is not source:
                    yield source, target, self.changed(source, target)

    def bound_violation(self, policy: PoolPolicy) -> int:
        """Return by how many engines the split violates the preset's bounds.

        A bound that is not a whole number of engines is rounded to the stricter side.
        """
        fewest = _min_engines(policy.min_prefill_share, self.engines)
        most = self.engines - _min_engines(1 - policy.max_prefill_share, self.engines)
        fewest_mixed = _min_engines(policy.min_mixed_share, self.engines)
        return (
            max(0, fewest - self.prefill)
            + max(0, self.prefill - most)
            + max(0, fewest_mixed - self.mixed)
        )


def _min_engines(share: float, engines: int) -> int:
    """Return the smallest number of engines that makes up a share of the pool."""
    return ceil(share * engines - ROUNDING_TOLERANCE)
