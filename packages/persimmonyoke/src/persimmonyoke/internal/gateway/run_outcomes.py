"""Outcomes of one run of a stream on an engine."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RunCompleted:
    """Report that the complete response was delivered."""


@dataclass(frozen=True)
class RunRejected:
    """Report that the engine did not run the request and will not run it."""

    reason: str
    sent: bool
    links_down: bool = False
    """Whether this host reaches no replica, so that no other engine is tried now."""


@dataclass(frozen=True)
class RunInterrupted:
    """Report that the run was interrupted, possibly before its first event."""

    reason: str
    engine_ended: bool = False
    """Whether the engine is known to have ended, and not only the connection."""


RunOutcome = RunCompleted | RunRejected | RunInterrupted
