"""Faults at the steps of a change of the configuration on seven hosts."""

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
from persimmonyoke_cli.bench.faults_world import World
from persimmonyoke_testing.builders_deployment import CallAnswer, call

PROTOCOL = "configuration"
IN_FORCE_S = 5.0
"""Bound of the invariant; the target of 2 s is one of the 99th percentile."""

SETTLE_TIMEOUT_S = 20.0
POLL_S = 0.03
FAULT_S = 1.5
HISTORY_LIMIT = 20
HISTORY_ATTEMPTS = 6
LONGEST_RUN_S = 30.0

ORDER = (
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
    """Note the cells that can't occur."""
    matrix.exclude(
        PROTOCOL, Fault.ANSWER_LOST, "writes nothing", steps=("spread", "apply")
    )
    matrix.exclude(PROTOCOL, Fault.LEASE_LAPSE, "revisions are not under a lease")
    matrix.exclude(PROTOCOL, Fault.LOAD_LATE, "uses no load reports")
    matrix.exclude(PROTOCOL, Fault.CACHE_EVENTS_LOST, "uses no cache events")
    matrix.exclude(PROTOCOL, Fault.ENGINE_CRASH, "engines take no part")
    matrix.exclude(PROTOCOL, Fault.CRASH_IN_CHANGE, "engines take no part")
    matrix.exclude(PROTOCOL, Fault.CRASHING_REQUEST, "requests take no part")


def race_operators(world: World) -> None:
    """Let operators at two entry hosts change the same revision at once."""
    for name in world.entries()[:2]:
        gevent.spawn(_choose_other, world, name)


def _choose_other(world: World, name: str) -> None:
    try:
        newest = world.platform.revisions().newest()
    except StoreUnavailable:
        # The other fault of a pair took the store away: there is nothing to race on.
        return
    preset = "peak" if newest.active == "ordinary" else "ordinary"
    choose(world, name, preset, base_number=newest.number, reason=f"race at {name}")


def choose(
    world: World, name: str, preset: str, *, base_number: int, reason: str
) -> CallAnswer | None:
    """Choose a preset through a host; return its answer, ``None`` if it was cut."""
    body = {
        "action": "choose",
        "preset": preset,
        "reason": reason,
        "base_number": base_number,
    }
    url = f"{world.operators_url(name)}/operators/changes"
    try:
        return call("POST", url, key=world.firm.operator_token, body=body)
    except (HTTPError, OSError):
        return None


class Observer:
    """Poll the revision in force on each host and note each step back."""

    def __init__(self, world: World) -> None:
        self.numbers: dict[str, int] = {}
        self.problems: list[str] = []
        self._world = world
        self._tasks = [gevent.spawn(self._poll, name) for name in world.entries()]

    def stop(self) -> None:
        """End polling."""
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
            gevent.sleep(POLL_S)


@dataclass
class ConfigurationRun:
    """Make one change, inject a fault at a step and wait until it is in force."""

    world: World
    step: str
    act: Callable[["ConfigurationRun"], None]
    rng: random.Random
    fired_s: float = 0.0
    problems: list[str] = field(default_factory=list)
    rival: gevent.Greenlet | None = None

    def run(self) -> Outcome:
        """Return what the run showed."""
        world = self.world
        log = world.platform.revisions()
        base = log.newest()
        self.base_number = base.number
        self.other = "peak" if base.active == "ordinary" else "ordinary"
        names = world.entries()
        self.proposer, self.victim = self.rng.sample(names, 2)
        self.reason = f"run {self.rng.getrandbits(48):x}"
        observer = Observer(world)
        world.listener = self._listen
        try:
            answer = self._propose()
            accepted_s = time.monotonic()
            world.listener = None
            accepted = answer is not None and answer.status == 200
            self._fire_after(accepted)
            healer = gevent.spawn_later(FAULT_S, world.heal)
            recovery_s = self._wait(observer, accepted, accepted_s)
            healer.join()
            self._check(answer, log)
        finally:
            world.listener = None
            world.heal()
            observer.stop()
        if self.rival is not None:
            self.rival.join()
        world.restart_ended()
        gevent.sleep(0.2)
        problems = self.problems + observer.problems + world.violations()
        return Outcome(tuple(problems), recovery_s, missed=not self.fired_s)

    def _propose(self) -> CallAnswer | None:
        task = gevent.spawn(
            choose,
            self.world,
            self.proposer,
            self.other,
            base_number=self.base_number,
            reason=self.reason,
        )
        task.join(timeout=FAULT_S)
        if not task.ready():
            self.world.heal()
        return task.get(timeout=SETTLE_TIMEOUT_S)

    def _listen(self, point: str, detail: str) -> None:
        step = {"write": "propose", "written": "accept"}.get(point)
        if "/config/" in detail and step == self.step and not self.fired_s:
            self._fire()

    def _fire(self) -> None:
        self.fired_s = time.monotonic()
        self.act(self)

    def _fire_after(self, accepted: bool) -> None:
        if self.fired_s or not accepted:
            return
        if self.step == "apply":
            gevent.sleep(self.rng.uniform(0.0, 0.1))
        self._fire()

    def _wait(self, observer: Observer, accepted: bool, accepted_s: float) -> float:
        """Wait until all hosts have the newest revision; return the seconds."""
        # A host that was killed or stopped can take a revision only afterwards.
        excused = {self.proposer, self.victim} if self.excuses() else set()
        names = [name for name in self.world.entries() if name not in excused]
        number = self.base_number + 1
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        while accepted and any(observer.numbers.get(n, 0) < number for n in names):
            if time.monotonic() > end_s:
                self.problems.append(f"revision {number} not everywhere")
                return SETTLE_TIMEOUT_S
            gevent.sleep(POLL_S)
        if not accepted:
            return 0.0
        recovery_s = time.monotonic() - accepted_s
        if recovery_s > IN_FORCE_S:
            self.problems.append(f"in force after {recovery_s:.1f} s")
        return recovery_s

    def excuses(self) -> bool:
        """Return whether the fault stops hosts."""
        return self.act in (ACTIONS[Fault.KILL], ACTIONS[Fault.PAUSE])

    def _check(self, answer: CallAnswer | None, log: RevisionLog) -> None:
        if self.rival is not None:
            self.rival.join()
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
    """Read the newest revisions; connections of the bench may have stalled too."""
    for _ in range(HISTORY_ATTEMPTS - 1):
        try:
            return log.history(HISTORY_LIMIT)
        except StoreUnavailable:
            gevent.sleep(POLL_S)
    return log.history(HISTORY_LIMIT)


def _race(run: ConfigurationRun) -> None:
    run.rival = gevent.spawn(
        choose,
        run.world,
        run.victim,
        "maintenance",
        base_number=run.base_number,
        reason=f"rival of {run.reason}",
    )


def _silence(run: ConfigurationRun) -> None:
    run.world.platform.key_value.stall_open_connections()


def _late(run: ConfigurationRun) -> None:
    run.world.delay_host_list()


ACTIONS: Mapping[Fault, Callable[[ConfigurationRun], None]] = {
    Fault.KILL: lambda run: run.world.kill(run.proposer),
    Fault.PAUSE: lambda run: run.world.pause(run.victim, run.rng.choice((1.0, 4.0))),
    Fault.PARTITION: lambda run: run.world.relays[run.victim].partition(),
    Fault.SILENT_CONNECTION: _silence,
    Fault.STORE_DOWN: lambda run: run.world.stop_store(),
    Fault.STORE_SLOW: lambda run: run.world.slow_store(run.rng.choice((0.3, 3.0))),
    Fault.ANSWER_LOST: lambda run: run.world.lose_store_answer(),
    Fault.OPERATORS_RACING: _race,
    Fault.HOST_LIST_LATE: _late,
}


def cells(world: World) -> dict[Cell, RunCell]:
    """Return the cells, the most important ones first."""
    # The store down right after acceptance is the harshest case of the target.
    steps = ("spread", *STEPS[PROTOCOL][:2], "apply")
    return occurring_cells(
        PROTOCOL, exclude, ORDER, steps, functools.partial(_runner, world)
    )


def _runner(world: World, step: str, fault: Fault) -> RunCell:
    def run(rng: random.Random) -> Outcome:
        world.end_host_list_delay()
        return ConfigurationRun(world, step, ACTIONS[fault], rng).run()

    return run
