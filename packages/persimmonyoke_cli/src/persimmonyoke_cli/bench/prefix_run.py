"""Worker process that executes one run of the ``prefix`` benchmark.

``python -m persimmonyoke_cli.bench.prefix_run JSON`` prints the figures as JSON.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import dataclasses
import json
import random
import statistics
import sys
import time
from collections.abc import Sequence
from itertools import accumulate

import gevent
from gevent.pool import Group

from persimmonyoke.internal.observability import configure_logging
from persimmonyoke.internal.routing import PrefixIndex, RoutingPolicy
from persimmonyoke_cli.bench.fleet_callers import (
    CallerCount,
    join,
    paced_arrivals,
    raise_limits,
    run_stream,
)
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.engine import EngineStandIn
from persimmonyoke_testing.platform_fleet import FleetOptions

ENTRIES = 6
ENGINES = 6
LATE_S = 2.0
EVENT_LOSS = 0.2
PREFILL_TOKENS_PER_S = 8_000.0
TIMING = {
    "prefill_tokens_per_s": PREFILL_TOKENS_PER_S,
    "prefill_chunk_tokens": 800,
    "load_lag_s": LATE_S,
    "cache_event_delay_s": LATE_S,
}
TENANTS = 6
FAMILIES = 36
PIECE_WORDS = 2_000
SUFFIX_WORDS = 400
CACHE_PIECES = 20
OUTPUT_TOKENS = 3
SAMPLE_S = 0.05
END_TIMEOUT_S = 60.0
# Admission control would refuse requests and so shorten the queues of a poor router.
# Long deadlines and waits prevent that.
NO_REFUSALS = {
    "first_token_s = 0.99": "first_token_s = 60.0",
    "max_wait_s = 5.0": "max_wait_s = 60.0",
}
LEAST_LOADED = RoutingPolicy(
    random_candidates=ENGINES, rendezvous_candidates=0, home_affinity=0.0
)


@dataclasses.dataclass(frozen=True)
class PrefixPlan:
    """Describe the workload and the router of one run.

    ``router`` is ``shipped``, ``perfect`` (reads the engine caches directly) or
    ``least`` (least loaded, ignores prefixes). ``estimate`` is ``own`` or ``scaled``.
    ``load`` is the offered prefill work divided by the capacity without a cache.
    """

    seed: int
    router: str
    estimate: str
    shared: bool
    load: float
    warm_up_s: float
    duration_s: float


class ExactIndex(PrefixIndex):
    """Look up prefixes in the simulated engines' caches instead of in cache events."""

    def __init__(self, engines: Sequence[EngineStandIn]) -> None:
        super().__init__()
        self._engines = {engine.name: engine for engine in engines}

    def matched_pieces(self, engine: str, pieces: Sequence[bytes], now_s: float) -> int:
        """Return the number of leading pieces in the engine's cache."""
        held = self._engines[engine].core.cache.held
        count = 0
        while count < len(pieces) and held(pieces[count]):
            count += 1
        return count

    def holders(self, pieces: Sequence[bytes], now_s: float) -> dict[str, int]:
        """Return the number of leading pieces for each engine that holds the first."""
        found = {n: self.matched_pieces(n, pieces, now_s) for n in self._engines}
        return {name: count for name, count in found.items() if count}


class EmptyIndex(PrefixIndex):
    """Report no cached pieces, so that the router ignores prefixes."""

    def matched_pieces(self, engine: str, pieces: Sequence[bytes], now_s: float) -> int:
        """Return zero."""
        return 0

    def holders(self, pieces: Sequence[bytes], now_s: float) -> dict[str, int]:
        """Return an empty mapping."""
        return {}


