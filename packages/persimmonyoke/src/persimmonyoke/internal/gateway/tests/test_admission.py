"""Test how often queued prompts are planned."""

import time
import unittest

import gevent

from persimmonyoke.internal.dispatch.placement import MAX_DISPATCH_BACKLOG_S
from persimmonyoke.internal.gateway.admission import AdmissionGate, AdmissionRequest
from persimmonyoke_testing.builders_fleet import ENGINE_LIMITS, engine, prompt
from persimmonyoke_testing.builders_gateway import gateway_state

ENGINES = 70
WAITING = 20


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.state = gateway_state(log=[])
        self.engines = [engine(f"e{number}") for number in range(ENGINES)]
        self.planned = 0
        self.prefill_plan = self.state.placement.prefill_plan
        self.state.placement.prefill_plan = self.count_plan
        self.gate = AdmissionGate(self.state)

    def count_plan(self, *arguments, **options):
        self.planned += 1
        return self.prefill_plan(*arguments, **options)

    def request(self):
        now_s = time.monotonic()
        return AdmissionRequest(
            prompt=prompt(13_300, 3_700),
            limits=ENGINE_LIMITS,
            target_s=now_s + 30.0,
            deadline_s=now_s + 60.0,
            value=1.0,
            returning=False,
            engines=lambda: self.engines,
        )


class IdleFleetTest(FleetTest):
    def test_a_prompt_admitted_at_once_is_planned_once(self):
        # Planning on 70 engines takes a fifth of the CPU time of a request.
        admitted = self.gate.admit(self.request(), id)
        self.assertEqual(self.planned, 1)
        backlog_s = self.state.ledger.backlog_s(
            admitted.plan.engine.replica_id, now_s=time.monotonic()
        )
        self.assertGreater(backlog_s, MAX_DISPATCH_BACKLOG_S)
        self.assertEqual(self.gate.queued_s, 0.0)


class BusyFleetTest(FleetTest):
    def setUp(self):
        super().setUp()
        now_s = time.monotonic()
        self.jobs = [
            self.state.ledger.begin_prefill(item.replica_id, 5.0, now_s=now_s)
            for item in self.engines
        ]
        tasks = [
            gevent.spawn(self.gate.admit, self.request(), id) for _ in range(WAITING)
        ]
        self.addCleanup(gevent.killall, tasks)
        gevent.sleep(0.01)
        self.planned = 0

    def test_no_prompt_is_planned_while_all_engines_are_busy(self):
        # Planning eight prompts on all engines every 15 ms took so much CPU time that
        # a benchmark day of the largest deployment did not finish.
        self.gate.admit_waiting()
        self.assertEqual(self.planned, 0)

    def test_an_engine_that_becomes_free_gets_a_waiting_prompt(self):
        self.state.ledger.end_prefill(self.jobs[7])
        self.gate.admit_waiting()
        backlog_s = self.state.ledger.backlog_s("e7", now_s=time.monotonic())
        self.assertGreater(backlog_s, MAX_DISPATCH_BACKLOG_S)


if __name__ == "__main__":
    unittest.main()
