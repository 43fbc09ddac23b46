"""Serving system for a fixed fleet of LLM engines and plain services."""

from persimmonyoke.errors import (
    ERROR_ANSWERS,
    ConflictError,
    ErrorAnswer,
    ErrorKind,
    Fault,
    InvalidDocumentError,
    InvariantViolation,
    PersimmonyokeError,
    PlatformUnavailable,
    PresetError,
    ProtocolError,
    Ran,
    RequestError,
    SettingsError,
    StoreUnavailable,
)

__all__ = [
    "ERROR_ANSWERS",
    "ConflictError",
    "ErrorAnswer",
    "ErrorKind",
    "Fault",
    "InvalidDocumentError",
    "InvariantViolation",
    "PersimmonyokeError",
    "PlatformUnavailable",
    "PresetError",
    "ProtocolError",
    "Ran",
    "RequestError",
    "SettingsError",
    "StoreUnavailable",
]
