"""Entry process: serves callers and operators of one firm on one host."""

import random
import time

import gevent

from persimmonyoke.internal.audit import ConfigurationAudit
from persimmonyoke.internal.awake_time import sleep_excluding_stalls
from persimmonyoke.internal.callers.api import CallerLimits, CallerServices
from persimmonyoke.internal.callers.server import CallerServer
from persimmonyoke.internal.delivery.delivery import Delivery
from persimmonyoke.internal.delivery.parts import DeliveryOptions
from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.stream_token import StreamTokenSigner
from persimmonyoke.internal.delivery.suspects import SuspectRegister
from persimmonyoke.internal.invariants import Invariant, check_invariant
from persimmonyoke.internal.membership.addresses import (
    AddressAnswer,
    choose_addresses,
)
from persimmonyoke.internal.membership.dissemination import PeerHandlers
from persimmonyoke.internal.membership.handshake import NodeIdentity
from persimmonyoke.internal.membership.messages import Leaving, Roles
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.membership.peers import PeerSettings as LinkSettings
from persimmonyoke.internal.node.admission_gate import PoolAdmission
from persimmonyoke.internal.node.claim_gate import ClaimServiceGate
from persimmonyoke.internal.node.drains import DrainView
from persimmonyoke.internal.node.endpoints import join_address, split_address
from persimmonyoke.internal.node.engine_health import EngineChecks
from persimmonyoke.internal.node.engine_router import DirectoryEngines, EngineRouter
from persimmonyoke.internal.node.entry_metrics import MetricSources, entry_metrics
from persimmonyoke.internal.node.firm_node import FirmNode
from persimmonyoke.internal.node.first_tokens import TimedDelivery
from persimmonyoke.internal.node.host_list_loop import entry_hosts
from persimmonyoke.internal.node.offered_load import offered_message
from persimmonyoke.internal.node.operator_server import OperatorServer
from persimmonyoke.internal.node.order_audit import OrderAudit
from persimmonyoke.internal.node.pool_capacity import PoolCapacity
from persimmonyoke.internal.node.replicas import ReplicaPool
from persimmonyoke.internal.node.suspect_notices import SuspectExchange
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.once.forwarding import PeerClaimForwarder
from persimmonyoke.internal.once.service import ClaimService
from persimmonyoke.internal.operators import (
    HostRevision,
    OperatorBackend,
    operators_app,
)
from persimmonyoke.internal.operators.app import MAX_BODY_BYTES
from persimmonyoke.internal.platform import (
    Purpose,
)
from persimmonyoke.internal.presets import (
    PoolKind,
    Preset,
    Revision,
    RevisionLog,
)
from persimmonyoke.internal.settings import Settings

REFRESH_INTERVAL_S = 0.25
OFFERED_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 60.0
CLAIM_POLL_S = 0.05
MAX_LOAD_PERCENT = 10_000

log = part_logger("node")


