"""Validation of message fields, declared with the dataclasses of the messages."""

import math
from collections.abc import Callable
from dataclasses import MISSING, Field, field, fields
from typing import Any

from persimmonyoke.errors import ProtocolError

FieldCheck = Callable[[Any], Any]

MAX_NAME_CHARS = 128
MAX_NUMBER = 2**63 - 1


def _reject(problem: str) -> None:
    raise ProtocolError(problem)


def text(*, default: Any = MISSING, max_chars: int = MAX_NAME_CHARS) -> Any:
    """Declare a string field of bounded length."""

    def check(value: Any) -> str:
        if not isinstance(value, str) or len(value) > max_chars:
            _reject(f"expected a string of at most {max_chars} characters")
        return value

    return field(default=default, metadata={"check": check})


def blob(*, default: Any = MISSING, max_bytes: int, min_bytes: int = 0) -> Any:
    """Declare a bytes field of bounded length."""

    def check(value: Any) -> bytes:
        if not isinstance(value, bytes) or not min_bytes <= len(value) <= max_bytes:
            _reject(f"expected {min_bytes} to {max_bytes} bytes")
        return value

    return field(default=default, metadata={"check": check})


def integer(*, default: Any = MISSING, maximum: int = MAX_NUMBER) -> Any:
    """Declare an integer field from 0 to a maximum."""

    def check(value: Any) -> int:
        # bool is a subclass of int, but a peer must not send one in place of the other.
        if type(value) is not int or not 0 <= value <= maximum:
            _reject(f"expected an integer from 0 to {maximum}")
        return value

    return field(default=default, metadata={"check": check})


def number(*, default: Any = MISSING) -> Any:
    """Declare a field for a finite number of at least 0."""

    def check(value: Any) -> float:
        if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
            _reject("expected a finite number of at least 0")
        return float(value)

    return field(default=default, metadata={"check": check})


def flag(*, default: Any = MISSING) -> Any:
    """Declare a boolean field."""

    def check(value: Any) -> bool:
        if type(value) is not bool:
            _reject("expected a boolean")
        return value

    return field(default=default, metadata={"check": check})


def records(record: type, *, max_count: int) -> Any:
    """Declare a tuple of records, each encoded as an array of its fields."""

    def check(value: Any) -> tuple:
        if not isinstance(value, list | tuple) or len(value) > max_count:
            _reject(f"expected an array of at most {max_count} records")
        return tuple(_check_record(record, item) for item in value)

    return field(default=(), metadata={"check": check})


def _check_record(record: type, item: Any) -> Any:
    if isinstance(item, record):
        return item
    declared = fields(record)
    if not isinstance(item, list | tuple) or len(item) != len(declared):
        _reject(f"expected a record of {len(declared)} fields")
    return record(*(check_field(f, v) for f, v in zip(declared, item, strict=True)))


def check_field(declared: Field, value: Any) -> Any:
    """Return the checked value, or raise a ``ProtocolError`` that names the field."""
    try:
        return declared.metadata["check"](value)
    except ProtocolError as error:
        raise ProtocolError(f"field {declared.name}: {error}") from None
