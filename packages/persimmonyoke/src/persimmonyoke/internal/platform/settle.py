"""Resolve the unknown outcome of a write by reading the key."""

from collections.abc import Callable
from enum import StrEnum

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.platform.store import KeyValueStore


class Settlement(StrEnum):
    """State whether a write took effect."""

    APPLIED = "applied"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


def settle_write(
    store: KeyValueStore,
    key: str,
    matches: Callable[[bytes], bool],
    *,
    expected_revision: int,
) -> Settlement:
    """Read a key back and say whether the write on ``expected_revision`` applied.

    ``matches`` tells by the write id whether a value contains the write; later writers
    of the key must preserve that id. If the key is unchanged or absent, the outcome
    stays unknown: the request may still be in transit, and a deleted key shows nothing
    of its earlier values.
    """
    try:
        current = store.get(key)
    except StoreUnavailable:
        return Settlement.UNKNOWN
    if current is None:
        return Settlement.UNKNOWN
    if matches(current.value):
        return Settlement.APPLIED
    if current.mod_revision > expected_revision:
        return Settlement.NOT_APPLIED
    return Settlement.UNKNOWN
