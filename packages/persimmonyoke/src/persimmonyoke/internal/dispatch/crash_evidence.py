"""Decision whether a lost answer shows that its replica has ended.

Only an end that the replica did not plan speaks against the requests that were running.
Lost and malformed answers, reset connections, full and leaving replicas and cut links
leave the replica running, or it was about to end anyway.
"""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from persimmonyoke.internal.fleet.model import Replica

OPEN_LOSS_TTL_S = 8.0
"""Time in which a replica that crashed has started again and registered."""

MAX_OPEN_LOSSES = 512


class LossKind(StrEnum):
    """Say how an answer was lost."""

    ENDED = "connection_ended"
    SILENT = "silent"
    MALFORMED = "malformed"


class ProbeResult(StrEnum):
    """Say what a new connection to the replica met after the loss."""

    CONNECTED = "connected"
    REFUSED = "refused"
    SILENT = "silent"
    NOT_MADE = "not_made"


class Verdict(StrEnum):
    """Say whether the replica has crashed; ``OPEN`` waits for its next start."""

    CRASHED = "crashed"
    NOT_CRASHED = "not_crashed"
    OPEN = "open"


def needs_probe(loss: LossKind, *, leaving: bool) -> bool:
    """Return whether a new connection can tell more about a loss."""
    return loss is LossKind.ENDED and not leaving


def judge_loss(
    loss: LossKind, probe: ProbeResult, *, leaving: bool, restarted: bool
) -> Verdict:
    """Return what a lost answer says of its replica.

    ``restarted`` says that a later start of the replica is known already. A replica
    that ends as planned closes its connections, so silence before it is no plan.
    """
    if leaving or loss is LossKind.MALFORMED or probe is ProbeResult.CONNECTED:
        return Verdict.NOT_CRASHED
    if loss is LossKind.ENDED and probe is ProbeResult.REFUSED:
        return Verdict.CRASHED
    if loss is LossKind.SILENT and restarted:
        return Verdict.CRASHED
    return Verdict.OPEN


@dataclass(frozen=True)
class Loss:
    """Hold a request whose answer a replica owed when its connection was lost."""

    digest: bytes
    replica: Replica
    started_s: float
    lost_s: float
    alone: bool


class OpenLosses:
    """Keep losses until the replica has started again, or not for a while."""

    def __init__(self) -> None:
        self._losses: deque[Loss] = deque(maxlen=MAX_OPEN_LOSSES)

    def add(self, loss: Loss) -> None:
        """Keep a loss whose cause is not known."""
        self._losses.append(loss)

    def take_restarted(self, started: Replica, *, now_s: float) -> list[Loss]:
        """Return the losses of the incarnation that ran before this one."""
        while self._losses and now_s - self._losses[0].lost_s > OPEN_LOSS_TTL_S:
            self._losses.popleft()
        found = [loss for loss in self._losses if _succeeds(started, loss.replica)]
        for loss in found:
            self._losses.remove(loss)
        return found


def _succeeds(started: Replica, former: Replica) -> bool:
    """Return whether a replica runs in the place of another incarnation."""
    is_same = (
        started.replica_id == former.replica_id
        and started.born_unix_ms == former.born_unix_ms
    )
    in_its_place = (
        started.address == former.address or started.replica_id == former.replica_id
    )
    return in_its_place and not is_same
