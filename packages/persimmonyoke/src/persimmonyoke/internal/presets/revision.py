"""Revision of the configuration and its CBOR encoding."""

import io
import math
from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from types import MappingProxyType
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.platform import MAX_VALUE_BYTES

FORMAT_VERSION = 1
MAX_NUMBER = 10**10 - 1
"""Keys contain the number with ten digits, so that they sort by number."""

MAX_REASON_CHARACTERS = 2_000
MAX_AUTHOR_CHARACTERS = 200


class ChangeAction(StrEnum):
    """Kinds of changes that an operator can make to the configuration."""

    CREATE = "create"
    EDIT = "edit"
    CHOOSE = "choose"


@dataclass(frozen=True)
class Revision:
    """Hold one revision with the texts of all presets.

    ``preset_name`` is the preset that was changed, ``active`` the one in force.
    ``write_id`` is random and identifies the write that stored the revision.
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
    presets: Mapping[str, str]


_FIELD_NAMES = tuple(field.name for field in fields(Revision))
_TEXT_FIELDS = ("firm", "author", "reason", "write_id", "preset_name", "active")


def encode_revision(revision: Revision) -> bytes:
    """Return the revision as CBOR; raise ``ValueError`` above the size limit."""
    values: dict[str, Any] = {name: getattr(revision, name) for name in _FIELD_NAMES}
    values["action"] = revision.action.value
    values["presets"] = dict(revision.presets)
    blob = cbor2.dumps({"v": FORMAT_VERSION, **values})
    if len(blob) > MAX_VALUE_BYTES:
        raise ValueError(
            f"revision {revision.number} has {len(blob)} bytes; "
            f"accepted: {MAX_VALUE_BYTES}"
        )
    return blob


def decode_revision(blob: bytes) -> Revision:
    """Return the revision of a CBOR document; raise ``ProtocolError`` otherwise."""
    if len(blob) > MAX_VALUE_BYTES:
        raise ProtocolError(f"revision has {len(blob)} bytes")
    stream = io.BytesIO(blob)
    try:
        values = cbor2.load(stream)
    except Exception as error:
        # The decoder raises exceptions of many classes for malicious input.
        raise ProtocolError(f"revision is not valid CBOR: {error}") from error
    if stream.tell() != len(blob):
        raise ProtocolError("revision is followed by other bytes")
    if not isinstance(values, dict) or set(values) != {"v", *_FIELD_NAMES}:
        raise ProtocolError("revision has not exactly the expected fields")
    if values.pop("v") != FORMAT_VERSION:
        raise ProtocolError("revision has an unknown format version")
    return _checked_revision(values)


def _checked_revision(values: Mapping[str, Any]) -> Revision:
    for name in _TEXT_FIELDS:
        if not isinstance(values[name], str):
            raise ProtocolError(f"{name} of a revision is not a text")
    _check_number(values["number"])
    created = values["created_unix_s"]
    if isinstance(created, bool) or not isinstance(created, int | float):
        raise ProtocolError("created_unix_s of a revision is not a number")
    if not math.isfinite(created):
        raise ProtocolError("created_unix_s of a revision is not finite")
    presets = values["presets"]
    if not _is_text_map(presets):
        raise ProtocolError("presets of a revision are not texts by name")
    if values["active"] not in presets:
        raise ProtocolError("active preset of a revision is missing")
    try:
        action = ChangeAction(values["action"])
    except ValueError as error:
        raise ProtocolError(f"action of a revision: {error}") from error
    plain = {
        **values,
        "action": action,
        "created_unix_s": float(created),
        "presets": MappingProxyType(presets),
    }
    return Revision(**plain)


def _check_number(number: Any) -> None:
    if isinstance(number, bool) or not isinstance(number, int):
        raise ProtocolError("number of a revision is not a whole number")
    if not 1 <= number <= MAX_NUMBER:
        raise ProtocolError(f"number of a revision is {number}")


def _is_text_map(value: Any) -> bool:
    return isinstance(value, dict) and all(
        isinstance(key, str) and isinstance(text, str) for key, text in value.items()
    )
