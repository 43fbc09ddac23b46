"""Tests of the distribution of callers over the entry hosts of a deployment."""

import statistics
import time
import unittest

import gevent

from persimmonyoke_testing.builders_addresses import SAMPLE_S, AddressCallers
from persimmonyoke_testing.deployment import Deployment

SEED = 41
CALLERS = 200
SHUTDOWN = {"max_age_s": 3.0, "margin_s": 0.2, "hard_limit_s": 60.0}
# A heartbeat and the maximum age of an answer; a silent host is detected after 3 s.
LEAVING_PROPAGATION_S = 3.0
SILENCE_DETECTION_S = 4.5
# Time after which each caller has asked at least once and hosts know the loads.
SETTLED_S = 4.0


class AddressSpreadTest(unittest.TestCase):
    def setUp(self):
        print(f"seed {SEED}")
        self.deployment = Deployment("kente", nodes=6, controllers=0, shutdown=SHUTDOWN)
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.callers = AddressCallers(self.deployment, CALLERS, SEED)
        self.addCleanup(self.callers.stop)

    def answers_since(self, since_s):
        # A host that is cut off from its peers can't detect that it is the silent one;
        # callers that still use it rely on their timeouts.
        return [answer for answer in self.callers.answers if answer[0] >= since_s]

    def test_callers_spread_evenly_in_their_zones_without_a_swing(self):
        # Callers that all choose the least loaded host overload one host after another.
        self.callers.start()
        gevent.sleep(SETTLED_S + 8.0)
        samples = int(SETTLED_S / SAMPLE_S)
        shares = self.callers.peak_to_mean_ratios(since=samples)
        mean, worst = statistics.fmean(shares), max(shares)
        print(f"largest over mean share: mean {mean:.2f}, worst {worst:.2f}")
        # A random choice by 200 independent callers among 6 hosts gives 1.2.
        self.assertLess(mean, 1.35)
        self.assertLess(worst, 1.7)
        zones = {
            node.name: node.settings.process.availability_zone
            for node in self.deployment.entries
        }
        own = [zones[names[0]] == zone for _, zone, names in self.callers.answers]
        self.assertGreater(statistics.fmean(own), 0.95)

    def test_draining_and_silent_hosts_are_left_out(self):
        # Callers sent there would be refused or run into their timeout.
        self.callers.start()
        gevent.sleep(1.0)
        draining, silent = self.deployment.entries[0], self.deployment.entries[1]
        draining._announce_leaving()
        silent.peers.stop()
        gevent.sleep(max(LEAVING_PROPAGATION_S, SILENCE_DETECTION_S))
        since_s = time.monotonic()
        gevent.sleep(3.0)
        named = {name for _, _, names in self.answers_since(since_s) for name in names}
        self.assertNotIn(draining.name, named)
        self.assertNotIn(silent.name, named)
        self.assertEqual(len(named), 4)
