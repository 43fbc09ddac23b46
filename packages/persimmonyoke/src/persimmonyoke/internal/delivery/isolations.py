"""Reserve engines for suspects, so that a crash identifies one request."""

from dataclasses import dataclass, replace

from persimmonyoke.internal.delivery.suspect_types import SuspectNotice


@dataclass(frozen=True)
class Isolation:
    """Reserve an engine for one suspect until it ends or ``until_s`` passes."""

    engine: str
    digest: bytes
    host: str
    until_s: float

    @property
    def precedence(self) -> tuple[bytes, str]:
        """Order conflicting reservations in the same way on every host."""
        return (self.digest, self.host)


class IsolationTable:
    """Hold the reservations of this host and of its peers."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._isolations: dict[tuple[str, str], Isolation] = {}
        self._numbers: dict[tuple[str, str], int] = {}

    def active(self, now_s: float) -> tuple[Isolation, ...]:
        """Return the reservations that have not ended."""
        for key, item in list(self._isolations.items()):
            if item.until_s <= now_s:
                del self._isolations[key]
        return tuple(self._isolations.values())

    def own(self, now_s: float) -> dict[bytes, Isolation]:
        """Return the reservations of this host by digest."""
        return {i.digest: i for i in self.active(now_s) if i.host == self._host}

    def reserve(
        self, digest: bytes, engine: str, *, now_s: float, until_s: float
    ) -> bool:
        """Reserve the engine for the suspect unless it or the engine is reserved.

        A reservation that would have ended already is not made.
        """
        if until_s <= now_s:
            return False
        for isolation in self.active(now_s):
            if isolation.engine == engine or isolation.digest == digest:
                return False
        isolation = Isolation(engine, digest, self._host, until_s)
        self._isolations[(self._host, engine)] = isolation
        return True

    def holds(self, digest: bytes, engine: str, now_s: float) -> bool:
        """Return whether the reservation has precedence over those of other hosts."""
        active = self.active(now_s)
        own = self._isolations.get((self._host, engine))
        if own is None or own.digest != digest:
            return False
        return all(
            own.precedence <= other.precedence
            for other in active
            if other.engine == engine or other.digest == digest
        )

    def extend(
        self, digest: bytes, engine: str, *, now_s: float, until_s: float
    ) -> bool:
        """Prolong a reservation of this host; return whether there is one."""
        isolation = self.own(now_s).get(digest)
        if isolation is None or isolation.engine != engine:
            return False
        later_s = max(until_s, isolation.until_s)
        self._isolations[(self._host, engine)] = replace(isolation, until_s=later_s)
        return True

    def end(self, digest: bytes, engine: str) -> bool:
        """Release a reservation of this host; return whether there was one."""
        isolation = self._isolations.get((self._host, engine))
        if isolation is None or isolation.digest != digest:
            return False
        del self._isolations[(self._host, engine)]
        return True

    def merge(self, notice: SuspectNotice, engine: str, now_s: float) -> None:
        """Apply a notice of a peer about its reservation of an engine."""
        key = (notice.host, engine)
        if notice.number <= self._numbers.get(key, -1):
            return
        self._numbers[key] = notice.number
        if notice.isolation_left_s > 0:
            until_s = now_s + notice.isolation_left_s
            self._isolations[key] = Isolation(
                engine, notice.digest, notice.host, until_s
            )
        else:
            self._isolations.pop(key, None)

    def forget_host(self, host: str) -> None:
        """Drop the reservations of a host that has left the fleet."""
        for key in [key for key in self._isolations if key[0] == host]:
            del self._isolations[key]
        for key in [key for key in self._numbers if key[0] == host]:
            del self._numbers[key]
