"""Test of the propagation of changes to seven nodes over loopback sockets."""

import threading
import time
import unittest

from persimmonyoke.internal.platform import EtcdGatewayStore, RateBudget
from persimmonyoke.internal.presets import (
    Accepted,
    Change,
    ChangeAction,
    ConfigurationView,
    RevisionLog,
    follow_revisions,
)
from persimmonyoke_testing.builders_presets import FIRM, example_presets
from persimmonyoke_testing.key_value_standin import KeyValueStandIn

NODES = 7
IN_FORCE_S = 2.0
CHANGES = 10


class PropagationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = KeyValueStandIn()
        self.service.start()
        self.addCleanup(self.service.stop)
        self.log = RevisionLog(self.new_store(), firm=FIRM)
        self.views = [ConfigurationView() for _ in range(NODES)]
        stop = threading.Event()
        for view in self.views:
            task = threading.Thread(
                target=follow_revisions,
                args=(self.new_store(), view, stop),
                kwargs={"firm": FIRM, "clock": time.monotonic},
            )
            task.start()
            self.addCleanup(task.join, 5)
        # Cleanups run in reverse order: the tasks are stopped, then joined.
        self.addCleanup(stop.set)

    def new_store(self) -> EtcdGatewayStore:
        return EtcdGatewayStore(self.service.url, budget=RateBudget(calls_per_s=200))

    def choose(self, name: str, base_number: int) -> float:
        change = Change(ChangeAction.CHOOSE, name, "ama", "test")
        outcome = self.log.propose(change, base_number=base_number)
        self.assertIsInstance(outcome, Accepted)
        return time.monotonic()

    def wait_for(self, number: int, accepted_s: float) -> None:
        while any(view.number < number for view in self.views):
            self.assertLess(time.monotonic() - accepted_s, IN_FORCE_S)
            time.sleep(0.005)

    def test_each_change_is_in_force_on_all_nodes_in_time(self):
        # A node that falls behind would serve callers with an old preset.
        options = {"active": "ordinary", "author": "ama", "reason": "first"}
        self.log.bootstrap(example_presets(FIRM), **options)
        self.wait_for(1, time.monotonic())
        for number in range(1, 1 + CHANGES):
            name = ("peak", "ordinary")[number % 2]
            self.wait_for(number + 1, self.choose(name, number))
            self.assertEqual({view.preset.name for view in self.views}, {name})
