"""Format of the datagrams between entry hosts."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.retry_loans import Loan, LoanRequest
from persimmonyoke.internal.dispatch.loads import ReplicaWork
from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.interfaces import ChangesRequest
from persimmonyoke.internal.gateway.change_parts import (
    CHANGES_FORMAT,
    CHANGES_REQUEST_FORMAT,
    FORMER_CHANGES_FORMAT,
    ChangesPart,
    decode_changes_request,
    decode_part,
)
from persimmonyoke.internal.gateway.digest_messages import (
    CollectorDatagram,
    decode_messages,
    is_collector_datagram,
)
from persimmonyoke.internal.gateway.retry_loan_messages import (
    LOAN_FORMAT,
    LOAN_REQUEST_FORMAT,
    decode_loan,
    decode_loan_request,
)
from persimmonyoke.internal.gateway.state import PartPlacement
from persimmonyoke.internal.gateway.suspect_messages import (
    SUSPECTS_FORMAT,
    SuspectsMessage,
    decode_suspects,
)

FORMAT = 5

MAX_NUMBER = 2**53
"""Largest number in a message; a float holds all integers up to it."""

MAX_REVISION = 2**64


@dataclass(frozen=True)
class PeerMessage:
    """Hold the state that a host sends to its peers."""

    host: str
    ready: bool
    config_version: int
    work: dict[str, ReplicaWork]
    placements: tuple[PartPlacement, ...]
    queued_ms: int = 0
    suspects: tuple[str, ...] = ()
    refused: tuple[int, ...] = ()
    store_connected: bool = False
    store_revision: int = 0
    store_contact_ms: int | None = field(default=None, compare=False)
    """Time for which the store has answered the host without interruption."""

    view_age_ms: int | None = field(default=None, compare=False)
    """Time since the store confirmed the host's revision as the latest."""

    sequence: int = field(default=0, compare=False)
    """Number of a report to a collector.

    The collector returns the number of the report that its aggregate includes.
    """


Datagram = (
    PeerMessage
    | ChangesPart
    | ChangesRequest
    | CollectorDatagram
    | SuspectsMessage
    | LoanRequest
    | Loan
)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as one datagram."""
    work = {
        replica_id: [int(item.prefill_s * 1_000), item.running, item.tokens]
        for replica_id, item in message.work.items()
    }
    placements = [
        [item.part_id, item.replica_id, item.ready_in_ms] for item in message.placements
    ]
    return cbor2.dumps(
        [
            FORMAT,
            message.host,
            message.ready,
            message.config_version,
            work,
            placements,
            message.queued_ms,
            list(message.suspects),
            list(message.refused),
            message.store_connected,
            message.store_revision,
            message.store_contact_ms,
            message.view_age_ms,
            message.sequence,
        ]
    )


def decode_datagram(
    raw: bytes, *, now_s: float, after_boot_s: float = float("-inf")
) -> Datagram:
    """Decode a datagram received now; raise ``ProtocolError``.

    It arrived after ``after_boot_s``, and may have been queued since.
    """
    if is_collector_datagram(raw):
        return decode_messages(raw, now_s=now_s, after_boot_s=after_boot_s)
    try:
        format_number, *values = cbor2.loads(raw)
        if format_number == CHANGES_FORMAT:
            return decode_part(values, is_recent=True)
        if format_number == FORMER_CHANGES_FORMAT:
            return decode_part(values, is_recent=False)
        if format_number == CHANGES_REQUEST_FORMAT:
            return decode_changes_request(values)
        if format_number == SUSPECTS_FORMAT:
            return decode_suspects(values)
        if format_number == LOAN_REQUEST_FORMAT:
            return decode_loan_request(values)
        if format_number == LOAN_FORMAT:
            return decode_loan(values)
        if format_number != FORMAT:
            raise ProtocolError(f"format {format_number!r} is not known")
        return _decode_message(values)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        AttributeError,
        ArithmeticError,
    ) as error:
        raise ProtocolError(f"malformed datagram: {error}") from error


def _decode_message(values: Sequence[Any]) -> PeerMessage:
    host, ready, config_version, work, placements, queued_ms, *rest = values
    suspects, refused, connected, revision, contact_ms, view_age_ms, sequence = rest
    return PeerMessage(
        host=str(host),
        ready=ready is True,
        config_version=_int(config_version),
        work={
            str(replica_id): ReplicaWork(_int(ms) / 1_000, _int(running), _int(tokens))
            for replica_id, (ms, running, tokens) in work.items()
        },
        placements=tuple(
            PartPlacement(str(part), str(engine), _int(ready_in_ms))
            for part, engine, ready_in_ms in placements
        ),
        queued_ms=_int(queued_ms),
        suspects=tuple(str(replica_id) for replica_id in suspects),
        refused=tuple(_int(key) for key in refused),
        store_connected=connected is True,
        store_revision=_revision(revision),
        store_contact_ms=_optional_int(contact_ms),
        view_age_ms=_optional_int(view_age_ms),
        sequence=_int(sequence),
    )


def _int(value: Any) -> int:
    """Return an integer that also fits into a float when it is divided."""
    number = int(value)
    if abs(number) > MAX_NUMBER:
        raise ProtocolError("number is out of range")
    return number


def _revision(value: Any) -> int:
    """Return a revision of the store, which is compared only."""
    number = int(value)
    if not 0 <= number < MAX_REVISION:
        raise ProtocolError("revision is out of range")
    return number


def _optional_int(value: Any) -> int | None:
    return None if value is None else _int(value)


def peer_state(
    message: PeerMessage, now_s: float, *, after_boot_s: float = float("-inf")
) -> PeerState:
    """Return the state of the sender of a message received now.

    It arrived after ``after_boot_s``, and may have been queued since.
    """
    contact_ms, view_age_ms = message.store_contact_ms, message.view_age_ms
    contact_since_s = None
    view_confirmed_s = view_confirmed_boot_s = float("-inf")
    if contact_ms is not None:
        contact_since_s = now_s - contact_ms / 1_000
    if view_age_ms is not None:
        view_confirmed_s = now_s - view_age_ms / 1_000
        view_confirmed_boot_s = after_boot_s - view_age_ms / 1_000
    return PeerState(
        heard_s=now_s,
        ready=message.ready,
        config_version=message.config_version,
        store_connected=message.store_connected,
        store_revision=message.store_revision,
        store_contact_since_s=contact_since_s,
        view_confirmed_s=view_confirmed_s,
        heard_boot_s=after_boot_s,
        view_confirmed_boot_s=view_confirmed_boot_s,
    )
