"""CBOR encoding of the messages between hosts, checked field by field."""

from collections.abc import Mapping
from dataclasses import MISSING, fields, is_dataclass
from typing import Any

import cbor2

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.fields import check_field
from persimmonyoke.internal.membership.messages import (
    MAX_MESSAGE_BYTES,
    MESSAGE_TYPES,
    Message,
)

PROTOCOL_VERSION = 1
MAX_DEPTH = 6
_FIELDS = {kind: fields(kind) for kind in MESSAGE_TYPES.values()}
_TYPE_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}


def _reject_tag(*_: Any) -> None:
    raise ProtocolError("CBOR tags are not accepted")


# The decoder's built-in tags create dates, regular expressions, big numbers and shared
# references. No message uses them, and some cost far more to decode than their size
# suggests.
_REJECTED_TAGS = dict.fromkeys((*range(0, 64), *range(100, 1100), 43000), _reject_tag)


def decode_plain(data: bytes) -> Any:
    """Decode one CBOR value of plain types; raise ``ProtocolError`` for any other."""
    try:
        return cbor2.loads(
            data,
            tag_hook=_reject_tag,
            semantic_decoders=_REJECTED_TAGS,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, TypeError, OverflowError) as error:
        raise ProtocolError(f"message is not valid CBOR: {error}") from None


def _to_plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_record_values(i) if is_dataclass(i) else i for i in value]
    return value


def _record_values(record: Any) -> list[Any]:
    # The records are flat; dataclasses.astuple would copy each value.
    return [getattr(record, declared.name) for declared in fields(record)]


def encode(message: Message) -> bytes:
    """Encode a message; raise ``ProtocolError`` if a field exceeds its limit."""
    document: dict[str, Any] = {"v": PROTOCOL_VERSION, "t": _TYPE_NAMES[type(message)]}
    for declared in _FIELDS[type(message)]:
        value = check_field(declared, getattr(message, declared.name))
        if declared.default is not MISSING and value == declared.default:
            # The receiver fills in defaults; most packed messages contain no names.
            continue
        document[declared.name] = _to_plain(value)
    return cbor2.dumps(document)


def decode(data: bytes, *, max_bytes: int = MAX_MESSAGE_BYTES) -> Message | None:
    """Decode a message, or return ``None`` for an unknown type of a newer version.

    Raises ``ProtocolError`` for a malformed message. Unknown fields are ignored, so
    that a newer version may add some.
    """
    if not isinstance(data, bytes):
        raise ProtocolError("message is not binary")
    if len(data) > max_bytes:
        raise ProtocolError(f"message of {len(data)} bytes is over {max_bytes}")
    document = decode_plain(data)
    if not isinstance(document, Mapping):
        raise ProtocolError("message is not a map")
    if document.get("v") != PROTOCOL_VERSION:
        raise ProtocolError(f"protocol version is not {PROTOCOL_VERSION}")
    name = document.get("t")
    if not isinstance(name, str):
        raise ProtocolError("message type is not a string")
    kind = MESSAGE_TYPES.get(name)
    return None if kind is None else _build(kind, document)


def _build(kind: type[Message], document: Mapping[str, Any]) -> Message:
    values = {}
    for declared in _FIELDS[kind]:
        if declared.name in document:
            values[declared.name] = check_field(declared, document[declared.name])
        elif declared.default is MISSING:
            raise ProtocolError(f"field {declared.name} is missing")
    return kind(**values)
