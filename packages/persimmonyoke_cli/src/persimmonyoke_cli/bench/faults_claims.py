"""Faults at the steps of calls with at-most-once execution."""

import functools
import random
import time
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import gevent
from urllib3.exceptions import HTTPError

from persimmonyoke_cli.bench.faults_configuration import race_operators
from persimmonyoke_cli.bench.faults_matrix import (
    STEPS,
    Cell,
    Fault,
    Matrix,
    Outcome,
    RunCell,
    draw_pair,
    occurring_cells,
)
from persimmonyoke_cli.bench.faults_world import Testbed
from persimmonyoke_testing.builders_deployment import CallAnswer, call_service

SETTLE_TIMEOUT_S = 20.0
ANSWER_WRITE_TIMEOUT_S = 2.0
RESEND_INTERVAL_S = 0.1
MAX_FAULT_DURATION_S = 1.0
LONGEST_RUN_S = 30.0
HOST_DEATH_PAUSES_S = (1.0, 4.5)
"""Pauses shorter and longer than the silence after which peers exclude a host."""

PROTOCOL = "claims"
PAIR_DELAY_S = 0.08
"""Less than the shortest time after which the faults of a run are healed."""

FAULT_PRIORITY = (
    Fault.KILL,
    Fault.PAUSE,
    Fault.STORE_DOWN,
    Fault.ANSWER_LOST,
    Fault.PARTITION,
    Fault.SILENT_CONNECTION,
    Fault.ENGINE_CRASH,
    Fault.STORE_SLOW,
    Fault.HOST_LIST_LATE,
    Fault.OPERATORS_RACING,
    Fault.CRASHING_REQUEST,
)


def exclude(matrix: Matrix) -> None:
    """Register the cells that can't occur, with the reason."""
    steps = ("dispatch", "answer")
    matrix.exclude(PROTOCOL, Fault.ANSWER_LOST, "writes nothing", steps=steps)
    matrix.exclude(
        PROTOCOL,
        Fault.CRASHING_REQUEST,
        "the service has not got the call, or has run it",
        steps=("claim", "answer", "settle"),
    )
    matrix.exclude(PROTOCOL, Fault.LEASE_LAPSE, "claims hold no lease")
    matrix.exclude(PROTOCOL, Fault.LOAD_LATE, "services report no load to claims")
    matrix.exclude(PROTOCOL, Fault.CACHE_EVENTS_LOST, "services have no prefix cache")
    matrix.exclude(PROTOCOL, Fault.CRASH_IN_CHANGE, "services have no roles")


@dataclass
class ClaimRun:
    """Send a call, inject a fault at a step and resend until the outcome is final."""

    testbed: Testbed
    step: str
    inject: Callable[["ClaimRun"], None]
    rng: random.Random
    key: str = ""
    first_host: str = ""
    inject_before: bool = False
    resent: bool = False
    injected_s: float = 0.0
    dispatched: bool = False
    problems: list[str] = field(default_factory=list)
    bodies: set[bytes] = field(default_factory=set)

    def run(self) -> Outcome:
        """Execute the run and return its outcome."""
        testbed, names = self.testbed, self.testbed.entries()
        self.key = str(uuid.UUID(int=self.rng.getrandbits(128), version=4))
        self.first_host = self.rng.choice(names)
        self.inject_before = self.rng.random() < 0.5
        testbed.listener = self._on_point
        try:
            first = gevent.spawn(self._call, self.first_host)
            self._await_step(first)
            if not self.injected_s:
                # A call that is refused early never reaches the step. A fault injected
                # during the resend would not be healed.
                testbed.listener = None
            else:
                gevent.sleep(self.rng.uniform(0.1, MAX_FAULT_DURATION_S))
            testbed.heal()
            # Peers consider a silent host dead only when its next incarnation or the
            # host list says so; until then its calls count as in progress.
            testbed.start_ended()
            healed_s = time.monotonic()
            others = [name for name in names if name != self.first_host]
            settled = self._resend(self.rng.choice(others), healed_s)
            first.join(timeout=SETTLE_TIMEOUT_S)
            if not first.ready():
                self.problems.append("the first call never ended")
        finally:
            testbed.listener = None
            testbed.heal()
        self._check_runs()
        testbed.restart_ended()
        gevent.sleep(0.1)
        self.problems += testbed.violations()
        return Outcome(tuple(self.problems), settled, missed=not self.injected_s)

    def _await_step(self, first: gevent.Greenlet) -> None:
        """Wait for the step; the answer is stored after the caller has received it."""
        grace_s = ANSWER_WRITE_TIMEOUT_S if self.step == "settle" else 0.0
        ended_s = None
        while not self.injected_s:
            if first.ready():
                ended_s = ended_s or time.monotonic()
                if time.monotonic() >= ended_s + grace_s:
                    return
            gevent.sleep(0.01)

    def _on_point(self, point: str, detail: str) -> None:
        if point == "dispatch":
            self.dispatched = True
        if self.injected_s or not self._reached(point, detail):
            return
        self.injected_s = time.monotonic()
        self.inject(self)

    def _reached(self, point: str, detail: str) -> bool:
        if self.step in ("dispatch", "answer"):
            return point == self.step
        if "/claims/" not in detail or self.dispatched != (self.step == "settle"):
            return False
        return point == ("write" if self.inject_before else "written")

    def _call(self, name: str) -> CallAnswer | None:
        runs = self.testbed.platform.service_record.runs_by_key
        try:
            answer = call_service(
                self.testbed.url(name), self.testbed.firm, key=self.key, body={"n": 1}
            )
        except (HTTPError, OSError):
            return None
        if answer.status == 201:
            self.bodies.add(answer.body)
        elif answer.json["error"]["ran"] == "not_run" and name == self.first_host:
            code = answer.json["error"]["code"]
            # After a resend another host may have run the call. So a not_run answer
            # is compared with the dispatched calls only for the first attempt.
            if runs[self.key] and not self.resent:
                self.problems.append(f"false not_run with {code}")
        return answer

    def _resend(self, name: str, healed_s: float) -> float:
        """Resend until the answer is final; return the elapsed time in seconds."""
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        self.resent = True
        last = "no answer"
        while time.monotonic() < end_s:
            answer = self._call(name)
            if answer is not None:
                code = "" if answer.status == 201 else answer.json["error"]["code"]
                last = f"{answer.status} {code} {answer.body[:300]!r}"
                if answer.status == 201 or code in ("outcome_unknown", "quarantined"):
                    return time.monotonic() - healed_s
            gevent.sleep(RESEND_INTERVAL_S)
        running = [service.running for service in self.testbed.platform.services]
        detail = f"replicas running {running}, {last}"
        self.problems.append(f"not settled after {SETTLE_TIMEOUT_S:g} s: {detail}")
        return SETTLE_TIMEOUT_S

    def _check_runs(self) -> None:
        runs = self.testbed.platform.service_record.runs_by_key[self.key]
        if runs > 1:
            self.problems.append(f"ran {runs} times")
        if len(self.bodies) > 1:
            self.problems.append("two different answers")
        if self.bodies and not runs:
            self.problems.append("an answer without a run")


