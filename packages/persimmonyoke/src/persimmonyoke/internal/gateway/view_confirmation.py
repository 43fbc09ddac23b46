"""Confirmation of this host's view by peers that reach the store."""

from persimmonyoke.internal.gateway.state import GatewayState


def note_confirmed_by_peers(state: GatewayState) -> None:
    """Note up to when peers know that no later revision than this host's existed."""
    revision = state.view.revision
    state.view.note_peer_confirmed(
        state.hosts.view_confirmed_s(revision),
        current_boot_s=state.hosts.view_confirmed_boot_s(revision),
    )
