"""Test which hosts query the caches of engines."""

import unittest

from persimmonyoke.internal.fleet.cache_duty import (
    COLLECTOR_WAIT_S,
    PEER_DISCOVERY_WAIT_S,
    CacheQueryDecision,
    CollectorState,
    decide_cache_query,
)

SMALL = CollectorState(relays=False, collecting=False, collector_heard=False)
MEMBER = CollectorState(relays=True, collecting=False, collector_heard=True)
COLLECTOR = CollectorState(relays=True, collecting=True, collector_heard=False)
UNSETTLED = CollectorState(relays=True, collecting=False, collector_heard=False)


class CacheDutyTest(unittest.TestCase):
    def duty(self, view, *, ready_for_s=0.0, knows_peers=True):
        return decide_cache_query(
            view, ready_for_s=ready_for_s, knows_peers=knows_peers
        )

    def test_one_host_of_a_zone_asks_for_all_of_it(self):
        # 195 hosts each queried 39 engines, and each of the 7,605 calls delayed its
        # engine.
        self.assertIs(self.duty(COLLECTOR), CacheQueryDecision.QUERY)
        self.assertIs(self.duty(MEMBER), CacheQueryDecision.DELEGATE)

    def test_each_host_of_a_small_deployment_asks(self):
        self.assertIs(self.duty(SMALL), CacheQueryDecision.QUERY)

    def test_hosts_that_start_together_wait_until_they_know_each_other(self):
        # The first hosts would otherwise assume a small deployment.
        first = self.duty(SMALL, knows_peers=False)
        self.assertIs(first, CacheQueryDecision.WAIT)
        alone = self.duty(SMALL, ready_for_s=PEER_DISCOVERY_WAIT_S, knows_peers=False)
        self.assertIs(alone, CacheQueryDecision.QUERY)

    def test_a_host_that_hears_nobody_collect_asks_by_itself_after_a_while(self):
        self.assertIs(self.duty(UNSETTLED), CacheQueryDecision.WAIT)
        late = self.duty(UNSETTLED, ready_for_s=COLLECTOR_WAIT_S)
        self.assertIs(late, CacheQueryDecision.QUERY)


if __name__ == "__main__":
    unittest.main()