def _pause(run: ClaimRun) -> None:
    run.testbed.pause(run.first_host, run.rng.choice(HOST_DEATH_PAUSES_S))


def _host_list_late(run: ClaimRun) -> None:
    run.testbed.delay_host_list()
    run.rng.choice(run.testbed.platform.services).stop()


def _crash(run: ClaimRun) -> None:
    for service in run.testbed.platform.services:
        if service.running:
            gevent.spawn(service.crash)
    gevent.sleep(0.01)


def _silence(run: ClaimRun) -> None:
    if run.step in ("dispatch", "answer"):
        for service in run.testbed.platform.services:
            service.silence_open_connections()
    else:
        run.testbed.platform.key_value.stall_open_connections()


ACTIONS: Mapping[Fault, Callable[[ClaimRun], None]] = {
    Fault.KILL: lambda run: run.testbed.kill(run.first_host),
    Fault.PAUSE: _pause,
    Fault.PARTITION: lambda run: run.testbed.relays[run.first_host].partition(),
    Fault.SILENT_CONNECTION: _silence,
    Fault.STORE_DOWN: lambda run: run.testbed.stop_store(),
    Fault.STORE_SLOW: lambda run: run.testbed.slow_store(run.rng.choice((0.3, 3.0))),
    Fault.ANSWER_LOST: lambda run: run.testbed.lose_store_answer(),
    Fault.HOST_LIST_LATE: _host_list_late,
    Fault.ENGINE_CRASH: _crash,
    Fault.OPERATORS_RACING: lambda run: race_operators(run.testbed),
    Fault.CRASHING_REQUEST: _crash,
}


PAIRED_FAULTS = tuple(ACTIONS)


def cells(testbed: Testbed) -> dict[Cell, RunCell]:
    """Return the runnable cells in order of priority."""
    steps = STEPS[PROTOCOL]
    return occurring_cells(
        PROTOCOL, exclude, FAULT_PRIORITY, steps, functools.partial(_runner, testbed)
    )


def _runner(testbed: Testbed, step: str, fault: Fault) -> RunCell:
    def run(rng: random.Random) -> Outcome:
        testbed.end_host_list_delay()
        return ClaimRun(testbed, step, ACTIONS[fault], rng).run()

    return run


def run_pair(testbed: Testbed, rng: random.Random) -> Outcome:
    """Run one step with two faults, the second injected shortly after the first."""
    step, delay_s = rng.choice(STEPS[PROTOCOL]), rng.uniform(0.0, PAIR_DELAY_S)
    inject = draw_pair(ACTIONS, PAIRED_FAULTS, delay_s, rng)
    testbed.end_host_list_delay()
    return ClaimRun(testbed, step, inject, rng).run()
