"""Faults at the steps of the authority lease and of orders, with two controllers."""

import functools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import cbor2
import gevent

from persimmonyoke.internal.authority.record import OrderRecord, decode_record
from persimmonyoke.internal.presets import Accepted, Change, ChangeAction
from persimmonyoke_cli.bench.faults_configuration import choose
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

PROTOCOL = "authority"
LEASE_S = 2.0
RECOVERY_LIMIT_S = LEASE_S + 5.0
STEP_TIMEOUT_S = 12.0
LOADED_TIMEOUT_S = 25.0
FAULT_DURATION_S = 1.5
POLL_INTERVAL_S = 0.02
RESUME_MARGIN_S = 0.3
LONGEST_RUN_S = 45.0
HOLDER_ENDING_FAULTS = (Fault.KILL, Fault.LEASE_LAPSE)

FAULT_PRIORITY = (
    Fault.KILL,
    Fault.PAUSE,
    Fault.LEASE_LAPSE,
    Fault.STORE_DOWN,
    Fault.ANSWER_LOST,
    Fault.PARTITION,
    Fault.ENGINE_CRASH,
    Fault.SILENT_CONNECTION,
    Fault.STORE_SLOW,
    Fault.HOST_LIST_LATE,
    Fault.OPERATORS_RACING,
)


def exclude(matrix: Matrix) -> None:
    """Register the cells that can't occur, with the reason."""
    matrix.exclude(
        PROTOCOL, Fault.ANSWER_LOST, "writes no key", steps=("renew", "send", "confirm")
    )
    matrix.exclude(PROTOCOL, Fault.CACHE_EVENTS_LOST, "uses no cache events")
    matrix.exclude(PROTOCOL, Fault.LOAD_LATE, "uses no load reports")
    matrix.exclude(PROTOCOL, Fault.CRASHING_REQUEST, "requests take no part")


class AuthorityProbe:
    """Read the lease, the order record and the orders that one pool received."""

    def __init__(self, testbed: Testbed) -> None:
        firm = testbed.firm
        self.pool = firm.engine_pool
        self.lease_key = f"/persimmonyoke/{firm.name}/authority/{self.pool}"
        self.record_key = f"/persimmonyoke/{firm.name}/orders/{self.pool}"
        self._world = testbed
        self._state = testbed.platform.key_value.state
        self._seen = {e.name: len(e.record.orders) for e in testbed.platform.engines}

    def holder(self) -> str | None:
        """Return the holder of the lease according to the store."""
        item = self._state.get(self.lease_key)
        return None if item is None else str(cbor2.loads(item.value)["holder"])

    def record(self) -> OrderRecord:
        """Return the order record."""
        item = self._state.get(self.record_key)
        return OrderRecord() if item is None else decode_record(item.value)

    def problems(self) -> list[str]:
        """Return orders that conflicted, ran twice or took effect while stale."""
        found = []
        for engine in self._world.platform.engines:
            orders = list(engine.record.orders)[self._seen[engine.name] :]
            for order in orders:
                if order.effect == "taken" and order.stale:
                    found.append(f"{engine.name} took stale order {order.order_id}")
                if order.conflicting and not order.stale:
                    found.append(f"{engine.name} got conflicting {order.order_id}")
            taken = [o.order_id for o in orders if o.effect == "taken"]
            if len(set(taken)) != len(taken):
                found.append(f"{engine.name} took an order twice")
        return found


