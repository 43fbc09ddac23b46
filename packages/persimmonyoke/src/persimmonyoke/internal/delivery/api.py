"""Define the requests, results and interfaces of delivery."""

import hashlib
import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from persimmonyoke.errors import ErrorKind, Ran
from persimmonyoke.internal.upstreams.api import (
    EngineClient,
    ServiceAnswer,
    ServiceClient,
    StreamEvent,
    Upstream,
)

DIGEST_BYTES = 16
# Prefix of the keys of calls that are neither claimed nor idempotent. They get a key so
# that the upstream can recognise its own retransmissions.
GENERATED_KEY_PREFIX = "generated-"


class CallerGone(BaseException):
    """Stop a generation because its caller disconnected.

    It is thrown into the greenlet that runs ``Delivery.complete``. It derives from
    ``BaseException`` so that an ``except Exception`` in a client can't catch it.
    """


class TextProgress:
    """Track the position in an answer: tokens, bytes and CRC-32 of its text.

    The CRC can be continued from its value and does not depend on how the text was
    split into events, unlike a digest. It detects divergence; forgery is prevented by
    the signature of the stream token.
    """

    __slots__ = ("crc", "offset", "text_bytes")

    def __init__(self, offset: int = 0, text_bytes: int = 0, crc: int = 0) -> None:
        self.offset = offset
        self.text_bytes = text_bytes
        self.crc = crc

    def advance(self, data: bytes, tokens: int) -> None:
        """Add the text and tokens of one event."""
        self.offset += tokens
        self.text_bytes += len(data)
        self.crc = zlib.crc32(data, self.crc)


@dataclass(frozen=True)
class ResumePoint:
    """Identify the position at which the caller's copy of a stream ends.

    ``text_bytes`` and ``text_crc`` describe the UTF-8 text delivered so far, so that a
    regenerated answer can be cut and checked without knowing that text.
    """

    engine: str
    stream_id: str
    offset: int
    text_bytes: int
    text_crc: int
    incarnation: str = ""


@dataclass(frozen=True)
class CompletionRequest:
    """Request one generation; ``deadline_s`` is on the monotonic clock.

    ``prompt`` is ``None`` if a caller resumed without its body; then only the engine
    that still holds the stream can continue it.
    """

    request_id: str
    workspace: str
    model: str
    prompt: str | None
    max_tokens: int
    deadline_s: float
    content_digest: bytes
    prompt_tokens: int = 0
    adapter: str | None = None
    priority: int = 0
    resume: ResumePoint | None = None


def content_digest(model: str, adapter: str | None, prompt: str) -> bytes:
    """Return the digest by which a request that crashes engines is recognised.

    The workspace and the sampling options are left out, so that a resend with another
    key or length is still recognised.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (model, adapter or "", prompt):
        encoded = part.encode("utf-8", "surrogatepass")
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest.digest()


@dataclass(frozen=True)
class CompletionResult:
    """Summarise a generation whose complete answer reached the sink."""

    finish_reason: str
    output_tokens: int
    engine: str
    attempts: int


class CompletionSink(ABC):
    """Receive the events of one answer in order and without gaps."""

    @abstractmethod
    def begin_stream(self, upstream: Upstream, stream_id: str) -> None:
        """Record which engine and stream the next events come from."""

    @abstractmethod
    def deliver(self, event: StreamEvent, progress: TextProgress) -> None:
        """Pass the event on; ``progress`` is the position after it.

        Raises ``CallerGone`` if the caller disconnected.
        """


@dataclass(frozen=True)
class RouteQuery:
    """Describe the work to place on an engine."""

    request_id: str
    workspace: str
    model: str
    adapter: str | None
    prompt: str
    prompt_tokens: int
    prefix_tokens: int
    max_tokens: int
    priority: int
    deadline_s: float
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True)
class RouteChoice:
    """Name the engine to use, and the expected times for the idle timeouts.

    ``prefill_engine`` is set if the prompt is to be computed on another engine and its
    KV cache moved to ``engine``.
    """

    engine: Upstream
    prefill_engine: Upstream | None = None
    expected_first_token_s: float = 0.99
    expected_inter_token_s: float = 0.034


@dataclass(frozen=True)
class NoRoute:
    """Report why no engine can accept the request."""

    kind: ErrorKind
    reason: str
    retry_after_s: float


class Router(Protocol):
    """Choose engines and account for their load."""

    def choose(self, query: RouteQuery, *, now_s: float) -> RouteChoice | NoRoute:
        """Choose an engine outside ``query.excluded``."""

    def note_dispatch(
        self, choice: RouteChoice, query: RouteQuery, *, now_s: float
    ) -> object:
        """Count a dispatch; the result is passed to ``note_completion``."""

    def note_completion(self, dispatch: object, *, now_s: float) -> None:
        """Count the end of an attempt, whether it succeeded or not."""


class EnginePool(Protocol):
    """Look up engines by name and return clients for them."""

    def find(self, name: str) -> Upstream | None:
        """Return the engine, or ``None`` if it is unknown."""

    def client(self, engine: Upstream, *, fresh: bool = False) -> EngineClient:
        """Return a client; a fresh one opens a new connection for its next call."""


class ServicePool(Protocol):
    """Choose replicas of plain services and return clients for them."""

    def choose(
        self, pool: str, excluded: frozenset[str], *, now_s: float
    ) -> Upstream | None:
        """Return a replica outside ``excluded``, or ``None``."""

    def replicas(self, pool: str, *, now_s: float) -> tuple[Upstream, ...]:
        """Return all replicas that may hold the outcome of an earlier call."""

    def client(self, replica: Upstream) -> ServiceClient:
        """Return a client of the replica."""


@dataclass(frozen=True)
class GateGranted:
    """Allow one dispatch; ``claim`` is opaque to delivery."""

    claim: object


@dataclass(frozen=True)
class GateReplay:
    """Hold the stored answer of an earlier call with the same key."""

    answer: ServiceAnswer


@dataclass(frozen=True)
class GateOutcomeUnknown:
    """Report that an earlier call with the key may have run.

    ``claim`` is passed to ``finish`` if a replica knows the outcome.
    """

    claim: object | None = None


@dataclass(frozen=True)
class GateRefused:
    """Refuse the call with an error kind."""

    kind: ErrorKind
    message: str
    ran: Ran = Ran.NOT_RUN
    retry_after_s: float | None = None


GateOutcome = GateGranted | GateReplay | GateOutcomeUnknown | GateRefused


class ClaimGate(Protocol):
    """Ensure that a non-idempotent call runs at most once."""

    def claim(
        self, workspace: str, key: str, body_digest: bytes, *, now_s: float
    ) -> GateOutcome:
        """Commit a claim; only ``GateGranted`` allows a dispatch."""

    def finish(self, claim: object, answer: ServiceAnswer) -> None:
        """Store the answer of a claimed call; never raises."""

    def release(self, claim: object) -> None:
        """Release a claim whose call did not run; never raises."""

    def abandon(self, claim: object) -> None:
        """Record that the answer of a claimed call was lost; never raises."""


Clock = Callable[[], float]
