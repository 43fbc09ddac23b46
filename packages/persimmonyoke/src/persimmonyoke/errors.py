"""Exceptions of persimmonyoke and the complete list of error kinds."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType


class Ran(StrEnum):
    """State whether the work of a refused or failed request ran."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """List the kinds of error that a caller or an operator can get."""

    MALFORMED_BODY = "malformed_body"
    INVALID_VALUE = "invalid_value"
    UNKNOWN_FIELD = "unknown_field"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    MISSING_KEY = "missing_key"
    WRONG_KEY = "wrong_key"
    FORBIDDEN = "forbidden"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    WRONG_METHOD = "wrong_method"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    CALL_IN_PROGRESS = "call_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_EXPIRED = "key_expired"
    WORKSPACE_OVER_LIMIT = "workspace_over_limit"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    QUARANTINED = "quarantined"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    UPSTREAM_UNAVAILABLE = "upstream_unavailable"
    UPSTREAM_FAILED = "upstream_failed"
    STREAM_LOST = "stream_lost"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorAnswer:
    """Hold the HTTP status and the OpenAI error type of an error kind.

    ``retryable`` says whether the same request may succeed later unchanged.
    """

    status: int
    openai_type: str
    retryable: bool = False


_INVALID_REQUEST = "invalid_request_error"
_AUTHENTICATION = "authentication_error"
_RATE_LIMIT = "rate_limit_error"
_SERVER = "server_error"

ERROR_ANSWERS: Mapping[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.MALFORMED_BODY: ErrorAnswer(400, _INVALID_REQUEST),
        ErrorKind.INVALID_VALUE: ErrorAnswer(400, _INVALID_REQUEST),
        ErrorKind.UNKNOWN_FIELD: ErrorAnswer(400, _INVALID_REQUEST),
        ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, _INVALID_REQUEST),
        ErrorKind.HEADER_TOO_LARGE: ErrorAnswer(431, _INVALID_REQUEST),
        ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(408, _INVALID_REQUEST, True),
        ErrorKind.MISSING_KEY: ErrorAnswer(401, _AUTHENTICATION),
        ErrorKind.WRONG_KEY: ErrorAnswer(401, _AUTHENTICATION),
        ErrorKind.FORBIDDEN: ErrorAnswer(403, "permission_error"),
        ErrorKind.UNKNOWN_PATH: ErrorAnswer(404, _INVALID_REQUEST),
        ErrorKind.UNKNOWN_MODEL: ErrorAnswer(404, _INVALID_REQUEST),
        ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, _INVALID_REQUEST),
        ErrorKind.WRONG_METHOD: ErrorAnswer(405, _INVALID_REQUEST),
        ErrorKind.CONFLICT: ErrorAnswer(409, "conflict_error"),
        ErrorKind.KEY_REUSED: ErrorAnswer(422, _INVALID_REQUEST),
        ErrorKind.CALL_IN_PROGRESS: ErrorAnswer(409, "conflict_error", True),
        ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(409, "conflict_error"),
        ErrorKind.KEY_EXPIRED: ErrorAnswer(409, "conflict_error"),
        ErrorKind.WORKSPACE_OVER_LIMIT: ErrorAnswer(429, _RATE_LIMIT, True),
        ErrorKind.OVERLOADED: ErrorAnswer(429, _RATE_LIMIT, True),
        ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(429, _RATE_LIMIT, True),
        ErrorKind.QUARANTINED: ErrorAnswer(422, _INVALID_REQUEST),
        ErrorKind.NOT_READY: ErrorAnswer(503, _SERVER, True),
        ErrorKind.DRAINING: ErrorAnswer(503, _SERVER, True),
        ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(503, _SERVER, True),
        ErrorKind.UPSTREAM_UNAVAILABLE: ErrorAnswer(503, _SERVER, True),
        ErrorKind.UPSTREAM_FAILED: ErrorAnswer(502, _SERVER),
        ErrorKind.STREAM_LOST: ErrorAnswer(502, _SERVER),
        ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, _SERVER),
        ErrorKind.CALLER_GONE: ErrorAnswer(499, _INVALID_REQUEST),
        ErrorKind.INTERNAL: ErrorAnswer(500, _SERVER),
    }
)


class PersimmonyokeError(Exception):
    """Base class of the exceptions that persimmonyoke raises."""


class RequestError(PersimmonyokeError):
    """Refuse or fail one request.

    ``ran`` states whether the work ran; ``NOT_RUN`` is allowed only if no byte of the
    request was written to an upstream, or if the upstream rejected it without running
    it.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        ran: Ran = Ran.NOT_RUN,
        retry_after_s: float | None = None,
        param: str | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.param = param

    @property
    def answer(self) -> ErrorAnswer:
        """Return the status and type that belong to the kind."""
        return ERROR_ANSWERS[self.kind]


@dataclass(frozen=True)
class Fault:
    """Describe one fault of a settings file or preset and what is accepted instead."""

    key: str
    problem: str
    accepted: str

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}; accepted: {self.accepted}"


class InvalidDocumentError(PersimmonyokeError):
    """Report every fault of a settings file or preset."""

    def __init__(self, source: str, faults: tuple[Fault, ...]) -> None:
        lines = "\n".join(f"  {fault}" for fault in faults)
        count = "1 fault" if len(faults) == 1 else f"{len(faults)} faults"
        super().__init__(f"{source} has {count}:\n{lines}")
        self.source = source
        self.faults = faults


class SettingsError(InvalidDocumentError):
    """Report the faults of a settings file."""


class PresetError(InvalidDocumentError):
    """Report the faults of a preset."""


class ConflictError(PersimmonyokeError):
    """Report that another operator changed the configuration first."""

    def __init__(self, message: str, *, difference: str) -> None:
        super().__init__(message)
        self.difference = difference


class PlatformUnavailable(PersimmonyokeError):
    """Report that a service of the platform did not answer."""


class StoreUnavailable(PlatformUnavailable):
    """Report that a read from the key-value service failed."""


class HistoryLost(PlatformUnavailable):
    """Report that the store dropped events, so that state must be read again."""


class LeaseEnded(PersimmonyokeError):
    """Report that a lease no longer exists in the store."""


class MalformedMetadata(PersimmonyokeError):
    """Report a header of a client's request whose value cannot be used."""


class ProtocolError(PersimmonyokeError):
    """Report a message that does not follow its protocol."""


class InvariantViolation(PersimmonyokeError):
    """Report that a named invariant does not hold."""
