"""Messages of the etcd v3 JSON gateway.

64-bit numbers are decimal strings, bytes are base64, and fields with their default
value are left out.
"""

import base64
import binascii
from collections.abc import Mapping
from typing import Any

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.platform.store import KeyValue, WatchEvent

Json = dict[str, Any]
DELETE_EVENT = "DELETE"


def encode_bytes(raw: bytes) -> str:
    """Return bytes as base64."""
    return base64.b64encode(raw).decode("ascii")


def decode_bytes(text: Any) -> bytes:
    """Return the bytes of a base64 field; raise ``ProtocolError`` otherwise."""
    if not isinstance(text, str):
        raise ProtocolError(f"base64 field is {type(text).__name__}")
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise ProtocolError(f"invalid base64: {error}") from error


def number(fields: Mapping[str, Any], name: str) -> int:
    """Return a 64-bit number, 0 if it is left out."""
    raw = fields.get(name, 0)
    try:
        return int(raw)
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"{name} is not a number: {raw!r}") from error


def message(raw: Any, name: str) -> Mapping[str, Any]:
    """Return a sub-message, empty if it is left out."""
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise ProtocolError(f"{name} is not an object")
    return raw


def messages(raw: Any, name: str) -> list[Mapping[str, Any]]:
    """Return a list of sub-messages, empty if it is left out."""
    if raw is None:
        return []
    if not isinstance(raw, list):
        raise ProtocolError(f"{name} is not a list")
    return [message(item, name) for item in raw]


def range_end(prefix: bytes) -> bytes:
    """Return the end of the key range that holds all keys with a prefix."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\x00"
    return stripped[:-1] + bytes([stripped[-1] + 1])


def prefix_fields(prefix: str) -> Json:
    """Return the key range fields for a prefix."""
    raw = prefix.encode()
    # etcd reads key "\0" with range end "\0" as all keys.
    return {
        "key": encode_bytes(raw or b"\x00"),
        "range_end": encode_bytes(range_end(raw)),
    }


def put_request(key: str, value: bytes, lease_id: int) -> Json:
    """Return the put operation of a transaction."""
    put: Json = {"key": encode_bytes(key.encode()), "value": encode_bytes(value)}
    if lease_id:
        put["lease"] = str(lease_id)
    return {"request_put": put}


def delete_request(key: str) -> Json:
    """Return the delete operation of a transaction."""
    return {"request_delete_range": {"key": encode_bytes(key.encode())}}


def compare_revision_txn(key: str, expected_revision: int, success: Json) -> Json:
    """Return a transaction that acts only at the expected revision of the key.

    Otherwise it reads the key, which saves the losing writer another call.
    """
    encoded = encode_bytes(key.encode())
    return {
        "compare": [
            {
                "key": encoded,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(expected_revision),
            }
        ],
        "success": [success],
        "failure": [{"request_range": {"key": encoded}}],
    }


def key_value(fields: Mapping[str, Any]) -> KeyValue:
    """Return the key and value of a ``kv`` message."""
    try:
        key = decode_bytes(fields.get("key", "")).decode()
    except UnicodeDecodeError as error:
        raise ProtocolError("key is not UTF-8") from error
    return KeyValue(
        key=key,
        value=decode_bytes(fields.get("value", "")),
        mod_revision=number(fields, "mod_revision"),
        create_revision=number(fields, "create_revision"),
        lease_id=number(fields, "lease"),
    )


def watch_event(fields: Mapping[str, Any]) -> WatchEvent:
    """Return one event of a watch."""
    changed = key_value(message(fields.get("kv"), "kv"))
    deleted = fields.get("type") == DELETE_EVENT
    return WatchEvent(
        key=changed.key,
        key_value=None if deleted else changed,
        revision=changed.mod_revision,
    )
