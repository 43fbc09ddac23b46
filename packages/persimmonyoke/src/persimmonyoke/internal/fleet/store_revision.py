"""Revisions of the store, ordered across its eras.

The store's own numbers go back when it returns from a copy, and then its era rises. A
revision holds both in one integer, so that the larger one is always the newer one.
"""

NUMBER_BITS = 40
"""Bits of a revision that hold the store's own number; a float holds 13 more."""

_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def join_revision(era: int, number: int) -> int:
    """Return the revision for the store's own number in an era."""
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision, 0 if the store named none."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & _NUMBER_MASK
