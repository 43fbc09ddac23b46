"""Memory that the bodies of all requests of a host may take."""

import io

from persimmonyoke.errors import ErrorKind, RequestError

OVERLOADED_RETRY_S = 1.0


class HeldBodies:
    """Bound the sum of the bodies that a host receives and serves.

    When there is no room, the longest body that is still being received is given up.
    Clients that stop within large bodies thus can't keep others from being served.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._bodies: set[HeldBody] = set()
        self.held_bytes = 0

    def open(self) -> "HeldBody":
        """Return a body that is still empty."""
        body = HeldBody(self)
        self._bodies.add(body)
        return body

    def take(self, taker: "HeldBody", size_bytes: int) -> None:
        """Make room for further bytes of a body; raises ``RequestError``."""
        while self.held_bytes + size_bytes > self._limit_bytes:
            longest = self._longest_in_transit()
            if longest is None or longest.size_bytes <= taker.size_bytes:
                longest = taker
            longest.give_up()
            if longest is taker:
                raise overloaded()
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Give the room of a body back."""
        self.held_bytes -= size_bytes

    def discard(self, body: "HeldBody") -> None:
        """Forget a body that holds nothing any more."""
        self._bodies.discard(body)

    def _longest_in_transit(self) -> "HeldBody | None":
        in_transit = (body for body in self._bodies if body.in_transit)
        return max(in_transit, key=lambda body: body.size_bytes, default=None)


class HeldBody:
    """Collect one body within the bound of the host."""

    def __init__(self, bodies: HeldBodies) -> None:
        self._bodies = bodies
        self._buffer: io.BytesIO | None = io.BytesIO()
        self.size_bytes = 0

    @property
    def in_transit(self) -> bool:
        """Return whether the body is still being received."""
        return self._buffer is not None

    def write(self, data: bytes) -> None:
        """Add received bytes; raises ``RequestError`` if there is no room."""
        if self._buffer is None:
            raise overloaded()
        self._bodies.take(self, len(data))
        self.size_bytes += len(data)
        self._buffer.write(data)

    def finish(self) -> bytes:
        """Return the received body; raises ``RequestError`` if it was given up."""
        if self._buffer is None:
            raise overloaded()
        data = self._buffer.getvalue()
        self._buffer = None
        return data

    def give_up(self) -> None:
        """Free the memory at once; the next write reports it."""
        self.close()

    def close(self) -> None:
        """Free the memory."""
        self._buffer = None
        self._bodies.release(self.size_bytes)
        self.size_bytes = 0
        self._bodies.discard(self)


def overloaded() -> RequestError:
    """Return the error of a body for which there is no room."""
    return RequestError(
        ErrorKind.OVERLOADED,
        "this host receives too many large bodies",
        retry_after_s=OVERLOADED_RETRY_S,
    )
