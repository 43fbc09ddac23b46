"""Tests of the exchange of suspect notices between hosts, and of its cost."""

import gc
import time
import unittest
from collections import Counter

import gevent

from persimmonyoke.internal.delivery.suspect_types import Quarantined, Suspect
from persimmonyoke.internal.gateway.peer_messages import decode_datagram
from persimmonyoke.internal.gateway.suspect_link import (
    COUNTING_HOSTS,
    REPEAT_DELAYS_S,
    SuspectLink,
    counting_hosts,
)
from persimmonyoke_testing.builders_fleet import host
from persimmonyoke_testing.builders_gateway import gateway_state

LARGE, SMALL = 195, 7
DIGEST = b"d" * 16
LOST_ENGINES, RUNS_PER_ENGINE = 30, 64
"""The largest simultaneous loss, with all slots of each engine in use."""

MASS_CRASH_LIMIT_S = 0.5
"""Processor time that a host may spend on the notices of such a loss."""


class Fleet:
    """Connect hosts over a network without delay that may lose datagrams."""

    def __init__(self, size, *, lose=lambda _receiver, _count: False):
        self.lose = lose
        self.received = Counter()
        entries = [host(f"h{number}", port=number + 1) for number in range(size)]
        self.states = {e.name: gateway_state(log=[], host_name=e.name) for e in entries}
        self.links = {}
        for name, state in self.states.items():
            state.hosts.replace_all(entries, now_s=0.0)
            self.links[name] = SuspectLink(state, self.send)

    def send(self, receivers, datagram):
        message = decode_datagram(datagram, now_s=0.0)
        for entry in receivers:
            self.received[entry.name] += 1
            if not self.lose(entry.name, self.received[entry.name]):
                self.links[entry.name].handle(message, now_s=time.monotonic())

    def crash(self, name, engine, *, digest=DIGEST, alone=False):
        self.states[name].suspects.note_crash(
            digest, engine, time.monotonic(), incarnation="1", isolated=alone
        )

    def statuses(self, digest=DIGEST):
        now_s = time.monotonic()
        return [s.suspects.status(digest, now_s) for s in self.states.values()]

    def settle(self):
        """Wait until nothing has been sent for longer than the delay of repeats."""
        sent = -1
        while sent != self.received.total():
            sent = self.received.total()
            gevent.sleep(REPEAT_DELAYS_S[-1] + 0.1)


class SpreadTest(unittest.TestCase):
    def test_all_hosts_add_up_crashes_seen_by_different_hosts(self):
        # The retries of a caller reach a different host each time.
        for size in (SMALL, LARGE):
            with self.subTest(size):
                fleet = Fleet(size)
                fleet.crash("h1", "e1")
                gevent.sleep(0.02)
                fleet.crash("h2", "e2")
                fleet.settle()
                self.assertEqual(set(fleet.statuses()), {Suspect(2)})
                fleet.crash("h3", "e3", alone=True)
                fleet.settle()
                withheld = [isinstance(s, Quarantined) for s in fleet.statuses()]
                self.assertTrue(all(withheld))

    def test_repeats_make_up_for_lost_datagrams(self):
        fleet = Fleet(SMALL, lose=lambda name, count: name == "h4" and count <= 2)
        fleet.crash("h1", "e1")
        fleet.crash("h1", "e2")
        fleet.settle()
        self.assertEqual(set(fleet.statuses()), {Suspect(2)})

    def test_partitioned_host_catches_up_by_gossip(self):
        # The host missed the notices and their repeats.
        fleet = Fleet(SMALL, lose=lambda name, _count: name == "h4")
        fleet.crash("h1", "e1")
        fleet.crash("h1", "e2")
        fleet.settle()
        fleet.lose = lambda _name, _count: False
        tasks = [gevent.spawn(link.gossip) for link in fleet.links.values()]
        gevent.sleep(2.5)
        gevent.killall(tasks)
        self.assertEqual(set(fleet.statuses()), {Suspect(2)})

    def test_the_loss_of_many_engines_floods_no_host_of_a_large_deployment(self):
        fleet = Fleet(LARGE)
        for engine in range(LOST_ENGINES):
            for run in range(RUNS_PER_ENGINE):
                name = f"h{(engine * RUNS_PER_ENGINE + run) % LARGE}"
                digest = b"%16d" % (engine * RUNS_PER_ENGINE + run)
                fleet.crash(name, f"e{engine}", digest=digest)
        fleet.settle()
        requests = LOST_ENGINES * RUNS_PER_ENGINE
        self.assertLessEqual(fleet.received.total(), requests * COUNTING_HOSTS)
        self.assertLess(max(fleet.received.values()), requests / 10)

    def test_notices_of_many_lost_engines_take_little_processor_time(self):
        # Comparing each notice with all known requests would take quadratic time.
        fleet = Fleet(2)
        # Keep the garbage collector from scanning objects left by earlier tests.
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)
        started_s = time.process_time()
        for number in range(LOST_ENGINES * RUNS_PER_ENGINE):
            fleet.crash("h0", f"e{number % LOST_ENGINES}", digest=b"%16d" % number)
        noted_s = time.process_time()
        # One host sends all notices, and the other one merges them.
        gevent.sleep(0)
        self.assertLess(noted_s - started_s, MASS_CRASH_LIMIT_S)
        self.assertLess(time.process_time() - noted_s, MASS_CRASH_LIMIT_S)
        self.assertEqual(
            fleet.states["h1"].suspects.size, LOST_ENGINES * RUNS_PER_ENGINE
        )

    def test_hosts_choose_the_same_counting_hosts_and_share_the_requests(self):
        names = [f"h{number}" for number in range(LARGE)]
        chosen = Counter()
        for number in range(2_000):
            digest = b"%16d" % number
            first = counting_hosts(digest, names)
            self.assertEqual(first, counting_hosts(digest, names[::-1]))
            chosen.update(first)
        self.assertLess(max(chosen.values()), 6 * 2_000 * COUNTING_HOSTS / LARGE)


if __name__ == "__main__":
    unittest.main()
