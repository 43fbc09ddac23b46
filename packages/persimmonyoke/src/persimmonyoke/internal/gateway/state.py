"""State of one gateway process, shared by its tasks."""

import random
import secrets
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from persimmonyoke.internal.delivery.retry_budget import RetryBudget
from persimmonyoke.internal.delivery.suspect_types import SuspectNotice
from persimmonyoke.internal.delivery.suspects import SuspectRegister
from persimmonyoke.internal.dispatch.backoff import ReplicaBackoff
from persimmonyoke.internal.dispatch.costs import DEFAULT_SPEED
from persimmonyoke.internal.dispatch.engine_restarts import EngineRestarts
from persimmonyoke.internal.dispatch.engine_silence import EngineSilences
from persimmonyoke.internal.dispatch.health import ReplicaHealth
from persimmonyoke.internal.dispatch.limits import ReplicaLimits
from persimmonyoke.internal.dispatch.loads import WorkLedger
from persimmonyoke.internal.dispatch.outlook import DecoderForecast
from persimmonyoke.internal.dispatch.placement import Placement
from persimmonyoke.internal.dispatch.prefixes import PrefixIndex
from persimmonyoke.internal.dispatch.queue import RouteSizes
from persimmonyoke.internal.dispatch.returns import RefusedRequests
from persimmonyoke.internal.dispatch.routes import RouteTable
from persimmonyoke.internal.dispatch.speeds import SlowdownFactors
from persimmonyoke.internal.dispatch.stage_changes import StageChanges
from persimmonyoke.internal.dispatch.stream_versions import StreamVersions
from persimmonyoke.internal.fleet.awake_period import AwakePeriod
from persimmonyoke.internal.fleet.configuration_news import ConfigurationNews
from persimmonyoke.internal.fleet.hosts import HostView, PeerState
from persimmonyoke.internal.fleet.interfaces import (
    ChangesListener,
    RelayedChanges,
    ResponseMetadata,
    UpstreamWire,
)
from persimmonyoke.internal.fleet.model import (
    LIMITS_BEFORE_CONFIGURATION,
    ClientLimits,
    Configuration,
    HostEntry,
    Prompt,
    PromptPart,
    Replica,
    Stage,
)
from persimmonyoke.internal.fleet.replicas import (
    ReplicaAdded,
    ReplicaChange,
    ReplicaChanged,
    ReplicaGone,
    ReplicaView,
)
from persimmonyoke.internal.fleet.store_contact import StoreContact
from persimmonyoke.internal.fleet.view_age import ViewAge
from persimmonyoke.internal.gateway.attempts import AttemptStart
from persimmonyoke.internal.gateway.client_admission import ClientAdmission
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.connection_pool import ConnectionPool
from persimmonyoke.internal.gateway.connections import (
    LinksDown,
    LostCall,
    NotConnected,
    ReplicaWaits,
)
from persimmonyoke.internal.gateway.held_memory import HeldMemory
from persimmonyoke.internal.gateway.journal import Journal
from persimmonyoke.internal.gateway.link_monitor import LinkMonitor
from persimmonyoke.internal.gateway.metrics import GatewayMetrics
from persimmonyoke.internal.gateway.quarantine_rule import MAX_SUSPECTS, QUARANTINE
from persimmonyoke.internal.gateway.replica_log import log_replica_change
from persimmonyoke.internal.gateway.retry_budgets import RetryBudgets
from persimmonyoke.internal.gateway.settings import GatewaySettings

_MISDIRECTED, _UNAVAILABLE = 421, 503
TUNNEL_KEY_BYTES = 16


@dataclass(frozen=True)
class PartPlacement:
    """Tell peers which engine computes a prompt part, and when it will be cached."""

    part_id: str
    replica_id: str
    ready_in_ms: int


