"""Format of the datagrams that a collector sends.

They hold work digests, updates, host states and cached parts. A datagram holds several
messages, since receiving a datagram costs more than decoding it.
"""

import io
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.dispatch.digests import WorkDigest
from persimmonyoke.internal.dispatch.loads import ReplicaWork
from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.gateway.state import PartPlacement

DIGEST_FORMAT, UPDATES_FORMAT, STATES_FORMAT, CACHED_PARTS_FORMAT = 6, 7, 8, 10

SEQUENCE_PREFIX = b"\x44"
"""Header of the CBOR byte string of four bytes with the report's sequence number."""

SEQUENCE = struct.Struct(">I")
PREFIX_BYTES = len(SEQUENCE_PREFIX) + SEQUENCE.size

MAX_DATAGRAM_BYTES = 1_400
"""Datagrams below the usual MTU of 1,500 bytes are not fragmented."""


@dataclass(frozen=True)
class DigestMessage:
    """Hold one part of the aggregated work of the hosts of a zone.

    ``zone`` is ``None`` for the aggregate of all zones but the sender's. ``sequence``
    is the number of the receiver's own report that the aggregate includes.
    """

    sender: str
    zone: str | None
    digest: WorkDigest
    sequence: int = 0


@dataclass(frozen=True)
class UpdatesMessage:
    """Hold placements and refused requests reported by the hosts of a zone."""

    sender: str
    zone: str
    placements: tuple[PartPlacement, ...]
    refused: tuple[int, ...]


@dataclass(frozen=True)
class HostState:
    """Hold the state that a host last reported."""

    name: str
    state: PeerState


@dataclass(frozen=True)
class StatesMessage:
    """Hold the states of some hosts, as the sender received them."""

    sender: str
    hosts: tuple[HostState, ...]


@dataclass(frozen=True)
class CachedPartsMessage:
    """Hold prompt parts that one engine has in its cache."""

    sender: str
    replica_id: str
    parts: tuple[str, ...]


CollectorMessage = DigestMessage | UpdatesMessage | StatesMessage | CachedPartsMessage


@dataclass(frozen=True)
class CollectorDatagram:
    """Hold the messages of one datagram from a collector."""

    messages: tuple[CollectorMessage, ...]


def encode_digest(message: DigestMessage) -> bytes:
    """Encode one part of an aggregate."""
    digest = message.digest
    work = {
        replica_id: [int(item.prefill_s * 1_000), item.running, item.tokens]
        for replica_id, item in digest.work.items()
    }
    return cbor2.dumps(
        [
            DIGEST_FORMAT,
            message.sender,
            message.zone,
            digest.part,
            work,
            int(digest.queued_s * 1_000),
            list(digest.suspects),
        ]
    )


def pack(messages: Iterable[bytes]) -> list[bytes]:
    """Join messages into as few datagrams as possible, without the prefix."""
    packed: list[bytes] = []
    for message in messages:
        room = MAX_DATAGRAM_BYTES - PREFIX_BYTES - len(message)
        if packed and len(packed[-1]) <= room:
            packed[-1] += message
        else:
            packed.append(message)
    return packed


def with_sequence(packed: bytes, sequence: int) -> bytes:
    """Add the prefix with the number of the receiver's last report."""
    return SEQUENCE_PREFIX + SEQUENCE.pack(sequence) + packed


def encode_updates(message: UpdatesMessage) -> bytes:
    """Encode placements and refused requests."""
    placements = [
        [item.part_id, item.replica_id, item.ready_in_ms] for item in message.placements
    ]
    return cbor2.dumps(
        [
            UPDATES_FORMAT,
            message.sender,
            message.zone,
            placements,
            list(message.refused),
        ]
    )


def encode_cached_parts(message: CachedPartsMessage) -> bytes:
    """Encode the parts that an engine has in its cache."""
    return cbor2.dumps(
        [CACHED_PARTS_FORMAT, message.sender, message.replica_id, list(message.parts)]
    )


def encode_states(message: StatesMessage, *, now_s: float, now_boot_s: float) -> bytes:
    """Encode the states of hosts; times are sent as ages."""
    rows = [
        [
            item.name,
            _heard_age_ms(item.state, now_s, now_boot_s),
            item.state.ready,
            item.state.config_version,
            item.state.store_connected,
            item.state.store_revision,
            _age_ms(item.state.store_contact_since_s, now_s),
            _age_ms(item.state.view_confirmed_boot_s, now_boot_s),
        ]
        for item in message.hosts
    ]
    return cbor2.dumps([STATES_FORMAT, message.sender, rows])


