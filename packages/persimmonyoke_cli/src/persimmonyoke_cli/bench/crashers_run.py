"""Runs of the ``crashers`` benchmark with requests that crash their engines."""

import random
from dataclasses import dataclass, field

import gevent
from gevent.pool import Group

from persimmonyoke_cli.bench.fleet_callers import (
    CallerCount,
    join,
    paced_arrivals,
    raise_limits,
    run_stream,
)
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.platform_fleet import FleetOptions

ENTRIES = 6
CRASH_MARKER = "crash-the-engine"
RESTART_AFTER_S = 1.0
RESENDS = 5
RESEND_PAUSE_S = 0.2
COPIES_STARTED_S = 0.3
FIRST_CRASH_S = 1.0
INNOCENTS_PER_S = 20.0
INNOCENT_TOKENS = 40
CRASHING_TOKENS = 20
DURATION_S = 5.0
END_TIMEOUT_S = 60.0
COPY_PROMPT_TOKENS = 1_900
# Prefill of a copy takes 0.5 s, so that copies sent through other hosts overlap it.
SLOW_PREFILL = {"prefill_tokens_per_s": 4_000.0}


@dataclass(frozen=True)
class CrashScenario:
    """Set the number of crashing requests and of copies sent concurrently."""

    name: str
    requests: int = 1
    copies: int = 1


SCENARIOS = (
    CrashScenario("single"),
    CrashScenario("several", requests=3),
    CrashScenario("copies", copies=4),
)


@dataclass
class CrashOutcome:
    """Hold the counts of one run."""

    crashes: int = 0
    copies_running: int = 0
    innocents: CallerCount = field(default_factory=CallerCount)
    crashing: CallerCount = field(default_factory=CallerCount)


class CrashRun:
    """Run one scenario among harmless requests on six entry hosts."""

    def __init__(self, scenario: CrashScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(f"{scenario.name} {seed}")
        self._seed = seed
        self._outcome = CrashOutcome()

    def run(self) -> CrashOutcome:
        """Run the scenario to the end of all requests and return the counts."""
        slow = SLOW_PREFILL if self._scenario.copies > 1 else {}
        fleet = FleetOptions(timing_changes=slow)
        with Deployment(
            "kente", nodes=ENTRIES, controllers=0, fleet=fleet
        ) as deployment:
            raise_limits(deployment)
            for engine in deployment.platform.engines:
                engine.faults.crash_marker = CRASH_MARKER
                engine.faults.restart_after_s = RESTART_AFTER_S
            callers = Group()
            for number in range(self._scenario.requests):
                callers.spawn(self._send_crashing, deployment, number)
            self._send_innocents(deployment, callers)
            join(callers, END_TIMEOUT_S)
            self._outcome.crashes = sum(
                engine.record.counts["crashes"]
                for engine in deployment.platform.engines
            )
        return self._outcome

    def _send_innocents(self, deployment: Deployment, callers: Group) -> None:
        for number in paced_arrivals(self._rng, INNOCENTS_PER_S, DURATION_S):
            prompt = f"innocent {self._seed} {number} " + "word " * 20
            host = self._rng.randrange(ENTRIES)
            callers.spawn(
                run_stream,
                deployment,
                host,
                prompt,
                INNOCENT_TOKENS,
                self._outcome.innocents,
            )

    def _send_crashing(self, deployment: Deployment, number: int) -> None:
        """Send all copies of a request concurrently, then resend it to other hosts."""
        gevent.sleep(FIRST_CRASH_S)
        # The copies must be in prefill on different engines at the same time. A prompt
        # of one piece or more would route them all to the home engine of its prefix.
        words = COPY_PROMPT_TOKENS if self._scenario.copies > 1 else 30
        prompt = f"{CRASH_MARKER} {self._seed} {number} " + "word " * words
        hosts = self._rng.sample(range(ENTRIES), ENTRIES)
        count = self._outcome.crashing
        copies = Group()
        for host in hosts[: self._scenario.copies]:
            copies.spawn(run_stream, deployment, host, prompt, CRASHING_TOKENS, count)
        if self._scenario.copies > 1:
            gevent.sleep(COPIES_STARTED_S)
            self._outcome.copies_running = _engines_running(deployment)
        join(copies, END_TIMEOUT_S)
        for resend in range(RESENDS):
            gevent.sleep(RESEND_PAUSE_S)
            host = hosts[(self._scenario.copies + resend) % ENTRIES]
            run_stream(deployment, host, prompt, CRASHING_TOKENS, count)


def _engines_running(deployment: Deployment) -> int:
    """Return the number of engines with a queued or running crashing request."""
    return sum(
        any(sequence.crashes for sequence in engine.core.scheduler.unfinished())
        for engine in deployment.platform.engines
        if engine.core is not None
    )
