"""Runs of the ``retries`` benchmark with one failure mode of half the upstreams."""

import dataclasses
import random
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

import gevent
from gevent.pool import Group
from urllib3.exceptions import HTTPError

from persimmonyoke_cli.bench.fleet_callers import (
    CallerCount,
    join,
    paced_arrivals,
    raise_limits,
    run_stream,
)
from persimmonyoke_testing.builders_deployment import call
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.firms import KENTE
from persimmonyoke_testing.platform_fleet import FleetOptions

ENTRIES = 6
ENGINES = 6
SERVICES = 4
MODES = ("refuse", "reset", "silent")
GENERATIONS_PER_S = 15.0
READS_PER_S = 60.0
WRITES_PER_S = 5.0
OUTPUT_TOKENS = 20
# Long enough for more than 100 calls per host, above which the proportional part of
# the retry budget exceeds its floor of 10 per host.
DURATION_S = 12.0
END_TIMEOUT_S = 60.0
# A silent engine is detected after 2 s, so a call that is retried promptly completes
# within this time.
GOOD_WITHIN_S = 4.0
SILENCE_INTERVAL_S = 0.02
ALWAYS = 10**9
# Engines have 8 slots and a request occupies one for 0.5 s, so the load is half of the
# capacity of the healthy half.
ENGINE_CHANGES = {"max_sequences": 8}
TIMING = {"decode_base_s": 0.025}


@dataclass
class RetryOutcome:
    """Hold the counts of one run."""

    first_attempts: int = 0
    upstream_calls: int = 0
    state_readings: int = 0
    good: int = 0
    sent: int = 0
    repeated_writes: int = 0
    generations: CallerCount = field(default_factory=CallerCount)
    reads: CallerCount = field(default_factory=CallerCount)
    writes: CallerCount = field(default_factory=CallerCount)

    @property
    def extra_share(self) -> float:
        """Return the number of extra upstream calls per first attempt."""
        extra = self.upstream_calls - self.first_attempts
        return extra / max(1, self.first_attempts)

    @property
    def answered_by(self) -> dict[str, Counter[str]]:
        """Return the outcome counts of each kind of call."""
        kinds = ("generations", "reads", "writes")
        return {kind: getattr(self, kind).endings for kind in kinds}


class RetryRun:
    """Run one failure mode; ``None`` is the baseline with only the healthy half."""

    def __init__(self, mode: str | None, seed: int) -> None:
        self._mode = mode
        self._seed = seed
        self._outcome = RetryOutcome()

    def run(self) -> RetryOutcome:
        """Run the mode to the end of all calls and return the counts."""
        healthy_only = self._mode is None
        firm = dataclasses.replace(
            KENTE,
            engines=ENGINES // 2 if healthy_only else ENGINES,
            services=SERVICES // 2 if healthy_only else SERVICES,
        )
        fleet = FleetOptions(engine_changes=ENGINE_CHANGES, timing_changes=TIMING)
        with Deployment(firm, nodes=ENTRIES, controllers=0, fleet=fleet) as deployment:
            raise_limits(deployment)
            faults = gevent.spawn(self._inject_faults, deployment)
            callers = Group()
            sources = Group()
            sources.spawn(self._send_generations, deployment, callers)
            sources.spawn(self._send_calls, deployment, callers, "GET", READS_PER_S)
            sources.spawn(self._send_calls, deployment, callers, "POST", WRITES_PER_S)
            join(sources, END_TIMEOUT_S)
            join(callers, END_TIMEOUT_S)
            faults.kill()
            self._count(deployment)
        return self._outcome

    def _inject_faults(self, deployment: Deployment) -> None:
        platform = deployment.platform
        engines = platform.engines[: ENGINES // 2]
        services = platform.services[: SERVICES // 2]
        if self._mode == "refuse":
            # One engine and one service refuse calls unexecuted; the rest are stopped.
            engines[0].faults.refuse = True
            services[0].faults.reject_unrun = True
            for upstream in (*engines[1:], *services[1:]):
                upstream.stop()
        elif self._mode == "reset":
            for engine in engines:
                engine.faults.reset_generates = ALWAYS
            engines[0].faults.reset_generates = 0
            engines[0].faults.cut_streams_after = 3
            for service in services:
                service.faults.drop_before_answer = ALWAYS
        while self._mode == "silent":
            for upstream in (*engines, *services):
                upstream.silence_open_connections()
            gevent.sleep(SILENCE_INTERVAL_S)

    def _send_generations(self, deployment: Deployment, callers: Group) -> None:
        rng = random.Random(f"generations {self._seed}")
        for number in paced_arrivals(rng, GENERATIONS_PER_S, DURATION_S):
            prompt = f"generation {self._seed} {number} " + "word " * 20
            host = rng.randrange(ENTRIES)
            count = self._outcome.generations
            callers.spawn(run_stream, deployment, host, prompt, OUTPUT_TOKENS, count)

    def _send_calls(
        self, deployment: Deployment, callers: Group, method: str, rate_per_s: float
    ) -> None:
        rng = random.Random(f"{method} {self._seed}")
        for _ in paced_arrivals(rng, rate_per_s, DURATION_S):
            host = rng.randrange(ENTRIES)
            callers.spawn(self._call, deployment, host, method)

    def _call(self, deployment: Deployment, host: int, method: str) -> None:
        firm = deployment.firm
        count = self._outcome.writes if method == "POST" else self._outcome.reads
        headers = {"Content-Type": "application/json"}
        if method == "POST":
            headers["Idempotency-Key"] = str(uuid.uuid4())
        url = f"{deployment.entries[host].callers_url}/services/{firm.service_pool}"
        count.sent += 1
        begin_s = time.monotonic()
        body = {} if method == "POST" else None
        try:
            answer = call(
                method,
                f"{url}/domains",
                key=firm.workspace_key,
                body=body,
                headers=headers,
            )
        except (HTTPError, OSError) as error:
            count.endings[type(error).__name__] += 1
            return
        if answer.status in (200, 201):
            count.complete += 1
            count.seconds.append(time.monotonic() - begin_s)
            count.endings["complete"] += 1
        else:
            count.endings[answer.json["error"]["code"]] += 1

    def _count(self, deployment: Deployment) -> None:
        outcome = self._outcome
        for node in deployment.entries:
            outcome.first_attempts += node.retry_budget.first_attempts_total
            outcome.upstream_calls += node.router.dispatches
            outcome.upstream_calls += node.replicas.counts.calls
            outcome.state_readings += node.engine_checks.state_reads
        counts = (outcome.generations, outcome.reads, outcome.writes)
        outcome.sent = sum(count.sent for count in counts)
        outcome.good = sum(
            seconds <= GOOD_WITHIN_S for count in counts for seconds in count.seconds
        )
        record = deployment.platform.service_record
        outcome.repeated_writes = len(record.keys_run_twice())
