"""Engines that started again under their id before the store names the new start."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from persimmonyoke.internal.fleet.interfaces import ToldStart
from persimmonyoke.internal.fleet.model import Replica

MAX_RESTARTS = 1_024
"""Restarts that are remembered; the largest deployment has a few hundred engines."""

ENTRY_WAIT_S = 3.0
"""Time within which the entry of an engine that has started again is expected."""


class Incarnation(Enum):
    """Say whether an engine is the incarnation that its entry names."""

    SAME = "same"
    STARTED_AGAIN = "started again"
    NOT_TOLD = "not told"
    UNKNOWN = "unknown"

    @property
    def may_write(self) -> bool:
        """Return whether a stream may go on at the engine.

        An engine that answers without its start can't be told from another
        incarnation by any call.
        """
        return self in (Incarnation.SAME, Incarnation.NOT_TOLD)


def judge_incarnation(entry: Replica, told: ToldStart | None) -> Incarnation:
    """Compare the start that an engine tells with the one that its entry names."""
    if told is None:
        return Incarnation.UNKNOWN
    if told.born_unix_ms is None:
        return Incarnation.NOT_TOLD
    if told.born_unix_ms > entry.born_unix_ms:
        return Incarnation.STARTED_AGAIN
    is_same = told.born_unix_ms == entry.born_unix_ms
    return Incarnation.SAME if is_same else Incarnation.UNKNOWN


@dataclass(frozen=True)
class _Restart:
    """Hold the newest start that an engine told, and when it was first heard."""

    born_unix_ms: int
    heard_s: float


class EngineRestarts:
    """Remember the starts that engines told before the store did.

    The software version of such an engine is not known until its new entry is read.
    """

    def __init__(self) -> None:
        self._restarts: OrderedDict[str, _Restart] = OrderedDict()

    def note(self, replica_id: str, born_unix_ms: int, *, now_s: float) -> None:
        """Record the start that an engine told."""
        known = self._restarts.get(replica_id)
        if known is not None and known.born_unix_ms >= born_unix_ms:
            return
        self._restarts[replica_id] = _Restart(born_unix_ms, now_s)
        self._restarts.move_to_end(replica_id)
        if len(self._restarts) > MAX_RESTARTS:
            self._restarts.popitem(last=False)

    def is_outdated(self, entry: Replica) -> bool:
        """Return whether an entry names a former start of its engine."""
        restart = self._restarts.get(entry.replica_id)
        return restart is not None and restart.born_unix_ms > entry.born_unix_ms

    def awaits_entry(self, entry: Replica, *, now_s: float) -> bool:
        """Return whether a newer entry of an engine is expected soon."""
        if not self.is_outdated(entry):
            return False
        return now_s < self._restarts[entry.replica_id].heard_s + ENTRY_WAIT_S
