"""Leases of the store."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreLease:
    """Identify a lease; a later era of the store may give its number out again."""

    number: int
    era: int
