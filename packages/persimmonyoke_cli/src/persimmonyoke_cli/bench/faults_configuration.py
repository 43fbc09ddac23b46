"""Faults at the steps of a configuration change on seven hosts."""

import functools
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import gevent
from urllib3.exceptions import HTTPError

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.presets import Revision, RevisionLog
from persimmonyoke_cli.bench.faults_matrix import (
    STEPS,
    Cell,
    Fault,
    Matrix,
    Outcome,
    RunCell,
    occurring_cells,
)
from persimmonyoke_cli.bench.faults_world import Testbed
from persimmonyoke_testing.builders_deployment import CallAnswer, call

PROTOCOL = "configuration"
IN_FORCE_S = 5.0
"""Bound of the invariant for each run; the target of 2 s is for the 99th percentile."""

SETTLE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.03
FAULT_DURATION_S = 1.5
HISTORY_LIMIT = 20
HISTORY_ATTEMPTS = 6
LONGEST_RUN_S = 30.0

FAULT_PRIORITY = (
    Fault.STORE_DOWN,
    Fault.OPERATORS_RACING,
    Fault.ANSWER_LOST,
    Fault.KILL,
    Fault.PAUSE,
    Fault.PARTITION,
    Fault.SILENT_CONNECTION,
    Fault.STORE_SLOW,
    Fault.HOST_LIST_LATE,
)


def exclude(matrix: Matrix) -> None:
    """Register the cells that can't occur, with the reason."""
    matrix.exclude(
        PROTOCOL, Fault.ANSWER_LOST, "writes nothing", steps=("spread", "apply")
    )
    matrix.exclude(PROTOCOL, Fault.LEASE_LAPSE, "revisions are not under a lease")
    matrix.exclude(PROTOCOL, Fault.LOAD_LATE, "uses no load reports")
    matrix.exclude(PROTOCOL, Fault.CACHE_EVENTS_LOST, "uses no cache events")
    matrix.exclude(PROTOCOL, Fault.ENGINE_CRASH, "engines take no part")
    matrix.exclude(PROTOCOL, Fault.CRASH_IN_CHANGE, "engines take no part")
    matrix.exclude(PROTOCOL, Fault.CRASHING_REQUEST, "requests take no part")


def race_operators(testbed: Testbed) -> None:
    """Propose concurrent changes to the same revision through two entry hosts."""
    for name in testbed.entries()[:2]:
        gevent.spawn(_choose_other, testbed, name)


def _choose_other(testbed: Testbed, name: str) -> None:
    try:
        newest = testbed.platform.revisions().newest()
    except StoreUnavailable:
        # The other fault of a pair has made the store unavailable: no race is possible.
        return
    preset = "peak" if newest.active == "ordinary" else "ordinary"
    choose(testbed, name, preset, base_number=newest.number, reason=f"race at {name}")


def choose(
    testbed: Testbed, name: str, preset: str, *, base_number: int, reason: str
) -> CallAnswer | None:
    """Choose a preset through a host; return ``None`` on a connection failure."""
    body = {
        "action": "choose",
        "preset": preset,
        "reason": reason,
        "base_number": base_number,
    }
    url = f"{testbed.operators_url(name)}/operators/changes"
    try:
        return call("POST", url, key=testbed.firm.operator_token, body=body)
    except (HTTPError, OSError):
        return None


class Observer:
    """Poll the revision in force on each host and record each decrease."""

    def __init__(self, testbed: Testbed) -> None:
        self.numbers: dict[str, int] = {}
        self.problems: list[str] = []
        self._world = testbed
        self._tasks = [gevent.spawn(self._poll, name) for name in testbed.entries()]

    def stop(self) -> None:
        """Stop polling."""
        gevent.killall(self._tasks)

    def _poll(self, name: str) -> None:
        url = f"{self._world.operators_url(name)}/operators/status"
        token = self._world.firm.operator_token
        while True:
            try:
                answer = call("GET", url, key=token)
                number = answer.json["revision"] if answer.status == 200 else 0
            except (HTTPError, OSError, KeyError):
                number = 0
            if number and number < self.numbers.get(name, 0):
                self.problems.append(
                    f"{name} went from {self.numbers[name]} back to {number}"
                )
            self.numbers[name] = number or self.numbers.get(name, 0)
            gevent.sleep(POLL_INTERVAL_S)


