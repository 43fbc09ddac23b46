"""Controller process: holds the leases of a firm's engine pools and issues orders."""

import random
import threading
import time
from dataclasses import dataclass

import gevent

from persimmonyoke.internal.authority.controller import (
    WORK_INTERVAL_S,
    OrderPlanner,
    PoolController,
)
from persimmonyoke.internal.authority.lease import AuthorityLease
from persimmonyoke.internal.authority.orders import OrderIssuer
from persimmonyoke.internal.authority.timer import (
    KernelLeaseTimer,
    LeaseTimer,
    NullLeaseTimer,
)
from persimmonyoke.internal.membership.dissemination import PeerHandlers
from persimmonyoke.internal.membership.handshake import NodeIdentity
from persimmonyoke.internal.membership.messages import Load
from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.membership.peers import PeerSettings as LinkSettings
from persimmonyoke.internal.node.drains import MAX_DRAIN_S, drain_message
from persimmonyoke.internal.node.endpoints import split_address
from persimmonyoke.internal.node.firm_node import FirmNode
from persimmonyoke.internal.node.offered_load import OfferedLoad
from persimmonyoke.internal.node.order_audit import authority_key, order_key
from persimmonyoke.internal.node.planners import (
    DRAIN_NOTICE_S,
    SETTLE_S,
    ChainedPlanner,
    DrainingPlanner,
    ModelPlanner,
    RolePlanner,
)
from persimmonyoke.internal.node.role_decisions import RoleDecisions
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import (
    HttpWeightStore,
    Purpose,
)
from persimmonyoke.internal.presets import (
    ModelSpec,
    PoolKind,
    PoolPolicy,
    Preset,
    Revision,
)
from persimmonyoke.internal.roles import RolePolicy
from persimmonyoke.internal.settings import Settings
from persimmonyoke.internal.upstreams.api import EngineClient, Upstream

DEFAULT_LISTEN = "127.0.0.1:0"
# Roles change over tens of seconds, so the controller polls engines at half the rate of
# entry nodes, which halves its CPU time.
POLL_INTERVAL_S = 2.0
REPEAT_DRAIN_S = 2.0
# Lower bound of a time-scaled notice, which still has to reach the entry hosts.
MIN_NOTICE_S = 0.1

log = part_logger("controller")


@dataclass
class RunningPool:
    """Hold the control loop of one pool and its greenlets."""

    policy: PoolPolicy
    controller: PoolController
    planner: DrainingPlanner
    stop: threading.Event
    tasks: tuple[gevent.Greenlet, ...]
    roles: RoleDecisions


