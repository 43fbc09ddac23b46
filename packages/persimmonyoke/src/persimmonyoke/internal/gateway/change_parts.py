"""Changes of the store as datagrams, in as many parts as they need."""

import zlib
from collections import OrderedDict
from dataclasses import dataclass, field

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.fleet.interfaces import RelayedChanges
from persimmonyoke.internal.gateway.digest_messages import MAX_DATAGRAM_BYTES

CHANGES_FORMAT = 9
HEADER_BYTES = 40
"""Room for the numbers beside a part of the changes."""

MAX_PARTS = 32
MAX_CHANGES_BYTES = 1_048_576
"""Bound of what compressed changes may grow to; a configuration is smaller."""

MAX_PARTIAL_CHANGES = 8
"""Changes of which parts are missing; the oldest are given up and asked for."""


@dataclass(frozen=True)
class ChangesPart:
    """Hold one part of changes; those with equal numbers belong together."""

    after_revision: int
    checksum: int
    index: int
    count: int
    data: bytes


@dataclass
class _PartialChanges:
    """Hold the parts that have arrived, and how many there are."""

    count: int
    parts: dict[int, bytes] = field(default_factory=dict)


def encode_changes(changes: RelayedChanges) -> list[bytes]:
    """Return changes as datagrams, or none if they are too large to be passed on."""
    packed = zlib.compress(changes.encoded)
    checksum = zlib.crc32(packed)
    size = MAX_DATAGRAM_BYTES - HEADER_BYTES
    parts = [packed[first : first + size] for first in range(0, len(packed), size)]
    if len(parts) > MAX_PARTS:
        return []
    return [
        cbor2.dumps(
            [CHANGES_FORMAT, changes.after_revision, checksum, index, len(parts), part]
        )
        for index, part in enumerate(parts)
    ]


def decode_part(values: list) -> ChangesPart:
    """Return the part that the fields of a datagram hold; raise ``ValueError``."""
    after_revision, checksum, index, count, data = values
    part = ChangesPart(
        int(after_revision), int(checksum), int(index), int(count), bytes(data)
    )
    if not 0 <= part.index < part.count <= MAX_PARTS:
        raise ValueError(f"part {part.index} of {part.count}")
    return part


class ChangesAssembler:
    """Join parts of changes, which several hosts send and some of which are lost."""

    def __init__(self) -> None:
        self._incomplete: OrderedDict[tuple[int, int], _PartialChanges] = OrderedDict()

    def add(self, part: ChangesPart) -> RelayedChanges | None:
        """Add a part; return the changes when all of them have arrived.

        Raises ``ProtocolError`` if the parts do not make changes.
        """
        key = (part.after_revision, part.checksum)
        incomplete = self._incomplete.setdefault(key, _PartialChanges(part.count))
        incomplete.parts[part.index] = part.data
        if len(incomplete.parts) < incomplete.count:
            if len(self._incomplete) > MAX_PARTIAL_CHANGES:
                self._incomplete.popitem(last=False)
            return None
        del self._incomplete[key]
        packed = b"".join(data for _, data in sorted(incomplete.parts.items()))
        return RelayedChanges(part.after_revision, _unpack(packed, part.checksum))


def _unpack(packed: bytes, checksum: int) -> bytes:
    if zlib.crc32(packed) != checksum:
        raise ProtocolError("parts of changes do not belong together")
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, MAX_CHANGES_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"malformed changes: {error}") from error
    if not decompressor.eof:
        raise ProtocolError("changes are too large or incomplete")
    return encoded
