"""Builders for tests of admission and of planners."""

from dataclasses import dataclass
from random import Random

from persimmonyoke.internal.authority.controller import OrderPlanner, PlannedOrder
from persimmonyoke.internal.callers.api import AdmissionRequest
from persimmonyoke.internal.node.admission_gate import PoolAdmission
from persimmonyoke.internal.node.pool_capacity import PoolCapacity
from persimmonyoke.internal.platform import WeightSlot, WeightStore
from persimmonyoke.internal.presets import (
    AdmissionPolicy,
    Deadlines,
    Preset,
    WorkspacePolicy,
)
from persimmonyoke.internal.upstreams.api import EngineState, Role, Upstream

POOL = "llm-pool"
MODEL = "desk-lm"
WORKSPACE = WorkspacePolicy("shop", (), requests_per_s=1_000.0, tokens_per_s=1e6)


class FixedCapacity(PoolCapacity):
    """Provide a fixed number of slots."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def host_share(self, now_s: float) -> float:
        """Return the share of a single host."""
        return 1.0

    def limit(self, pool: str, now_s: float) -> int:
        """Return the number of slots."""
        return self._slots

    def wait_s(self, pool: str, now_s: float) -> float:
        """Return no wait at the engines."""
        return 0.0

    def first_token_s(self, pool: str, prompt_tokens: int) -> float:
        """Return zero prefill time."""
        return 0.0


def build_admission(
    clock, *, slots: int = 1, max_wait_s: float = 5.0, first_token_s: float = 5.0
) -> PoolAdmission:
    """Return the admission control of one pool."""
    preset = Preset(
        name="ordinary",
        deadlines=Deadlines(first_token_s=first_token_s),
        admission=AdmissionPolicy(max_wait_s=max_wait_s),
        workspaces={WORKSPACE.name: WORKSPACE},
    )
    return PoolAdmission(
        preset=lambda: preset,
        pool_of=lambda model: POOL if model == MODEL else None,
        note_offered=lambda pool, prefill, output: None,
        capacity=FixedCapacity(slots),
        clock=clock,
        rng=Random(1),
    )


def admission_request(request_id: str, now_s: float) -> AdmissionRequest:
    """Return a request of the workspace with a distant deadline."""
    return AdmissionRequest(
        request_id=request_id,
        workspace=WORKSPACE,
        model=MODEL,
        pool=None,
        prompt_tokens=10,
        max_tokens=10,
        deadline_s=now_s + 60.0,
    )


def build_upstream(name: str = "engine-1", **changes: object) -> Upstream:
    """Return an engine of the pool."""
    fields = {"incarnation": f"{name}-a", "models": (MODEL,), **changes}
    return Upstream(name, POOL, "127.0.0.1:1", "zone-a", **fields)


def build_state(name: str = "engine-1", **changes: object) -> EngineState:
    """Return the state of an engine that holds version 1 of the model."""
    fields = {
        "name": name,
        "incarnation": f"{name}-a",
        "role": Role.MIXED,
        "models": (MODEL,),
        "adapters": (),
        "version": "1",
        "fencing": 0,
        "open_order_id": None,
        "last_order_id": None,
        "last_order_status": None,
        "running_sequences": 0,
    }
    return EngineState(**{**fields, **changes})


class StateClient:
    """Return a fixed state."""

    def __init__(self, state: EngineState) -> None:
        self._state = state

    def state(self) -> EngineState:
        """Return the state."""
        return self._state


class LimitedWeightStore(WeightStore):
    """Grant a limited number of slots and count the requests for them."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.asked = 0

    def describe(self, model: str, version: str) -> None:
        """Return nothing, as for an unknown version."""
        return None

    def wait_for_slot(
        self, model: str, version: str, *, timeout_s: float
    ) -> WeightSlot | None:
        """Return a slot, or ``None`` if none is left."""
        self.asked += 1
        if self.slots == 0:
            return None
        self.slots -= 1
        return WeightSlot(f"slot-{self.asked}", 60.0)


@dataclass(frozen=True)
class FixedChange:
    """Hold a fixed decision of a role policy."""

    engine: str
    role: Role
    gain: float = 10.0
    cost: float = 2.0


class ListPlanner(OrderPlanner):
    """Return the orders of a list one after another."""

    def __init__(self, orders: list[PlannedOrder]) -> None:
        self._orders = orders
        self.outcomes: list = []

    def plan(self, *, now_s: float) -> PlannedOrder | None:
        """Return the first remaining order."""
        return self._orders[0] if self._orders else None

    def note_outcome(self, planned: PlannedOrder, outcome: object) -> None:
        """Remove the order from the list and store its outcome."""
        self._orders.remove(planned)
        self.outcomes.append(outcome)