def is_collector_datagram(raw: bytes) -> bool:
    """Return whether a datagram has the prefix of datagrams from collectors."""
    return raw.startswith(SEQUENCE_PREFIX)


def decode_messages(
    raw: bytes, *, now_s: float, after_boot_s: float = float("-inf")
) -> CollectorDatagram:
    """Decode the messages of a datagram received now; raise ``ProtocolError``.

    It arrived after ``after_boot_s``, and may have been queued since.
    """
    try:
        (sequence,) = SEQUENCE.unpack_from(raw, len(SEQUENCE_PREFIX))
        source = io.BytesIO(raw)
        source.seek(PREFIX_BYTES)
        decoder = cbor2.CBORDecoder(source)
        messages = []
        while source.tell() < len(raw):
            fields = decoder.decode()
            messages.append(_decode_message(fields, sequence, now_s, after_boot_s))
        return CollectorDatagram(tuple(messages))
    except (
        cbor2.CBORDecodeError,
        struct.error,
        ValueError,
        TypeError,
        AttributeError,
        ArithmeticError,
    ) as error:
        raise ProtocolError(f"malformed datagram: {error}") from error


def _decode_message(
    fields: Sequence[Any], sequence: int, now_s: float, after_boot_s: float
) -> CollectorMessage:
    format_number, *values = fields
    if format_number == DIGEST_FORMAT:
        return _decode_digest(values, sequence)
    if format_number == UPDATES_FORMAT:
        return _decode_updates(values)
    if format_number == STATES_FORMAT:
        return _decode_states(values, now_s, after_boot_s)
    if format_number == CACHED_PARTS_FORMAT:
        sender, replica_id, parts = values
        return CachedPartsMessage(str(sender), str(replica_id), tuple(map(str, parts)))
    raise ProtocolError(f"format {format_number!r} is not known")


def _decode_digest(values: Sequence[Any], sequence: int) -> DigestMessage:
    sender, zone, part, work, queued_ms, suspects = values
    digest = WorkDigest(
        part=int(part),
        work={
            str(replica_id): ReplicaWork(ms / 1_000, int(running), int(tokens))
            for replica_id, (ms, running, tokens) in work.items()
        },
        queued_s=queued_ms / 1_000,
        suspects=tuple(str(replica_id) for replica_id in suspects),
    )
    zone = None if zone is None else str(zone)
    return DigestMessage(str(sender), zone, digest, sequence)


def _decode_updates(values: Sequence[Any]) -> UpdatesMessage:
    sender, zone, placements, refused = values
    return UpdatesMessage(
        sender=str(sender),
        zone=str(zone),
        placements=tuple(
            PartPlacement(str(part), str(engine), int(ready_in_ms))
            for part, engine, ready_in_ms in placements
        ),
        refused=tuple(int(key) for key in refused),
    )


def _decode_states(
    values: Sequence[Any], now_s: float, after_boot_s: float
) -> StatesMessage:
    sender, rows = values
    hosts = tuple(_decode_host_state(row, now_s, after_boot_s) for row in rows)
    return StatesMessage(str(sender), hosts)


def _decode_host_state(
    row: Sequence[Any], now_s: float, after_boot_s: float
) -> HostState:
    name, age_ms, ready, version, connected, revision, contact_ms, view_ms = row
    return HostState(
        str(name),
        PeerState(
            heard_s=now_s - age_ms / 1_000,
            ready=ready is True,
            config_version=int(version),
            store_connected=connected is True,
            store_revision=int(revision),
            store_contact_since_s=_since_s(contact_ms, now_s),
            view_confirmed_s=_confirmed_s(view_ms, now_s),
            heard_boot_s=after_boot_s - age_ms / 1_000,
            view_confirmed_boot_s=_confirmed_s(view_ms, after_boot_s),
        ),
    )


def _heard_age_ms(state: PeerState, now_s: float, now_boot_s: float) -> int | None:
    """Return the age of a state, also if this host was suspended meanwhile."""
    age_ms = _age_ms(state.heard_s, now_s)
    boot_age_ms = _age_ms(state.heard_boot_s, now_boot_s)
    if age_ms is None or boot_age_ms is None:
        return age_ms
    return max(age_ms, boot_age_ms)


def _age_ms(at_s: float | None, now_s: float) -> int | None:
    if at_s is None or at_s == float("-inf"):
        return None
    return max(0, int((now_s - at_s) * 1_000))


def _confirmed_s(age_ms: int | None, now_s: float) -> float:
    since_s = _since_s(age_ms, now_s)
    return float("-inf") if since_s is None else since_s


def _since_s(age_ms: int | None, now_s: float) -> float | None:
    return None if age_ms is None else now_s - age_ms / 1_000