class EntryNode(FirmNode):
    """Construct the components of one entry host and run them."""

    def __init__(
        self,
        settings: Settings,
        *,
        delivery_options: DeliveryOptions | None = None,
        poll_interval_s: float = 1.0,
        offered_interval_s: float = OFFERED_INTERVAL_S,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(settings, poll_interval_s=poll_interval_s, rng=rng)
        self._offered_interval_s = offered_interval_s
        self._tasks: list[gevent.Greenlet] = []
        self._leaving = False
        self.scales_load = True
        self.callers_address = split_address(settings.listen.callers)
        self.operators_address = split_address(settings.listen.operators)
        self.drains = DrainView()
        self._build_delivery(delivery_options)
        self._build_servers()
        self.view.subscribe(self._apply_preset)

    # Construction

    def _build_peers(self) -> PeerService:
        process, peers = self.settings.process, self.settings.peers
        host, port = split_address(self.settings.listen.peers)
        identity = NodeIdentity(
            host=self.name,
            incarnation=self.incarnation,
            availability_zone=process.availability_zone,
            callers_address=join_address(self.callers_address),
            peers_address=f"{host}:{port}",
        )
        return PeerService(
            LinkSettings(
                identity=identity,
                shared_key=peers.shared_key.encode(),
                listen_host=host,
                listen_port=port,
            ),
            self.host_view,
            PeerHandlers(
                revision=self._configuration.receive_from_peer,
                suspect=self._suspect_exchange.receive,
                suspects=self._suspect_exchange.persistent_notices,
                leaving=self.fleet.receive_leaving,
                roles=self._receive_roles,
                load=self.fleet.receive_reading,
                claim=lambda source, payload: self.claims.handle(source, payload),
            ),
            rng=self._rng,
        )

    def _build_delivery(self, options: DeliveryOptions | None) -> None:
        process, clock = self.settings.process, time.monotonic
        self._suspect_exchange = SuspectExchange(lambda m: self.peers.broadcast(m))
        self.suspects = SuspectRegister(
            self.name, on_change=self._suspect_exchange.publish
        )
        self._suspect_exchange.register = self.suspects
        self.peers = self._build_peers()
        self.claims = ClaimService(
            self.store.for_purpose(Purpose.CLAIMS),
            prefix=f"/persimmonyoke/{process.firm}/claims/",
            host=self.name,
            incarnation=self.incarnation,
            live_hosts=self._claim_hosts,
            is_dead=self._is_dead,
            forwarder=PeerClaimForwarder(self.peers),
        )
        self.gate = ClaimServiceGate(self.claims)
        fleet = self.fleet
        self.engine_checks = checks = EngineChecks(
            fleet.directory, fleet.clients, has_crashed=self.suspects.has_crashed
        )
        self.router = EngineRouter(
            directory=fleet.directory,
            load=fleet.load,
            prefixes=fleet.prefixes,
            preset=lambda: self.view.preset,
            availability_zone=process.availability_zone,
            region=process.region,
            is_draining=self.drains.is_draining,
            adapters=fleet.adapters,
            rng=self._rng,
            checks=checks,
        )
        self.retry_budget = RetryBudget()
        self.replicas = ReplicaPool(
            directory=fleet.directory,
            clients=fleet.clients,
            availability_zone=process.availability_zone,
            clock=clock,
            rng=self._rng,
        )
        self.delivery = Delivery(
            router=self.router,
            engines=DirectoryEngines(fleet.directory, fleet.clients, clock, checks),
            services=self.replicas,
            gate=self.gate,
            budget=self.retry_budget,
            suspects=self.suspects,
            options=options,
        )
        self.admission = PoolAdmission(
            preset=lambda: self.view.preset,
            pool_of=self.router.pool_of,
            note_offered=self.router.note_offered,
            capacity=PoolCapacity(
                fleet.directory, fleet.load, live_hosts=self._live_host_count
            ),
            clock=clock,
            rng=self._rng,
        )

    def _build_servers(self) -> None:
        settings = self.settings
        revisions = RevisionLog(self.store, firm=settings.process.firm)
        services = CallerServices(
            configuration=self.view,
            admission=self.admission,
            delivery=TimedDelivery(
                self.delivery, self.admission.record_first_token, time.monotonic
            ),
            addresses=self.addresses,
            render_metrics=lambda: self.metrics.render(),
            tokens=StreamTokenSigner(settings.streams.signing_key.encode()),
        )
        limits = settings.limits
        self.callers = CallerServer(
            self.callers_address,
            services,
            limits=CallerLimits(
                body_bytes=limits.body_bytes,
                all_bodies_bytes=limits.all_bodies_bytes,
                header_bytes=limits.header_bytes,
                receive_s=limits.receive_s,
            ),
        )
        orders = OrderAudit(
            self.store, firm=settings.process.firm, pools=self._engine_pools
        )
        backend = OperatorBackend(
            revisions=revisions,
            view=self.view,
            hosts=self._host_revisions,
            audit_sources=(ConfigurationAudit(revisions), orders),
            extra_status=self._extra_status,
            confirmations=lambda number: self.host_view.count_with_revision(
                number, excluding=self.name, now_s=time.monotonic()
            ),
        )
        app = operators_app(backend, token_digest=settings.operators.token_digest)
        self.operators = OperatorServer(
            self.operators_address,
            app,
            receive_s=limits.receive_s,
            max_body_bytes=MAX_BODY_BYTES,
        )
        self.metrics = entry_metrics(
            MetricSources(
                budget=self.budget,
                delivery=self.delivery,
                callers=self.callers,
                gate=self.gate,
                router=self.router,
                view=self.view,
                peers=self.peers,
                drains=self.drains,
                admission=self.admission,
            )
        )

    # Lifecycle

    @property
    def callers_url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{join_address(self.callers_address)}"

    @property
    def operators_url(self) -> str:
        """Return the base URL for operators."""
        return f"http://{join_address(self.operators_address)}"

    def start(self) -> None:
        """Start serving; callers get ``not_ready`` until a configuration is known."""
        self.callers.start()
        self.operators.start()
        self.peers.start()
        self._configuration.start(self.peers)
        self.fleet.start(self.peers, on_list=self.admission.refresh)
        self._tasks = [
            gevent.spawn(self._refresh_periodically),
            gevent.spawn(self._broadcast_offered_periodically),
            gevent.spawn(self._sweep_periodically),
        ]
        log.info("{} serves callers at {}", self.name, self.callers_url)

    def shutdown(self) -> bool:
        """Drain all requests, then stop; return whether all completed in time."""
        limits = self.settings.shutdown
        end_s = time.monotonic() + limits.hard_limit_s
        log.info("{} is shutting down", self.name)
        self._announce_leaving()
        sleep_excluding_stalls(limits.max_age_s + limits.margin_s)
        self.callers.close_listener()
        finished = self.callers.wait_idle(_remaining_s(end_s))
        finished &= self.delivery.wait_background(_remaining_s(end_s))
        while self.claims.busy() and _remaining_s(end_s) > CLAIM_POLL_S:
            gevent.sleep(CLAIM_POLL_S)
        check_invariant(
            finished,
            Invariant.GRACEFUL_SHUTDOWN_COMPLETES,
            f"{self.callers.requests_in_progress} requests open at the hard limit",
        )
        self.stop()
        log.info("{} stopped", self.name)
        return finished

    def stop(self) -> None:
        """Stop immediately and abort open requests."""
        gevent.killall(self._tasks, block=False)
        self.callers.stop()
        self.operators.stop()
        self._configuration.stop()
        self.fleet.stop()
        self.claims.stop()
        self.peers.stop()

    def _announce_leaving(self) -> None:
        self._leaving = True
        self.peers.dissemination.leaving = True
        self.peers.broadcast(Leaving(self.name, self.incarnation))
        self.peers.dissemination.send_heartbeats()
        self.callers.drain()

    # Queries of other components

    def addresses(self, availability_zone: str | None) -> AddressAnswer:
        """Return the entry hosts that a caller should use."""
        now_s = time.monotonic()
        loads = {beat.host: beat.load_percent / 100 for beat in self.host_view.beats()}
        return choose_addresses(
            self.host_view,
            caller_zone=availability_zone or self.settings.process.availability_zone,
            load_by_host=loads,
            now_s=now_s,
            rng=self._rng,
            max_age_s=self.settings.shutdown.max_age_s,
        )

    def _live_host_count(self) -> int:
        now_s = time.monotonic()
        hosts = entry_hosts(self.host_view, now_s)
        live = [h for h in hosts if not self.host_view.is_silent(h.name, now_s)]
        return max(1, len(live))

    def _claim_hosts(self) -> list[str]:
        """Return the hosts that may own claims.

        Silent hosts are left out: each of their claims would wait for the forward
        timeout.
        """
        now_s = time.monotonic()
        hosts = entry_hosts(self.host_view, now_s)
        names = {h.name for h in hosts if not self.host_view.is_silent(h.name, now_s)}
        if not self._leaving:
            names.add(self.name)
        return sorted(names) or [self.name]

    def _is_dead(self, host: str, incarnation: str) -> bool:
        now_s = time.monotonic()
        return self.host_view.is_incarnation_dead(host, incarnation, now_s)

    def _host_revisions(self) -> list[HostRevision]:
        hosts = entry_hosts(self.host_view, time.monotonic())
        numbers = {h.name: h.beat.revision if h.beat else 0 for h in hosts}
        numbers[self.name] = self.view.number
        return [HostRevision(name, number) for name, number in numbers.items()]

    def _engine_pools(self) -> list[str]:
        preset = self.view.preset
        pools = preset.pools.values() if preset else ()
        return [pool.name for pool in pools if pool.kind is PoolKind.ENGINE]

    def _extra_status(self) -> dict:
        now_s = time.monotonic()
        engines = [
            {
                "name": engine.name,
                "pool": engine.pool,
                "role": engine.role.value,
                "leaving": engine.leaving,
                "draining": self.drains.is_draining(engine.name, now_s),
            }
            for engine in self.fleet.engines(now_s)
        ]
        return {"engines": engines, "store_calls": sum(self.budget.calls.values())}

    # Configuration and peer messages

    def _apply_preset(self, revision: Revision, preset: Preset) -> None:
        self.fleet.apply_preset(revision, preset)
        self.retry_budget.share = preset.retry.budget_share
        self.suspects.hold_s = preset.quarantine_hold_s
        self.claims.accepted_age_s = preset.once_keep_s
        if self.claims.accepted_age_s < preset.once_keep_s:
            limit_s = self.claims.accepted_age_s
            log.warning("keep_s of [once] is reduced to the limit of {:g} s", limit_s)
        self.admission.refresh()

    def _receive_roles(self, host: str, message: Roles) -> None:
        self.drains.receive(host, message, time.monotonic())

    # Background work

    def _refresh_periodically(self) -> None:
        while True:
            gevent.sleep(REFRESH_INTERVAL_S)
            self.admission.refresh()
            hosts = self._live_host_count() if self.scales_load else 0
            self.fleet.load.live_hosts = hosts
            percent = int(100 * self.admission.load_share())
            self.peers.dissemination.load_percent = min(percent, MAX_LOAD_PERCENT)

    def _broadcast_offered_periodically(self) -> None:
        while True:
            gevent.sleep(self._offered_interval_s)
            if self.router.offered:
                totals = dict(self.router.offered)
                self.peers.broadcast(
                    offered_message(self.name, self.incarnation, totals)
                )

    def _sweep_periodically(self) -> None:
        while True:
            # Jitter prevents hosts from deleting the same documents at the same time.
            gevent.sleep(SWEEP_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            self.claims.sweep(now_unix_s=time.time())


def _remaining_s(end_s: float) -> float:
    return max(0.0, end_s - time.monotonic())
