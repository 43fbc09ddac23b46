"""Simulators of the systems that the nodes of one firm depend on, in one process."""

from collections import OrderedDict
from dataclasses import dataclass, field

from persimmonyoke.internal.platform import (
    EtcdGatewayStore,
    HostEntry,
    HostRole,
    RateBudget,
)
from persimmonyoke.internal.presets import RevisionLog
from persimmonyoke_testing.engine import EngineSettings, EngineStandIn, EngineTiming
from persimmonyoke_testing.firms import Firm
from persimmonyoke_testing.key_value_standin import KeyValueStandIn
from persimmonyoke_testing.platform_standins import (
    HostListStandIn,
    WeightStoreStandIn,
)
from persimmonyoke_testing.service import ServiceRecord, ServiceStandIn

BOOTSTRAP_CALLS_PER_S = 1_000.0


@dataclass(frozen=True)
class PlatformPorts:
    """Hold the ports of the simulators; 0 selects any free port."""

    key_value: int = 0
    host_list: int = 0
    weight_store: int = 0
    first_engine: int = 0
    first_service: int = 0

    @classmethod
    def fixed(cls, firm: Firm) -> "PlatformPorts":
        """Return the ports used by the example settings."""
        base = firm.first_port
        return cls(base + 1, base + 2, base + 3, base + 20, base + 40)


@dataclass(frozen=True)
class FleetOptions:
    """Configure the speed and the initial faults of the simulators."""

    time_scale: float = 1.0
    host_list_lag_s: float = 0.0
    cache_event_loss: float = 0.0
    engine_changes: dict = field(default_factory=dict)
    timing_changes: dict = field(default_factory=dict)


class PlatformFleet:
    """Run key-value service, host list, weight store, engines and services."""

    def __init__(
        self,
        firm: Firm,
        *,
        ports: PlatformPorts | None = None,
        options: FleetOptions | None = None,
    ) -> None:
        self.firm = firm
        ports = ports or PlatformPorts()
        options = options or FleetOptions()
        self.key_value = KeyValueStandIn(port=ports.key_value)
        self.host_list = HostListStandIn(
            lag_s=options.host_list_lag_s, port=ports.host_list
        )
        self.weight_store = WeightStoreStandIn(port=ports.weight_store)
        self.engines = [
            self._engine(index, ports, options) for index in range(firm.engines)
        ]
        self.service_record = ServiceRecord()
        self._outcomes: OrderedDict = OrderedDict()
        self.services = [self._service(i, ports) for i in range(firm.services)]

    def _engine(
        self, index: int, ports: PlatformPorts, options: FleetOptions
    ) -> EngineStandIn:
        firm = self.firm
        settings = EngineSettings(
            name=f"{firm.engine_pool}-{index + 1}",
            pool=firm.engine_pool,
            availability_zone=firm.zone(index),
            region=firm.region,
            models=(firm.model,),
            version=firm.version,
            checks_fencing=firm.checks_fencing,
            cache_event_loss=options.cache_event_loss,
            seed=index + 1,
            timing=EngineTiming(
                **{"time_scale": options.time_scale, **options.timing_changes}
            ),
        )
        port = ports.first_engine + index if ports.first_engine else 0
        return EngineStandIn(settings, port=port, **options.engine_changes)

    def _service(self, index: int, ports: PlatformPorts) -> ServiceStandIn:
        return ServiceStandIn(
            f"{self.firm.service_pool}-{index + 1}",
            pool=self.firm.service_pool,
            availability_zone=self.firm.zone(index),
            outcomes=self._outcomes,
            record=self.service_record,
            port=ports.first_service + index if ports.first_service else 0,
        )

    def start(self) -> None:
        """Start all simulators and store the example presets as revision 1."""
        self.key_value.start()
        self.host_list.start()
        self.weight_store.start()
        for upstream in (*self.engines, *self.services):
            upstream.start()
        for engine in self.engines:
            self._list_upstream(engine.name, HostRole.ENGINE, engine)
        for service in self.services:
            self._list_upstream(service.name, HostRole.SERVICE, service)
        self.revisions().bootstrap(
            self.firm.presets(),
            active="ordinary",
            author="bootstrap",
            reason="example presets",
        )

    def stop(self) -> None:
        """Stop all simulators."""
        for upstream in (*self.engines, *self.services):
            upstream.stop()
        self.weight_store.stop()
        self.host_list.stop()
        self.key_value.stop()

    def revisions(self) -> RevisionLog:
        """Return the revision log of the presets in the simulated store."""
        budget = RateBudget(calls_per_s=BOOTSTRAP_CALLS_PER_S)
        store = EtcdGatewayStore(self.key_value.url, budget=budget)
        return RevisionLog(store, firm=self.firm.name)

    def list_entry(self, name: str, address: str, availability_zone: str) -> None:
        """Add an entry host to the host list."""
        entry = HostEntry(
            name=name,
            role=HostRole.ENTRY,
            pool="",
            address=address,
            availability_zone=availability_zone,
            region=self.firm.region,
        )
        self.host_list.put(entry)

    def _list_upstream(
        self, name: str, role: HostRole, upstream: EngineStandIn | ServiceStandIn
    ) -> None:
        described = upstream.upstream()
        self.host_list.put(
            HostEntry(
                name=name,
                role=role,
                pool=described.pool,
                address=described.address,
                availability_zone=described.availability_zone,
                region=self.firm.region,
            )
        )