class PromptSource:
    """Generate prompts of several tenants with prefixes of skewed popularity."""

    def __init__(self, rng: random.Random, *, shared: bool) -> None:
        self._rng = rng
        self._shared = shared
        self._number = 0
        self._pieces = [1 + family % 3 for family in range(FAMILIES)]
        self._weights = list(accumulate(1 / (rank + 2) for rank in range(FAMILIES)))

    @property
    def mean_tokens(self) -> float:
        """Return the mean prompt length in tokens."""
        shares = [1 / (rank + 2) for rank in range(FAMILIES)]
        pieces = sum(s * n for s, n in zip(shares, self._pieces, strict=True))
        return pieces / sum(shares) * PIECE_WORDS + SUFFIX_WORDS

    def draw(self) -> str:
        """Return a prompt; without shared prefixes, its first word is unique."""
        self._number += 1
        families = range(FAMILIES)
        family = self._rng.choices(families, cum_weights=self._weights)[0]
        name = f"t{family % TENANTS}f{family}"
        if not self._shared:
            name += f"n{self._number}"
        prefix = " ".join([name] * (self._pieces[family] * PIECE_WORDS))
        return f"{prefix} " + f"q{self._number} " * SUFFIX_WORDS


class PrefixRun:
    """Run one plan on six entry hosts and six engines."""

    def __init__(self, plan: PrefixPlan) -> None:
        self._plan = plan
        self._callers = CallerCount()
        self._samples: list[list[float]] = []

    def run(self) -> dict[str, float]:
        """Run the plan and return cache hits, queues and failures."""
        fleet = FleetOptions(
            cache_event_loss=EVENT_LOSS,
            engine_changes={"cache_pieces": CACHE_PIECES},
            timing_changes=TIMING,
        )
        with Deployment(
            "kente", nodes=ENTRIES, controllers=0, fleet=fleet
        ) as deployment:
            raise_limits(deployment, changes=NO_REFUSALS)
            self._set_up(deployment)
            sampler = gevent.spawn(self._sample, deployment)
            self._send(deployment)
            sampler.join()
            print(dict(self._callers.endings), file=sys.stderr)
            return self._figures(deployment)

    def _set_up(self, deployment: Deployment) -> None:
        for node in deployment.entries:
            if self._plan.router == "perfect":
                node.router.prefixes = ExactIndex(deployment.platform.engines)
            elif self._plan.router == "least":
                node.router.prefixes = EmptyIndex()
                node.router.policy = LEAST_LOADED
            node.scales_load = self._plan.estimate == "scaled"

    def _send(self, deployment: Deployment) -> None:
        plan = self._plan
        rng = random.Random(f"prefix {plan.seed}")
        source = PromptSource(rng, shared=plan.shared)
        rate = plan.load * ENGINES * PREFILL_TOKENS_PER_S / source.mean_tokens
        callers = Group()
        for _ in paced_arrivals(rng, rate, plan.warm_up_s + plan.duration_s):
            host, prompt = rng.randrange(ENTRIES), source.draw()
            callers.spawn(
                run_stream, deployment, host, prompt, OUTPUT_TOKENS, self._callers
            )
        join(callers, END_TIMEOUT_S)

    def _sample(self, deployment: Deployment) -> None:
        gevent.sleep(self._plan.warm_up_s)
        engines = deployment.platform.engines
        self._before = [dict(engine.record.counts) for engine in engines]
        end_s = time.monotonic() + self._plan.duration_s
        while time.monotonic() < end_s:
            queued = [e.core.scheduler.queued_prefill_tokens() for e in engines]
            self._samples.append([tokens / PREFILL_TOKENS_PER_S for tokens in queued])
            gevent.sleep(SAMPLE_S)
        self._after = [dict(engine.record.counts) for engine in engines]

    def _figures(self, deployment: Deployment) -> dict[str, float]:
        means = [
            statistics.fmean(column) for column in zip(*self._samples, strict=True)
        ]
        mean_s = statistics.fmean(means)
        return {
            "hit_tokens": self._counted("cached_tokens"),
            "computed_tokens": self._counted("prefill_tokens"),
            "mean_queue_s": mean_s,
            "worst_over_mean": max(means) / mean_s if mean_s else 1.0,
            "sent": float(self._callers.sent),
            "failed": float(self._callers.failed),
            "mean_answer_s": statistics.fmean(self._callers.seconds),
        }

    def _counted(self, name: str) -> float:
        pairs = zip(self._before, self._after, strict=True)
        return float(sum(b.get(name, 0) - a.get(name, 0) for a, b in pairs))


def main() -> None:
    """Run the plan given as JSON on the command line and print the figures."""
    configure_logging(level="CRITICAL")
    plan = PrefixPlan(**json.loads(sys.argv[1]))
    print(json.dumps(PrefixRun(plan).run()))


if __name__ == "__main__":
    main()
