"""Call to a silent replica that stays open while the next one may reject it."""

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import UpstreamConnection


class CallResumed(Exception):
    """Signal that a silent replica writes the answer to its call."""


class FormerCall:
    """Hold the call that a request has left, until another replica accepts it."""

    def __init__(self) -> None:
        self._connection: UpstreamConnection | None = None
        self.replica: Replica | None = None
        """The replica of the call, if it is open."""

    @property
    def is_open(self) -> bool:
        """Return whether a call is held."""
        return self._connection is not None

    @property
    def goes_on(self) -> bool:
        """Return whether the replica of the call that is held has written bytes."""
        return self._connection is not None and self._connection.goes_on

    def hold(self, connection: UpstreamConnection) -> None:
        """Hold a call in place of an earlier one."""
        self.close()
        self._connection = connection
        self.replica = connection.replica

    def take(self) -> UpstreamConnection | None:
        """Return the connection of the call that was held, to read its answer."""
        connection, self._connection = self._connection, None
        self.replica = None
        return connection

    def close(self) -> None:
        """Close the call that is held, which makes its replica stop the request."""
        connection = self.take()
        if connection is not None:
            connection.discard()