@dataclass
class ConfigurationRun:
    """Propose a change, inject a fault at a step and wait until it is in force."""

    testbed: Testbed
    step: str
    inject: Callable[["ConfigurationRun"], None]
    rng: random.Random
    injected_s: float = 0.0
    problems: list[str] = field(default_factory=list)
    concurrent_change: gevent.Greenlet | None = None

    def run(self) -> Outcome:
        """Execute the run and return its outcome."""
        testbed = self.testbed
        log = testbed.platform.revisions()
        base = log.newest()
        self.base_number = base.number
        self.new_preset = "peak" if base.active == "ordinary" else "ordinary"
        names = testbed.entries()
        self.proposer, self.victim = self.rng.sample(names, 2)
        self.reason = f"run {self.rng.getrandbits(48):x}"
        observer = Observer(testbed)
        testbed.listener = self._on_point
        try:
            answer = self._propose()
            accepted_s = time.monotonic()
            testbed.listener = None
            accepted = answer is not None and answer.status == 200
            self._inject_after_accept(accepted)
            healer = gevent.spawn_later(FAULT_DURATION_S, testbed.heal)
            recovery_s = self._wait(observer, accepted, accepted_s)
            healer.join()
            self._check(answer, log)
        finally:
            testbed.listener = None
            testbed.heal()
            observer.stop()
        if self.concurrent_change is not None:
            self.concurrent_change.join()
        testbed.restart_ended()
        gevent.sleep(0.2)
        problems = self.problems + observer.problems + testbed.violations()
        return Outcome(tuple(problems), recovery_s, missed=not self.injected_s)

    def _propose(self) -> CallAnswer | None:
        task = gevent.spawn(
            choose,
            self.testbed,
            self.proposer,
            self.new_preset,
            base_number=self.base_number,
            reason=self.reason,
        )
        task.join(timeout=FAULT_DURATION_S)
        if not task.ready():
            self.testbed.heal()
        return task.get(timeout=SETTLE_TIMEOUT_S)

    def _on_point(self, point: str, detail: str) -> None:
        step = {"write": "propose", "written": "accept"}.get(point)
        if "/config/" in detail and step == self.step and not self.injected_s:
            self._inject_once()

    def _inject_once(self) -> None:
        self.injected_s = time.monotonic()
        self.inject(self)

    def _inject_after_accept(self, accepted: bool) -> None:
        if self.injected_s or not accepted:
            return
        if self.step == "apply":
            gevent.sleep(self.rng.uniform(0.0, 0.1))
        self._inject_once()

    def _wait(self, observer: Observer, accepted: bool, accepted_s: float) -> float:
        """Wait until all hosts apply the new revision; return the elapsed time."""
        # A host that was killed or paused can apply it only afterwards.
        excused = {self.proposer, self.victim} if self.stops_hosts() else set()
        names = [name for name in self.testbed.entries() if name not in excused]
        number = self.base_number + 1
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        while accepted and any(observer.numbers.get(n, 0) < number for n in names):
            if time.monotonic() > end_s:
                self.problems.append(f"revision {number} not everywhere")
                return SETTLE_TIMEOUT_S
            gevent.sleep(POLL_INTERVAL_S)
        if not accepted:
            return 0.0
        recovery_s = time.monotonic() - accepted_s
        if recovery_s > IN_FORCE_S:
            self.problems.append(f"in force after {recovery_s:.1f} s")
        return recovery_s

    def stops_hosts(self) -> bool:
        """Return whether the fault kills or pauses a host."""
        return self.inject in (ACTIONS[Fault.KILL], ACTIONS[Fault.PAUSE])

    def _check(self, answer: CallAnswer | None, log: RevisionLog) -> None:
        if self.concurrent_change is not None:
            self.concurrent_change.join()
        history = _history(log)
        stored = [r for r in history if r.reason == self.reason]
        numbers = [revision.number for revision in history]
        if len(set(numbers)) != len(numbers):
            self.problems.append("a number was given twice")
        if answer is None:
            return
        if answer.status == 200 and len(stored) != 1:
            self.problems.append(f"accepted and stored {len(stored)} times")
        refused = answer.status != 200 and answer.json["error"]["ran"] == "not_run"
        if refused and stored:
            self.problems.append("false not_run of a change")


def _history(log: RevisionLog) -> tuple[Revision, ...]:
    """Read the newest revisions; retry, as the fault may affect this connection too."""
    for _ in range(HISTORY_ATTEMPTS - 1):
        try:
            return log.history(HISTORY_LIMIT)
        except StoreUnavailable:
            gevent.sleep(POLL_INTERVAL_S)
    return log.history(HISTORY_LIMIT)


def _race(run: ConfigurationRun) -> None:
    run.concurrent_change = gevent.spawn(
        choose,
        run.testbed,
        run.victim,
        "maintenance",
        base_number=run.base_number,
        reason=f"rival of {run.reason}",
    )


def _silence(run: ConfigurationRun) -> None:
    run.testbed.platform.key_value.stall_open_connections()


def _delay_host_list(run: ConfigurationRun) -> None:
    run.testbed.delay_host_list()


ACTIONS: Mapping[Fault, Callable[[ConfigurationRun], None]] = {
    Fault.KILL: lambda run: run.testbed.kill(run.proposer),
    Fault.PAUSE: lambda run: run.testbed.pause(run.victim, run.rng.choice((1.0, 4.0))),
    Fault.PARTITION: lambda run: run.testbed.relays[run.victim].partition(),
    Fault.SILENT_CONNECTION: _silence,
    Fault.STORE_DOWN: lambda run: run.testbed.stop_store(),
    Fault.STORE_SLOW: lambda run: run.testbed.slow_store(run.rng.choice((0.3, 3.0))),
    Fault.ANSWER_LOST: lambda run: run.testbed.lose_store_answer(),
    Fault.OPERATORS_RACING: _race,
    Fault.HOST_LIST_LATE: _delay_host_list,
}


def cells(testbed: Testbed) -> dict[Cell, RunCell]:
    """Return the runnable cells in order of priority."""
    # Spread comes first: a store outage right after acceptance is the hardest case
    # for the target.
    steps = ("spread", *STEPS[PROTOCOL][:2], "apply")
    return occurring_cells(
        PROTOCOL, exclude, FAULT_PRIORITY, steps, functools.partial(_runner, testbed)
    )


def _runner(testbed: Testbed, step: str, fault: Fault) -> RunCell:
    def run(rng: random.Random) -> Outcome:
        testbed.end_host_list_delay()
        return ConfigurationRun(testbed, step, ACTIONS[fault], rng).run()

    return run
