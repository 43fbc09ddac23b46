"""Track the state of a client request in the gateway."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.fleet.model import (
    Configuration,
    RequestMetadata,
    Route,
    Service,
)
from persimmonyoke.internal.gateway.answers import ResponseHead
from persimmonyoke.internal.gateway.attempts import (
    Attempt,
    AttemptStart,
    end_attempt,
)
from persimmonyoke.internal.gateway.client_connection import (
    ClientConnection,
    OutgoingHead,
)
from persimmonyoke.internal.gateway.requests import ClientRequest, part_digest
from persimmonyoke.internal.gateway.upstream_call import CallSlot, CancelScope

RESPONSE_MARGIN_S = 0.02
"""Margin before the deadline by which the final response must be sent."""

RETRY_AFTER_STOPPING_S = 0.2
RETRY_AFTER_REJECTED_S = 0.4


class HostStopping(Exception):
    """Signal that this host stops before it could answer."""


class StreamBroken(Exception):
    """Signal that a response has started and can't be completed."""


class StreamNotPlaced(StreamBroken):
    """Signal that no engine can take a stream that has started now."""


@dataclass
class Exchange:
    """Hold a request, its deadlines and the progress of its response."""

    request: ClientRequest
    client: ClientConnection
    metadata: RequestMetadata
    configuration: Configuration
    route: Route
    service: Service
    started_s: float
    deadline_s: float
    client_deadline_s: float
    cancel_scope: CancelScope = field(default_factory=CancelScope)
    attempts: list[Attempt] = field(default_factory=list)
    sends: int = 0
    may_have_run: bool = False
    call_outstanding: bool = False
    """Whether a call that runs the request was made and its outcome is not known."""

    answers_end_s: float = float("inf")
    """Time at which this host ends its answers since it stops."""

    must_complete: bool = False
    """Whether it arrived so late that the exit of this host must not cut it."""

    may_begin: Callable[[], bool] = lambda: True
    """Whether its answer may begin now, as it ends before this host does."""

    first_event_s: float | None = None
    estimate_s: float | None = None
    closing: bool = False
    response_started: bool = False
    last_event_s: float = 0.0
    events: int = 0
    """Events of the stream that were sent to the client."""

    status: int = 0
    framed: bool | None = None
    """Whether the answer has a length or chunks, or else ends with its connection."""

    isolated_on: str | None = None
    """Replica reserved for this request alone because the request may crash it."""

    slot_at: str | None = None
    """Replica of which this request has taken a slot, within the replica's limit."""

    writers: list[str] = field(default_factory=list)
    """Replicas that wrote events of the response, with their software versions."""

    isolated_subject: bytes = b""
    """Subject of this request under which the replica is reserved."""

    @property
    def holds_part(self) -> bool:
        """Return whether the client holds the beginning of a resumable stream."""
        resumes = self.metadata.last_event_id is not None
        return self.route.resumable and (self.response_started or resumes)

    @property
    def remaining_s(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_s - time.monotonic()

    def event_wait_left_s(self, now_s: float) -> float:
        """Return how long the client of a stream will wait for the next event."""
        end_s = max(self.started_s, self.last_event_s) + self.route.caller_timeout_s
        end_s = min(self.deadline_s, self.answers_end_s, end_s)
        return end_s - RESPONSE_MARGIN_S - now_s

    @property
    def deadline_ms(self) -> int:
        """Return the remaining time to send to a replica as its deadline."""
        left_s = min(self.deadline_s, self.client_deadline_s) - time.monotonic()
        return max(1, int(left_s * 1_000))

    def use_slot(self, replica_id: str) -> CallSlot:
        """Return whether a slot of the replica is taken already, and use it up."""
        taken, self.slot_at = self.slot_at == replica_id, None
        return CallSlot.TAKEN if taken else CallSlot.NEEDED

    def record_attempt(self, start: AttemptStart, result: str, *, now_s: float) -> None:
        """Record an attempt for the log line of this request."""
        self.attempts.append(end_attempt(start, result, now_s=now_s))

    @property
    def tunnels(self) -> list[str]:
        """Return the tunnels that carried this request, with the peers' names."""
        return [
            f"{connection.peer}:{connection.tunnel_id}"
            for connection in self.cancel_scope.used_connections
            if connection.peer is not None
        ]

    @property
    def content_digest_hex(self) -> str:
        """Return the content digest of the request as hexadecimal text."""
        return self.request.content_digest.hex()

    @cached_property
    def part_digests(self) -> tuple[bytes, ...]:
        """Return the digests of the prompt parts that other requests may share."""
        return tuple(part_digest(part_id) for part_id in self.shared_part_ids)

    @property
    def shared_part_ids(self) -> list[str]:
        """Return the ids of the prompt parts that other requests may share."""
        prompt = self.metadata.prompt
        if prompt is None:
            return []
        return list(dict.fromkeys(part.part_id for part in prompt.shared_parts))

    def not_served(self, message: str, retry_after_s: float) -> RequestError:
        """Return the error for a request that no replica has run.

        A request that may have run is reported as failed instead of refused.
        """
        if self.may_have_run:
            return self.failed(message)
        return RequestError(
            ErrorKind.UPSTREAM_UNAVAILABLE, message, retry_after_s=retry_after_s
        )

    def stopped(self) -> RequestError:
        """Return the error for a request that this host can't serve as it stops."""
        message = "host is stopping"
        if self.may_have_run or self.call_outstanding:
            return RequestError(ErrorKind.UPSTREAM_FAILED, message, ran=Ran.UNKNOWN)
        return RequestError(
            ErrorKind.DRAINING, message, retry_after_s=RETRY_AFTER_STOPPING_S
        )

    def failed(self, message: str) -> RequestError:
        """Return the error for a request whose outcome is unknown."""
        late = self.remaining_s <= RESPONSE_MARGIN_S
        kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.UPSTREAM_FAILED
        return RequestError(kind, message, ran=Ran.UNKNOWN)

    def relayed_head(
        self, head: ResponseHead, headers: list[tuple[bytes, bytes]]
    ) -> OutgoingHead:
        """Return the head to the client of a replica's answer, and record it."""
        self.framed = head.self_delimited
        return self.head(head.status, head.reason, headers)

    def head(self, status: int, reason: bytes, headers: list) -> OutgoingHead:
        """Return the head of the response to the client and record its status."""
        self.status = status
        if self.closing:
            headers = [*headers, (b"Connection", b"close")]
        return OutgoingHead(status, reason, headers)
