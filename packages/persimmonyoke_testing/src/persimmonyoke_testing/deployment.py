"""Complete deployment of one firm in one process, over loopback sockets."""

import time
from collections.abc import Callable
from pathlib import Path

import gevent
import tomli_w

from persimmonyoke.internal.delivery.parts import DeliveryOptions
from persimmonyoke.internal.node.controller import ControllerNode
from persimmonyoke.internal.node.entry import OFFERED_INTERVAL_S, EntryNode
from persimmonyoke.internal.roles import RolePolicy
from persimmonyoke.internal.settings import SettingsRole, parse_settings
from persimmonyoke_testing.deployment_settings import (
    EntryPorts,
    controller_values,
    entry_values,
    platform_table,
    reserve_entry_ports,
    write_values,
)
from persimmonyoke_testing.firms import Firm, find_firm
from persimmonyoke_testing.platform_fleet import FleetOptions, PlatformFleet

READY_TIMEOUT_S = 15.0
READY_POLL_S = 0.02
FAST_SHUTDOWN = {"max_age_s": 0.5, "margin_s": 0.2, "hard_limit_s": 60.0}


class Deployment:
    """Run the simulators, entry nodes and controllers of one firm.

    ``time_scale`` multiplies every duration of the engines and of the role policy.
    ``nodes`` and ``controllers`` may be 0 for a test or benchmark that starts them as
    separate processes from the files of ``write_settings``. ``platform`` holds the
    simulators, through which faults are injected.
    """

    def __init__(
        self,
        firm: str | Firm = "kente",
        *,
        nodes: int = 6,
        controllers: int = 2,
        time_scale: float = 1.0,
        fleet: FleetOptions | None = None,
        shutdown: dict[str, float] | None = None,
        lease_s: float = 3.0,
        order_deadline_s: float = 1.0,
        poll_interval_s: float = 1.0,
        delivery_options: DeliveryOptions | None = None,
        role_policy: RolePolicy | None = None,
    ) -> None:
        self.firm = find_firm(firm) if isinstance(firm, str) else firm
        fleet = fleet or FleetOptions(time_scale=time_scale)
        self.platform = PlatformFleet(self.firm, options=fleet)
        self.entries: list[EntryNode] = []
        self.controllers: list[ControllerNode] = []
        self._entry_ports: list[EntryPorts] = []
        self._nodes = nodes
        self._controller_count = controllers
        self._shutdown = shutdown or FAST_SHUTDOWN
        self._lease_s = lease_s
        self._order_deadline_s = order_deadline_s
        self._poll_interval_s = poll_interval_s
        self._delivery_options = delivery_options
        self._role_policy = role_policy
        self._time_scale = fleet.time_scale

    def __enter__(self) -> "Deployment":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all simulators and nodes, and wait until the nodes are ready."""
        self.platform.start()
        for index in range(self._nodes):
            self.start_entry(index)
        for index in range(self._controller_count):
            self.start_controller(index)
        self.wait_ready()

    def stop(self) -> None:
        """Stop all nodes and simulators immediately."""
        for node in (*self.controllers, *self.entries):
            node.stop()
        self.platform.stop()

    def start_entry(self, index: int) -> EntryNode:
        """Start another entry node in this process and add it to the host list."""
        text = tomli_w.dumps(self._entry_values(index))
        node = EntryNode(
            parse_settings(text, SettingsRole.ENTRY),
            delivery_options=self._delivery_options,
            poll_interval_s=self._poll_interval_s,
            offered_interval_s=OFFERED_INTERVAL_S * min(1.0, self._time_scale),
        )
        node.start()
        zone = node.settings.process.availability_zone
        address = node.settings.listen.callers
        self.platform.list_entry(node.name, address, zone)
        self.entries.append(node)
        return node

    def start_controller(self, index: int) -> ControllerNode:
        """Start another controller in this process."""
        values = self._controller_values(index, kernel_timer=False)
        text = tomli_w.dumps(values)
        node = ControllerNode(
            parse_settings(text, SettingsRole.CONTROLLER),
            poll_interval_s=self._poll_interval_s,
            role_policy=self._role_policy,
            time_scale=self._time_scale,
        )
        node.start()
        self.controllers.append(node)
        return node

    def write_settings(
        self, folder: Path, *, entries: int = 1, controllers: int = 1
    ) -> tuple[list[Path], list[Path]]:
        """Write settings for separate processes; add the entry hosts to the host list.

        Returns the paths for the entry hosts and those for the controllers.
        """
        entry_files, controller_files = [], []
        for index in range(entries):
            values = self._entry_values(len(self.entries) + index)
            process = values["process"]
            path = folder / f"{process['name']}.toml"
            write_values(path, values, title="Entry host")
            self.platform.list_entry(
                process["name"],
                values["listen"]["callers"],
                process["availability_zone"],
            )
            entry_files.append(path)
        for index in range(controllers):
            values = self._controller_values(
                len(self.controllers) + index, kernel_timer=True
            )
            path = folder / f"{values['process']['name']}.toml"
            write_values(path, values, title="Controller")
            controller_files.append(path)
        return entry_files, controller_files

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each node has a configuration, peers and engine loads."""
        self.wait_until(self._is_ready, timeout_s=timeout_s)

    def wait_until(
        self, condition: Callable[[], bool], *, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait for a condition; raise ``TimeoutError`` if it does not hold in time."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise TimeoutError(f"condition did not hold within {timeout_s:g} s")
            gevent.sleep(READY_POLL_S)

    def _is_ready(self) -> bool:
        return all(self._entry_is_ready(node) for node in self.entries)

    def _entry_is_ready(self, node: EntryNode) -> bool:
        if node.view.preset is None:
            return False
        if len(node.peers.connected_peers()) < len(self.entries) - 1:
            return False
        return all(
            node.fleet.load.report(engine.name) is not None
            for engine in self.platform.engines
        )

    def _platform_table(self) -> dict[str, str]:
        return platform_table(
            key_value=self.platform.key_value.url,
            host_list=self.platform.host_list.url,
            weight_store=self.platform.weight_store.url,
        )

    def _entry_values(self, index: int) -> dict:
        ports = reserve_entry_ports()
        self._entry_ports.append(ports)
        return entry_values(
            self.firm,
            index,
            platform=self._platform_table(),
            port=ports.callers.number,
            operators_port=ports.operators.number,
            shutdown=self._shutdown,
        )

    def _controller_values(self, index: int, *, kernel_timer: bool) -> dict:
        return controller_values(
            self.firm,
            index,
            platform=self._platform_table(),
            lease_s=self._lease_s,
            order_deadline_s=self._order_deadline_s,
            kernel_timer=kernel_timer,
        )
