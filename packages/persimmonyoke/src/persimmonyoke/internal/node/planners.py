"""Planners of orders for missing models, and for role changes after a drain."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from persimmonyoke.errors import PlatformUnavailable, ProtocolError
from persimmonyoke.internal.authority.controller import OrderPlanner, PlannedOrder
from persimmonyoke.internal.authority.orders import IssueOutcome, OrderNotSent
from persimmonyoke.internal.observability import part_logger
from persimmonyoke.internal.platform import WeightStore
from persimmonyoke.internal.presets import ModelSpec
from persimmonyoke.internal.upstreams.api import (
    EngineClient,
    EngineFailure,
    EngineState,
    Role,
    Upstream,
)

SLOT_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 5.0
RETRY_INTERVAL_S = 10.0
DRAIN_NOTICE_S = 0.5
# After an order an engine keeps draining for this time, until the entry hosts have read
# its new role: with the old one they would send it requests that it refuses.
SETTLE_S = 1.5
# An announced change that was not ordered within this time is cancelled: its engine
# would otherwise get no work during a whole outage of the store.
MAX_NOTICE_S = 5.0
# An order that stays open for longer counts as failed, and its engine is used again.
MAX_OPEN_ORDER_S = 120.0

log = part_logger("controller")


class ModelPlanner(OrderPlanner):
    """Load the models, versions and adapters of the preset, one at a time.

    ``engines`` returns the engines that are not leaving; ``models`` returns the models
    that each of them must hold.
    """

    def __init__(
        self,
        *,
        engines: Callable[[], Iterable[Upstream]],
        models: Callable[[], tuple[ModelSpec, ...]],
        client_of: Callable[[Upstream], EngineClient],
        weights: WeightStore | None,
    ) -> None:
        self._engines = engines
        self._models = models
        self._client_of = client_of
        self._weights = weights
        # Time, incarnation and models of each engine's last check that found nothing
        # missing.
        self._complete_checks: dict[str, tuple[float, str, tuple[ModelSpec, ...]]] = {}
        self._retry_at_s: dict[str, float] = {}

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the order for the first engine on which something is missing."""
        models = self._models()
        for engine in self._engines():
            if self._retry_at_s.get(engine.name, 0.0) > now_s:
                continue
            if self._is_recently_complete(engine, models, now_s):
                continue
            planned = self._plan_engine(engine, models, now_s)
            if planned is not None:
                return planned
        return None

    def _is_recently_complete(
        self, engine: Upstream, models: tuple[ModelSpec, ...], now_s: float
    ) -> bool:
        """Return whether a recent check found nothing missing on the engine."""
        checked = self._complete_checks.get(engine.name)
        if checked is None or checked[1:] != (engine.incarnation, models):
            return False
        return now_s - checked[0] < CHECK_INTERVAL_S

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Wait before the next order for an engine that refused one."""
        if isinstance(outcome, OrderNotSent):
            log.warning("order for {} not issued: {}", planned.engine, outcome.reason)
            self._retry_at_s[planned.engine] = time.monotonic() + RETRY_INTERVAL_S

    def _plan_engine(
        self, engine: Upstream, models: tuple[ModelSpec, ...], now_s: float
    ) -> PlannedOrder | None:
        try:
            state = self._client_of(engine).state()
        except (EngineFailure, ProtocolError):
            self._retry_at_s[engine.name] = now_s + CHECK_INTERVAL_S
            return None
        missing = next(_missing_orders(state, models), None)
        if missing is None:
            self._complete_checks[engine.name] = (now_s, engine.incarnation, models)
            return None
        action, arguments, model = missing
        if action != "load_adapter" and not self._has_slot(model):
            self._retry_at_s[engine.name] = now_s + CHECK_INTERVAL_S
            return None
        return PlannedOrder(
            engine=engine.name,
            incarnation=state.incarnation,
            action=action,
            arguments=arguments,
            reason=f"preset asks for {model.name} version {model.version}",
        )

    def _has_slot(self, model: ModelSpec) -> bool:
        """Wait for a download slot of the weight store, whose rate is limited."""
        if self._weights is None:
            return True
        try:
            slot = self._weights.wait_for_slot(
                model.name, model.version, timeout_s=SLOT_TIMEOUT_S
            )
        except PlatformUnavailable as error:
            log.warning("no weight store slot for {}: {}", model.name, error)
            return False
        return slot is not None


def _missing_orders(
    state: EngineState, models: tuple[ModelSpec, ...]
) -> Iterable[tuple[str, dict[str, str], ModelSpec]]:
    """Yield the orders that load what the preset demands and the engine lacks."""
    for model in models:
        arguments = {"model": model.name, "version": model.version}
        if model.name not in state.models:
            yield "load_model", arguments, model
        elif state.version != model.version and len(models) == 1:
            # The state of an engine has a single version, so with several models it
            # is unknown which of them it belongs to.
            yield "load_version", arguments, model
        for adapter in model.adapters:
            if adapter not in state.adapters:
                yield "load_adapter", {"model": model.name, "adapter": adapter}, model


class RoleChange(Protocol):
    """Describe a role change; gain and cost are in engine-seconds."""

    engine: str
    role: Role
    gain: float
    cost: float


class RolePlanner(OrderPlanner):
    """Convert decisions of a role policy to orders.

    ``decide(now_s)`` returns the change to make now, or ``None`` to keep the roles;
    ``find(name, now_s)`` returns an engine by name.
    """

    def __init__(
        self,
        *,
        decide: Callable[[float], RoleChange | None],
        find: Callable[[str, float], Upstream | None],
    ) -> None:
        self._decide = decide
        self._find = find
        self._retry_at_s = 0.0

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the order for the role change that the policy decided on."""
        if now_s < self._retry_at_s:
            return None
        change = self._decide(now_s)
        if change is None:
            return None
        engine = self._find(change.engine, now_s)
        if engine is None or engine.leaving or not engine.incarnation:
            return None
        return PlannedOrder(
            engine=engine.name,
            incarnation=engine.incarnation,
            action="change_role",
            arguments={"role": change.role.value},
            reason=(
                f"from {engine.role.value} to {change.role.value}: gain "
                f"{change.gain:.1f}, cost {change.cost:.1f} engine-seconds"
            ),
        )

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Wait before the next change after an engine refused one."""
        if isinstance(outcome, OrderNotSent):
            log.warning("role of {} not changed: {}", planned.engine, outcome.reason)
            self._retry_at_s = time.monotonic() + RETRY_INTERVAL_S


class ChainedPlanner(OrderPlanner):
    """Return the first order of several planners and tell that planner the outcome."""

    def __init__(self, planners: Iterable[OrderPlanner]) -> None:
        self._planners = tuple(planners)
        self._last_planner: OrderPlanner | None = None

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the order of the first planner that has one."""
        for planner in self._planners:
            planned = planner.plan(now_s=now_s)
            if planned is not None:
                self._last_planner = planner
                return planned
        return None

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Report the outcome to the planner of the order."""
        if self._last_planner is not None:
            self._last_planner.note_outcome(planned, outcome)


@dataclass
class _Announcement:
    planned: PlannedOrder
    since_s: float
    issued: bool = False
    ended_s: float | None = None


class DrainingPlanner(OrderPlanner):
    """Drain an engine before a change of its role is ordered.

    ``announce`` is called when an announcement is made or cancelled, and when its order
    has been issued, which extends ``remaining_s``.
    """

    def __init__(
        self,
        planner: OrderPlanner,
        *,
        announce: Callable[[], None],
        notice_s: float = DRAIN_NOTICE_S,
        settle_s: float = SETTLE_S,
    ) -> None:
        self._planner = planner
        self._announce = announce
        self._notice_s = notice_s
        self._settle_s = settle_s
        self._announcement: _Announcement | None = None

    def draining_engines(self, now_s: float) -> tuple[str, ...]:
        """Return the engines that must get no new work."""
        announcement = self._announcement
        if announcement is None or self.remaining_s(now_s) <= 0:
            return ()
        return (announcement.planned.engine,)

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the current announcement expires."""
        announcement = self._announcement
        if announcement is None:
            return MAX_NOTICE_S
        limit_s = MAX_OPEN_ORDER_S if announcement.issued else MAX_NOTICE_S
        return announcement.since_s + limit_s - now_s

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return an order once entry hosts had ``notice_s`` to learn of the change."""
        announcement = self._announcement
        if announcement is not None and announcement.issued:
            # Orders are planned only while none is open, so this one has completed.
            announcement.ended_s = announcement.ended_s or now_s
            if now_s - announcement.ended_s < self._settle_s:
                return None
            self._set_announcement(None)
        elif announcement is not None:
            if now_s - announcement.since_s < self._notice_s:
                return None
            if self.draining_engines(now_s):
                return announcement.planned
            # The announcement has expired, and with it the decision: decide again.
            self._set_announcement(None)
        planned = self._planner.plan(now_s=now_s)
        if planned is None or planned.action != "change_role":
            return planned
        self._set_announcement(_Announcement(planned, now_s))
        return None

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Keep the engine draining while its order is open, unless it was not sent."""
        self._planner.note_outcome(planned, outcome)
        if self._announcement is None:
            return
        if isinstance(outcome, OrderNotSent):
            self._set_announcement(None)
        else:
            self._announcement.issued = True
            self._announce()

    def _set_announcement(self, announcement: _Announcement | None) -> None:
        self._announcement = announcement
        self._announce()
