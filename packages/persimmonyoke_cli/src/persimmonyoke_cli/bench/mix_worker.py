"""Worker process of the ``mix`` benchmark: runs one deployment under one load."""

from gevent import monkey

monkey.patch_all()

import json
import random
import resource
import sys
import time
from dataclasses import dataclass

import gevent
from loguru import logger

from persimmonyoke.internal.invariants import MONITOR
from persimmonyoke.internal.roles import HysteresisRolePolicy, RolePolicy, Split
from persimmonyoke_cli.bench.mix_client import Callers, Outcome
from persimmonyoke_cli.bench.mix_engines import (
    TIME_SCALE,
    UTILISATION,
    arrivals,
    fleet_options,
    raise_limits,
    set_roles,
)
from persimmonyoke_cli.bench.policies import ProportionalRolePolicy, StaticRolePolicy
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.model_roles import STEP_NOISE, STEP_S, prompt_shares

POLICIES: dict[str, type[RolePolicy]] = {
    "shipped": HysteresisRolePolicy,
    "reactive": ProportionalRolePolicy,
    "static": StaticRolePolicy,
}
# Time for adapters to load before the first request.
SETTLE_S = 3.0


@dataclass(frozen=True)
class MixJob:
    """Describe one run of a policy on a trace; ``lead_s`` is an unmeasured warm-up."""

    firm: str
    kind: str
    seed: int
    duration_s: float
    lead_s: float
    policy: str
    split: tuple[int, int, int]


def trace_shares(job: MixJob) -> list[float]:
    """Return the prefill share of each step, with a warm-up at the initial share."""
    shares = prompt_shares(job.kind, job.seed, duration_s=job.duration_s)
    return [shares[0]] * int(job.lead_s / STEP_S) + list(shares)


def run(job: MixJob) -> dict:
    """Run one policy on one trace and return the measurements."""
    options = {"fleet": fleet_options(), "poll_interval_s": 0.1}
    deployment = Deployment(
        job.firm, nodes=1, controllers=1, role_policy=POLICIES[job.policy](), **options
    )
    set_roles(deployment, Split(*job.split))
    shares = trace_shares(job)
    rng = random.Random(f"work/{job.seed}")
    size = deployment.firm.engines * UTILISATION
    work = [size * max(0.0, rng.gauss(1.0, STEP_NOISE)) for _ in shares]
    planned = arrivals(shares, work, STEP_S * TIME_SCALE, job.seed)
    with deployment:
        raise_limits(deployment)
        gevent.sleep(SETTLE_S)
        callers = _callers(deployment, job.seed)
        counted_s = job.lead_s * TIME_SCALE
        before = gevent.spawn_later(counted_s, lambda: _role_changes(deployment))
        cpu_s, wall_s = time.process_time(), time.monotonic()
        outcomes = callers.run(planned)
        cpu_share = (time.process_time() - cpu_s) / (time.monotonic() - wall_s)
        changes = _role_changes(deployment) - before.get()
        engines = deployment.platform.engines
        return {
            **summary([o for o in outcomes if o.arrival.at_s >= counted_s]),
            "changes": changes,
            "cpu_share": cpu_share,
            "interrupted": sum(len(e.record.interrupted) for e in engines),
            "violations": sum(MONITOR.violations.values()),
            "max_rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3,
        }


def summary(outcomes: list[Outcome]) -> dict:
    """Summarise the outcomes of the given requests."""
    lags = sorted(outcome.lag_s for outcome in outcomes) or [0.0]
    answered = [outcome for outcome in outcomes if outcome.status == 200]
    return {
        "requests": len(outcomes),
        "good": sum(outcome.good for outcome in outcomes),
        "refused": sum(outcome.status in {429, 503} for outcome in outcomes),
        "late_first": sum((o.first_s or 99.0) > 0.99 for o in answered),
        "slow_gaps": sum(outcome.slow_gaps > 0 for outcome in answered),
        "wrong": sum(outcome.wrong for outcome in outcomes),
        "other_status": sum(o.status not in {200, 429, 503} for o in outcomes),
        "lag_p99_ms": 1e3 * lags[int(0.99 * (len(lags) - 1))],
    }


def _callers(deployment: Deployment, seed: int) -> Callers:
    firm = deployment.firm
    addresses = tuple(n.settings.listen.callers for n in deployment.entries)
    return Callers(addresses, firm.model, firm.workspace_key, seed)


def _role_changes(deployment: Deployment) -> int:
    return sum(
        order.action == "change_role" and order.effect == "taken"
        for engine in deployment.platform.engines
        for order in engine.record.orders
    )


def main(text: str) -> int:
    """Run one job and print its result as JSON."""
    logger.remove()
    fields = json.loads(text)
    fields["split"] = tuple(fields["split"])
    print(json.dumps(run(MixJob(**fields))))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
