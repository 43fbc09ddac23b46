"""Builders of the state of one gateway process."""

from unittest.mock import create_autospec

from persimmonyoke.internal.fleet.interfaces import UpstreamWire
from persimmonyoke.internal.gateway.journal import Journal
from persimmonyoke.internal.gateway.peer_messages import PeerMessage
from persimmonyoke.internal.gateway.settings import GatewaySettings
from persimmonyoke.internal.gateway.state import GatewayState


def gateway_settings(**changes) -> GatewaySettings:
    """Return the settings of an entry host."""
    values = {
        "host_name": "host-1",
        "availability_zone": "zone-a",
        "listen_host": "127.0.0.1",
        "front_port": 1,
        "ready_port": 2,
        "directory_port": 3,
        "peer_port": 4,
        "grace_s": 8.0,
        "lease_s": 3.0,
        "retry_share": 0.2,
        "retry_slack": 50.0,
        "retry_window_s": 10.0,
        "address_ttl_max_s": 5.0,
        "drain_s": 2.0,
        "config_apply_s": 2.0,
        "store_writes_per_s": 400.0,
    }
    return GatewaySettings(**{**values, **changes})


def gateway_state(*, log: list[str], **changes) -> GatewayState:
    """Return the state of a process without store contact that logs to a list."""
    settings = gateway_settings(**changes)
    journal = Journal(settings.host_name, lambda line, _now_s: log.append(line))
    return GatewayState(settings, create_autospec(UpstreamWire), journal)


def peer_message(host: str = "host-2", **changes) -> PeerMessage:
    """Return the message of a ready host without work."""
    values = {
        "host": host,
        "ready": True,
        "config_version": 7,
        "work": {},
        "placements": (),
    }
    return PeerMessage(**{**values, **changes})
