"""Seeded schedules of operators, nodes and pruning on one faulty store.

``python -m persimmonyoke_testing.model_configuration COUNT [FIRST_SEED]`` runs COUNT
schedules.
"""

import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from persimmonyoke.errors import ProtocolError, StoreUnavailable
from persimmonyoke.internal.platform import WatchNotice
from persimmonyoke.internal.presets import (
    Accepted,
    ConfigurationView,
    Conflict,
    Retention,
    Revision,
    RevisionLog,
    Unsettled,
    follow_revisions,
)
from persimmonyoke.internal.presets.retention import Pruner
from persimmonyoke.internal.presets.stored_form import decode_stored
from persimmonyoke_testing.builders_presets import FIRM, build_change
from persimmonyoke_testing.key_value_state import KeyValueState
from persimmonyoke_testing.memory_store import MemoryStore
from persimmonyoke_testing.schedule_tasks import Schedule

NODES = 3
ATTEMPTS = 3
SETTLE_S = 0.5
END_S = 12.0
WATCH_PAUSE_S = 0.05
RETENTION = Retention(documents=2, headers=5)
FAULT_KINDS = (
    "down",
    "slow",
    "lose_answers",
    "lose_requests",
    "restart",
    "compact",
    "prune",
)


class ScheduledStore(MemoryStore):
    """Store that yields to other tasks before each call and after each write."""

    def __init__(self, state: KeyValueState, schedule: Schedule) -> None:
        super().__init__(state=state, clock=schedule.clock, sleep=schedule.sleep)
        self._schedule = schedule

    def _check_read(self) -> None:
        self._schedule.sleep()
        super()._check_read()

    def _write(self, *arguments):
        self._schedule.sleep()
        outcome = super()._write(*arguments)
        self._schedule.sleep()
        return outcome

    def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
        on_event: Callable[[WatchNotice], None],
        stop: "NeverSetEvent",
    ) -> None:
        """Report each write under a prefix; waits in virtual time."""
        revision = max(1, from_revision)
        while not stop.is_set():
            if not self.faults.down:
                revision = self._deliver(prefix, revision, on_event)
            self._schedule.sleep(WATCH_PAUSE_S)


class NeverSetEvent:
    """Fake stop event that is never set and whose waits are in virtual time."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule

    def is_set(self) -> bool:
        """Return ``False``; tasks are killed instead."""
        return False

    def wait(self, timeout: float) -> bool:
        """Wait in virtual time."""
        self._schedule.sleep(timeout)
        return False


class RecordingState(KeyValueState):
    """Store state that records which write created each revision number."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock=clock)
        self.created: dict[int, Revision] = {}
        self.faults_seen: list[str] = []

    def put(self, key: str, value: bytes, *, lease_id: int = 0) -> int:
        """Write a key; record a violation if its number gets a second revision."""
        form = decode_stored(value)
        number = form.header.number
        first = self.created.get(number)
        if first is None and form.revision is not None:
            self.created[number] = form.revision
        elif form.revision is not None or first.write_id != form.header.write_id:
            self.faults_seen.append(f"revision {number} was written twice")
        return super().put(key, value, lease_id=lease_id)


@dataclass
class Node:
    """Hold the state of one host; a restart resets the view."""

    name: str
    store: ScheduledStore
    log: RevisionLog
    view: ConfigurationView = field(default_factory=ConfigurationView)
    highest: int = 0


@dataclass
class Attempt:
    """Hold the unique reason of a change and its outcome, ``None`` if it was killed."""

    reason: str
    outcome: object = None


