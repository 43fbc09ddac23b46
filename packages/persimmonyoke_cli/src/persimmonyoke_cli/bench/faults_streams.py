"""Faults at the steps of streamed completions, with callers that resume."""

import random
import time
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
)
from persimmonyoke_cli.bench.faults_world import World
from persimmonyoke_testing.builders_deployment import CallerStream
from persimmonyoke_testing.engine import expected_text

PROTOCOL = "streams"
TOKENS = 40
MIDDLE = 12
COMPANIONS = 2
MAX_ATTEMPTS = 8
RESEND_S = 0.2
STALL_S = 15.0
"""A caller that got nothing for this long counts as stalled for ever."""

FAULT_S = 1.0
RESTART_S = 0.5
LONGEST_RUN_S = 30.0
CRASH_MARKER = "crash-marker"
MAX_CRASHES = 2
"""Engine crashes that one crashing request may cause over all hosts."""

PAIR_DELAY_S = 0.5

ORDER = (
    Fault.KILL,
    Fault.PAUSE,
    Fault.ENGINE_CRASH,
    Fault.SILENT_CONNECTION,
    Fault.PARTITION,
    Fault.STORE_DOWN,
    Fault.CRASHING_REQUEST,
    Fault.STORE_SLOW,
    Fault.OPERATORS_RACING,
    Fault.HOST_LIST_LATE,
    Fault.CACHE_EVENTS_LOST,
    Fault.LOAD_LATE,
)


def exclude(matrix: Matrix) -> None:
    """Note the cells that can't occur."""
    matrix.exclude(PROTOCOL, Fault.ANSWER_LOST, "streams write nothing to the store")
    matrix.exclude(PROTOCOL, Fault.LEASE_LAPSE, "streams hold no lease")


@dataclass
class StreamRun:
    """Read streams while a fault acts at a step of one of them."""

    world: World
    step: str
    act: Callable[["StreamRun"], None]
    rng: random.Random
    fired_s: float = 0.0
    longest_gap_s: float = 0.0
    problems: list[str] = field(default_factory=list)
    host: str = ""
    refused: str = ""

    def run(self) -> Outcome:
        """Return what the run showed."""
        world = self.world
        self.host = self.rng.choice(world.entries())
        tag = f"{self.rng.getrandbits(48):x}"
        companions = [
            gevent.spawn(self._read, f"companion {number} of {tag}", main=False)
            for number in range(COMPANIONS)
        ]
        try:
            self._read(f"main stream {tag}", main=True)
            gevent.joinall(companions)
        finally:
            world.heal()
        self._end_fault()
        world.restart_ended()
        self.problems += world.violations()
        missed = not self.fired_s
        return Outcome(tuple(self.problems), self.longest_gap_s, missed=missed)

    def fire(self) -> None:
        """Act once and let the fault end after a while."""
        if not self.fired_s:
            self.fired_s = time.monotonic()
            self.act(self)
            gevent.spawn_later(FAULT_S, self.world.heal)

    def _read(self, prompt: str, *, main: bool) -> None:
        """Read one completion to its end, resuming at other hosts."""
        expected = expected_text(prompt, TOKENS)
        text, last_id, host = "", None, self.host if main else None
        for attempt in range(MAX_ATTEMPTS):
            name = host if attempt == 0 and host else self._next_host()
            try:
                with gevent.Timeout(STALL_S):
                    stream = self._open(name, prompt, last_id, main, attempt)
                    begun, finished = self._read_one(stream, main, attempt)
            except (HTTPError, OSError):
                gevent.sleep(RESEND_S)
                continue
            except gevent.Timeout:
                self.problems.append(f"no progress for {STALL_S:g} s after {len(text)}")
                return
            # Without an event id nothing was delivered that could be continued.
            text += begun
            last_id = stream.last_event_id
            if not expected.startswith(text):
                self.problems.append(f"crossed or repeated text: {text[-60:]!r}")
                return
            if finished and text == expected:
                return
            if finished:
                self.problems.append(f"finished with {len(text)} of {len(expected)}")
                return
            gevent.sleep(RESEND_S)
        self.problems.append(
            f"gave up with {len(text)} of {len(expected)} characters: {self.refused}"
        )

    def _open(
        self, name: str, prompt: str, last_id: str | None, main: bool, attempt: int
    ) -> CallerStream:
        opening = gevent.spawn(
            CallerStream,
            self.world.url(name),
            self.world.firm,
            prompt=prompt,
            max_tokens=TOKENS,
            last_event_id=last_id,
        )
        if main and self.step == "start" and attempt == 0:
            # The engine has a prefill and one step to do before the first token.
            gevent.sleep(self.rng.uniform(0.0, 0.03))
            self.fire()
        if main and self.step == "resume" and attempt == 1:
            gevent.sleep(self.rng.uniform(0.0, 0.03))
            self.fire()
        opening.join()
        if not opening.successful():
            raise HTTPError("connection failed")
        return opening.value

    def _read_one(
        self, stream: CallerStream, main: bool, attempt: int
    ) -> tuple[str, bool]:
        if stream.status != 200:
            self.refused = f"{stream.status} {stream._answer.data[:200]!r}"
            raise HTTPError(self.refused)
        events = 0
        last_s = time.monotonic()
        while True:
            before = len(stream.text)
            stream.read(events=1)
            now_s = time.monotonic()
            self.longest_gap_s = max(self.longest_gap_s, now_s - last_s)
            last_s = now_s
            events += 1
            if stream.finished or len(stream.text) == before:
                return stream.text, stream.finished
            if main and attempt == 0 and self._leaves(events):
                stream.close()
                return stream.text, False

    def _leaves(self, events: int) -> bool:
        """Fire at the event of the step; return whether the caller disconnects."""
        if self.step == "stream" and events == MIDDLE:
            self.fire()
        if self.step == "finish" and events == TOKENS - 2:
            self.fire()
        return self.step == "resume" and events == MIDDLE

    def _next_host(self) -> str:
        return self.rng.choice(self.world.entries())

    def _end_fault(self) -> None:
        for engine in self.world.platform.engines:
            engine.faults.crash_marker = None
            engine.faults.restart_after_s = None
        self.world.end_host_list_delay()


