"""Limit of the open connections of clients, and which of them is closed for a new one.

Clients outside the limits may open any number of connections and stay. A host that ran
out of descriptors or memory would serve nobody, so it closes the one that is of least
use before it accepts another.
"""

from abc import ABC, abstractmethod
from enum import StrEnum
from itertools import islice

STALLED_S = 1.0
"""Time without progress after which a request or its answer is taken for stalled.

A large body over a slow link arrives in parts that follow each other much faster.
"""

MAX_LOOKED_AT = 16
"""Connections of one phase of which the input is looked at for one new connection."""


class ClientPhase(StrEnum):
    """Enumerate what a client's connection is doing."""

    NEW = "new"
    """No complete head of a request has been received on it."""

    RECEIVING = "receiving"
    """The body of a request is being received."""

    SERVING = "serving"
    SENDING = "sending"
    """The client has to read before more of its answer can be sent."""

    IDLE = "idle"
    """Its requests have been answered."""

    ENDING = "ending"
    """Its last answer has been sent, and it is about to be closed."""


REFUSED = "refused"
"""What becomes of a connection in favour of which no other one is closed."""

_UNUSED = (ClientPhase.NEW, ClientPhase.ENDING)
_STALLING = (ClientPhase.ENDING, ClientPhase.RECEIVING, ClientPhase.SENDING)


class TableEntry(ABC):
    """A connection that can be closed in favour of another one."""

    phase = ClientPhase.NEW
    progress_s = 0.0

    @property
    @abstractmethod
    def has_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""

    @abstractmethod
    def shut_down(self) -> None:
        """End the connection, which wakes the greenlet that owns it."""


class ClientTable:
    """Order connections by their phase, and in it by their last progress."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._entries: dict[ClientPhase, dict[TableEntry, None]] = {
            phase: {} for phase in ClientPhase
        }

    def __len__(self) -> int:
        return sum(map(len, self._entries.values()))

    def add(self, entry: TableEntry, *, now_s: float) -> None:
        """Add a connection that was accepted."""
        entry.phase, entry.progress_s = ClientPhase.NEW, now_s
        self._entries[entry.phase][entry] = None

    def note_progress(
        self, entry: TableEntry, phase: ClientPhase, *, now_s: float
    ) -> None:
        """Record that a connection has got on; one that was removed stays removed."""
        if entry not in self._entries[entry.phase]:
            return
        del self._entries[entry.phase][entry]
        entry.phase, entry.progress_s = phase, now_s
        self._entries[phase][entry] = None

    def discard(self, entry: TableEntry) -> None:
        """Remove a connection, if it is in the table."""
        self._entries[entry.phase].pop(entry, None)

    @property
    def is_full(self) -> bool:
        """Return whether one has to be closed before another one is added."""
        return len(self) >= self.limit

    def least_useful(self, *, now_s: float) -> TableEntry | None:
        """Return the connection to close for a new one, if there is one.

        A new connection without a request comes first, as a client sends it at once.
        Next are those that are about to be closed, and those whose clients neither send
        nor read. Last is the one that has been idle for longest, whose client may send
        its request again.
        """
        for phase in _UNUSED:
            entry = self._oldest_without_input(phase)
            if entry is not None:
                return entry
        for phase in _STALLING:
            entry = self._oldest_stalled(phase, now_s=now_s)
            if entry is not None:
                return entry
        return self._oldest_without_input(ClientPhase.IDLE)

    def _oldest_stalled(self, phase: ClientPhase, *, now_s: float) -> TableEntry | None:
        """Return a connection without progress for a while, if there is one."""
        if phase is ClientPhase.RECEIVING:
            # This host may have been held up itself, with more of the body unread.
            entry = self._oldest_without_input(phase)
        else:
            entry = next(iter(self._entries[phase]), None)
        if entry is None or now_s - entry.progress_s < STALLED_S:
            return None
        return entry

    def _oldest_without_input(self, phase: ClientPhase) -> TableEntry | None:
        """Return a connection on which no request has arrived meanwhile."""
        oldest = islice(self._entries[phase], MAX_LOOKED_AT)
        return next((entry for entry in oldest if not entry.has_input), None)
