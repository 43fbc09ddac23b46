"""Define the tickets of requests and the results of their admission."""

from dataclasses import dataclass

from persimmonyoke.errors import ErrorKind


@dataclass(frozen=True)
class Ticket:
    """Request the admission of one request.

    ``tokens`` is the estimate of prompt and output tokens. ``priority`` is set by the
    caller and orders only the requests of one workspace. ``deadline_s`` is the
    monotonic time by which the first token is due, and ``first_token_s`` the expected
    time from dispatch to the first token on an idle engine.
    """

    request_id: str
    workspace: str
    tokens: int
    arrived_s: float
    deadline_s: float
    first_token_s: float = 0.0
    priority: int = 0


@dataclass(frozen=True)
class Admitted:
    """Allow the dispatch of a request; its slot is held until ``release``."""

    ticket: Ticket


@dataclass(frozen=True)
class Queued:
    """Report that a request waits; ``expected_wait_s`` is the current estimate."""

    ticket: Ticket
    expected_wait_s: float


@dataclass(frozen=True)
class Refused:
    """Refuse a request, which did not run."""

    ticket: Ticket
    kind: ErrorKind
    retry_after_s: float
