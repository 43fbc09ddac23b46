"""Test how a host keeps step with the store while its answers come late or not."""

import time
import unittest
from unittest.mock import Mock

import gevent

from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.interfaces import ReplicaRemoved, ReplicaUpdated
from persimmonyoke.internal.gateway.follower import WATCH_LAG_S, StoreFollower
from persimmonyoke.internal.gateway.orders import OrderDuty
from persimmonyoke_testing.builders_fleet import engine, host
from persimmonyoke_testing.builders_gateway import gateway_state
from persimmonyoke_testing.gated_store import GatedStore


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.store = GatedStore()
        self.store.events = (ReplicaUpdated(engine("a")),)
        self.state = gateway_state(log=self.log)
        self.state.begin(time.monotonic())
        self.passed_on = []
        self.follower = StoreFollower(
            self.state,
            self.store,
            OrderDuty(self.state, self.store),
            on_configuration=lambda: None,
            pass_on=self.passed_on.append,
        )
        task = gevent.spawn(self.follower.run)
        self.addCleanup(task.kill)
        self.wait_for(lambda: self.usable() == ["a"], 1.0)

    def wait_for(self, condition, timeout_s):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.005)

    def usable(self):
        replicas = self.state.replicas.usable("llm", now_s=time.monotonic())
        return [replica.replica_id for replica in replicas]

    def leave(self, name="a"):
        self.store.publish(ReplicaUpdated(engine(name, draining=True)))


class WatchWaitTest(FollowerTest):
    def test_a_watch_ends_so_soon_that_hosts_that_are_told_of_it_know_in_time(self):
        # Through a collecting host it takes 0.8 s until they hear that nothing has
        # changed; their views were old by then, and each of them asked the store.
        limit_s = self.state.settings.view_age_limit_s
        self.wait_for(lambda: self.store.waits_s, 1.0)
        self.assertGreater(self.store.waits_s[-1], 0.5 * limit_s)
        self.state.hosts.set_datagram_interval(0.8, near_interval_s=0.4)
        waited = len(self.store.waits_s)
        self.store.publish(ReplicaUpdated(engine("b")))
        self.wait_for(lambda: len(self.store.waits_s) > waited, 1.0)
        self.assertLess(self.store.waits_s[-1], limit_s - 0.8)


class ReadingBesideTheWatchTest(FollowerTest):
    def test_a_reading_that_takes_long_puts_no_older_entry_back(self):
        # A peer's newer version started a reading beside the watch; a replica that
        # left meanwhile was used again until its entry was removed.
        self.store.snapshot_gate.clear()
        self.state.on_newer_version(9)
        self.wait_for(lambda: self.store.snapshots == 2, 2.0)
        self.leave()
        gevent.sleep(0.1)
        self.store.snapshot_gate.set()
        self.wait_for(lambda: self.usable() == [], 1.0)
        gevent.sleep(0.3)
        self.assertEqual(self.usable(), [])

    def test_a_newer_version_during_a_reading_causes_no_second_one(self):
        # With a slow store, each reading was followed by one more.
        self.store.snapshot_gate.clear()
        self.state.on_newer_version(9)
        self.wait_for(lambda: self.store.snapshots == 2, 2.0)
        self.state.on_newer_version(9)
        gevent.sleep(WATCH_LAG_S + 0.1)
        self.store.snapshot_gate.set()
        gevent.sleep(0.1)
        self.assertEqual(self.store.snapshots, 2)

    def test_a_replica_that_leaves_during_a_long_reading_is_not_used_past_its_drain(
        self,
    ):
        # A reading counted as known at its end, and the watch after it, which may be
        # silent, waited for the whole time that a view may be old.
        self.store.snapshot_gate.clear()
        self.state.on_newer_version(9)
        self.wait_for(lambda: self.store.snapshots == 2, 2.0)
        self.store.silent = True
        self.leave()
        left_s = time.monotonic()
        gevent.sleep(0.7)
        self.store.snapshot_gate.set()
        self.wait_for(lambda: self.usable() == [], 4.0)
        used_s = time.monotonic() - left_s
        self.assertLess(used_s, self.state.settings.drain_s)


class ReturnTest(FollowerTest):
    def test_a_host_hears_the_store_soon_after_its_return(self):
        # Where no peer can tell what happened, missing replicas are used for 2 s after
        # the host's return, which must end within 3 s after that of the store.
        self.state.rng = Mock(uniform=lambda _low, high: high)
        self.store.unavailable = True
        self.store.publish()
        gevent.sleep(2.5)
        attempts = self.store.snapshots
        self.wait_for(lambda: self.store.snapshots > attempts, 1.0)
        self.store.unavailable = False
        self.wait_for(lambda: self.state.store_connected, 0.6)


class ReadingInVainTest(FollowerTest):
    def test_a_host_that_reads_in_vain_for_a_newer_version_hears_its_peers(self):
        # Its watch was silent when the version came, and the reading forgot up to
        # where changes were known; the host kept its view until the store answered.
        self.wait_for(lambda: self.store.watch_calls > 0, 1.0)
        self.store.unavailable = True
        self.state.on_newer_version(9)
        self.wait_for(lambda: not self.state.store_connected, 2.0)
        self.follower.note_relayed(self.store.relay(ReplicaUpdated(engine("b"))))
        self.wait_for(lambda: self.usable() == ["a", "b"], 1.0)


