"""Drain notices: an engine is about to change its role and gets no new work."""

from collections import OrderedDict
from collections.abc import Mapping

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.codec import decode_plain
from persimmonyoke.internal.membership.messages import Roles

# A notice is repeated while its order is open; this bounds the time for which an engine
# gets no work after its controller has died.
MAX_DRAIN_S = 15.0
MAX_SENDERS = 64


def drain_message(
    pool: str, sender: str, number: int, draining_engines: Mapping[str, float]
) -> Roles:
    """Return the message that lists the draining engines with the remaining times.

    ``sender`` is the incarnation of the controller. ``number`` increases with each of
    its messages, so that repeated notices differ: peers drop messages they have seen.
    """
    remaining = {
        engine: float(remaining_s)
        for engine, remaining_s in sorted(draining_engines.items())
    }
    return Roles(pool=pool, payload=cbor2.dumps([sender, number, remaining]))


class DrainView:
    """Track which engines drain according to the controllers' notices."""

    def __init__(self) -> None:
        self._until_s: dict[str, dict[str, float]] = {}
        self._numbers: OrderedDict[tuple[str, str], int] = OrderedDict()

    def receive(self, host: str, message: Roles, now_s: float) -> None:
        """Replace the list of a pool's draining engines.

        Raises ``ProtocolError`` if the message is malformed.
        """
        match decode_plain(message.payload):
            case [str(sender), int(number), dict(remaining)] if all(
                isinstance(value, float) for value in remaining.values()
            ):
                if not self._is_newer(message.pool, sender, number):
                    return
                self._until_s[message.pool] = {
                    str(engine): now_s + min(remaining_s, MAX_DRAIN_S)
                    for engine, remaining_s in remaining.items()
                }
            case _:
                raise ProtocolError("roles message is malformed")

    def _is_newer(self, pool: str, sender: str, number: int) -> bool:
        """Record the number; return whether it is the sender's highest so far."""
        key = (pool, sender)
        if number <= self._numbers.get(key, 0):
            return False
        self._numbers[key] = number
        self._numbers.move_to_end(key)
        if len(self._numbers) > MAX_SENDERS:
            self._numbers.popitem(last=False)
        return True

    def is_draining(self, engine: str, now_s: float) -> bool:
        """Return whether an engine is draining."""
        return any(
            until_s.get(engine, 0.0) > now_s for until_s in self._until_s.values()
        )

    def draining(self, now_s: float) -> tuple[str, ...]:
        """Return the draining engines, sorted by name."""
        names = {name for until_s in self._until_s.values() for name in until_s}
        return tuple(sorted(n for n in names if self.is_draining(n, now_s)))
