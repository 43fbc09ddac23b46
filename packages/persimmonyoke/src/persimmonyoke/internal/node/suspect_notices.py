"""Exchange of suspects and quarantines between the registers of the entry hosts."""

import time
from collections.abc import Callable, Iterable

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.suspect_types import SuspectNotice
from persimmonyoke.internal.delivery.suspects import SuspectRegister
from persimmonyoke.internal.membership.codec import decode_plain
from persimmonyoke.internal.membership.messages import Suspect

# Further crashes of a digest are not listed; two crashes already quarantine it.
MAX_CRASHES_SENT = 32
MAX_EVENT_CHARACTERS = 128


def encode_notice(notice: SuspectNotice, *, unix_s: float) -> Suspect:
    """Return the message that encodes a notice."""
    quarantined_until = 0.0
    if notice.quarantine_left_s > 0:
        # Rounded to whole seconds, so that hosts with the same notices compute the same
        # digest and do not pull them from each other repeatedly.
        quarantined_until = float(round(unix_s + notice.quarantine_left_s))
    crashes = sorted(event[:MAX_EVENT_CHARACTERS] for event in notice.crashes)
    details = [
        notice.host,
        crashes[:MAX_CRASHES_SENT],
        notice.cleared,
        notice.isolated_on,
        notice.isolation_left_s,
        notice.number,
    ]
    return Suspect(
        digest=notice.digest,
        crashes=len(crashes),
        isolated=notice.isolation_left_s > 0,
        quarantined_until_unix_s=quarantined_until,
        payload=cbor2.dumps(details),
    )


def decode_notice(message: Suspect, *, unix_s: float) -> SuspectNotice:
    """Return the notice of a message; raise ``ProtocolError`` if it is malformed."""
    match decode_plain(message.payload):
        case [
            str(host),
            list(crashes),
            bool(cleared),
            str() | None as engine,
            float(remaining_s),
            int(number),
        ] if all(isinstance(event, str) for event in crashes):
            return SuspectNotice(
                digest=message.digest,
                host=host,
                crashes=frozenset(crashes),
                cleared=cleared,
                quarantine_left_s=max(0.0, message.quarantined_until_unix_s - unix_s),
                isolated_on=engine,
                isolation_left_s=remaining_s,
                number=number,
            )
    raise ProtocolError("suspect message has malformed details")


class SuspectExchange:
    """Broadcast the notices of the local register and merge those of peers."""

    def __init__(
        self,
        broadcast: Callable[[Suspect], None],
        *,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._broadcast = broadcast
        self._clock = clock
        self._unix_clock = unix_clock
        self.register: SuspectRegister | None = None

    def publish(self, notice: SuspectNotice) -> None:
        """Send a change of the local register to all hosts."""
        self._broadcast(encode_notice(notice, unix_s=self._unix_clock()))

    def receive(self, host: str, message: Suspect) -> None:
        """Merge a peer's notice; raise ``ProtocolError`` if it is malformed."""
        if self.register is not None:
            notice = decode_notice(message, unix_s=self._unix_clock())
            self.register.merge(notice, self._clock())

    def persistent_notices(self) -> Iterable[Suspect]:
        """Return the crashes and quarantines, for peers that lack them.

        Isolations last for a single attempt and are only broadcast. Host and number are
        omitted, so that hosts with equal registers return equal messages.
        """
        if self.register is None:
            return ()
        unix_s = self._unix_clock()
        return tuple(
            encode_notice(
                SuspectNotice(
                    digest=notice.digest,
                    host="",
                    crashes=notice.crashes,
                    quarantine_left_s=notice.quarantine_left_s,
                ),
                unix_s=unix_s,
            )
            for notice in self.register.notices(self._clock())
            if notice.crashes or notice.quarantine_left_s > 0
        )
