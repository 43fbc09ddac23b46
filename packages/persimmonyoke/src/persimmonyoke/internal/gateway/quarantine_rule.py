"""The rule by which hosts withhold requests and prompt parts."""

from persimmonyoke.internal.delivery.suspect_types import QuarantineRule

MAX_SUSPECTS = 2_048
"""Suspect requests and parts kept; a crash adds all that had not begun."""

QUARANTINE = QuarantineRule(
    crash_threshold=3,
    requires_isolated_crash=True,
    isolation_threshold=2,
    completion_lifts=True,
)
"""Three crashes quarantine a request or a prompt part.

The users limit the sends of a request after the third, and of a part after the fifth. A
single crash makes all requests that had not begun suspects, so these do not yet have to
wait for a replica of their own.
"""