class TurnedAwayTest(FollowerTest):
    """A host that the store refuses while it answers the peers."""

    def setUp(self):
        super().setUp()
        self.store.unavailable = True
        self.wait_for(lambda: not self.state.store_connected, 3.0)

    def hear(self, *events):
        self.follower.note_relayed(self.store.relay(*events))

    def test_a_replica_that_leaves_is_not_used_any_more(self):
        # The host sent work to leaving replicas for as long as it was turned away.
        self.hear(ReplicaUpdated(engine("b")))
        self.hear(ReplicaUpdated(engine("a", draining=True)))
        self.wait_for(lambda: self.usable() == ["b"], 1.0)
        self.assertEqual(self.state.replicas.leaving("llm", now_s=time.monotonic()), [])

    def test_a_removed_replica_stays_until_the_store_answers(self):
        # Entries of living replicas lapse in an outage, and peers pass this on before
        # the host can know that there was one.
        self.hear(ReplicaRemoved("a"), ReplicaUpdated(engine("b")))
        self.wait_for(lambda: "b" in self.usable(), 1.0)
        self.assertEqual(self.usable(), ["a", "b"])

    def test_nothing_is_applied_after_changes_that_were_missed(self):
        # What was missed may be a later state of the same entry.
        self.store.relay(ReplicaUpdated(engine("b", draining=True)))
        self.hear(ReplicaUpdated(engine("c")))
        gevent.sleep(0.5)
        self.assertEqual(self.usable(), ["a"])

    def test_changes_that_cannot_be_applied_do_not_end_the_following(self):
        # An error outside of the guarded step would have ended the task for good.
        apply_changes = self.state.apply_replica_changes
        self.state.apply_replica_changes = Mock(side_effect=ValueError("broken"))
        self.hear(ReplicaUpdated(engine("b")))
        self.wait_for(lambda: self.state.apply_replica_changes.called, 1.0)
        self.state.apply_replica_changes = apply_changes
        self.store.unavailable = False
        self.wait_for(lambda: self.state.store_connected, 2.0)

    def test_changes_from_before_a_reading_are_not_applied_after_it(self):
        # They wait unread at a host that watches, and would put older entries back.
        before = self.store.relay(ReplicaUpdated(engine("a", draining=True)))
        self.store.relay(ReplicaUpdated(engine("a")))
        self.store.unavailable = False
        self.wait_for(lambda: self.state.view.revision == self.store.revision, 2.0)
        calls = self.store.watch_calls
        self.wait_for(lambda: self.store.watch_calls > calls, 2.0)
        self.follower.note_relayed(before)
        self.state.on_newer_version(9)
        snapshots = self.store.snapshots
        self.store.unavailable = True
        self.wait_for(lambda: self.store.snapshots > snapshots + 1, 3.0)
        self.assertEqual(self.usable(), ["a"])


class ToldByPeersTest(FollowerTest):
    """A host whose zone has three watchers before it in the order of names."""

    def setUp(self):
        super().setUp()
        self.watches_silent = False
        self.revision = self.store.revision
        for name in ("host-01", "host-02", "host-03"):
            self.state.hosts.put(host(name), now_s=time.monotonic())
        task = gevent.spawn(self.tell)
        self.addCleanup(task.kill)
        self.wait_for(lambda: self.logged("store_watch"), 3.0)

    def tell(self):
        """Say of each watcher that the store answers it and how old its view is."""
        told_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            age_s = now_s - told_s if self.watches_silent else 0.1
            if not self.watches_silent:
                told_s = now_s
            for name in ("host-01", "host-02", "host-03"):
                peer = PeerState(
                    now_s,
                    ready=True,
                    config_version=0,
                    store_connected=True,
                    store_revision=self.revision,
                    view_confirmed_s=now_s - age_s,
                )
                self.state.note_peer(name, peer, now_s)
            gevent.sleep(0.05)

    def logged(self, event):
        return [line for line in self.log if f'"event":"{event}"' in line]

    def test_a_host_that_is_told_of_no_changes_for_long_asks_the_store(self):
        # The watches of all watchers of a zone may become silent together, and the
        # hosts that rely on them saw no later revision to ask for.
        self.watches_silent = True
        self.leave()
        gevent.sleep(self.state.settings.drain_s)
        self.assertEqual(self.usable(), [])

    def test_a_leaving_replica_of_which_the_store_was_asked_is_not_used_any_more(self):
        # The last decode engine takes work for a second after its leaving was seen,
        # and the answer to a host that asks late may be older than that.
        self.watches_silent = True
        self.leave()
        self.wait_for(lambda: self.usable() == [], 3.0)
        self.assertEqual(self.state.replicas.leaving("llm", now_s=time.monotonic()), [])

    def test_what_a_host_knows_from_peers_makes_it_no_witness_for_others(self):
        # Two hosts that do not watch would keep each other's views young for ever,
        # as each datagram is read a little later than it was sent.
        gevent.sleep(0.5)
        now_s = time.monotonic()
        self.assertLess(self.state.view.age_s(now_s), 0.4)
        self.assertGreater(self.state.view.store_confirmed_age_s(now_s), 0.45)

    def test_a_host_whose_peers_hear_of_no_change_asks_nothing(self):
        calls = self.store.watch_calls
        gevent.sleep(self.state.settings.drain_s)
        self.assertEqual(self.store.watch_calls, calls)


if __name__ == "__main__":
    unittest.main()