def _busy(run: StreamRun) -> list:
    """Return the engines that run sequences, or any one."""
    engines = [e for e in run.world.platform.engines if e.running]
    busy = [e for e in engines if e.core.state()["running_sequences"]]
    return busy or engines[:1]


def _crash(run: StreamRun) -> None:
    engine = run.rng.choice(_busy(run))
    engine.crash()


def _silence(run: StreamRun) -> None:
    for engine in _busy(run):
        engine.silence_open_connections()


def _partition(run: StreamRun) -> None:
    for engine in _busy(run):
        run.world.relays[engine.name].partition()


def _store_down(run: StreamRun) -> None:
    run.world.platform.key_value.set_down(True)


def _host_list_late(run: StreamRun) -> None:
    run.world.delay_host_list()
    _crash(run)


def _crashing_request(run: StreamRun) -> None:
    """Send a request that crashes engines, and resend it five times."""
    engines = run.world.platform.engines
    for engine in engines:
        engine.faults.crash_marker = CRASH_MARKER
        engine.faults.restart_after_s = RESTART_S
    before = sum(engine.record.counts["crashes"] for engine in engines)
    prompt = f"{CRASH_MARKER} {run.rng.getrandbits(48):x}"
    statuses = []
    for name in (run.world.entries() * 2)[:6]:
        try:
            stream = CallerStream(
                run.world.url(name), run.world.firm, prompt=prompt, max_tokens=4
            )
            statuses.append(stream.status)
            if stream.status == 200:
                stream.read()
        except (HTTPError, OSError):
            statuses.append(0)
    crashes = sum(engine.record.counts["crashes"] for engine in engines) - before
    if crashes > MAX_CRASHES:
        run.problems.append(f"one request crashed {crashes} engines: {statuses}")


def _nothing(run: StreamRun) -> None:
    """Leave the stand-ins alone: the fault is a setting of the whole world."""


ACTIONS: Mapping[Fault, Callable[[StreamRun], None]] = {
    Fault.KILL: lambda run: run.world.kill(run.host),
    Fault.PAUSE: lambda run: run.world.pause(run.host, run.rng.choice((1.0, 4.5))),
    Fault.ENGINE_CRASH: _crash,
    Fault.SILENT_CONNECTION: _silence,
    Fault.PARTITION: _partition,
    Fault.STORE_DOWN: _store_down,
    Fault.CRASHING_REQUEST: _crashing_request,
    Fault.STORE_SLOW: lambda run: run.world.slow_store(3.0),
    Fault.OPERATORS_RACING: lambda run: race_operators(run.world),
    Fault.HOST_LIST_LATE: _host_list_late,
    Fault.CACHE_EVENTS_LOST: _nothing,
    Fault.LOAD_LATE: _nothing,
}


# A partition needs relays, and a crashing request takes its time at the hook.
UNPAIRED = (Fault.PARTITION, Fault.CRASHING_REQUEST, Fault.LOAD_LATE)
PAIRED = tuple(fault for fault in ACTIONS if fault not in UNPAIRED)


def cells(world: World) -> dict[Cell, RunCell]:
    """Return the cells, the most important ones first."""
    return {
        Cell(PROTOCOL, step, fault): _runner(world, step, fault)
        for fault in ORDER
        for step in STEPS[PROTOCOL]
    }


def partition_cells(world: World) -> dict[Cell, RunCell]:
    """Return the cells that need relays to the engines.

    A relay accepts connections also for an engine that is down, so that a crash
    behind it does not look like one; all other cells run without relays.
    """
    found = cells(world)
    return {cell: run for cell, run in found.items() if cell.fault is Fault.PARTITION}


def direct_cells(world: World) -> dict[Cell, RunCell]:
    """Return the cells that need no relays."""
    found = cells(world)
    return {c: run for c, run in found.items() if c.fault is not Fault.PARTITION}


def _runner(world: World, step: str, fault: Fault) -> RunCell:
    def run(rng: random.Random) -> Outcome:
        return StreamRun(world, step, ACTIONS[fault], rng).run()

    return run


def run_pair(world: World, rng: random.Random) -> Outcome:
    """Run one step under two faults, the second shortly after the first."""
    step, delay_s = rng.choice(STEPS[PROTOCOL]), rng.uniform(0.0, PAIR_DELAY_S)
    act = draw_pair(ACTIONS, PAIRED, delay_s, rng)
    world.end_host_list_delay()
    return StreamRun(world, step, act, rng).run()