@dataclass
class AuthorityRun:
    """Add a model, inject a fault at a step, then wait for a holder and the model."""

    testbed: Testbed
    step: str
    fault: Fault
    rng: random.Random
    injected_s: float = 0.0
    victim: str = ""
    writer: str = ""
    ordered: bool = False
    resumed_s: float = 0.0
    problems: list[str] = field(default_factory=list)

    def run(self) -> Outcome:
        """Execute the run and return its outcome."""
        testbed = self.testbed
        self.probe = AuthorityProbe(testbed)
        # A controller that is still starting can't take over the lease.
        self._wait(testbed.controllers_started, "two controllers at the start")
        self._wait(lambda: self.probe.holder() is not None, "a holder at the start")
        self.inject_before = self.rng.random() < 0.5
        self.model = f"model-{self.rng.getrandbits(32):08x}"
        testbed.listener = self._on_point
        try:
            if self.step == "acquire":
                testbed.kill(self.probe.holder())
            self._add_model()
            end_s = time.monotonic() + STEP_TIMEOUT_S
            while not self.injected_s and time.monotonic() < end_s:
                gevent.sleep(POLL_INTERVAL_S)
            recovery_s = self._recover() if self.injected_s else 0.0
        finally:
            testbed.listener = None
            testbed.heal()
            testbed.end_host_list_delay()
        # A holder that was paused beyond its lease is killed by the kernel on resume.
        gevent.sleep(max(0.0, self.resumed_s + RESUME_MARGIN_S - time.monotonic()))
        testbed.start_ended()
        self._wait(self._is_loaded, f"{self.model} on all engines", LOADED_TIMEOUT_S)
        self.problems += self.probe.problems() + testbed.violations()
        missed = not self.injected_s
        return Outcome(tuple(self.problems), recovery_s, missed=missed)

    def _add_model(self) -> None:
        log, firm = self.testbed.platform.revisions(), self.testbed.firm
        newest = log.newest()
        old = f'{{ name = "{firm.model}"'
        text = firm.presets()["base"]
        text = text.replace(old, f'{{ name = "{self.model}", version = "1" }}, {old}')
        change = Change(
            action=ChangeAction.EDIT,
            preset="base",
            author="bench",
            reason=f"add {self.model}",
            text=text,
        )
        outcome = log.propose(change, base_number=newest.number)
        if not isinstance(outcome, Accepted):
            self.problems.append(f"the model was not accepted: {outcome}")

    def _is_loaded(self) -> bool:
        engines = self.testbed.platform.engines
        return all(
            self.model in engine.configuration.models and engine.running
            for engine in engines
        )

    def _wait(
        self,
        condition: Callable[[], bool],
        what: str,
        timeout_s: float = STEP_TIMEOUT_S,
    ) -> None:
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                self.problems.append(f"no {what} after {timeout_s:g} s")
                return
            gevent.sleep(POLL_INTERVAL_S)

    # Injection

    def _on_point(self, point: str, detail: str) -> None:
        if self.injected_s:
            return
        if point == "order" and self.inject_before:
            self.ordered = True
        if not self._reached(point, detail):
            self.ordered |= point == "order"
            return
        self.victim = self._victim(point)
        if not self.victim:
            return
        self.injected_s = time.monotonic()
        self._inject(detail)

    def _reached(self, point: str, detail: str) -> bool:
        write = "write" if self.inject_before else "written"
        if self.step == "acquire":
            return point == write and detail == self.probe.lease_key
        if self.step == "renew":
            return point == "renew"
        if self.step == "record":
            return point == write and detail == self.probe.record_key
        if self.step == "send":
            return point == ("order" if self.inject_before else "ordered")
        return point == "state" and self.ordered and bool(self._open_order(detail))

    def _open_order(self, engine: str) -> bool:
        return self.probe.record().open_order_of(engine) is not None

    def _victim(self, point: str) -> str:
        if self.step == "acquire":
            return str(cbor2.loads(self.testbed.written_value)["holder"])
        return self.probe.holder() or ""

    def _inject(self, detail: str) -> None:
        testbed = self.testbed
        match self.fault:
            case Fault.KILL:
                testbed.kill(self.victim)
            case Fault.PAUSE:
                testbed.pause(self.victim, self.rng.uniform(0.2, LEASE_S))
            case Fault.LEASE_LAPSE:
                pause_s = LEASE_S + self.rng.uniform(0.5, 3.0)
                self.resumed_s = time.monotonic() + pause_s
                testbed.pause(self.victim, pause_s)
            case Fault.STORE_DOWN:
                testbed.stop_store()
            case Fault.ANSWER_LOST:
                testbed.lose_store_answer()
            case Fault.PARTITION:
                testbed.relays[self.victim].partition()
            case Fault.ENGINE_CRASH:
                self._crash_engine(detail)
            case Fault.SILENT_CONNECTION:
                self._silence()
            case Fault.STORE_SLOW:
                testbed.slow_store(self.rng.choice((0.3, 3.0)))
            case Fault.HOST_LIST_LATE:
                testbed.delay_host_list()
                self._crash_engine(detail)
            case Fault.OPERATORS_RACING:
                self._race()

    def _race(self) -> None:
        newest = self.testbed.platform.revisions().newest()
        for preset in ("peak", "maintenance"):
            options = {"base_number": newest.number, "reason": f"race for {preset}"}
            gevent.spawn(
                choose, self.testbed, self.testbed.entries()[0], preset, **options
            )

    def _crash_engine(self, detail: str) -> None:
        engines = self.testbed.platform.engines
        named = [engine for engine in engines if engine.name == detail]
        gevent.spawn((named or [self.rng.choice(engines)])[0].crash)
        gevent.sleep(0.005)

    def _silence(self) -> None:
        if self.step in ("send", "confirm"):
            for engine in self.testbed.platform.engines:
                engine.silence_open_connections()
        else:
            self.testbed.platform.key_value.stall_open_connections()

    # Recovery

    def _recover(self) -> float:
        """Wait until a running process holds the lease; return the recovery time."""
        started_s = self.injected_s
        ends_holder = self.fault in HOLDER_ENDING_FAULTS
        if not ends_holder:
            gevent.sleep(
                max(0.0, self.injected_s + FAULT_DURATION_S - time.monotonic())
            )
            self.testbed.heal()
            started_s = time.monotonic()
        self._wait(
            lambda: self._is_held(ends_holder), "holder", RECOVERY_LIMIT_S + 10.0
        )
        recovery_s = time.monotonic() - started_s
        if recovery_s > RECOVERY_LIMIT_S:
            self.problems.append(f"authority held after {recovery_s:.1f} s")
        return recovery_s

    def _is_held(self, ends_holder: bool) -> bool:
        holder = self.probe.holder()
        if holder is None or not self.testbed.is_running(holder):
            # This step starts by killing the holder. If its successor was killed too,
            # no controller is left to take over.
            if self.step == "acquire" and not holder:
                self.testbed.start_ended()
            return False
        return not (ends_holder and holder == self.victim and self.step != "acquire")


def cells(testbed: Testbed) -> dict[Cell, RunCell]:
    """Return the runnable cells in order of priority."""
    steps = STEPS[PROTOCOL]
    return occurring_cells(
        PROTOCOL, exclude, FAULT_PRIORITY, steps, functools.partial(_runner, testbed)
    )


def _runner(testbed: Testbed, step: str, fault: Fault) -> RunCell:
    def run(rng: random.Random) -> Outcome:
        return AuthorityRun(testbed, step, fault, rng).run()

    return run
