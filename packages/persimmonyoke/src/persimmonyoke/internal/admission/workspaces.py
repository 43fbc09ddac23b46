"""Track the limits of workspaces and drop those that are idle."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from persimmonyoke.internal.admission.buckets import TokenBucket
from persimmonyoke.internal.presets.model import WorkspacePolicy

# Workspaces checked for expiry at each arrival. Each arrival adds at most one, so two
# checks let the number shrink and bound the work.
EXPIRY_CHECKS = 2


@dataclass
class WorkspaceLimits:
    """Hold the request and token buckets of a workspace."""

    requests: TokenBucket
    tokens: TokenBucket


class WorkspaceTable:
    """Create limits on first use and drop those that have refilled."""

    def __init__(
        self, policies: Mapping[str, WorkspacePolicy], *, host_share: float
    ) -> None:
        self._policies = policies
        self._host_share = host_share
        self._limits: OrderedDict[str, WorkspaceLimits] = OrderedDict()

    def __len__(self) -> int:
        return len(self._limits)

    def policy(self, workspace: str) -> WorkspacePolicy:
        """Return the policy of a workspace, or the defaults for an unknown one."""
        known = self._policies.get(workspace)
        return known or WorkspacePolicy(name=workspace, key_digests=())

    def configure(
        self, policies: Mapping[str, WorkspacePolicy], *, host_share: float
    ) -> None:
        """Apply a new preset or number of hosts; the levels of the buckets are kept."""
        self._policies = policies
        self._host_share = host_share
        for workspace, limits in self._limits.items():
            policy = self.policy(workspace)
            limits.requests.rate_per_s = policy.requests_per_s * host_share
            limits.tokens.rate_per_s = policy.tokens_per_s * host_share

    def limits(self, workspace: str, now_s: float) -> WorkspaceLimits:
        """Return the refilled limits of a workspace."""
        limits = self._limits.get(workspace)
        if limits is None:
            policy = self.policy(workspace)
            share = self._host_share
            limits = WorkspaceLimits(
                TokenBucket.full(policy.requests_per_s * share, now_s=now_s),
                TokenBucket.full(policy.tokens_per_s * share, now_s=now_s),
            )
            self._limits[workspace] = limits
        self._limits.move_to_end(workspace)
        limits.requests.refill(now_s)
        limits.tokens.refill(now_s)
        return limits

    def expire(self, now_s: float, is_idle: Callable[[str], bool]) -> list[str]:
        """Drop and return least recently used workspaces that are idle and refilled."""
        dropped = []
        for _ in range(min(EXPIRY_CHECKS, len(self._limits))):
            workspace = next(iter(self._limits))
            limits = self.limits(workspace, now_s)
            if is_idle(workspace) and limits.requests.is_full and limits.tokens.is_full:
                del self._limits[workspace]
                dropped.append(workspace)
        return dropped
