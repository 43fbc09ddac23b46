"""Storage format of a revision: a header and, until pruned, a compressed document."""

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.platform import MAX_VALUE_BYTES
from persimmonyoke.internal.presets.difference import revision_difference
from persimmonyoke.internal.presets.revision import (
    MAX_NUMBER,
    ChangeAction,
    Revision,
    decode_revision,
    encode_revision,
)

MAGIC = b"PYR"
"""Distinguishes this format from version 1, a plain CBOR map, which can't begin with
these bytes."""

STORED_VERSION = 2
DOCUMENT = b"D"
HEADER_ONLY = b"H"
LENGTH_BYTES = 4
PREAMBLE_BYTES = len(MAGIC) + 1 + 1 + LENGTH_BYTES
MAX_HEADER_BYTES = 32_000
MAX_DIFFERENCE_LINES = 20
MAX_LINE_CHARACTERS = 160

_TEXT_FIELDS = (
    "firm",
    "author",
    "reason",
    "write_id",
    "preset_name",
    "active",
    "active_before",
)


@dataclass(frozen=True)
class RevisionHeader:
    """Record who changed what, when and why; kept longer than the document.

    ``active_before`` is empty in the first revision. ``difference`` is truncated.
    """

    number: int
    firm: str
    author: str
    reason: str
    created_unix_s: float
    write_id: str
    action: ChangeAction
    preset_name: str
    active: str
    active_before: str = ""
    difference: tuple[str, ...] = ()


@dataclass(frozen=True)
class StoredForm:
    """Hold a decoded value; ``revision`` is ``None`` once only the header is kept."""

    header: RevisionHeader
    revision: Revision | None


_FIELD_NAMES = tuple(field.name for field in fields(RevisionHeader))


def header_of(revision: Revision, previous: Revision | None = None) -> RevisionHeader:
    """Return the header of a revision, with its difference from the previous one."""
    values = {
        name: getattr(revision, name)
        for name in _FIELD_NAMES
        if name not in ("active_before", "difference")
    }
    return RevisionHeader(
        **values,
        active_before=previous.active if previous else "",
        difference=_truncated(revision_difference(previous, revision)),
    )


def encode_stored(revision: Revision, header: RevisionHeader) -> bytes:
    """Encode header and document; raise ``ValueError`` above the size limit."""
    blob = _with_header(DOCUMENT, header) + zlib.compress(encode_revision(revision))
    if len(blob) > MAX_VALUE_BYTES:
        raise ValueError(
            f"revision {revision.number} has {len(blob)} bytes after compression; "
            f"accepted: {MAX_VALUE_BYTES}"
        )
    return blob


def encode_header(header: RevisionHeader) -> bytes:
    """Encode the header alone, which replaces an old document."""
    return _with_header(HEADER_ONLY, header)


def decode_stored(blob: bytes, *, with_document: bool = True) -> StoredForm:
    """Decode a stored value; raise ``ProtocolError`` if it can't be read.

    Without ``with_document`` the document is not decompressed and ``revision`` is
    ``None``, except in version 1.
    """
    if not blob.startswith(MAGIC):
        # Version 1 has no header and therefore no difference.
        revision = decode_revision(blob)
        return StoredForm(_version_1_header(revision), revision)
    if len(blob) > MAX_VALUE_BYTES or len(blob) < PREAMBLE_BYTES:
        raise ProtocolError(f"stored revision has {len(blob)} bytes")
    version, kind = blob[len(MAGIC)], blob[len(MAGIC) + 1 : len(MAGIC) + 2]
    if version != STORED_VERSION:
        raise ProtocolError(
            f"stored revision has format version {version}; "
            f"this program reads up to {STORED_VERSION}"
        )
    if kind not in (DOCUMENT, HEADER_ONLY):
        raise ProtocolError(f"stored revision is of the unknown kind {kind!r}")
    length = int.from_bytes(blob[PREAMBLE_BYTES - LENGTH_BYTES : PREAMBLE_BYTES], "big")
    end = PREAMBLE_BYTES + length
    if length > MAX_HEADER_BYTES or end > len(blob):
        raise ProtocolError(f"header of a stored revision has {length} bytes")
    header = _decode_header(blob[PREAMBLE_BYTES:end])
    if kind == HEADER_ONLY:
        if end != len(blob):
            raise ProtocolError("header of a stored revision is followed by bytes")
        return StoredForm(header, None)
    if not with_document:
        return StoredForm(header, None)
    revision = decode_revision(_decompressed(blob[end:]))
    if (revision.number, revision.write_id) != (header.number, header.write_id):
        raise ProtocolError("header and document of a stored revision differ")
    return StoredForm(header, revision)


def _with_header(kind: bytes, header: RevisionHeader) -> bytes:
    values: dict[str, Any] = {name: getattr(header, name) for name in _FIELD_NAMES}
    values["action"] = header.action.value
    values["difference"] = list(header.difference)
    raw = cbor2.dumps(values)
    length = len(raw).to_bytes(LENGTH_BYTES, "big")
    return MAGIC + bytes([STORED_VERSION]) + kind + length + raw


def _decompressed(body: bytes) -> bytes:
    """Decompress up to the size limit, so that a decompression bomb is harmless."""
    stream = zlib.decompressobj()
    try:
        raw = stream.decompress(body, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        raise ProtocolError(
            f"stored revision can't be decompressed: {error}"
        ) from error
    if len(raw) > MAX_VALUE_BYTES:
        raise ProtocolError(f"stored revision has more than {MAX_VALUE_BYTES} bytes")
    if not stream.eof or stream.unused_data:
        raise ProtocolError("compressed revision is cut short or followed by bytes")
    return raw


def _decode_header(raw: bytes) -> RevisionHeader:
    try:
        values = cbor2.loads(raw)
    except Exception as error:
        # The decoder raises exceptions of many classes for malicious input.
        raise ProtocolError(f"revision header is not valid CBOR: {error}") from error
    if not isinstance(values, dict) or set(values) != set(_FIELD_NAMES):
        raise ProtocolError("revision header has not exactly the expected fields")
    _check_header(values)
    try:
        action = ChangeAction(values["action"])
    except ValueError as error:
        raise ProtocolError(f"action of a revision header: {error}") from error
    difference = tuple(values["difference"])
    return RevisionHeader(**{**values, "action": action, "difference": difference})


def _check_header(values: Mapping[str, Any]) -> None:
    number, created = values["number"], values["created_unix_s"]
    difference = values["difference"]
    valid = (
        all(isinstance(values[name], str) for name in _TEXT_FIELDS)
        and type(number) is int
        and 1 <= number <= MAX_NUMBER
        and type(created) in (int, float)
        and math.isfinite(created)
        and isinstance(difference, list)
        and all(isinstance(line, str) for line in difference)
    )
    if not valid:
        raise ProtocolError("a field of a revision header is of a wrong type or value")


def _version_1_header(revision: Revision) -> RevisionHeader:
    names = (field.name for field in fields(Revision) if field.name != "presets")
    return RevisionHeader(**{name: getattr(revision, name) for name in names})


def _truncated(lines: tuple[str, ...]) -> tuple[str, ...]:
    short = [line[:MAX_LINE_CHARACTERS] for line in lines[:MAX_DIFFERENCE_LINES]]
    if len(lines) > MAX_DIFFERENCE_LINES:
        short.append(f"... and {len(lines) - MAX_DIFFERENCE_LINES} more lines")
    return tuple(short)
