"""Dependencies and limits of the HTTP API for callers."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from persimmonyoke.internal.delivery.api import (
    Clock,
    CompletionRequest,
    CompletionResult,
    CompletionSink,
)
from persimmonyoke.internal.delivery.services import ServiceRequest
from persimmonyoke.internal.delivery.stream_token import StreamTokenSigner
from persimmonyoke.internal.presets.model import Preset, WorkspacePolicy
from persimmonyoke.internal.upstreams.api import ServiceAnswer


class Configuration(Protocol):
    """Provide the active preset."""

    @property
    def preset(self) -> Preset | None:
        """Return the parsed active preset, or ``None`` before the first one."""


@dataclass(frozen=True)
class AdmissionRequest:
    """Ask to start one request; ``model`` is ``None`` for a service call."""

    request_id: str
    workspace: WorkspacePolicy
    model: str | None
    pool: str | None
    prompt_tokens: int
    max_tokens: int
    deadline_s: float


class AdmissionGrant(Protocol):
    """Represent the permission to run one request."""

    def release(self, *, output_tokens: int) -> None:
        """Release the grant when the request has ended."""


class AdmissionGate(Protocol):
    """Admit requests in the order that the admission policy decides."""

    def admit(self, request: AdmissionRequest) -> AdmissionGrant:
        """Wait until the request may start; raises ``RequestError`` if it may not.

        ``CallerGone`` may be thrown into the waiting greenlet; the request must then
        be removed from the queue.
        """


class CallerDelivery(Protocol):
    """Run generations and service calls."""

    def complete(
        self, request: CompletionRequest, sink: CompletionSink
    ) -> CompletionResult:
        """Run one generation to its end."""

    def call_service(self, request: ServiceRequest) -> ServiceAnswer:
        """Make one service call."""


class AddressAnswer(Protocol):
    """Hold the addresses of entry hosts that a caller should use."""

    @property
    def addresses(self) -> Sequence[str]:
        """Return the addresses, best first."""

    @property
    def max_age_s(self) -> float:
        """Return how long the answer may be used."""


def count_words(text: str) -> int:
    """Return the number of tokens as the simulated engine counts them."""
    return len(text.split())


@dataclass(frozen=True)
class CallerServices:
    """Hold the dependencies of one node's HTTP API.

    ``addresses`` takes the caller's availability zone, if known. ``render_metrics``
    returns the content type and the body.
    """

    configuration: Configuration
    admission: AdmissionGate
    delivery: CallerDelivery
    addresses: Callable[[str | None], AddressAnswer]
    render_metrics: Callable[[], tuple[str, bytes]]
    tokens: StreamTokenSigner
    count_tokens: Callable[[str], int] = count_words
    clock: Clock = time.monotonic
    unix_clock: Clock = time.time


@dataclass(frozen=True)
class CallerLimits:
    """Limit the resources that a caller can occupy; applied before authentication.

    ``all_bodies_bytes`` bounds the sum of the bodies that a host holds at once.
    ``receive_s`` covers a request from its first byte to the end of its body.
    ``send_s`` bounds each write to a caller that does not read.
    """

    body_bytes: int = 4 * 1024 * 1024
    all_bodies_bytes: int = 128 * 1024 * 1024
    header_bytes: int = 16 * 1024
    receive_s: float = 10.0
    keep_alive_s: float = 75.0
    send_s: float = 30.0
    max_connections: int = 4096
    max_output_tokens: int = 16_384

    def __post_init__(self) -> None:
        for name, value in vars(self).items():
            if value <= 0:
                raise ValueError(f"{name} must be positive, not {value}")
