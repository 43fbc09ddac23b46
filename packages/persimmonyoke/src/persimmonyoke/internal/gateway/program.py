"""Assembly and lifecycle of one gateway process."""

import signal
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from persimmonyoke.internal.awake_time import StallFreeClock
from persimmonyoke.internal.dispatch.stop_schedule import StopSchedule
from persimmonyoke.internal.fleet.interfaces import FleetStore, UpstreamWire
from persimmonyoke.internal.gateway.cache_learning import CacheLearner
from persimmonyoke.internal.gateway.change_requests import ChangeServer
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.connection_pool import ConnectionPool
from persimmonyoke.internal.gateway.dialer import ReplicaDialer
from persimmonyoke.internal.gateway.engine_calls import EngineCalls
from persimmonyoke.internal.gateway.follower import StoreFollower
from persimmonyoke.internal.gateway.front_server import FrontServer
from persimmonyoke.internal.gateway.journal import Journal
from persimmonyoke.internal.gateway.orders import StageOrderController
from persimmonyoke.internal.gateway.peers import PeerLink
from persimmonyoke.internal.gateway.registration import HostRegistration
from persimmonyoke.internal.gateway.settings import GatewaySettings
from persimmonyoke.internal.gateway.small_server import (
    ADDRESS_TTL_S,
    LONGEST_CACHE_FACTOR,
    StatusServer,
)
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.stopping import HostStop
from persimmonyoke.internal.gateway.stream_records import StreamRecordReader
from persimmonyoke.internal.gateway.tunnel_server import TunnelServer
from persimmonyoke.internal.gateway.version_recorder import StreamVersionRecorder
from persimmonyoke.internal.gateway.withheld_record import WithheldRecorder

HOUSEKEEPING_S = 0.5
EXIT_MARGIN_S = 0.7
"""Margin between the exit of the process and the end of the grace period."""

LAST_ANSWERS_S = 0.2
"""Time before the exit in which requests get their last answers."""

OWN_ANSWERS_S = 0.1
"""Part of this time in which the tasks of the requests answer by themselves."""

MIN_DRAIN_S = LONGEST_CACHE_FACTOR * ADDRESS_TTL_S
"""Time for which a stopping host accepts connections and keeps idle ones.

After it, callers use other hosts, so that no request can come too late.
"""

ACCEPT_SETTLE_S = 0.01
"""Time in which the task of an accepted connection starts and counts it."""

LAST_REQUEST_TIMEOUT_S = 0.2
"""Time for which the connections accepted last may wait for their request."""


