"""Control of engine stages by the one host that holds the order lease."""

import time
from collections.abc import Sequence

import gevent

from persimmonyoke.errors import LeaseEnded, StoreUnavailable
from persimmonyoke.internal.dispatch.decode_demand import DecodeDemand, StageLoad
from persimmonyoke.internal.dispatch.stages import (
    EngineWatch,
    SentOrder,
    StageChange,
    plan_changes,
)
from persimmonyoke.internal.fleet.interfaces import (
    FleetStore,
    StageOrder,
)
from persimmonyoke.internal.fleet.model import Replica, Stage
from persimmonyoke.internal.fleet.replica_links import LinkState
from persimmonyoke.internal.fleet.term import (
    AttemptSchedule,
    OrderRecord,
    OrderTerm,
    TermState,
)
from persimmonyoke.internal.gateway.clocks import read_clocks
from persimmonyoke.internal.gateway.engine_calls import EngineCalls
from persimmonyoke.internal.gateway.state import GatewayState
from persimmonyoke.internal.gateway.upstream_call import CallSlot

STEP_S = 0.25
HOLDER_LEASE_S = 1.6
"""Time after which another host can take over from a failed holder.

It can be this short because renewals cost little.
"""

RENEW_S = 0.45
"""Allows three renewals per lease, with a margin for slow answers of the store."""

REPORT_INTERVAL_S = 1.0
"""Pause between reports asked of one engine before an order, also within its limit.

Requests use up the limit of a busy engine, and would delay the order for seconds.
"""

_ACCEPTED, _HOLDS = 202, 200


