"""Pool the idle connections to replicas, and open new ones."""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Collection

from persimmonyoke.internal.fleet.model import Replica
from persimmonyoke.internal.gateway.connections import UpstreamConnection


class Dialer(ABC):
    """Open connections to replicas, and say which idle ones are likely to work."""

    @abstractmethod
    def open(
        self, replica: Replica, timeout_s: float, *, repeatable: bool = False
    ) -> UpstreamConnection:
        """Open a connection; raise ``NotConnected`` if that fails.

        With ``repeatable`` the call may be lost, so links in doubt may be tried.
        """

    @abstractmethod
    def open_directly(self, replica: Replica, timeout_s: float) -> UpstreamConnection:
        """Open a connection over this host's links; raise ``NotConnected``."""

    @abstractmethod
    def trusts(self, connection: UpstreamConnection) -> bool:
        """Return whether an idle connection is likely to work."""


class DirectDialer(Dialer):
    """Open connections over this host's links only."""

    def open(
        self, replica: Replica, timeout_s: float, *, repeatable: bool = False
    ) -> UpstreamConnection:
        """Open a connection; raise ``NotConnected`` if that fails."""
        return UpstreamConnection(replica, timeout_s=timeout_s)

    def open_directly(self, replica: Replica, timeout_s: float) -> UpstreamConnection:
        """Open a connection; raise ``NotConnected`` if that fails."""
        return self.open(replica, timeout_s)

    def trusts(self, connection: UpstreamConnection) -> bool:
        """Return true, as nothing speaks against an idle connection."""
        return True


class ConnectionPool:
    """Keep idle connections for each incarnation of a replica.

    The most recently used connection is taken first, so that surplus connections expire
    and are closed.
    """

    def __init__(self, dialer: Dialer | None = None) -> None:
        self._dialer = dialer or DirectDialer()
        self._idle: dict[str, list[UpstreamConnection]] = defaultdict(list)
        self.opened = 0

    def take(
        self,
        replica: Replica,
        *,
        timeout_s: float,
        now_s: float,
        avoid: Collection[UpstreamConnection] = (),
        new_only: bool = False,
        directly: bool = False,
        repeatable: bool = False,
    ) -> UpstreamConnection:
        """Return an idle or a new connection; raise ``NotConnected`` if that fails.

        Connections to ``avoid`` carried an earlier call with the same request id. A
        replica may write its answer again, which the id cannot tell from a new one.
        With ``new_only`` idle connections are left alone, and with ``directly`` no peer
        is in between.
        """
        idle = self._idle[_key(replica)]
        usable = [] if new_only else [c for c in reversed(idle) if c not in avoid]
        for connection in usable:
            if directly and connection.peer is not None:
                continue
            if not self._dialer.trusts(connection):
                # It is closed once it expires, and may turn out to work before.
                continue
            idle.remove(connection)
            age_s = now_s - connection.idle_since_s
            if (
                age_s < connection.idle_limit_s
                and not connection.has_unexpected_input()
            ):
                return connection
            connection.close()
        if directly:
            self.opened += 1
            return self._dialer.open_directly(replica, timeout_s)
        return self.open(replica, timeout_s, repeatable=repeatable)

    def open(
        self, replica: Replica, timeout_s: float, *, repeatable: bool = False
    ) -> UpstreamConnection:
        """Return a new connection; raise ``NotConnected`` if that fails."""
        self.opened += 1
        return self._dialer.open(replica, timeout_s, repeatable=repeatable)

    def put(self, connection: UpstreamConnection) -> None:
        """Keep a connection for later calls, or close it if it is not reusable."""
        if connection.reusable:
            self._idle[_key(connection.replica)].append(connection)
        else:
            connection.close()

    def put_new(self, connection: UpstreamConnection, *, now_s: float) -> None:
        """Keep a connection that has not been used yet."""
        connection.idle_since_s = now_s
        self.put(connection)

    def drop_replica(self, replica: Replica) -> None:
        """Close the idle connections to a replica."""
        for connection in self._idle.pop(_key(replica), ()):
            connection.close()

    def close_expired(self, now_s: float) -> None:
        """Close the connections that have been idle for too long."""
        for key, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if now_s - connection.idle_since_s < connection.idle_limit_s:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]


def _key(replica: Replica) -> str:
    return f"{replica.replica_id}@{replica.address}/{replica.born_unix_ms}"
