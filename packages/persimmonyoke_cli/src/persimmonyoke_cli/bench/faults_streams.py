"""Faults at the steps of streamed completions, with clients that resume."""

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
from persimmonyoke_cli.bench.faults_world import Testbed
from persimmonyoke_testing.builders_deployment import CallerStream
from persimmonyoke_testing.engine import expected_text

PROTOCOL = "streams"
TOKENS = 40
MIDDLE_EVENT = 12
BACKGROUND_STREAMS = 2
MAX_ATTEMPTS = 8
RESEND_INTERVAL_S = 0.2
STALL_TIMEOUT_S = 15.0
"""A stream attempt that takes longer than this counts as stalled."""

FAULT_DURATION_S = 1.0
ENGINE_RESTART_S = 0.5
LONGEST_RUN_S = 30.0
CRASH_MARKER = "crash-marker"
MAX_CRASHES = 2
"""Engine crashes that one crashing request may cause over all hosts together."""

PAIR_DELAY_S = 0.5

FAULT_PRIORITY = (
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
    """Register the cells that can't occur, with the reason."""
    matrix.exclude(PROTOCOL, Fault.ANSWER_LOST, "streams write nothing to the store")
    matrix.exclude(PROTOCOL, Fault.LEASE_LAPSE, "streams hold no lease")


@dataclass
class StreamRun:
    """Read several streams and inject a fault at a step of the main one."""

    testbed: Testbed
    step: str
    inject: Callable[["StreamRun"], None]
    rng: random.Random
    injected_s: float = 0.0
    longest_gap_s: float = 0.0
    problems: list[str] = field(default_factory=list)
    host: str = ""
    last_refusal: str = ""

    def run(self) -> Outcome:
        """Execute the run and return its outcome."""
        testbed = self.testbed
        self.host = self.rng.choice(testbed.entries())
        tag = f"{self.rng.getrandbits(48):x}"
        background = [
            gevent.spawn(self._read, f"companion {number} of {tag}", main=False)
            for number in range(BACKGROUND_STREAMS)
        ]
        try:
            self._read(f"main stream {tag}", main=True)
            gevent.joinall(background)
        finally:
            testbed.heal()
        self._end_fault()
        testbed.restart_ended()
        self.problems += testbed.violations()
        missed = not self.injected_s
        return Outcome(tuple(self.problems), self.longest_gap_s, missed=missed)

    def inject_once(self) -> None:
        """Inject the fault on the first call; heal it after ``FAULT_DURATION_S``."""
        if not self.injected_s:
            self.injected_s = time.monotonic()
            self.inject(self)
            gevent.spawn_later(FAULT_DURATION_S, self.testbed.heal)

    def _read(self, prompt: str, *, main: bool) -> None:
        """Read a completion to its end; resume it at a random host when interrupted."""
        expected = expected_text(prompt, TOKENS)
        text, last_id, host = "", None, self.host if main else None
        for attempt in range(MAX_ATTEMPTS):
            name = host if attempt == 0 and host else self._next_host()
            try:
                with gevent.Timeout(STALL_TIMEOUT_S):
                    stream = self._open(name, prompt, last_id, main, attempt)
                    received, finished = self._read_one(stream, main, attempt)
            except (HTTPError, OSError):
                gevent.sleep(RESEND_INTERVAL_S)
                continue
            except gevent.Timeout:
                self.problems.append(
                    f"no progress for {STALL_TIMEOUT_S:g} s after {len(text)}"
                )
                return
            # Without an event id, nothing was received that could be resumed.
            text += received
            last_id = stream.last_event_id
            if not expected.startswith(text):
                self.problems.append(f"crossed or repeated text: {text[-60:]!r}")
                return
            if finished and text == expected:
                return
            if finished:
                self.problems.append(f"finished with {len(text)} of {len(expected)}")
                return
            gevent.sleep(RESEND_INTERVAL_S)
        self.problems.append(
            f"gave up with {len(text)} of {len(expected)} characters: "
            f"{self.last_refusal}"
        )

    def _open(
        self, name: str, prompt: str, last_id: str | None, main: bool, attempt: int
    ) -> CallerStream:
        opening = gevent.spawn(
            CallerStream,
            self.testbed.url(name),
            self.testbed.firm,
            prompt=prompt,
            max_tokens=TOKENS,
            last_event_id=last_id,
        )
        if main and self.step == "start" and attempt == 0:
            # The engine needs a prefill and one decode step before the first token.
            gevent.sleep(self.rng.uniform(0.0, 0.03))
            self.inject_once()
        if main and self.step == "resume" and attempt == 1:
            gevent.sleep(self.rng.uniform(0.0, 0.03))
            self.inject_once()
        opening.join()
        if not opening.successful():
            raise HTTPError("connection failed")
        return opening.value

    def _read_one(
        self, stream: CallerStream, main: bool, attempt: int
    ) -> tuple[str, bool]:
        if stream.status != 200:
            self.last_refusal = f"{stream.status} {stream._answer.data[:200]!r}"
            raise HTTPError(self.last_refusal)
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
            if main and attempt == 0 and self._handle_event(events):
                stream.close()
                return stream.text, False

    def _handle_event(self, events: int) -> bool:
        """Inject the fault at the event of the step; return whether to disconnect."""
        if self.step == "stream" and events == MIDDLE_EVENT:
            self.inject_once()
        if self.step == "finish" and events == TOKENS - 2:
            self.inject_once()
        return self.step == "resume" and events == MIDDLE_EVENT

    def _next_host(self) -> str:
        return self.rng.choice(self.testbed.entries())

    def _end_fault(self) -> None:
        for engine in self.testbed.platform.engines:
            engine.faults.crash_marker = None
            engine.faults.restart_after_s = None
        self.testbed.end_host_list_delay()


def _busy_engines(run: StreamRun) -> list:
    """Return the engines that run sequences, or else one running engine."""
    engines = [e for e in run.testbed.platform.engines if e.running]
    busy = [e for e in engines if e.core.state()["running_sequences"]]
    return busy or engines[:1]


def _crash(run: StreamRun) -> None:
    engine = run.rng.choice(_busy_engines(run))
    engine.crash()


def _silence(run: StreamRun) -> None:
    for engine in _busy_engines(run):
        engine.silence_open_connections()


def _partition(run: StreamRun) -> None:
    for engine in _busy_engines(run):
        run.testbed.relays[engine.name].partition()


def _store_down(run: StreamRun) -> None:
    run.testbed.platform.key_value.set_down(True)


def _host_list_late(run: StreamRun) -> None:
    run.testbed.delay_host_list()
    _crash(run)


def _crashing_request(run: StreamRun) -> None:
    """Send a request that crashes engines up to six times, through several hosts."""
    engines = run.testbed.platform.engines
    for engine in engines:
        engine.faults.crash_marker = CRASH_MARKER
        engine.faults.restart_after_s = ENGINE_RESTART_S
    before = sum(engine.record.counts["crashes"] for engine in engines)
    prompt = f"{CRASH_MARKER} {run.rng.getrandbits(48):x}"
    statuses = []
    for name in (run.testbed.entries() * 2)[:6]:
        try:
            stream = CallerStream(
                run.testbed.url(name), run.testbed.firm, prompt=prompt, max_tokens=4
            )
            statuses.append(stream.status)
            if stream.status == 200:
                stream.read()
        except (HTTPError, OSError):
            statuses.append(0)
    crashes = sum(engine.record.counts["crashes"] for engine in engines) - before
    if crashes > MAX_CRASHES:
        run.problems.append(f"one request crashed {crashes} engines: {statuses}")


def _no_op(run: StreamRun) -> None:
    """Do nothing: the fault is a setting of the whole testbed."""


ACTIONS: Mapping[Fault, Callable[[StreamRun], None]] = {
    Fault.KILL: lambda run: run.testbed.kill(run.host),
    Fault.PAUSE: lambda run: run.testbed.pause(run.host, run.rng.choice((1.0, 4.5))),
    Fault.ENGINE_CRASH: _crash,
    Fault.SILENT_CONNECTION: _silence,
    Fault.PARTITION: _partition,
    Fault.STORE_DOWN: _store_down,
    Fault.CRASHING_REQUEST: _crashing_request,
    Fault.STORE_SLOW: lambda run: run.testbed.slow_store(3.0),
    Fault.OPERATORS_RACING: lambda run: race_operators(run.testbed),
    Fault.HOST_LIST_LATE: _host_list_late,
    Fault.CACHE_EVENTS_LOST: _no_op,
    Fault.LOAD_LATE: _no_op,
}


# A partition needs relays, and a crashing request blocks the injection until it ends.
UNPAIRED_FAULTS = (Fault.PARTITION, Fault.CRASHING_REQUEST, Fault.LOAD_LATE)
PAIRED_FAULTS = tuple(fault for fault in ACTIONS if fault not in UNPAIRED_FAULTS)


def cells(testbed: Testbed) -> dict[Cell, RunCell]:
    """Return the runnable cells in order of priority."""
    return {
        Cell(PROTOCOL, step, fault): _runner(testbed, step, fault)
        for fault in FAULT_PRIORITY
        for step in STEPS[PROTOCOL]
    }


def partition_cells(testbed: Testbed) -> dict[Cell, RunCell]:
    """Return the cells that need relays to the engines.

    A relay also accepts connections for an engine that is down, which hides a crash
    of the engine. So all other cells run without relays.
    """
    found = cells(testbed)
    return {cell: run for cell, run in found.items() if cell.fault is Fault.PARTITION}


def direct_cells(testbed: Testbed) -> dict[Cell, RunCell]:
    """Return the cells that don't need relays to the engines."""
    found = cells(testbed)
    return {c: run for c, run in found.items() if c.fault is not Fault.PARTITION}


def _runner(testbed: Testbed, step: str, fault: Fault) -> RunCell:
    def run(rng: random.Random) -> Outcome:
        return StreamRun(testbed, step, ACTIONS[fault], rng).run()

    return run


def run_pair(testbed: Testbed, rng: random.Random) -> Outcome:
    """Run one step with two faults, the second injected shortly after the first."""
    step, delay_s = rng.choice(STEPS[PROTOCOL]), rng.uniform(0.0, PAIR_DELAY_S)
    inject = draw_pair(ACTIONS, PAIRED_FAULTS, delay_s, rng)
    testbed.end_host_list_delay()
    return StreamRun(testbed, step, inject, rng).run()
