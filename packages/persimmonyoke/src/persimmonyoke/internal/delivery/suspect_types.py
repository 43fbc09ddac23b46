"""Define the states of requests that were running on engines that crashed.

A request has several subjects that may be the cause: its own content, and the parts of
its prompt that it shares with other requests. Each subject is known by a digest.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Clear:
    """Report that a request is not suspected of crashing engines."""


@dataclass(frozen=True)
class Suspect:
    """Report that a subject of the request was part of engine crashes."""

    crashes: int
    subject: bytes = field(default=b"", compare=False)


@dataclass(frozen=True)
class Quarantined:
    """Report that a subject of the request crashed engines.

    The request is refused until ``until_s``.
    """

    until_s: float
    subject: bytes = field(default=b"", compare=False)


SuspectStatus = Clear | Suspect | Quarantined


@dataclass(frozen=True)
class QuarantineRule:
    """Define when a subject counts as the cause of engine crashes.

    ``crash_threshold`` is the number of crashes, not attributed to another subject,
    that lead to quarantine. With ``requires_isolated_crash``, one of them must have
    occurred while the request ran in isolation. A request runs in isolation once one
    of its subjects has been in ``isolation_threshold`` crashes. With
    ``completion_lifts``, a completed run ends a quarantine of its subjects; this needs
    notices with the ages of crashes, or else an old notice restores the quarantine.
    """

    crash_threshold: int = 2
    requires_isolated_crash: bool = False
    isolation_threshold: int = 1
    completion_lifts: bool = False

    def must_run_isolated(self, status: SuspectStatus) -> bool:
        """Return whether a request may run only on an engine without other suspects."""
        return (
            isinstance(status, Suspect) and status.crashes >= self.isolation_threshold
        )


@dataclass(frozen=True)
class SuspectNotice:
    """Notify peers of a change to one subject; durations replace clock readings.

    ``crashes`` names engines with their incarnations; the last one happened
    ``crash_age_s`` ago. ``isolated_on`` is the engine
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
    crash_age_s: float = 0.0
