"""Encoding of store changes as datagrams, split into parts where necessary."""

import zlib
from collections import OrderedDict
from dataclasses import dataclass, field

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.fleet.interfaces import ChangesRequest, RelayedChanges
from persimmonyoke.internal.gateway.digest_messages import MAX_DATAGRAM_BYTES

CHANGES_FORMAT = 9
CHANGES_REQUEST_FORMAT = 14
FORMER_CHANGES_FORMAT = 15
"""Changes that a host has kept, which say nothing of later ones."""

HEADER_BYTES = 40
"""Space reserved for the header fields beside the data of a part."""

MAX_PARTS = 32
MAX_CHANGES_BYTES = 1_048_576
"""Limit on the decompressed size of changes; a configuration is smaller."""

MAX_PARTIAL_CHANGES = 8
"""Partial changes kept at most.

The oldest are evicted; the host then requests these changes from the store.
"""


@dataclass(frozen=True)
class ChangesPart:
    """Hold one part of changes; equal revisions and checksums belong together."""

    after_revision: int
    checksum: int
    index: int
    count: int
    data: bytes
    is_recent: bool = True


@dataclass(frozen=True)
class _PartsKey:
    """Identify the parts that belong together."""

    after_revision: int
    checksum: int
    is_recent: bool


@dataclass
class _PartialChanges:
    """Hold the parts received so far, and the number of all parts."""

    count: int
    after_boot_s: float
    parts: dict[int, bytes] = field(default_factory=dict)


def encode_changes(changes: RelayedChanges) -> list[bytes]:
    """Encode changes as datagrams; return none if they need too many parts."""
    packed = zlib.compress(changes.encoded)
    checksum = zlib.crc32(packed)
    size = MAX_DATAGRAM_BYTES - HEADER_BYTES
    format_number = CHANGES_FORMAT if changes.is_recent else FORMER_CHANGES_FORMAT
    parts = [packed[first : first + size] for first in range(0, len(packed), size)]
    if len(parts) > MAX_PARTS:
        return []
    return [
        cbor2.dumps(
            [format_number, changes.after_revision, checksum, index, len(parts), part]
        )
        for index, part in enumerate(parts)
    ]


def encode_changes_request(request: ChangesRequest) -> bytes:
    """Encode a request as a datagram."""
    fields = [request.host, request.after_revision, request.tunnel_key]
    return cbor2.dumps([CHANGES_REQUEST_FORMAT, *fields])


def decode_changes_request(values: list) -> ChangesRequest:
    """Decode a request from the fields of a datagram; raise ``ValueError``."""
    host, after_revision, tunnel_key = values
    return ChangesRequest(str(host), int(after_revision), str(tunnel_key))


def decode_part(values: list, *, is_recent: bool) -> ChangesPart:
    """Decode a part from the fields of a datagram; raise ``ValueError``."""
    after_revision, checksum, index, count, data = values
    part = ChangesPart(
        int(after_revision),
        int(checksum),
        int(index),
        int(count),
        bytes(data),
        is_recent,
    )
    if not 0 <= part.index < part.count <= MAX_PARTS:
        raise ValueError(f"invalid part index {part.index} of {part.count} parts")
    return part


class ChangesAssembler:
    """Reassemble changes from parts, which may be lost or sent by several hosts."""

    def __init__(self) -> None:
        self._incomplete: OrderedDict[_PartsKey, _PartialChanges] = OrderedDict()

    def add(
        self, part: ChangesPart, *, after_boot_s: float = float("-inf")
    ) -> RelayedChanges | None:
        """Add a part that arrived after a boot time; return complete changes.

        Raises ``ProtocolError`` if the joined parts are not valid changes.
        """
        key = _PartsKey(part.after_revision, part.checksum, part.is_recent)
        first = _PartialChanges(part.count, after_boot_s)
        incomplete = self._incomplete.setdefault(key, first)
        incomplete.parts[part.index] = part.data
        if len(incomplete.parts) < incomplete.count:
            if len(self._incomplete) > MAX_PARTIAL_CHANGES:
                self._incomplete.popitem(last=False)
            return None
        del self._incomplete[key]
        packed = b"".join(data for _, data in sorted(incomplete.parts.items()))
        encoded = _unpack(packed, part.checksum)
        current_boot_s = incomplete.after_boot_s if part.is_recent else float("-inf")
        return RelayedChanges(
            part.after_revision, encoded, current_boot_s, part.is_recent
        )


def _unpack(packed: bytes, checksum: int) -> bytes:
    if zlib.crc32(packed) != checksum:
        raise ProtocolError("checksum of reassembled changes does not match")
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, MAX_CHANGES_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"malformed changes: {error}") from error
    if not decompressor.eof:
        raise ProtocolError(
            "changes are incomplete or larger than the limit when decompressed"
        )
    return encoded