class ControllerNode(FirmNode):
    """Run one pool controller for each engine pool of the active preset.

    ``role_policy`` replaces the default policy, for comparisons; ``time_scale`` is the
    time scale of simulated engines.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        poll_interval_s: float = POLL_INTERVAL_S,
        role_policy: RolePolicy | None = None,
        time_scale: float = 1.0,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(settings, poll_interval_s=poll_interval_s, rng=rng)
        self._role_policy = role_policy
        self._time_scale = time_scale
        self.offered = OfferedLoad()
        self.peers = self._build_peers()
        self._timer = self._build_timer()
        weights = settings.platform.weight_store
        self._weights = HttpWeightStore(weights) if weights else None
        self.pools: dict[str, RunningPool] = {}
        self._announcements = 0
        self._tasks: list[gevent.Greenlet] = []
        self._stopping = False
        self.view.subscribe(self._apply_preset)

    def _build_peers(self) -> PeerService:
        process = self.settings.process
        host, port = split_address(self.settings.listen.peers or DEFAULT_LISTEN)
        identity = NodeIdentity(
            host=self.name,
            incarnation=self.incarnation,
            availability_zone=process.availability_zone,
        )
        return PeerService(
            LinkSettings(
                identity=identity,
                shared_key=self.settings.peers.shared_key.encode(),
                listen_host=host,
                listen_port=port,
            ),
            self.host_view,
            PeerHandlers(
                revision=self._configuration.receive_from_peer,
                load=self._receive_load,
                leaving=self.fleet.receive_leaving,
            ),
            rng=self._rng,
        )

    def _build_timer(self) -> LeaseTimer:
        if self.settings.controller.kernel_timer:
            return KernelLeaseTimer()
        return NullLeaseTimer()

    # Lifecycle

    def start(self) -> None:
        """Start in the background; pools start with the first configuration."""
        self.peers.start()
        self._configuration.start(self.peers)
        self.fleet.start(self.peers, on_list=lambda: None)
        self._tasks = [gevent.spawn(self._repeat_drains)]
        log.info("{} started", self.name)

    def shutdown(self) -> bool:
        """Release all leases and stop; return whether this completed in time."""
        self._stopping = True
        tasks = [task for pool in self.pools.values() for task in pool.tasks]
        for pool in self.pools.values():
            pool.stop.set()
        gevent.joinall(tasks, timeout=self.settings.shutdown.hard_limit_s)
        finished = all(task.dead for task in tasks)
        self.stop()
        log.info("{} stopped", self.name)
        return finished

    def stop(self) -> None:
        """Stop immediately, without releasing the leases."""
        self._stopping = True
        for pool in self.pools.values():
            gevent.killall(pool.tasks, block=False)
        self.pools.clear()
        gevent.killall(self._tasks, block=False)
        self._configuration.stop()
        self.fleet.stop()
        self.peers.stop()

    # Pools

    def _apply_preset(self, revision: Revision, preset: Preset) -> None:
        self.fleet.apply_preset(revision, preset)
        if self._stopping:
            return
        wanted = {
            pool.name: pool
            for pool in preset.pools.values()
            if pool.kind is PoolKind.ENGINE
        }
        for name, running in list(self.pools.items()):
            policy = wanted.get(name)
            if policy is None or _needs_restart(running.policy, policy):
                running.stop.set()
                del self.pools[name]
        for name, policy in wanted.items():
            if name in self.pools:
                self.pools[name].policy = policy
            else:
                self.pools[name] = self._start_pool(policy)

    def _start_pool(self, policy: PoolPolicy) -> RunningPool:
        pool, limits = policy.name, self.settings.controller
        firm = self.settings.process.firm
        store = self.store.for_purpose(Purpose.AUTHORITY)
        lease = AuthorityLease(
            store,
            authority_key(firm, pool),
            pool=pool,
            holder=self.name,
            lease_s=limits.lease_s,
            timer=self._timer,
        )
        issuer = OrderIssuer(
            store,
            order_key(firm, pool),
            holder=self.name,
            authority=lambda now_s: lease.check(now_s=now_s),
            client_of=self._client_of,
            order_deadline_s=limits.order_deadline_s,
            lease_s=limits.lease_s,
            checks_fencing=policy.checks_fencing,
        )
        roles = self._role_decisions(pool)
        planner = DrainingPlanner(
            ChainedPlanner(self._planners(pool, roles)),
            announce=lambda: self._announce(pool),
            notice_s=max(MIN_NOTICE_S, DRAIN_NOTICE_S * self._time_scale),
            settle_s=SETTLE_S * min(1.0, self._time_scale),
        )
        controller = PoolController(
            pool=pool,
            lease=lease,
            issuer=issuer,
            planner=planner,
            work_interval_s=WORK_INTERVAL_S * min(1.0, self._time_scale),
        )
        stop = threading.Event()
        tasks = (
            gevent.spawn(controller.hold_lease, stop),
            gevent.spawn(controller.enforce_lease_expiry, stop),
            gevent.spawn(controller.run_orders, stop),
        )
        return RunningPool(policy, controller, planner, stop, tasks, roles)

    def _role_decisions(self, pool: str) -> RoleDecisions:
        return RoleDecisions(
            pool,
            engines=lambda: self._active_engines(pool),
            load=self.fleet.load,
            offered=self.offered,
            preset=lambda: self.view.preset,
            client_of=self.fleet.clients.engine,
            policy=self._role_policy,
            time_scale=self._time_scale,
        )

    def _planners(self, pool: str, roles: RoleDecisions) -> tuple[OrderPlanner, ...]:
        models = ModelPlanner(
            engines=lambda: self._active_engines(pool),
            models=lambda: self._models(pool),
            client_of=self.fleet.clients.engine,
            weights=self._weights,
        )
        changes = RolePlanner(decide=roles.decide, find=self.fleet.directory.find)
        return (models, changes)

    def _active_engines(self, pool: str) -> tuple[Upstream, ...]:
        engines = self.fleet.directory.engines(pool, time.monotonic())
        return tuple(engine for engine in engines if not engine.leaving)

    def _models(self, pool: str) -> tuple[ModelSpec, ...]:
        preset = self.view.preset
        policy = preset.pools.get(pool) if preset else None
        return policy.models if policy else ()

    def _client_of(self, engine: str) -> EngineClient | None:
        upstream = self.fleet.directory.find(engine, time.monotonic())
        return self.fleet.clients.engine(upstream) if upstream else None

    # Messages

    def _receive_load(self, host: str, message: Load) -> None:
        now_s = time.monotonic()
        if not self.offered.receive(message, now_s):
            self.fleet.receive_reading(host, message)
            return
        for running in self.pools.values():
            running.roles.observe(now_s)

    def _announce(self, pool: str) -> None:
        running = self.pools.get(pool)
        if running is None:
            return
        self._announcements += 1
        now_s = time.monotonic()
        # Hosts must not keep a notice for longer than this controller does: if the
        # store is down and no order follows, no message cancels the notice.
        remaining_s = min(MAX_DRAIN_S, running.planner.remaining_s(now_s))
        remaining = dict.fromkeys(running.planner.draining_engines(now_s), remaining_s)
        message = drain_message(pool, self.incarnation, self._announcements, remaining)
        self.peers.broadcast(message)

    def _repeat_drains(self) -> None:
        """Repeat drain notices for hosts that have started or lost a link since."""
        while True:
            gevent.sleep(REPEAT_DRAIN_S)
            for pool, running in list(self.pools.items()):
                if running.planner.draining_engines(time.monotonic()):
                    self._announce(pool)


def _needs_restart(old: PoolPolicy, new: PoolPolicy) -> bool:
    return old.checks_fencing != new.checks_fencing
