"""What a host may answer by a configuration that may have been replaced.

A change that was confirmed binds each host that hears of it, also before its content
arrives. Until then a host may serve what it knows, since most changes leave most routes
as they are, but it can't tell a caller that a route does not exist.
"""

from dataclasses import dataclass

REPLACED_SHARE = 0.5
"""Share of the time for a change to apply in which a replaced configuration is used.

Peers tell of a version some time after it was confirmed.
"""


@dataclass(frozen=True)
class ConfigurationEvidence:
    """Hold what this host knows of the age of its configuration."""

    replaced_s: float | None
    """Time since a peer that is heard had a later one; ``None`` if none has."""

    confirmed_age_s: float
    """Time since it was known to be the latest, suspensions included."""

    apply_s: float
    """Time after which a confirmed change must apply."""


def may_serve(evidence: ConfigurationEvidence) -> bool:
    """Return whether requests may be handled as the configuration says.

    A host that can't confirm its configuration goes on: without the store, nobody can
    replace it, and all hosts may be without the store.
    """
    replaced_s = evidence.replaced_s
    return replaced_s is None or replaced_s <= REPLACED_SHARE * evidence.apply_s


def may_deny(evidence: ConfigurationEvidence) -> bool:
    """Return whether a request may be refused for good as the configuration says."""
    is_confirmed = evidence.confirmed_age_s <= evidence.apply_s
    return evidence.replaced_s is None and is_confirmed
