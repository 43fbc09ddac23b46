"""Places for connections, and which connection gives its place to a new one."""

import resource
from abc import ABC, abstractmethod

OTHER_DESCRIPTORS = 160
"""Descriptors for files, listeners, operators, refused connections and other processes.
"""

MAX_ACCEPT = 16
"""Connections that are accepted before those closed for them are gone."""

DESCRIPTORS_PER_CONNECTION = 2
"""The connection, and the one to the engine or service that serves its request."""

IDLE_GRACE_S = 1.0
"""Idle time after which a connection may be closed.

A request that was already in transit when the decision was made is thus still answered.
"""


SILENT_GRACE_S = 0.5
"""Time that a new client over a slow link has for sending the start of a request."""


class Connection(ABC):
    """One connection of a client."""

    busy: bool
    """Whether a request is being received or answered."""

    has_received: bool
    """Whether the client has sent anything."""

    idle_since_s: float

    @abstractmethod
    def shut_down(self) -> None:
        """End the connection; its handler closes the socket soon afterwards."""


class ConnectionPlaces:
    """Limit the open connections.

    When all places are taken, the connection that has waited longest without sending
    anything is closed for a new one, otherwise the one that has been idle longest.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.taken: set[Connection] = set()

    def take(self, connection: Connection, now_s: float) -> bool:
        """Return whether there is a place for a new connection."""
        if len(self.taken) >= self._limit:
            useless = self._least_useful(now_s)
            if useless is None:
                return False
            self.taken.discard(useless)
            useless.shut_down()
        self.taken.add(connection)
        return True

    def leave(self, connection: Connection) -> None:
        """Give the place of a closed connection back."""
        self.taken.discard(connection)

    def _least_useful(self, now_s: float) -> Connection | None:
        idle = [
            connection
            for connection in self.taken
            if not connection.busy
            and now_s - connection.idle_since_s >= _grace_s(connection)
        ]
        return min(idle, key=lambda c: (c.has_received, c.idle_since_s), default=None)


def _grace_s(connection: Connection) -> float:
    return IDLE_GRACE_S if connection.has_received else SILENT_GRACE_S


def available_places(limit: int) -> int:
    """Return how many connections the descriptors of the process allow."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return limit
    available = (descriptors - OTHER_DESCRIPTORS) // DESCRIPTORS_PER_CONNECTION
    return max(1, min(limit, available))
