"""One request of a client on its way through the gateway."""

import time
from dataclasses import dataclass, field

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.fleet.model import (
    Configuration,
    RequestMetadata,
    Route,
    Service,
)
from persimmonyoke.internal.gateway.attempts import (
    Attempt,
    AttemptStart,
    end_attempt,
)
from persimmonyoke.internal.gateway.client_connection import (
    ClientConnection,
    OutgoingHead,
)
from persimmonyoke.internal.gateway.requests import ClientRequest
from persimmonyoke.internal.gateway.upstream_call import Work

ANSWER_MARGIN_S = 0.02
"""Time before the client's deadline at which a final answer is given."""


class StreamBroken(Exception):
    """Say that a client's answer has begun and can't be completed."""


@dataclass
class Exchange:
    """Hold a request, its limits and what has happened to it."""

    request: ClientRequest
    client: ClientConnection
    metadata: RequestMetadata
    configuration: Configuration
    route: Route
    service: Service
    started_s: float
    deadline_s: float
    client_deadline_s: float
    work: Work = field(default_factory=Work)
    attempts: list[Attempt] = field(default_factory=list)
    sends: int = 0
    may_have_run: bool = False
    first_event_s: float | None = None
    estimate_s: float | None = None
    closing: bool = False
    begun: bool = False
    last_event_s: float = 0.0
    status: int = 0
    isolated_on: str | None = None
    """Replica that is reserved for this request, since it may crash it."""

    @property
    def remaining_s(self) -> float:
        """Return the time until a final answer is due."""
        return self.deadline_s - time.monotonic()

    def patience_left_s(self, now_s: float) -> float:
        """Return how long the caller of a stream still waits for an event."""
        end_s = max(self.started_s, self.last_event_s) + self.route.caller_timeout_s
        return min(self.deadline_s, end_s) - ANSWER_MARGIN_S - now_s

    @property
    def deadline_ms(self) -> int:
        """Return what a replica is told: the time that the client still waits."""
        left_s = min(self.deadline_s, self.client_deadline_s) - time.monotonic()
        return max(1, int(left_s * 1_000))

    def note(self, start: AttemptStart, result: str, *, now_s: float) -> None:
        """Add an attempt to the log of this request."""
        self.attempts.append(end_attempt(start, result, now_s=now_s))

    @property
    def content(self) -> str:
        """Return the digest that the log names the content of the request by."""
        return self.request.content_digest.hex()

    def not_served(self, message: str, retry_after_s: float) -> RequestError:
        """Return the error of a request that no replica has run.

        A request that may have run must not be called refused.
        """
        if self.may_have_run:
            return self.failed(message)
        return RequestError(
            ErrorKind.UPSTREAM_UNAVAILABLE, message, retry_after_s=retry_after_s
        )

    def failed(self, message: str) -> RequestError:
        """Return the error of a request whose outcome is unknown."""
        late = self.remaining_s <= ANSWER_MARGIN_S
        kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.UPSTREAM_FAILED
        return RequestError(kind, message, ran=Ran.UNKNOWN)

    def head(self, status: int, reason: bytes, headers: list) -> OutgoingHead:
        """Return the head of the client's answer, and note its status."""
        self.status = status
        if self.closing:
            headers = [*headers, (b"Connection", b"close")]
        return OutgoingHead(status, reason, headers)
