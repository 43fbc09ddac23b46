"""Define the states of requests that were running on engines that crashed."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Clear:
    """Report that a request is not suspected of crashing engines."""


@dataclass(frozen=True)
class Suspect:
    """Report that the request was running on an engine that crashed."""

    crashes: int


@dataclass(frozen=True)
class Quarantined:
    """Report that the request crashed engines; it is refused until ``until_s``."""

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
        """Return whether a request may run only on an engine without other suspects."""
        return (
            isinstance(status, Suspect) and status.crashes >= self.isolation_threshold
        )


@dataclass(frozen=True)
class SuspectNotice:
    """Notify peers of a change to one digest; durations replace clock readings.

    ``crashes`` names engines with their incarnations. ``isolated_on`` is the engine
    that ``host`` reserves for the digest, or releases if ``isolation_left_s`` is 0;
    ``None`` makes no statement about reservations. ``number`` increases with each
    notice of a host, because notices relayed by several peers can be reordered.
    """

    digest: bytes
    host: str
    crashes: frozenset[str] = frozenset()
    cleared: bool = False
    quarantine_left_s: float = 0.0
    isolated_on: str | None = None
    isolation_left_s: float = 0.0
    number: int = 0
