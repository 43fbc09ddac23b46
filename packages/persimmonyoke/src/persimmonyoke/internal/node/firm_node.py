"""Base class of entry nodes and controllers."""

import random
import secrets
import time

from persimmonyoke.internal.membership.hosts import HostView
from persimmonyoke.internal.node.configuration import ConfigurationSync
from persimmonyoke.internal.node.fleet_view import FleetView
from persimmonyoke.internal.platform import (
    EtcdGatewayStore,
    HttpHostList,
    RateBudget,
)
from persimmonyoke.internal.presets import ConfigurationView
from persimmonyoke.internal.settings import Settings


class FirmNode:
    """Hold one firm's configuration, host view and fleet view, fed by the platform."""

    def __init__(
        self,
        settings: Settings,
        *,
        poll_interval_s: float,
        rng: random.Random | None,
    ) -> None:
        self.settings = settings
        self.name = settings.process.name
        self.incarnation = f"{int(time.time()):x}-{secrets.token_hex(4)}"
        self._rng = rng or random.Random()
        self.budget = RateBudget(calls_per_s=settings.platform.key_value_calls_per_s)
        self.store = EtcdGatewayStore(settings.platform.key_value, budget=self.budget)
        self.view = ConfigurationView()
        self.host_view = HostView()
        self.fleet = FleetView(
            HttpHostList(settings.platform.host_list),
            self.host_view,
            port_offset=settings.peers.port_offset,
            poll_interval_s=poll_interval_s,
            rng=self._rng,
        )
        self._configuration = ConfigurationSync(
            self.store, self.view, firm=settings.process.firm
        )
