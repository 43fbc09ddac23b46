"""Log and count what a host refuses since it has no memory left."""

from persimmonyoke.internal.gateway.state import GatewayState


def note_no_room(
    state: GatewayState, subject: str, request_id: str, size_bytes: int
) -> None:
    """Record that there was no room for a body, a request or an answer."""
    state.metrics.memory_refusals.add(subject=subject)
    state.journal.event(
        "no_room",
        subject=subject,
        request_id=request_id,
        bytes=size_bytes,
        held_bytes=state.memory.held_bytes,
        limit_bytes=state.memory.limit_bytes,
    )
