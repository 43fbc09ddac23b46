"""Settings for the processes of a simulated deployment."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import tomli_w

from persimmonyoke_testing.firms import Firm
from persimmonyoke_testing.held_port import LOOPBACK, HeldPort
from persimmonyoke_testing.platform_fleet import PlatformPorts

PEER_PORT_OFFSET = 100
OPERATOR_PORT_OFFSET = 50
FIRST_ENTRY_PORT = 60
EXAMPLE_ENTRIES = 6
EXAMPLE_CONTROLLERS = 2
MAX_PORT = 65_535
HEADER = """\
# {title} of the example deployment of {firm}. The keys are for demonstrations only.
"""


@dataclass(frozen=True)
class EntryPorts:
    """Reserve the ports of an entry host, also while its process is down."""

    callers: HeldPort
    peers: HeldPort
    operators: HeldPort


def reserve_entry_ports() -> EntryPorts:
    """Reserve free ports; the peer port is the caller port plus a fixed offset."""
    while True:
        callers = HeldPort()
        if callers.number + PEER_PORT_OFFSET > MAX_PORT:
            continue
        try:
            peers = HeldPort(callers.number + PEER_PORT_OFFSET)
        except OSError:
            # The port is in use.
            continue
        return EntryPorts(callers, peers, HeldPort())


def platform_table(
    *, key_value: str, host_list: str, weight_store: str
) -> dict[str, str]:
    """Return the settings table with the URLs of the platform services."""
    return {
        "key_value": key_value,
        "host_list": host_list,
        "weight_store": weight_store,
    }


def entry_values(
    firm: Firm,
    index: int,
    *,
    platform: Mapping[str, Any],
    port: int,
    operators_port: int,
    shutdown: Mapping[str, float] | None = None,
) -> dict[str, Any]:
    """Return the settings of the entry host with an index."""
    zone = firm.zone(index)
    values: dict[str, Any] = {
        "process": {
            "name": f"entry-{index + 1}",
            "firm": firm.name,
            "region": firm.region,
            "availability_zone": zone,
        },
        "listen": {
            "callers": f"{LOOPBACK}:{port}",
            "operators": f"{LOOPBACK}:{operators_port}",
            "peers": f"{LOOPBACK}:{port + PEER_PORT_OFFSET}",
        },
        "platform": dict(platform),
        "peers": {"shared_key": firm.shared_key, "port_offset": PEER_PORT_OFFSET},
        "operators": {"token_digest": firm.operator_digest},
        "streams": {"signing_key": firm.signing_key},
    }
    if shutdown:
        values["shutdown"] = dict(shutdown)
    return values


def controller_values(
    firm: Firm,
    index: int,
    *,
    platform: Mapping[str, Any],
    lease_s: float = 10.0,
    order_deadline_s: float = 5.0,
    kernel_timer: bool = True,
) -> dict[str, Any]:
    """Return the settings of the controller with an index."""
    return {
        "process": {
            "name": f"controller-{index + 1}",
            "firm": firm.name,
            "region": firm.region,
            "availability_zone": firm.zone(index),
        },
        "platform": dict(platform),
        "peers": {"shared_key": firm.shared_key, "port_offset": PEER_PORT_OFFSET},
        "controller": {
            "lease_s": lease_s,
            "order_deadline_s": order_deadline_s,
            "kernel_timer": kernel_timer,
        },
    }


def write_values(path: Path, values: Mapping[str, Any], *, title: str) -> None:
    """Write a settings file."""
    header = HEADER.format(title=title, firm=values["process"]["firm"])
    path.write_text(header + tomli_w.dumps(values), encoding="utf-8")


def example_port(firm: Firm, index: int) -> int:
    """Return the caller port of an entry host in the example settings."""
    return firm.first_port + FIRST_ENTRY_PORT + index


def write_examples(firm: Firm, folder: Path) -> list[Path]:
    """Write the example settings files and return their paths."""
    ports = PlatformPorts.fixed(firm)
    platform = platform_table(
        key_value=f"http://{LOOPBACK}:{ports.key_value}",
        host_list=f"http://{LOOPBACK}:{ports.host_list}",
        weight_store=f"http://{LOOPBACK}:{ports.weight_store}",
    )
    files = []
    for index in range(EXAMPLE_ENTRIES):
        port = example_port(firm, index)
        values = entry_values(
            firm,
            index,
            platform=platform,
            port=port,
            operators_port=port + OPERATOR_PORT_OFFSET,
        )
        files.append(folder / f"{values['process']['name']}.toml")
        write_values(files[-1], values, title="Entry host")
    for index in range(EXAMPLE_CONTROLLERS):
        values = controller_values(firm, index, platform=platform)
        files.append(folder / f"{values['process']['name']}.toml")
        write_values(files[-1], values, title="Controller")
    return files
