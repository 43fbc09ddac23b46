"""Engines, requests and traces of the ``mix`` and ``overload`` benchmarks.

A whole deployment runs in one process, so the simulated engines have 8 slots and an
eighth of their default rates, and send 8 tokens per event. Token timing and request
deadlines are in real time; changes of the mix, role changes and the clock of the role
policy are scaled by ``TIME_SCALE``.
"""

import random
import re
from collections.abc import Sequence

from persimmonyoke.internal.presets import Accepted, Change, ChangeAction
from persimmonyoke.internal.presets.model import Deadlines
from persimmonyoke.internal.roles import (
    EngineRates,
    GoodputModel,
    OfferedWork,
    Split,
)
from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_cli.bench.mix_client import FIRST_TOKEN_S, Arrival
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.platform_fleet import FleetOptions

TIME_SCALE = 0.1
SLOTS = 8
PREFILL_TOKENS_PER_S = 2_500.0
DECODE_BASE_S, DECODE_PER_SEQUENCE_S = 0.010, 0.0016
DECODE_TOKENS_PER_S = SLOTS / (DECODE_BASE_S + SLOTS * DECODE_PER_SEQUENCE_S)
# A step with a prefill chunk and a full batch takes 31 ms. The inter-token deadline is
# 34 ms, which leaves 3 ms for the event loop that engines and hosts share.
CHUNK_TOKENS = 20
# Prompt and output tokens of the prefill-heavy and the decode-heavy requests.
PREFILL_HEAVY, DECODE_HEAVY = (240, 8), (20, 32)
UTILISATION = 0.85


def fleet_options() -> FleetOptions:
    """Return options for small engines whose token timing is not time-scaled."""
    return FleetOptions(
        time_scale=TIME_SCALE,
        engine_changes={"max_sequences": SLOTS, "tokens_per_event": 8},
        timing_changes={
            "prefill_tokens_per_s": PREFILL_TOKENS_PER_S * TIME_SCALE,
            "prefill_chunk_tokens": CHUNK_TOKENS,
            "decode_base_s": DECODE_BASE_S / TIME_SCALE,
            "decode_per_sequence_s": DECODE_PER_SEQUENCE_S / TIME_SCALE,
        },
    )


def phase_work(kind: tuple[int, int]) -> tuple[float, float]:
    """Return the prefill and decode work of one request, in engine-seconds."""
    return kind[0] / PREFILL_TOKENS_PER_S, kind[1] / DECODE_TOKENS_PER_S


def request_rates(work: float, share: float) -> tuple[float, float]:
    """Return the request rates of both kinds for a total work and a prefill share."""
    a_prefill, a_decode = phase_work(PREFILL_HEAVY)
    b_prefill, b_decode = phase_work(DECODE_HEAVY)
    determinant = a_prefill * b_decode - b_prefill * a_decode
    prefill, decode = work * share, work * (1 - share)
    a_per_s = (prefill * b_decode - decode * b_prefill) / determinant
    b_per_s = (decode * a_prefill - prefill * a_decode) / determinant
    return max(0.0, a_per_s), max(0.0, b_per_s)


def arrivals(
    shares: Sequence[float], work: Sequence[float], step_s: float, seed: int
) -> list[Arrival]:
    """Return Poisson arrivals for a prefill share and an amount of work per step."""
    rng = random.Random(f"arrivals/{seed}")
    found = []
    for number, (share, amount) in enumerate(zip(shares, work, strict=True)):
        rates = request_rates(amount, share)
        for kind, per_s in zip((PREFILL_HEAVY, DECODE_HEAVY), rates, strict=True):
            at_s = rng.expovariate(per_s) if per_s > 0 else step_s
            while at_s < step_s:
                found.append(Arrival(number * step_s + at_s, *kind))
                at_s += rng.expovariate(per_s)
    return sorted(found, key=lambda arrival: arrival.at_s)


def raise_limits(deployment: Deployment) -> None:
    """Raise the rate limits of all workspaces, which are below the offered load."""
    text = deployment.firm.presets()["base"]
    text = re.sub(r"requests_per_s = [\d.]+", "requests_per_s = 100000.0", text)
    text = re.sub(r"tokens_per_s = [\d.]+", "tokens_per_s = 100000000.0", text)
    change = Change(ChangeAction.EDIT, "base", "bench", "limits of the bench", text)
    outcome = deployment.platform.revisions().propose(change, base_number=1)
    if not isinstance(outcome, Accepted):
        raise RuntimeError(f"preset change with raised limits rejected: {outcome}")


def set_roles(deployment: Deployment, split: Split) -> None:
    """Configure the roles of the engines before they start."""
    roles = [Role.PREFILL] * split.prefill + [Role.DECODE] * split.decode
    roles += [Role.MIXED] * split.mixed
    for engine, role in zip(deployment.platform.engines, roles, strict=True):
        engine.configuration.role = role


def likely_best_splits(
    engines: int, shares: Sequence[float], *, each: int
) -> list[Split]:
    """Return the static splits that the goodput model ranks highest for a trace.

    There are too many splits to run them all. They are ranked once with a small and
    once with a large interference of mixed engines, because the default value of the
    model may not match the simulated engines.
    """
    splits = [
        Split(prefill, decode, engines - prefill - decode)
        for prefill in range(engines + 1)
        for decode in range(engines + 1 - prefill)
    ]
    chosen: list[Split] = []
    for interference in (0.15, 0.5):
        rates = EngineRates(
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            decode_tokens_per_s=DECODE_TOKENS_PER_S,
            mixed_interference=interference,
            prompt_tokens=sum(PREFILL_HEAVY[:1] + DECODE_HEAVY[:1]) / 2,
        )
        model = GoodputModel(rates, Deadlines(first_token_s=FIRST_TOKEN_S))
        work = [OfferedWork.from_share(UTILISATION * engines, s) for s in shares[::10]]
        ranked = sorted(
            splits,
            key=lambda split: -sum(model.goodput_engines(split, w) for w in work),
        )
        chosen += [split for split in ranked[:each] if split not in chosen]
    return chosen