class StageOrderController:
    """Acquire the order lease if it is free, and order engines to change stages."""

    def __init__(self, state: GatewayState, store: FleetStore) -> None:
        self._state = state
        self._store = store
        self._calls = EngineCalls(state)
        self._holder = state.settings.host_name
        self._term = OrderTerm(self._holder, min_handover_s=state.settings.lease_s)
        self._orders: dict[str, SentOrder] = {}
        self._watches: dict[str, EngineWatch] = {}
        self._demands: dict[str, DecodeDemand] = {}
        self._asked_s: dict[str, float] = {}
        self._attempts = AttemptSchedule(state.rng)
        self._renewed_s = 0.0

    def note_holder(self, holder: str | None) -> None:
        """Note the holder of the order key; schedule an attempt if it is free."""
        now_s = time.monotonic()
        if holder is None:
            self._attempts.note_free(now_s, delay_s=self._term.attempt_delay_s(now_s))
        else:
            self._attempts.note_held(now_s)

    def note_era(self, era: int) -> None:
        """Give up a term of an earlier era of the store, in which its key is gone."""
        self._term.note_era(era, time.monotonic())
        if self._term.state is not TermState.NONE:
            self._note_lease_lost("store came back from a copy")

    def note_record(self, record: OrderRecord) -> None:
        """Note the last order recorded in the store."""
        now_s = time.monotonic()
        self._term.note_record(record, now_s)
        self._state.note_stage_order(
            record.replica_id, Stage(record.stage), now_s=now_s
        )

    def run(self) -> None:
        """Run the control loop for the lifetime of the process."""
        while True:
            try:
                self._step()
            except (LeaseEnded, StoreUnavailable) as error:
                self._log_failure(error)
            except Exception:
                self._state.journal.unexpected("order_duty_failed")
            gevent.sleep(STEP_S * self._state.rng.uniform(0.8, 1.2))

    def resign(self) -> None:
        """Release the order lease, so that another host can acquire it."""
        lease, held = self._term.lease, self._term.state is not TermState.NONE
        self._term.lost()
        if not held or lease is None:
            return
        self._state.journal.event("order_term", change="resigned")
        try:
            self._store.end_lease(lease)
        except (LeaseEnded, StoreUnavailable) as error:
            self._state.journal.failure("order_lease_not_ended", error)

    def _step(self) -> None:
        if self._state.draining or not self._state.ready:
            return
        self._observe_engines()
        if self._state.links.partitioned:
            # Another host reaches the engines, and orders come from one host only.
            self.resign()
            return
        if self._term.state is TermState.NONE:
            self._try_acquire(time.monotonic())
        elif time.monotonic() - self._renewed_s >= RENEW_S:
            self._renew()
        links_work = self._state.links.state is LinkState.INTACT
        if links_work and self._may_announce():
            self._order_changes()

    def _may_announce(self) -> bool:
        revision = self._state.view.revision
        return self._term.may_announce(time.monotonic(), view_revision=revision)

    def _try_acquire(self, now_s: float) -> None:
        if not self._attempts.due(now_s):
            return
        self._attempts.note_failed(now_s)
        seen_free = self._attempts.seen_free
        holder = self._store.current_holder(allow_stale=not seen_free)
        self.note_holder(holder)
        if holder is not None or not seen_free:
            return
        self._attempts.note_failed(now_s)
        if not self._fences_stay_in_order():
            self._state.journal.event("order_term", change="left to earlier builds")
            return
        lease = self._store.grant_lease(HOLDER_LEASE_S)
        fencing_number = self._store.acquire_term(self._holder, lease)
        if fencing_number is None:
            self._attempts.note_held(time.monotonic())
            self._store.end_lease(lease)
            return
        self._renewed_s = now_s
        self._term.acquired(fencing_number=fencing_number, lease=lease)
        self._orders.clear()
        record = self._term.record
        self._state.journal.event(
            "order_term",
            change="acquired",
            fencing_number=fencing_number,
            former=record.holder if record else None,
        )

    def _fences_stay_in_order(self) -> bool:
        """Return whether each later holder has a higher fencing number.

        Hosts of builds that don't know eras use lower ones, so they order first.
        """
        return self._store.era.current == 0 or self._state.hosts.all_know_eras

    def _renew(self) -> None:
        lease = self._term.lease
        assert lease is not None
        self._renewed_s = time.monotonic()
        try:
            self._store.renew_lease(lease)
        except LeaseEnded:
            self._note_lease_lost("lease has ended")
            raise

    def _note_lease_lost(self, reason: str) -> None:
        self._term.lost()
        self._attempts.note_free(time.monotonic())
        self._state.journal.event("order_term", change="lost", reason=reason)

    def _log_failure(self, error: Exception) -> None:
        if self._term.state is not TermState.NONE:
            self._state.journal.failure("order_duty_hindered", error)

    def _observe_engines(self) -> None:
        """Track the engines and their load, even if this host has no lease."""
        now_s = time.monotonic()
        for service, engines in self._engines_by_service().items():
            self._watches.setdefault(service, EngineWatch()).observe(
                engines, now_s=now_s
            )
            demand = self._demands.setdefault(service, DecodeDemand())
            demand.note(self._stage_load(service, engines, now_s), now_s=now_s)
            demand.note_limits(
                self._limits_per_s(engines, Stage.DECODE),
                self._limits_per_s(engines, Stage.PREFILL),
                now_s=now_s,
            )

    def _limits_per_s(self, engines: Sequence[Replica], stage: Stage) -> list[float]:
        limits = self._state.replica_limits
        return [limits.per_s(e.replica_id) for e in engines if e.stage is stage]

    def _stage_load(
        self, service: str, engines: Sequence[Replica], now_s: float
    ) -> StageLoad:
        """Return the load of both stages from the work of all hosts."""
        state = self._state
        assert state.configuration is not None
        limits = state.configuration.services[service].engine
        assert limits is not None
        waiting_s = state.queued_s() + state.ledger.peers_queued_s(now_s=now_s)
        return state.placement.stage_load(
            engines, limits, waiting_s=waiting_s, now_s=now_s
        )

    def _engines_by_service(self) -> dict[str, list[Replica]]:
        configuration = self._state.configuration
        assert configuration is not None
        return {
            name: [r for r in self._state.replicas.all() if r.service == name]
            for name, service in configuration.services.items()
            if service.engine is not None
        }

    def _order_changes(self) -> None:
        for service, engines in self._engines_by_service().items():
            unreachable = self._confirm_unreachable(engines)
            now_s = time.monotonic()
            if not self._watches[service].settled(engines, unreachable, now_s=now_s):
                continue
            changes = plan_changes(
                engines,
                self._orders,
                unreachable=unreachable,
                now_s=now_s,
                wanted_decoders=self._demands[service].wanted,
                versions=self._state.stream_versions.service(service),
            )
            for change in changes:
                self._order(change)

    def _confirm_unreachable(self, engines: Sequence[Replica]) -> set[str]:
        """Return the suspected decode engines that do not answer a report call either.

        Their entries expire only seconds later, and without a decode engine no tokens
        are generated.
        """
        now_s, health = time.monotonic(), self._state.health
        suspects = [
            engine
            for engine in engines
            if engine.stage is Stage.DECODE
            and not engine.draining
            and health.suspected(engine.replica_id, now_s)
            # An engine that has to be spared has answered recently.
            and not self._must_spare(engine, now_s)
        ]
        return {e.replica_id for e in suspects if self._calls.report(e) is None}

    def _must_spare(self, engine: Replica, now_s: float) -> bool:
        """Return whether an engine asked for no further calls now."""
        replica_id = engine.replica_id
        waits = self._state.replica_limits.wait_s(replica_id, now_s) > 0.0
        return waits or self._state.backoff.active(replica_id, now_s)

    def _order(self, change: StageChange) -> None:
        replica = change.replica
        now_s = time.monotonic()
        asked_s = self._asked_s.get(replica.replica_id, float("-inf"))
        waits = self._state.backoff.active(replica.replica_id, now_s)
        if waits or now_s - asked_s < REPORT_INTERVAL_S:
            return
        self._asked_s[replica.replica_id] = now_s
        report = self._calls.report(replica, slot=CallSlot.UNCONDITIONAL)
        if report is None or report.order_in_progress:
            return
        order = StageOrder(
            replica_id=replica.replica_id,
            stage=change.stage,
            holder=self._holder,
            fencing_number=self._term.fencing_number,
            expected_sequence=report.sequence,
        )
        announced = read_clocks()
        if not self._announce(order):
            return
        if not self._term.may_send(announced, read_clocks()):
            self._state.journal.event("order_too_late", replica=replica.replica_id)
            return
        sent_s = time.monotonic()
        status = self._calls.order(replica, order)
        self._orders[replica.replica_id] = SentOrder(
            change.stage, sent_s, accepted=status in (_ACCEPTED, _HOLDS)
        )
        self._state.metrics.orders.add(outcome=str(status))
        self._state.journal.event(
            "order",
            replica=replica.replica_id,
            stage=change.stage,
            fencing_number=order.fencing_number,
            expected_sequence=order.expected_sequence,
            status=status,
        )

    def _announce(self, order: StageOrder) -> bool:
        """Record an order in the store; return whether this host is the holder."""
        written = self._store.announce_order(
            OrderRecord(
                holder=order.holder,
                fencing_number=order.fencing_number,
                replica_id=order.replica_id,
                stage=order.stage.value,
            )
        )
        if written is None:
            self._note_lease_lost("another host holds the key")
            return False
        self.note_record(written)
        return True
