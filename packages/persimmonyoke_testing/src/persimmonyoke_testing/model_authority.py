"""Run seeded schedules of two controllers and one engine with pairs of faults.

Odd seeds have an engine that ignores the fencing number.
"""

import random
from collections import Counter
from dataclasses import replace

from loguru import logger

from persimmonyoke.errors import InvariantViolation, StoreUnavailable
from persimmonyoke.internal.authority.orders import AuthorityLost
from persimmonyoke_testing.builders_authority import (
    LEASE_S,
    ORDER_DEADLINE_S,
    AuthorityFixture,
    build_pair,
    build_planned_order,
)

STEPS = 150
FAULT_SHARE = 0.12
RECOVERY_SHARE = 0.4
RECOVERY_STEPS = 6
FAULT_KINDS = (
    "answer_lost",
    "request_lost",
    "store_down",
    "store_slow",
    "order_answer_lost",
    "engine_unreachable",
    "order_delayed",
    "pause_all",
    "pause_one",
    "kill",
)


class AuthorityModel:
    """Run one schedule; faults are more likely while the controllers recover.

    A controller that is paused past the deadline of its kernel timer is ended and
    restarted without its state.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.checks_fencing = seed % 2 == 0
        first, second, self.engine = build_pair(checks_fencing=self.checks_fencing)
        self.clock, self.state = first.clock, first.state
        self.controllers = [first, second]
        self.faults = self.rng.sample(FAULT_KINDS, 2)
        self.timer_kills = 0
        self._paused_until_s = {first.holder: 0.0, second.holder: 0.0}
        self._recovering = 0
        self._delayed_s = 0.0

    def run(self) -> list[str]:
        """Return descriptions of the violations."""
        for _ in range(STEPS):
            self._deliver()
            self._draw_fault()
            self.clock.advance(self.rng.choice((0.05, 0.3, 1.0)))
            self._end_expired()
            index = self.rng.randrange(2)
            controller = self.controllers[index]
            if self._paused_until_s[controller.holder] <= self.clock():
                self._run_round(controller)
            self._finish_order()
        accepted = [order.order_id for order in self.engine.accepted]
        problems = [f"conflicting orders {pair}" for pair in self.engine.conflicts]
        if len(set(accepted)) != len(accepted):
            problems.append("an order was taken twice")
        numbers = [order.fencing for order in self.engine.accepted]
        if numbers != sorted(numbers):
            problems.append(f"orders with older numbers were taken: {numbers}")
        return problems

    def _draw_fault(self) -> None:
        share = RECOVERY_SHARE if self._recovering else FAULT_SHARE
        self._recovering = max(0, self._recovering - 1)
        if self.rng.random() < share:
            self._recovering = RECOVERY_STEPS
            self._start_fault(self.rng.choice(self.faults))

    def _start_fault(self, kind: str) -> None:
        controller = self.rng.choice(self.controllers)
        faults = controller.store.faults
        match kind:
            case "answer_lost":
                faults.lose_answers = 1
            case "request_lost":
                faults.lose_requests = 1
            case "store_down":
                faults.down = not faults.down
            case "store_slow":
                faults.slow_s = self.rng.choice((0.0, 0.5, 3.0))
            case "order_answer_lost":
                self.engine.lose_next_answer = True
            case "engine_unreachable":
                self.engine.unreachable = not self.engine.unreachable
            case "order_delayed":
                self.engine.delay_next = True
            case "pause_all":
                self.clock.advance(self.rng.uniform(1.0, 2 * LEASE_S))
            case "pause_one":
                pause_s = self.rng.uniform(0.5, 3 * LEASE_S)
                self._paused_until_s[controller.holder] = self.clock() + pause_s
            case "kill":
                self._restart(controller)

    def _end_expired(self) -> None:
        """End each paused controller whose timer has expired, as its kernel would."""
        for controller in tuple(self.controllers):
            deadline_s = controller.timer.deadline_s
            paused = self._paused_until_s[controller.holder] > self.clock()
            if paused and deadline_s is not None and deadline_s <= self.clock():
                self.timer_kills += 1
                self._restart(controller)

    def _restart(self, controller: AuthorityFixture) -> None:
        fresh = AuthorityFixture(
            self.clock,
            self.state,
            controller.engines,
            controller.holder,
            self.checks_fencing,
        )
        self.controllers[self.controllers.index(controller)] = fresh
        self._paused_until_s[controller.holder] = 0.0

    def _deliver(self) -> None:
        """Deliver delayed orders at any time, or in time if no number is checked.

        For an engine that ignores the number, the sender's kernel resets an order
        connection at its deadline, and a successor waits.
        """
        late_s = self.clock() - self._delayed_s
        if not self.engine.delayed:
            self._delayed_s = self.clock()
        elif not self.checks_fencing and late_s > ORDER_DEADLINE_S:
            self.engine.drop_delayed()
        elif self.rng.random() < 0.2:
            self.engine.deliver_delayed()

    def _finish_order(self) -> None:
        if self.engine.reported.open_order_id and self.rng.random() < 0.15:
            self.engine.finish(self.rng.choice(("done", "failed")))

    def _run_round(self, controller: AuthorityFixture) -> None:
        now_s = self.clock()
        if self.rng.random() < 0.3:
            planned = build_planned_order(role=self.rng.choice(("prefill", "decode")))
            incarnation = self.engine.reported.incarnation
            planned = replace(planned, incarnation=incarnation)
            controller.planner.planned.append(planned)
        try:
            if controller.lease.check(now_s=now_s) is not None:
                controller.lease.renew(now_s=now_s)
            else:
                controller.lease.try_acquire(now_s=now_s)
            controller.step()
        except StoreUnavailable:
            return
        except AuthorityLost:
            controller.lease.release()


def run_schedules(count: int, first_seed: int = 0) -> tuple[dict[int, list[str]], str]:
    """Return the problems by seed, and a summary of faults and orders."""
    failed: dict[int, list[str]] = {}
    pairs: Counter[str] = Counter()
    orders = ends = 0
    logger.disable("persimmonyoke")
    try:
        for seed in range(first_seed, first_seed + count):
            model = AuthorityModel(seed)
            try:
                problems = model.run()
            except InvariantViolation as error:
                problems = [repr(error)]
            if problems:
                failed[seed] = problems
            pairs[" + ".join(sorted(model.faults))] += 1
            orders += len(model.engine.accepted)
            ends += model.timer_kills
    finally:
        logger.enable("persimmonyoke")
    summary = f"{count} schedules, {len(pairs)} pairs of faults, {orders} orders taken"
    return failed, f"{summary}, {ends} ends by the timer"
