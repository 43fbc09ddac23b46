"""Simulate a pool of engines whose offered mix shifts, to compare role policies.

Time runs in steps of half a second. Each step serves the share of the offered work
that the available engines can serve; an engine that drains or changes its role is not
available.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from persimmonyoke.internal.presets.model import Deadlines, Preset
from persimmonyoke.internal.roles import (
    ChangeRole,
    EngineRates,
    EngineRole,
    GoodputModel,
    MixEstimator,
    OfferedWork,
    PoolState,
    RolePolicy,
    Split,
)
from persimmonyoke.internal.upstreams.api import Role

STEP_S = 0.5
DECIDE_EVERY_STEPS = 2
MIN_SHARE, MAX_SHARE = 0.1, 0.8
TRACE_KINDS = ("step", "ramp", "walk")
# Standard deviation of the work offered in one step around its mean.
STEP_NOISE = 0.15


@dataclass(frozen=True)
class Deployment:
    """Hold the size, rates and load of a pool and the weights of its preset."""

    name: str
    engines: int
    preset: Preset
    rates: EngineRates = field(
        default_factory=lambda: EngineRates(
            prefill_tokens_per_s=8_000.0, decode_tokens_per_s=1_600.0
        )
    )
    utilisation: float = 0.85


KENTE = Deployment("kente", 6, Preset("day", goodput_weight=3, role_change_weight=1))
KERERU = Deployment("kereru", 5, Preset("day", goodput_weight=1, role_change_weight=10))


def prompt_shares(kind: str, seed: int, *, duration_s: float) -> list[float]:
    """Return the prefill share of the work at each step of a trace."""
    rng = Random(f"{kind}/{seed}")
    steps = int(duration_s / STEP_S)
    if kind == "walk":
        return _walk(rng, steps)
    shares: list[float] = []
    share = rng.uniform(MIN_SHARE, MAX_SHARE)
    while len(shares) < steps:
        target = rng.uniform(MIN_SHARE, MAX_SHARE)
        count = int(rng.uniform(90.0, 300.0) / STEP_S)
        for number in range(count):
            weight = number / count if kind == "ramp" else 0.0
            shares.append(share + weight * (target - share))
        share = target
    return shares[:steps]


def _walk(rng: Random, steps: int) -> list[float]:
    """Return a random walk with reflection and a deviation of 0.25 in two minutes."""
    share = rng.uniform(MIN_SHARE, MAX_SHARE)
    sigma = 0.25 * (STEP_S / 120.0) ** 0.5
    shares = []
    for _ in range(steps):
        share += rng.gauss(0.0, sigma)
        if share < MIN_SHARE:
            share = 2 * MIN_SHARE - share
        if share > MAX_SHARE:
            share = 2 * MAX_SHARE - share
        shares.append(share)
    return shares


def offered_work(
    deployment: Deployment, shares: Sequence[float], seed: int
) -> list[OfferedWork]:
    """Return the work of each step with random noise."""
    rng = Random(f"noise/{seed}")
    size = deployment.engines * deployment.utilisation
    return [
        OfferedWork(
            size * share * max(0.0, rng.gauss(1.0, STEP_NOISE)),
            size * (1 - share) * max(0.0, rng.gauss(1.0, STEP_NOISE)),
        )
        for share in shares
    ]


@dataclass(frozen=True)
class RoleResults:
    """Hold the goodput in engine-seconds and the number of role changes."""

    goodput: float
    changes: int


class RoleModel:
    """Run role policies over one trace of offered work."""

    def __init__(self, deployment: Deployment, work: Sequence[OfferedWork]) -> None:
        self._deployment = deployment
        self._work = work
        self._model = GoodputModel(deployment.rates, Deadlines())

    def static_goodput(self, split: Split) -> float:
        """Return the goodput of a split that never changes."""
        return sum(
            self._model.goodput_engines(split, work) * STEP_S for work in self._work
        )

    def best_static(self) -> tuple[Split, float]:
        """Return the best static split in hindsight and its goodput."""
        goodput = {split: self.static_goodput(split) for split in self.splits()}
        best = max(goodput, key=lambda split: goodput[split])
        return best, goodput[best]

    def splits(self) -> Iterator[Split]:
        """Yield each split of the pool."""
        total = self._deployment.engines
        for prefill in range(total + 1):
            for decode in range(total + 1 - prefill):
                yield Split(prefill, decode, total - prefill - decode)

    def run(self, policy: RolePolicy, start: Split) -> RoleResults:
        """Run a policy that starts from a split."""
        deployment = self._deployment
        estimator = MixEstimator(deployment.rates)
        engines = _engines(start)
        changing: tuple[int, Role, int] | None = None
        goodput, changes = 0.0, 0
        for step, work in enumerate(self._work):
            now_s = step * STEP_S
            if changing is not None and step >= changing[2]:
                index, role, _ = changing
                engines[index] = replace(engines[index], role=role)
                changing = None
            busy = {changing[0]} if changing else set()
            available = [e for i, e in enumerate(engines) if i not in busy]
            split = Split.of(engine.role for engine in available)
            goodput += self._model.goodput_engines(split, work) * STEP_S
            estimator.note(
                work.prefill_engines * deployment.rates.prefill_tokens_per_s * STEP_S,
                work.decode_engines * deployment.rates.decode_tokens_per_s * STEP_S,
                now_s=now_s,
            )
            if step % DECIDE_EVERY_STEPS:
                continue
            state = PoolState(
                "pool", tuple(engines), deployment.rates, changing is not None
            )
            mix = estimator.estimate(now_s)
            decision = policy.decide(state, mix, deployment.preset, now_s=now_s)
            if isinstance(decision, ChangeRole):
                index = next(
                    i for i, e in enumerate(engines) if e.name == decision.engine
                )
                unavailable_s = deployment.rates.change_s + deployment.rates.sequence_s
                ready = step + int(unavailable_s / STEP_S)
                changing = (index, decision.role, ready)
                changes += 1
        return RoleResults(goodput, changes)


def _engines(split: Split) -> list[EngineRole]:
    roles = [Role.PREFILL] * split.prefill + [Role.DECODE] * split.decode
    roles += [Role.MIXED] * split.mixed
    return [
        EngineRole(f"engine-{number}", role, running_sequences=16)
        for number, role in enumerate(roles)
    ]
