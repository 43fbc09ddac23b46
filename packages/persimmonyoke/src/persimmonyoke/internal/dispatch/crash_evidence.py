"""Decision whether a lost response shows that its replica crashed.

Only an unplanned exit of the replica counts, and only against the requests of which it
had not begun to write the answer, since a request crashes replicas as they begin. After
a lost or malformed response, a connection reset, a rejection by a full or leaving
replica or a network partition, the replica is still running or was about to shut down
anyway.
"""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from persimmonyoke.internal.fleet.model import Replica

OPEN_LOSS_TTL_S = 8.0
"""Time within which a crashed replica has restarted and registered."""

MAX_OPEN_LOSSES = 512


class LossKind(StrEnum):
    """Enumerate the ways in which a response is lost."""

    ENDED = "connection_ended"
    SILENT = "silent"
    MALFORMED = "malformed"


class ProbeResult(StrEnum):
    """Enumerate the results of a probe connection to the replica after the loss."""

    CONNECTED = "connected"
    REFUSED = "refused"
    SILENT = "silent"
    NOT_MADE = "not_made"


class Verdict(StrEnum):
    """Say whether the replica crashed; ``OPEN`` is decided at its next start."""

    CRASHED = "crashed"
    NOT_CRASHED = "not_crashed"
    OPEN = "open"


def needs_probe(loss: LossKind, *, leaving: bool) -> bool:
    """Return whether a probe connection can help to classify a loss."""
    return loss is LossKind.ENDED and not leaving


def judge_loss(
    loss: LossKind, probe: ProbeResult, *, leaving: bool, restarted: bool
) -> Verdict:
    """Return the verdict on the replica that owed a lost response.

    ``restarted`` says that a later incarnation of the replica is known already. A
    replica that shuts down as planned closes its connections, so a restart after
    silence was a crash.
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
    """Hold a request whose response was outstanding when its connection was lost.

    ``parts`` are the digests of the prompt parts that other requests may share.
    The reservation for ``reserved_subject`` is kept until the cause is known.
    """

    digest: bytes
    replica: Replica
    started_s: float
    lost_s: float
    alone: bool
    parts: tuple[bytes, ...] = ()
    reserved_subject: bytes | None = None


class OpenLosses:
    """Keep unclassified losses until the replica restarts or they expire."""

    def __init__(self) -> None:
        self._losses: deque[Loss] = deque(maxlen=MAX_OPEN_LOSSES)

    def add(self, loss: Loss) -> None:
        """Add a loss whose cause is not known yet."""
        self._losses.append(loss)

    def take_restarted(self, started: Replica, *, now_s: float) -> list[Loss]:
        """Remove and return the losses of the incarnations before this one."""
        while self._losses and now_s - self._losses[0].lost_s > OPEN_LOSS_TTL_S:
            self._losses.popleft()
        found = [loss for loss in self._losses if _succeeds(started, loss.replica)]
        for loss in found:
            self._losses.remove(loss)
        return found


def _succeeds(started: Replica, former: Replica) -> bool:
    """Return whether a replica replaces another incarnation at its id or address."""
    is_same = (
        started.replica_id == former.replica_id
        and started.born_unix_ms == former.born_unix_ms
    )
    in_its_place = (
        started.address == former.address or started.replica_id == former.replica_id
    )
    return in_its_place and not is_same
