"""Builders for tests of the role decisions."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from persimmonyoke.internal.node.offered_load import OfferedLoad, offered_message
from persimmonyoke.internal.node.role_decisions import RoleDecisions
from persimmonyoke.internal.presets import (
    ModelSpec,
    PoolKind,
    PoolPolicy,
    Preset,
)
from persimmonyoke.internal.upstreams.api import (
    EngineFailure,
    EngineState,
    LoadReport,
    Role,
)
from persimmonyoke.internal.upstreams.load_view import LoadView
from persimmonyoke_testing.builders_node import (
    MODEL,
    POOL,
    build_state,
    build_upstream,
)

PREFILL_RATE, DECODE_RATE = 2_000.0, 400.0
OFFER_INTERVAL_S = 0.5


@dataclass(frozen=True)
class OfferedCounts:
    """Hold the counters of one host for a pool."""

    prefill: int
    output: int
    requests: int


@dataclass
class RoleFixture:
    """Hold the role decisions of one pool and the states that its engines report."""

    roles: dict[str, Role]
    down: set[str] = field(default_factory=set)
    open_order: str | None = None
    state_calls: int = 0
    offered: OfferedLoad = field(default_factory=OfferedLoad)
    decisions: RoleDecisions | None = None

    def state_of(self, name: str) -> EngineState:
        """Return the state; raises ``EngineFailure`` if the engine is down."""
        self.state_calls += 1
        if name in self.down:
            raise EngineFailure("connection refused")
        return build_state(name, role=self.roles[name], open_order_id=self.open_order)


@dataclass(frozen=True)
class FixtureClient:
    """Return the state of one engine from the fixture."""

    fixture: RoleFixture
    name: str

    def state(self) -> EngineState:
        """Return the state."""
        return self.fixture.state_of(self.name)


def build_decisions(roles: Sequence[Role]) -> RoleFixture:
    """Return the decisions of a pool whose engines report the given roles."""
    names = [f"engine-{number}" for number in range(1, len(roles) + 1)]
    fixture = RoleFixture(dict(zip(names, roles, strict=True)))
    engines = [
        build_upstream(name, role=role) for name, role in zip(names, roles, strict=True)
    ]
    load = LoadView()
    for engine in engines:
        load.note_report(_report(engine.name, engine.role), 0.0)
    pool = PoolPolicy(
        name=POOL, kind=PoolKind.ENGINE, models=(ModelSpec(MODEL, "1", ()),)
    )
    preset = replace(Preset(name="ordinary"), goodput_weight=3.0, pools={POOL: pool})
    fixture.decisions = RoleDecisions(
        POOL,
        engines=lambda: engines,
        load=load,
        offered=fixture.offered,
        preset=lambda: preset,
        client_of=lambda engine: FixtureClient(fixture, engine.name),
    )
    return fixture


def offer_prefill(fixture: RoleFixture, *, until_s: float) -> float:
    """Offer mostly prefill work until a time; return the time of the last offer."""
    prefill_engines = 0.7 * len(fixture.roles)
    now_s, number = 0.0, 0
    while now_s < until_s:
        number += 1
        now_s = number * OFFER_INTERVAL_S
        counts = OfferedCounts(
            prefill=int(number * OFFER_INTERVAL_S * PREFILL_RATE * prefill_engines),
            output=int(number * OFFER_INTERVAL_S * DECODE_RATE * 0.5),
            requests=20 * number,
        )
        fixture.offered.receive(offered_message("entry-1", "a", {POOL: counts}), now_s)
        fixture.decisions.observe(now_s)
    return now_s


def _report(name: str, role: Role) -> LoadReport:
    return LoadReport(
        engine=name,
        incarnation=f"{name}-a",
        taken_unix_s=0.0,
        queued_prefill_tokens=0,
        running_sequences=0,
        queued_sequences=0,
        prefill_tokens_per_s=PREFILL_RATE,
        decode_tokens_per_s=DECODE_RATE,
        max_sequences=16,
        role=role,
    )
