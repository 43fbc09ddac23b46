"""Find out whether a write with an unknown outcome took effect."""

from collections.abc import Callable
from enum import StrEnum

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.platform.store import KeyValueStore


class Settlement(StrEnum):
    """Say what became of a write."""

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

    ``matches`` says whether a value shows the write, by its write id. The values of the
    key must keep that sign when others change them later. An unchanged or absent key
    leaves the outcome unknown: the request may still be on its way, and a deletion
    shows nothing of what was there before.
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