class ConfigurationModel:
    """Run one schedule and check the invariants of the configuration."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._schedule = Schedule(self._rng)
        self._state = RecordingState(self._schedule.clock)
        self._nodes = [self._new_node(f"node-{index}") for index in range(NODES)]
        self._attempts: list[Attempt] = []
        self.faults = self._rng.sample(FAULT_KINDS, 2)
        self.problems: list[str] = []

    def run(self) -> list[str]:
        """Run the schedule and return the violations."""
        for node in self._nodes:
            self._follow(node)
        operators = self._rng.choice((2, 3))
        for node in self._nodes[:operators]:
            self._spawn_operator(node)
        for kind in self.faults:
            self._schedule.spawn("faults", lambda kind=kind: self._inject(kind))
        self._schedule.run(END_S)
        self._check()
        return self.problems + self._state.faults_seen

    def outcomes(self) -> Counter[str]:
        """Count the outcomes of the attempts by class."""
        return Counter(type(attempt.outcome).__name__ for attempt in self._attempts)

    def _new_node(self, name: str) -> Node:
        store = ScheduledStore(self._state, self._schedule)
        log = RevisionLog(
            store,
            firm=FIRM,
            unix_clock=self._schedule.clock,
            clock=self._schedule.clock,
            sleep=self._schedule.sleep,
            settle_s=SETTLE_S,
            settle_pause_s=0.1,
            retention=RETENTION,
            run_later=lambda function: self._schedule.spawn(name, function),
        )
        return Node(name, store, log)

    def _follow(self, node: Node) -> None:
        view = node.view
        seen: list[int] = []

        def note(revision: Revision, _preset: object) -> None:
            if revision.number <= node.highest and not seen:
                # A restarted node may first read the revision that it had before.
                if revision.number < node.highest:
                    self.problems.append(f"{node.name} went back after a restart")
            elif revision.number <= max(seen, default=0):
                self.problems.append(f"{node.name} went back to {revision.number}")
            seen.append(revision.number)
            node.highest = max(node.highest, revision.number)

        view.subscribe(note)
        self._schedule.spawn(
            node.name,
            lambda: follow_revisions(
                node.store,
                view,
                NeverSetEvent(self._schedule),
                firm=FIRM,
                clock=self._schedule.clock,
                rng=self._rng,
            ),
        )

    def _spawn_operator(self, node: Node) -> None:
        self._schedule.spawn(node.name, lambda: self._operate(node))

    def _operate(self, node: Node) -> None:
        for _ in range(ATTEMPTS):
            self._schedule.sleep(self._rng.uniform(0, 1.0))
            attempt = Attempt(f"reason-{len(self._attempts)}")
            self._attempts.append(attempt)
            try:
                newest = node.log.newest()
                self._schedule.sleep(self._rng.choice((0.0, 0.0, 0.3)))
                number = newest.number if newest else 0
                change = build_change(
                    "edit" if number else "create",
                    author=node.name,
                    reason=attempt.reason,
                    goodput_weight=float(len(self._attempts)),
                )
                outcome = node.log.propose(change, base_number=number)
            except StoreUnavailable as error:
                attempt.outcome = error
                continue
            attempt.outcome = outcome
            if isinstance(outcome, Accepted):
                node.view.offer(outcome.revision, now_s=self._schedule.now_s)

    def _inject(self, kind: str) -> None:
        for _ in range(self._rng.randrange(1, 4)):
            self._schedule.sleep(self._rng.uniform(0, 1.2))
            node = self._rng.choice(self._nodes)
            self._start_fault(kind, node)
            self._schedule.sleep(self._rng.uniform(0, 0.6))
            node.store.faults.down = False
            node.store.faults.slow_s = 0.0
        for node in self._nodes:
            node.store.faults.lose_answers = node.store.faults.lose_requests = 0

    def _start_fault(self, kind: str, node: Node) -> None:
        faults = node.store.faults
        if kind == "down":
            faults.down = True
        elif kind == "slow":
            faults.slow_s = self._rng.choice((0.1, 0.4, 3.0))
        elif kind == "lose_answers":
            faults.lose_answers = self._rng.randrange(1, 12)
        elif kind == "lose_requests":
            faults.lose_requests = self._rng.randrange(1, 12)
        elif kind == "restart":
            self._schedule.kill(node.name)
            node.view = ConfigurationView()
            self._follow(node)
            self._spawn_operator(node)
        elif kind == "compact":
            self._state.compact()
        else:
            newest = max(self._state.created, default=0)
            pruner = Pruner(node.store, prefix=node.log.prefix, retention=RETENTION)
            self._schedule.spawn(node.name, lambda: pruner.prune_after(newest))

    def _check(self) -> None:
        created = self._state.created
        newest = max(created, default=0)
        if sorted(created) != list(range(1, newest + 1)):
            self.problems.append(f"numbers have gaps: {sorted(created)}")
        reasons = {revision.reason: number for number, revision in created.items()}
        winners = Counter()
        for attempt in self._attempts:
            self._check_outcome(attempt, reasons, winners)
        self.problems += [f"two winners for {n}" for n, c in winners.items() if c > 1]
        for node in self._nodes:
            if node.view.number != newest:
                self.problems.append(f"{node.name} is at {node.view.number}")
        self._check_retained(newest)

    def _check_outcome(
        self, attempt: Attempt, reasons: dict[str, int], winners: Counter
    ) -> None:
        outcome, number = attempt.outcome, reasons.get(attempt.reason)
        if isinstance(outcome, Accepted):
            winners[outcome.revision.number] += 1
            if number != outcome.revision.number:
                self.problems.append(f"accepted {attempt.reason} is not in the log")
        elif isinstance(outcome, Conflict | StoreUnavailable) and number:
            self.problems.append(f"{attempt.reason} was refused and stored")
        elif isinstance(outcome, Unsettled):
            self._check_look_up(outcome.revision, number)

    def _check_look_up(self, revision: Revision, number: int | None) -> None:
        """Check that looking up the write id tells whether the revision was stored."""
        forms = {}
        for item in self._stored():
            header = decode_stored(item.value).header
            forms[header.write_id] = header.number
        found = forms.get(revision.write_id)
        deleted = revision.number <= max(self._state.created) - RETENTION.headers
        if found != number and not (found is None and deleted):
            self.problems.append(f"write id of {revision.number} shows {found}")

    def _check_retained(self, newest: int) -> None:
        """Check that the newest documents and headers are kept."""
        forms = [decode_stored(item.value) for item in self._stored()]
        documents = {form.header.number for form in forms if form.revision}
        numbers = {form.header.number for form in forms}
        kept = range(max(1, newest - RETENTION.documents + 1), newest + 1)
        headers = range(max(1, newest - RETENTION.headers + 1), newest + 1)
        if not documents.issuperset(kept) or not numbers.issuperset(headers):
            self.problems.append(f"kept {sorted(documents)} of {newest}")

    def _stored(self):
        return MemoryStore(state=self._state).list_prefix(self._nodes[0].log.prefix)


def run_schedules(count: int, first_seed: int = 0) -> tuple[dict[int, list[str]], str]:
    """Run schedules; return violations by seed and a summary of faults and outcomes."""
    failed: dict[int, list[str]] = {}
    outcomes: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    logger.disable("persimmonyoke")
    try:
        for seed in range(first_seed, first_seed + count):
            model = ConfigurationModel(seed)
            try:
                problems = model.run()
            except (AssertionError, ProtocolError) as error:
                problems = [repr(error)]
            if problems:
                failed[seed] = problems
            outcomes += model.outcomes()
            faults[" + ".join(sorted(model.faults))] += 1
    finally:
        logger.enable("persimmonyoke")
    summary = f"{count} schedules, {len(faults)} pairs of faults, {dict(outcomes)}"
    return failed, summary


if __name__ == "__main__":
    started_s = time.monotonic()
    seeds = [int(argument) for argument in sys.argv[1:]] or [1_000]
    broken, counted = run_schedules(*seeds)
    print(f"{counted}, {time.monotonic() - started_s:.1f} s")
    for number, found in broken.items():
        print(f"seed {number}: {found}")
    sys.exit(bool(broken))
