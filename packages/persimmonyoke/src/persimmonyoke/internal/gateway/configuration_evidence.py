"""Knowledge of this host on whether its configuration is in force."""

from persimmonyoke.internal.dispatch.configuration_use import (
    ConfigurationEvidence,
    may_serve,
)
from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.store_revision import era_of, number_of
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.state import GatewayState


def note_peer_configuration(
    state: GatewayState, name: str, peer: PeerState, now_s: float
) -> None:
    """Note that a peer has a later configuration, if its view is later as well.

    After the store came back from a copy, hosts keep a version that it has lost.
    """
    revision = state.view.revision
    is_later = peer.config_version > state.version and peer.store_revision > revision
    if not is_later or era_of(peer.store_revision) != era_of(revision):
        return
    news = state.configuration_news
    if news.note(peer.config_version, peer.store_revision, heard_s=peer.heard_s):
        state.journal.event(
            "configuration_replaced",
            version=peer.config_version,
            known=state.version,
            told_by=name,
            told_ms=int((now_s - peer.heard_s) * 1_000),
            revision=number_of(revision),
            newest=number_of(peer.store_revision),
        )


def configuration_evidence(state: GatewayState, now_s: float) -> ConfigurationEvidence:
    """Return what this host knows of the age of its configuration."""
    replaced_s = state.configuration_news.replaced_for_s(
        state.version,
        state.view.revision,
        heard_since_s=now_s - state.hosts.peer_timeout_s,
        now_s=now_s,
    )
    return ConfigurationEvidence(
        replaced_s=replaced_s,
        confirmed_age_s=boot_time_s() - state.view.current_boot_s,
        apply_s=state.settings.config_apply_s,
    )


def takes_callers(state: GatewayState, now_s: float) -> bool:
    """Return whether callers are to connect to this host."""
    return state.ready and may_serve(configuration_evidence(state, now_s))
