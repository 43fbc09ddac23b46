"""Faults at the steps of a graceful shutdown, and planned changes, under load."""

import random
import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import gevent

from persimmonyoke_cli.bench.faults_configuration import choose
from persimmonyoke_cli.bench.faults_load import Load
from persimmonyoke_cli.bench.faults_matrix import (
    STEPS,
    Cell,
    Fault,
    Matrix,
    Outcome,
    RunCell,
)
from persimmonyoke_cli.bench.faults_world import Testbed

PROTOCOL = "shutdown"
MAX_AGE_S = 0.5
MARGIN_S = 0.2
SHUTDOWN = {"max_age_s": MAX_AGE_S, "margin_s": MARGIN_S, "hard_limit_s": 30.0}
LEAVING_LIMIT_S = 3.0
EXIT_TIMEOUT_S = 25.0
FAULT_DURATION_S = 1.0
LONGEST_RUN_S = 30.0
WARM_UP_S = 0.5

FAULT_PRIORITY = (
    Fault.KILL,
    Fault.PAUSE,
    Fault.STORE_DOWN,
    Fault.ENGINE_CRASH,
    Fault.ANSWER_LOST,
    Fault.STORE_SLOW,
    Fault.PARTITION,
    Fault.SILENT_CONNECTION,
    Fault.HOST_LIST_LATE,
    Fault.OPERATORS_RACING,
    Fault.LOAD_LATE,
    Fault.CACHE_EVENTS_LOST,
)


def exclude(matrix: Matrix) -> None:
    """Register the cells that can't occur, with the reason."""
    matrix.exclude(PROTOCOL, Fault.LEASE_LAPSE, "entry hosts hold no lease")


@dataclass
class ShutdownRun:
    """Shut one host down gracefully under load and inject a fault meanwhile."""

    testbed: Testbed
    step: str
    inject: Callable[["ShutdownRun"], None]
    rng: random.Random
    leaving_host: str = ""
    other_host: str = ""
    killed: set[str] = field(default_factory=set)

    def run(self) -> Outcome:
        """Execute the run and return its outcome."""
        testbed = self.testbed
        self.leaving_host, self.other_host = self.rng.sample(testbed.entries(), 2)
        load = Load(testbed, self.rng)
        load.is_excused = lambda url: url in {testbed.url(name) for name in self.killed}
        gevent.sleep(WARM_UP_S)
        started_s = time.monotonic()
        testbed.processes[self.leaving_host].send(signal.SIGTERM)
        gevent.sleep(self._delay_s())
        missed = not testbed.is_running(self.leaving_host)
        self.inject(self)
        healer = gevent.spawn_later(FAULT_DURATION_S, testbed.heal)
        problems = self._wait_exit()
        elapsed_s = time.monotonic() - started_s
        healer.join()
        load.stop()
        testbed.end_host_list_delay()
        problems += load.interrupted + testbed.violations()
        testbed.restart_ended()
        gevent.sleep(0.3)
        return Outcome(tuple(problems), elapsed_s, missed=missed)

    def _delay_s(self) -> float:
        drain_s = MAX_AGE_S + MARGIN_S
        if self.step == "drain":
            return self.rng.uniform(0.0, 0.3)
        if self.step == "close":
            return drain_s + self.rng.uniform(-0.05, 0.05)
        return drain_s + self.rng.uniform(0.05, 0.4)

    def _wait_exit(self) -> list[str]:
        end_s = time.monotonic() + EXIT_TIMEOUT_S
        while self.testbed.is_running(self.leaving_host):
            if time.monotonic() > end_s:
                return [f"{self.leaving_host} did not exit in {EXIT_TIMEOUT_S:g} s"]
            gevent.sleep(0.02)
        status = self.testbed.processes[self.leaving_host].wait()
        return [] if status == 0 else [f"{self.leaving_host} exited with {status}"]


def _kill(run: ShutdownRun) -> None:
    run.killed.add(run.other_host)
    run.testbed.kill(run.other_host)


def _crash(run: ShutdownRun) -> None:
    run.rng.choice([e for e in run.testbed.platform.engines if e.running]).crash()


def _silence(run: ShutdownRun) -> None:
    run.rng.choice(run.testbed.platform.engines).silence_open_connections()