class GatewayProcess:
    """Run the tasks of one entry host."""

    def __init__(
        self,
        settings: GatewaySettings,
        wire: UpstreamWire,
        store: FleetStore,
        journal: Journal,
        *,
        metrics_port: int | None = None,
    ) -> None:
        self.state = GatewayState(settings, wire, journal)
        self.dialer = ReplicaDialer(self.state)
        self.state.pool = ConnectionPool(self.dialer)
        self.state.on_call_lost = self.dialer.note_call_lost
        self.tunnels = TunnelServer(self.state, self.dialer)
        self.front = FrontServer(self.state)
        self._auxiliary_server = StatusServer(self.state)
        self._peers = PeerLink(self.state)
        self._registration = HostRegistration(self.state, store)
        self._orders = StageOrderController(self.state, store)
        learner = CacheLearner(
            self.state, EngineCalls(self.state), self._peers.collecting_view
        )
        self.state.on_engine = learner.note_engine
        self._withheld = WithheldRecorder(self.state, store)
        self._follower = StoreFollower(
            self.state,
            store,
            self._orders,
            on_configuration=self._peers.send_now,
            forward_changes=self._peers.forward_changes,
            request_changes=self._peers.request_changes,
        )
        self._change_server = ChangeServer(self.state, store, self._follower.recent)
        self._recorder = StreamVersionRecorder(self.state, store)
        self._record_reader = StreamRecordReader(self.state, store)
        self._metrics_port = metrics_port
        self._stop = Event()
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Listen and start all tasks."""
        settings = self.state.settings
        self.state.start_store_contact(time.monotonic())
        self._peers.start(settings.listen_host, settings.peer_port)
        self.tunnels.start(settings.listen_host, settings.peer_port)
        self.front.start(settings.listen_host, settings.front_port)
        self._auxiliary_server.start(settings.listen_host, settings.ready_port)
        self._auxiliary_server.start(settings.listen_host, settings.directory_port)
        if self._metrics_port is not None:
            self._auxiliary_server.start(settings.listen_host, self._metrics_port)
        loops = (
            self._follower.run,
            self._registration.run,
            self._orders.run,
            self._recorder.run,
            self.dialer.probe,
            self._housekeeping,
        )
        self._tasks = [gevent.spawn(loop) for loop in loops]
        self.state.journal.event(
            "started",
            front=settings.front_address,
            availability_zone=settings.availability_zone,
        )

    def run(self, on_reload: Callable[[], None]) -> None:
        """Run until SIGTERM, then drain; reload on SIGHUP."""
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, on_reload)
        self.start()
        self._stop.wait()
        self.drain()

    def stop(self) -> None:
        """Stop all tasks and close all listeners immediately."""
        gevent.killall(self._tasks)
        self._peers.stop()
        self.tunnels.stop()
        self._auxiliary_server.stop()
        self.front.stop()

    def drain(self) -> None:
        """Withdraw this host, finish the requests in progress and return."""
        state = self.state
        schedule = StopSchedule(self._drain_limit_s - LAST_ANSWERS_S)
        stop = HostStop(schedule, self.front.paces)
        state.draining = True
        state.journal.event("stopping", connections=self.front.connections)
        self.front.begin_drain(stop)
        self._peers.send_now()
        gevent.spawn(self._registration.withdraw)
        gevent.spawn(self._orders.resign)
        self._wait_until_drained(stop)
        self._end_connections(stop)
        state.journal.event(
            "stopped",
            answering=self.front.requests_in_progress,
            after_ms=int(stop.elapsed_s * 1_000),
        )

    def _wait_until_drained(self, stop: HostStop) -> None:
        with StallFreeClock() as awake:
            awake_started_s = awake.now_s()
            while not self._drained(awake.now_s() - awake_started_s):
                if stop.left_s <= 0.0:
                    return
                gevent.sleep(0.05)

    def _end_connections(self, stop: HostStop) -> None:
        """Stop accepting, and answer the callers that were accepted last."""
        self.front.stop_accepting()
        accepted_s = time.monotonic()
        while stop.elapsed_s < self._drain_limit_s:
            # An accepted connection is counted only once its task has started.
            gevent.sleep(ACCEPT_SETTLE_S)
            if not self.front.connections:
                return
            if stop.left_s <= 0.0:
                self.front.answer_unfinished()
            if stop.left_s <= -OWN_ANSWERS_S:
                self.front.answer_for_others()
            if time.monotonic() - accepted_s >= LAST_REQUEST_TIMEOUT_S:
                self.front.close_idle()

    @property
    def _drain_limit_s(self) -> float:
        return self.state.settings.grace_s - EXIT_MARGIN_S

    def _drained(self, elapsed_s: float) -> bool:
        if elapsed_s < MIN_DRAIN_S:
            return False
        self.front.close_idle()
        tunnels_busy = self.tunnels.busy(time.monotonic())
        return self.front.requests_in_progress == 0 and not tunnels_busy

    def _housekeeping(self) -> None:
        state = self.state
        while True:
            gevent.sleep(HOUSEKEEPING_S)
            self._note_awake(boot_time_s())
            try:
                self._drop_expired(time.monotonic())
            except Exception:
                state.journal.unexpected("housekeeping_failed")

    def _note_awake(self, now_boot_s: float) -> None:
        """Note that this process runs, and log whether it stood still."""
        stopped_s = self.state.awake.note(now_boot_s)
        if stopped_s:
            self.state.journal.event("stood_still", stopped_ms=int(stopped_s * 1_000))

    def _drop_expired(self, now_s: float) -> None:
        """Drop what has expired."""
        state = self.state
        state.apply_replica_changes(state.replicas.expire(now_s), now_s=now_s)
        state.pool.close_expired(now_s)
        state.metrics.connections.set(self.front.connections)
