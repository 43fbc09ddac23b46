"""Types of the requests that were running on engines when those crashed."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Clear:
    """Say that nothing speaks against a request."""


@dataclass(frozen=True)
class Suspect:
    """Say that the request was running on an engine that crashed."""

    crashes: int


@dataclass(frozen=True)
class Quarantined:
    """Say that the request crashed engines repeatedly; it is refused until then."""

    until_s: float


SuspectStatus = Clear | Suspect | Quarantined


@dataclass(frozen=True)
class QuarantineRule:
    """Define when a request counts as the cause of engine crashes.

    ``crash_threshold`` is the number of crashes, not attributed to another request,
    that lead to quarantine. With ``requires_isolated_crash``, one of them must have
    occurred while the request ran in isolation. A request runs in isolation once it
    has been in ``isolation_threshold`` crashes.
    """

    crash_threshold: int = 2
    requires_isolated_crash: bool = False
    isolation_threshold: int = 1

    def must_run_isolated(self, status: SuspectStatus) -> bool:
        """Return whether a request may run only where no other suspect does."""
        return (
            isinstance(status, Suspect) and status.crashes >= self.isolation_threshold
        )


@dataclass(frozen=True)
class SuspectNotice:
    """Tell peers what changed about one digest; durations replace clock readings.

    ``crashes`` names engines with their incarnations. ``isolated_on`` is the engine
    that ``host`` reserves for the digest, or gives up if ``isolation_left_s`` is 0;
    ``None`` says nothing about reservations. ``number`` grows with each notice of a
    host, since notices that pass through several peers can overtake each other.
    """

    digest: bytes
    host: str
    crashes: frozenset[str] = frozenset()
    cleared: bool = False
    quarantine_left_s: float = 0.0
    isolated_on: str | None = None
    isolation_left_s: float = 0.0
    number: int = 0
