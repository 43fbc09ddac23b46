"""Planners of orders: models that engines lack, roles, and draining before both."""

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
# An engine gets new work again only when the entry hosts have read its new role: with
# the old one they send it requests that it refuses.
SETTLE_S = 1.5
# An announced change that was not ordered by then, as with the store down, is given up,
# so that its engine does not stay without work for the whole outage.
MAX_NOTICE_S = 5.0
# An order that is open for longer has failed, and its engine is used again.
MAX_OPEN_ORDER_S = 120.0

log = part_logger("controller")


class ModelPlanner(OrderPlanner):
    """Load the models, versions and adapters of the preset, one at a time.

    ``engines`` returns the engines that stay; ``models`` what each has to hold.
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
        # Time and models of the last check that found nothing to do, by engine.
        self._complete_checks: dict[str, tuple[float, str, tuple[ModelSpec, ...]]] = {}
        self._retry_at_s: dict[str, float] = {}

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the order for the first engine that lacks something."""
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
        """Say whether a recent check found that the engine lacks nothing."""
        checked = self._complete_checks.get(engine.name)
        if checked is None or checked[1:] != (engine.incarnation, models):
            return False
        return now_s - checked[0] < CHECK_INTERVAL_S

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Leave an engine alone for a while after it refused an order."""
        if isinstance(outcome, OrderNotSent):
            log.warning("order for {} not taken: {}", planned.engine, outcome.reason)
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
        """Wait for permission to load weights, since the weight store is limited."""
        if self._weights is None:
            return True
        try:
            slot = self._weights.wait_for_slot(
                model.name, model.version, timeout_s=SLOT_TIMEOUT_S
            )
        except PlatformUnavailable as error:
            log.warning("no slot for {}: {}", model.name, error)
            return False
        return slot is not None


def _missing_orders(
    state: EngineState, models: tuple[ModelSpec, ...]
) -> Iterable[tuple[str, dict[str, str], ModelSpec]]:
    """Yield the orders that bring an engine to the models of the preset."""
    for model in models:
        arguments = {"model": model.name, "version": model.version}
        if model.name not in state.models:
            yield "load_model", arguments, model
        elif state.version != model.version and len(models) == 1:
            # The state of an engine names one version, so with several models it
            # does not say whose version it is.
            yield "load_version", arguments, model
        for adapter in model.adapters:
            if adapter not in state.adapters:
                yield "load_adapter", {"model": model.name, "adapter": adapter}, model


class RoleChange(Protocol):
    """Describe a decision to change a role; gain and cost are in engine-seconds."""

    engine: str
    role: Role
    gain: float
    cost: float


class RolePlanner(OrderPlanner):
    """Turn decisions of a role policy into orders.

    ``decide(now_s)`` returns the change to begin now, or ``None`` to keep the roles.
    ``find`` returns an engine by name.
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
        """Return the order for the change that the policy wants now."""
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
    """Ask planners in turn; the first that has an order is told its outcome."""

    def __init__(self, planners: Iterable[OrderPlanner]) -> None:
        self._planners = tuple(planners)
        self._last_planner: OrderPlanner | None = None

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the first planner's order."""
        for planner in self._planners:
            planned = planner.plan(now_s=now_s)
            if planned is not None:
                self._last_planner = planner
                return planned
        return None

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Tell the planner whose order it was."""
        if self._last_planner is not None:
            self._last_planner.note_outcome(planned, outcome)


@dataclass
class _Announcement:
    planned: PlannedOrder
    since_s: float
    issued: bool = False
    ended_s: float | None = None


class DrainingPlanner(OrderPlanner):
    """Announce a role change before it is ordered, so that new work goes elsewhere.

    ``announce`` is called with the engines to leave out whenever they change.
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
        """Return the engines that are announced at present."""
        announcement = self._announcement
        if announcement is None or self.remaining_s(now_s) <= 0:
            return ()
        return (announcement.planned.engine,)

    def remaining_s(self, now_s: float) -> float:
        """Return for how long the present announcement may last at most."""
        announcement = self._announcement
        if announcement is None:
            return MAX_NOTICE_S
        limit_s = MAX_OPEN_ORDER_S if announcement.issued else MAX_NOTICE_S
        return announcement.since_s + limit_s - now_s

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return an order once its announcement has reached the entry hosts."""
        announcement = self._announcement
        if announcement is not None and announcement.issued:
            # Orders are planned only when none is open, so this one has ended.
            announcement.ended_s = announcement.ended_s or now_s
            if now_s - announcement.ended_s < self._settle_s:
                return None
            self._set_announcement(None)
        elif announcement is not None:
            if now_s - announcement.since_s < self._notice_s:
                return None
            if self.draining_engines(now_s):
                return announcement.planned
            # The decision is as old as the announcement, so it is made again.
            self._set_announcement(None)
        planned = self._planner.plan(now_s=now_s)
        if planned is None or planned.action != "change_role":
            return planned
        self._set_announcement(_Announcement(planned, now_s))
        return None

    def note_outcome(self, planned: PlannedOrder, outcome: IssueOutcome) -> None:
        """Keep the engine out of use while its order is open."""
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