def _delay_host_list(run: ShutdownRun) -> None:
    run.testbed.delay_host_list()


def _race(run: ShutdownRun) -> None:
    newest = run.testbed.platform.revisions().newest()
    preset = "peak" if newest.active == "ordinary" else "ordinary"
    for name in (run.leaving_host, run.other_host):
        options = {"base_number": newest.number, "reason": f"race at {name}"}
        gevent.spawn(choose, run.testbed, name, preset, **options)


def _no_op(run: ShutdownRun) -> None:
    """Do nothing: the fault is a setting of the whole testbed."""


ACTIONS: Mapping[Fault, Callable[[ShutdownRun], None]] = {
    Fault.KILL: _kill,
    Fault.PAUSE: lambda run: run.testbed.pause(run.leaving_host, 1.0),
    Fault.STORE_DOWN: lambda run: run.testbed.platform.key_value.set_down(True),
    Fault.ENGINE_CRASH: _crash,
    Fault.ANSWER_LOST: lambda run: run.testbed.lose_store_answer(),
    Fault.STORE_SLOW: lambda run: run.testbed.slow_store(3.0),
    Fault.PARTITION: lambda run: run.testbed.relays[run.leaving_host].partition(),
    Fault.SILENT_CONNECTION: _silence,
    Fault.HOST_LIST_LATE: _delay_host_list,
    Fault.OPERATORS_RACING: _race,
    Fault.LOAD_LATE: _no_op,
    Fault.CACHE_EVENTS_LOST: _no_op,
}


def cells(testbed: Testbed) -> dict[Cell, RunCell]:
    """Return the runnable cells in order of priority."""
    return {
        Cell(PROTOCOL, step, fault): _runner(testbed, step, fault)
        for fault in FAULT_PRIORITY
        for step in STEPS[PROTOCOL]
    }


def _runner(testbed: Testbed, step: str, fault: Fault) -> RunCell:
    def run(rng: random.Random) -> Outcome:
        return ShutdownRun(testbed, step, ACTIONS[fault], rng).run()

    return run


# Planned changes


def run_planned(testbed: Testbed, rng: random.Random) -> dict[str, list[str]]:
    """Make each planned change under load; return the violations by its name."""
    changes: Mapping[str, Callable[[Testbed], list[str]]] = {
        "rolling_replacement": _replace_all,
        "maintenance_preset": _choose_maintenance,
        "engine_withdrawal": _withdraw_engine,
    }
    found = {}
    for name, change in changes.items():
        load = Load(testbed, rng)
        gevent.sleep(WARM_UP_S)
        problems = change(testbed)
        load.stop()
        found[name] = problems + load.interrupted + testbed.violations()
        print(f"planned {name}: {dict(load.counts)}, {len(found[name])} violations")
    return found


def _replace_all(testbed: Testbed) -> list[str]:
    problems = []
    for name in testbed.entries():
        testbed.processes[name].send(signal.SIGTERM)
        while testbed.is_running(name):
            gevent.sleep(0.02)
        status = testbed.processes[name].wait()
        if status != 0:
            problems.append(f"{name} exited with {status}")
        testbed.restart_ended()
        gevent.sleep(1.0)
    return problems


def _choose_maintenance(testbed: Testbed) -> list[str]:
    problems = []
    for preset in ("maintenance", "ordinary"):
        number = testbed.platform.revisions().newest().number
        answer = choose(
            testbed, testbed.entries()[0], preset, base_number=number, reason="planned"
        )
        if answer is None or answer.status != 200:
            problems.append(f"{preset} was not accepted")
        gevent.sleep(2.0)
    return problems


def _withdraw_engine(testbed: Testbed) -> list[str]:
    """Mark an engine as leaving; after 3 s it must not receive new requests."""
    engine = testbed.platform.engines[0]
    testbed.platform.host_list.mark_leaving(engine.name)
    # A host sees the mark at the earliest with its next poll of the host list, so
    # 1 s is added for the poll.
    gevent.sleep(1.0 + LEAVING_LIMIT_S)
    before = len(engine.record.requests)
    gevent.sleep(3.0)
    late = len(engine.record.requests) - before
    return [f"{late} requests later than 3 s"] if late else []