class GatewayState:
    """Hold the configuration, replicas, hosts, work and health known to a process."""

    def __init__(
        self, settings: GatewaySettings, wire: UpstreamWire, journal: Journal
    ) -> None:
        self.settings = settings
        self.wire = wire
        self.journal = journal
        self.metrics = GatewayMetrics()
        self.memory = HeldMemory(settings.held_limit_bytes)
        self.clients = ClientAdmission(settings.connection_limit, journal, self.metrics)
        self.rng = random.Random()
        self.configuration: Configuration | None = None
        self.configuration_news = ConfigurationNews()
        self.routes: RouteTable | None = None
        self.contact = StoreContact(0.0)
        self.view = ViewAge(0.0)
        self.awake = AwakePeriod(boot_time_s())
        self.store_connected = False
        self.replicas = ReplicaView()
        self.replicas_known = False
        self.hosts = HostView(settings.host_name)
        self.ledger = WorkLedger()
        self.health = ReplicaHealth()
        self.silences = EngineSilences()
        self.links = LinkMonitor(
            journal,
            count_replicas=lambda: len(self.replicas.all()),
            forget_failures=self.health.forget_failures,
        )
        self.tunnel_key = secrets.token_urlsafe(TUNNEL_KEY_BYTES)
        self.backoff = ReplicaBackoff()
        self.replica_limits = ReplicaLimits(settings.host_name)
        self.stream_versions = StreamVersions(settings.host_name)
        self.engine_restarts = EngineRestarts()
        self.suspects = SuspectRegister(
            settings.host_name,
            max_records=MAX_SUSPECTS,
            rule=QUARANTINE,
            on_change=lambda notice: self.on_suspect(notice),
        )
        self.prefixes = PrefixIndex()
        self.factors = SlowdownFactors()
        self.sizes = RouteSizes()
        self.decoder_forecast = DecoderForecast()
        self.stage_changes = StageChanges()
        self.recent_refusals = RefusedRequests()
        self.placement = Placement(
            self.ledger,
            self.prefixes,
            self.factors,
            DEFAULT_SPEED,
            own_zone=settings.availability_zone,
            limits=self.replica_limits,
        )
        self.pool = ConnectionPool()
        self.draining = False
        self._retry_budgets = RetryBudgets(settings)
        self.new_placements: list[PartPlacement] = []
        self.queued_s: Callable[[], float] = lambda: 0.0
        self.on_peer_work: Callable[[], None] = lambda: None
        self.on_newer_version: Callable[[int], None] = lambda _version: None
        self.on_store_changes: Callable[[RelayedChanges], None] = lambda _changes: None
        self.want_confirmation: Callable[[], None] = lambda: None
        self.on_changes_requested: ChangesListener = lambda _request, _send: None
        self.on_retry_wanted: Callable[[str, int], None] = lambda _service, _count: None
        self.on_cached: Callable[[str, list[str]], None] = lambda _id, _parts: None
        self.on_engine: Callable[[Replica], None] = lambda _engine: None
        self.on_replica_started: Callable[[Replica], None] = lambda _replica: None
        self.read_stream_records: Callable[[], bool] = lambda: False
        self.on_withheld: Callable[[bytes], None] = lambda _subject: None
        self.on_quarantine_lifted: Callable[[bytes], None] = lambda _subject: None
        self.on_call_lost: Callable[[LostCall], None] = lambda _call: None
        self.on_suspect: Callable[[SuspectNotice], None] = lambda _notice: None

    @property
    def ready(self) -> bool:
        """Return whether this host takes new connections."""
        return (
            not self.draining and self.configuration is not None and self.replicas_known
        )

    @property
    def version(self) -> int:
        """Return the version of the active configuration, or 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def limits(self) -> ClientLimits:
        """Return the limits on client requests."""
        if self.configuration is None:
            return LIMITS_BEFORE_CONFIGURATION
        return self.configuration.limits

    @property
    def record_current_boot_s(self) -> float:
        """Return the boot time up to which the records of versions were the latest."""
        return max(self.view.current_boot_s, self.stream_versions.read_boot_s)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this host's share of the retry budget of a service."""
        return self._retry_budgets.of_service(
            service, hosts=1 + len(self.hosts.peers())
        )

    def note_stage_order(self, replica_id: str, stage: Stage, *, now_s: float) -> None:
        """Note that an engine is being ordered to change to a stage."""
        self.stage_changes.note_order(replica_id, stage, now_s=now_s)
        if stage is Stage.DECODE:
            self.decoder_forecast.note(replica_id, now_s=now_s)

    def own_entry(self) -> HostEntry:
        """Return the entry of this host."""
        return HostEntry(
            name=self.settings.host_name,
            front_address=self.settings.front_address,
            peer_host=self.settings.listen_host,
            peer_port=self.settings.peer_port,
            availability_zone=self.settings.availability_zone,
            ready=self.ready,
            tunnel_key=self.tunnel_key,
            knows_eras=True,
            link_mbit_per_s=self.settings.link_mbit_per_s,
        )

    def start_store_contact(self, now_s: float) -> None:
        """Start measuring store contact and view age from this time."""
        self.contact = StoreContact(now_s)
        self.view = ViewAge(now_s)
        self.awake = AwakePeriod(boot_time_s())

    def note_store_answer(self, now_s: float) -> None:
        """Note that the store answered, possibly after an outage."""
        if not self.store_connected:
            self.store_connected = True
            silent_ms = int(self.contact.silent_s(now_s) * 1_000)
            self.journal.event("store_regained", silent_ms=silent_ms)
        self.contact.note_answer(now_s)
        self._review_outage(now_s)

    def note_updates(
        self,
        placements: Iterable[PartPlacement],
        refused: Iterable[int],
        *,
        now_s: float,
    ) -> None:
        """Apply the placements and refused requests of peers."""
        self.recent_refusals.note_peer(refused, now_s=now_s)
        for item in placements:
            self.prefixes.note_part(
                item.replica_id,
                item.part_id,
                now_s=now_s,
                ready_in_s=item.ready_in_ms / 1_000,
            )

    def note_peer(self, name: str, peer: PeerState, now_s: float) -> None:
        """Apply the state of a peer, including its contact with the store."""
        self.hosts.note_peer(name, peer)
        if self.replicas.in_grace(now_s):
            self._review_outage(now_s)

    def _review_outage(self, now_s: float) -> None:
        """Rule out a store outage if the store answered peers meanwhile.

        The loss of contact was then local to this host, and entries that are missing
        need no grace period.
        """
        regained_s = self.contact.outage_ended_s
        answering_since_s = self.hosts.store_answering_since_s(
            regained_s=regained_s, now_s=now_s
        )
        was_in_grace = self.replicas.in_grace(now_s)
        self.replicas.note_outage_end(answering_since_s)
        if was_in_grace and not self.replicas.in_grace(now_s):
            self.journal.event(
                "outage_ruled_out",
                regained_ms=int((now_s - regained_s) * 1_000),
                peer_contact_ms=int((now_s - answering_since_s) * 1_000),
            )
            self.apply_replica_changes(self.replicas.expire(now_s), now_s=now_s)

    def start_attempt(self, stage: str, replica: Replica) -> AttemptStart:
        """Return a record of the start of an attempt, for the log of the request."""
        now_s = time.monotonic()
        return AttemptStart(stage, replica.replica_id, now_s, self.view.age_s(now_s))

    def note_answer(
        self,
        replica: Replica,
        status: int,
        facts: ResponseMetadata,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply what the headers of an answer say about its replica."""
        if status == _MISDIRECTED:
            # The address now belongs to another replica.
            return
        self.silences.note_answer(replica, now_s, waited_s=now_s - sent_s)
        if facts.leaving:
            changes = self.replicas.note_leaving(replica, now_s=now_s)
            self.apply_replica_changes(changes, now_s=now_s)
        self._note_limit(replica, facts, sent_s=sent_s, now_s=now_s)
        if status == _UNAVAILABLE and facts.retry_after_s is not None:
            self.backoff.note(replica.replica_id, facts.retry_after_s, now_s=now_s)
            self.journal.event(
                "replica_turned_away",
                replica=replica.replica_id,
                retry_after_ms=int(facts.retry_after_s * 1_000),
            )

    def _note_limit(
        self, replica: Replica, facts: ResponseMetadata, *, sent_s: float, now_s: float
    ) -> None:
        """Apply the limit that an answer names, or that it names none any more."""
        replica_id, limit_per_s = replica.replica_id, facts.limit_per_s
        if limit_per_s is not None:
            hosts = [peer.name for peer in self.hosts.peers()]
            former_per_s = self.replica_limits.note_named(
                replica_id, limit_per_s, hosts=hosts, now_s=now_s
            )
        elif facts.stamped or facts.not_executed:
            former_per_s = self.replica_limits.note_unnamed(
                replica_id, sent_s=sent_s, now_s=now_s
            )
        else:
            return
        if limit_per_s != former_per_s:
            self.journal.event(
                "replica_limit",
                replica=replica_id,
                limit_per_s=limit_per_s,
                former_per_s=former_per_s,
                wait_ms=int(self.replica_limits.wait_s(replica_id, now_s) * 1_000),
            )

    def note_not_connected(
        self, replica: Replica, error: NotConnected, *, now_s: float
    ) -> None:
        """Note that a call failed before any byte of it reached the replica."""
        if not isinstance(error, (LinksDown, ReplicaWaits)):
            self.health.note_unreachable(replica.replica_id, now_s)

    def usable_replicas(self, service: str, *, now_s: float) -> list[Replica]:
        """Return the replicas of a service that this host may send work to now."""
        return self._without_backoff(self.replicas.usable(service, now_s=now_s), now_s)

    def sendable_replicas(self, service: str, *, now_s: float) -> list[Replica]:
        """Return the usable replicas whose limits allow this host a request now."""
        return [
            replica
            for replica in self.usable_replicas(service, now_s=now_s)
            if self.replica_limits.wait_s(replica.replica_id, now_s) <= 0.0
        ]

    def leaving_replicas(self, service: str, *, now_s: float) -> list[Replica]:
        """Return replicas that have only just begun to drain and still accept work."""
        return self._without_backoff(self.replicas.leaving(service, now_s=now_s), now_s)

    def retry_after_s(self, service: str, replicas: Iterable[Replica]) -> float | None:
        """Return when a refused request may be sent again to one of some replicas.

        ``None`` means that none of them made this host wait.
        """
        now_s, known = time.monotonic(), list(replicas)
        backoff_s = self.backoff_left_s(known, now_s)
        waiting = [r.replica_id for r in self._without_backoff(known, now_s)]
        limit_s = self.replica_limits.retry_after_s(service, waiting, now_s=now_s)
        return min((s for s in (backoff_s, limit_s) if s is not None), default=None)

    def backoff_left_s(self, replicas: Iterable[Replica], now_s: float) -> float | None:
        """Return the time until the first of some replicas accepts requests again.

        ``None`` means that none of them asked this host to back off.
        """
        waits = [self.backoff.remaining_s(r.replica_id, now_s) for r in replicas]
        return min((wait_s for wait_s in waits if wait_s > 0.0), default=None)

    def _without_backoff(
        self, replicas: Iterable[Replica], now_s: float
    ) -> list[Replica]:
        return [r for r in replicas if not self.backoff.active(r.replica_id, now_s)]

    def note_store_lost(self, error: Exception) -> None:
        """Note that the store does not answer this host."""
        if self.store_connected:
            self.store_connected = False
            self.journal.failure("store_lost", error)

    def apply_configuration(self, configuration: Configuration, source: str) -> None:
        """Activate a configuration unless one at least as new is active."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        self.journal.event(
            "configuration",
            version=configuration.version,
            previous=known.version if known else None,
            routes=len(configuration.routes),
            source=source,
        )

    def apply_replica_changes(
        self, changes: list[ReplicaChange], *, now_s: float
    ) -> None:
        """Log changes of replicas and discard the state of removed incarnations."""
        for change in changes:
            replica = change.replica
            log_replica_change(self.journal, change, self.view, now_s=now_s)
            if isinstance(change, ReplicaAdded):
                self.stream_versions.note_restarted(replica, now_s=now_s)
                self.replica_limits.forget(replica.replica_id)
                self.on_replica_started(replica)
            if isinstance(change, ReplicaAdded) and replica.stage is not None:
                self.on_engine(replica)
            if isinstance(change, ReplicaGone):
                self._forget(replica)
            elif isinstance(change, ReplicaChanged) and change.stage_changed:
                self.prefixes.forget_replica(replica.replica_id)

    def _forget(self, replica: Replica) -> None:
        self.pool.drop_replica(replica)
        self.ledger.forget(replica.replica_id)
        self.health.forget(replica.replica_id)
        self.silences.forget(replica)
        self.links.forget(replica.replica_id, time.monotonic())
        self.backoff.forget(replica.replica_id)
        self.prefixes.forget_replica(replica.replica_id)
        self.factors.forget(replica.replica_id)
        self.replica_limits.forget(replica.replica_id)

    def note_cached(
        self, engine: Replica, parts: Iterable[PromptPart], *, now_s: float
    ) -> None:
        """Record the parts that an engine reports as cached, also for the peers."""
        part_ids = [part.part_id for part in parts]
        self.note_held(engine.replica_id, part_ids, now_s=now_s)
        self.on_cached(engine.replica_id, part_ids)

    def note_held(
        self, replica_id: str, part_ids: Iterable[str], *, now_s: float
    ) -> None:
        """Record the parts that an engine has cached."""
        for part_id in part_ids:
            self.prefixes.note_part(replica_id, part_id, now_s=now_s)

    def take_placements(self) -> list[PartPlacement]:
        """Remove and return the placements not yet sent to peers."""
        taken, self.new_placements = self.new_placements, []
        return taken

    def note_placement(
        self, engine: Replica, prompt: Prompt, *, ready_in_s: float, now_s: float
    ) -> None:
        """Record which engine computes which prompt parts, also for the peers."""
        self.prefixes.note(
            engine.replica_id, prompt.parts, now_s=now_s, ready_in_s=ready_in_s
        )
        ready_in_ms = int(ready_in_s * 1_000)
        for part in prompt.parts:
            self.new_placements.append(
                PartPlacement(part.part_id, engine.replica_id, ready_in_ms)
            )
