"""Format of the datagrams with notices of subjects that may crash replicas."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.delivery.suspect_types import SuspectNotice

SUSPECTS_FORMAT = 11
MAX_MESSAGE_BYTES = 1_200
"""Datagrams below the usual MTU of 1,500 bytes are not fragmented."""

MAX_CRASHES_PER_NOTICE = 16
"""Crashes of one subject that are sent; three quarantine it."""


@dataclass(frozen=True)
class SuspectsMessage:
    """Hold the notices of a host about some subjects."""

    notices: tuple[SuspectNotice, ...]


def encode_suspects(notices: Iterable[SuspectNotice]) -> list[bytes]:
    """Encode notices in datagrams that are filled as far as possible."""
    datagrams: list[bytes] = []
    rows: list[bytes] = []
    size = 0
    for notice in notices:
        row = cbor2.dumps(_encode_notice(notice))
        if rows and size + len(row) > MAX_MESSAGE_BYTES:
            datagrams.append(cbor2.dumps([SUSPECTS_FORMAT, rows]))
            rows, size = [], 0
        rows.append(row)
        size += len(row)
    if rows:
        datagrams.append(cbor2.dumps([SUSPECTS_FORMAT, rows]))
    return datagrams


def decode_suspects(values: Sequence[Any]) -> SuspectsMessage:
    """Decode a message from the fields of a datagram; raise ``ProtocolError``."""
    match values:
        case [list(rows)]:
            notices = (_decode_notice(cbor2.loads(row)) for row in rows)
            return SuspectsMessage(tuple(notices))
    raise ProtocolError("malformed message of suspect notices")


def _encode_notice(notice: SuspectNotice) -> list[Any]:
    return [
        notice.digest,
        notice.host,
        sorted(notice.crashes)[:MAX_CRASHES_PER_NOTICE],
        notice.cleared,
        int(notice.quarantine_left_s * 1_000),
        notice.isolated_on,
        int(notice.isolation_left_s * 1_000),
        notice.number,
        int(notice.crash_age_s * 1_000),
    ]


def _decode_notice(row: Any) -> SuspectNotice:
    match row:
        case [
            bytes(digest),
            str(host),
            list(crashes),
            bool(cleared),
            int(quarantine_left_ms),
            str() | None as isolated_on,
            int(isolation_left_ms),
            int(number),
            int(crash_age_ms),
        ]:
            return SuspectNotice(
                digest=digest,
                host=host,
                crashes=frozenset(str(crash) for crash in crashes),
                cleared=cleared,
                quarantine_left_s=quarantine_left_ms / 1_000,
                isolated_on=isolated_on,
                isolation_left_s=isolation_left_ms / 1_000,
                number=number,
                crash_age_s=crash_age_ms / 1_000,
            )
    raise ProtocolError("malformed suspect notice")
