"""Tests of how a host follows the store while answers are late or missing."""

import time
import unittest
from dataclasses import replace
from unittest.mock import Mock, patch

import gevent

from persimmonyoke.internal.fleet.hosts import PeerState
from persimmonyoke.internal.fleet.interfaces import ReplicaRemoved, ReplicaUpdated
from persimmonyoke.internal.fleet.model import Stage
from persimmonyoke.internal.fleet.term import ClockReading
from persimmonyoke.internal.gateway.clocks import boot_time_s, read_clocks
from persimmonyoke.internal.gateway.follower import WATCH_LAG_S, StoreFollower
from persimmonyoke.internal.gateway.orders import StageOrderController
from persimmonyoke_testing.builders_fleet import engine, host
from persimmonyoke_testing.builders_gateway import gateway_state
from persimmonyoke_testing.gated_store import GatedStore


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.store = GatedStore()
        self.store.events = (ReplicaUpdated(engine("a")),)
        self.state = gateway_state(log=self.log)
        self.state.start_store_contact(time.monotonic())
        self.forwarded = []
        self.requests = []
        self.follower = StoreFollower(
            self.state,
            self.store,
            StageOrderController(self.state, self.store),
            on_configuration=lambda: None,
            forward_changes=self.forwarded.append,
            request_changes=self.note_request,
        )
        task = gevent.spawn(self.follower.run)
        self.addCleanup(task.kill)
        self.wait_for(lambda: self.usable() == ["a"], 1.0)

    def note_request(self, peer, after_revision):
        self.requests.append((peer.name, after_revision))

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
    def test_watch_wait_leaves_time_to_inform_hosts_that_do_not_watch(self):
        # Through a collector, it takes 0.8 s to report that nothing has changed. If
        # watches wait too long, the views of the other hosts get too old meanwhile, and
        # each of them queries the store.
        limit_s = self.state.settings.view_age_limit_s
        self.wait_for(lambda: self.store.waits_s, 1.0)
        self.assertGreater(self.store.waits_s[-1], 0.5 * limit_s)
        self.state.hosts.set_datagram_interval(0.8, near_interval_s=0.4)
        waited = len(self.store.waits_s)
        self.store.publish(ReplicaUpdated(engine("b")))
        self.wait_for(lambda: len(self.store.waits_s) > waited, 1.0)
        self.assertLess(self.store.waits_s[-1], limit_s - 0.8)


class LateAnswerTest(FollowerTest):
    def test_an_answer_read_after_a_suspension_tells_nothing_of_the_present(self):
        # The steady clock stands still meanwhile. The host took what the store had said
        # before for the latest, and forwarded it as such.
        self.wait_for(lambda: self.store.watch_calls > 0, 1.0)
        clocks = "persimmonyoke.internal.gateway.follower.read_clocks"
        now = read_clocks()
        resumed = ClockReading(now.steady_s + 0.1, now.boot_s + 60.0)
        with patch(clocks, return_value=resumed):
            self.store.publish(ReplicaUpdated(engine("b")))
            self.wait_for(lambda: self.usable() == ["a", "b"], 1.0)
        self.assertLess(self.state.view.current_boot_s, now.boot_s)
        self.assertEqual(self.forwarded, [])


class SnapshotDuringWatchTest(FollowerTest):
    def test_a_reading_that_takes_long_puts_no_older_entry_back(self):
        # A peer's newer version starts a snapshot. If it runs concurrently with the
        # watch, a replica that drains meanwhile is used again until its entry is gone.
        self.store.snapshot_gate.clear()
        self.state.on_newer_version(9)
        self.wait_for(lambda: self.store.snapshots == 2, 2.0)
        self.leave()
        gevent.sleep(0.1)
        self.store.snapshot_gate.set()
        self.wait_for(lambda: self.usable() == [], 1.0)
        gevent.sleep(0.3)
        self.assertEqual(self.usable(), [])

    def test_newer_version_during_a_snapshot_causes_no_second_snapshot(self):
        # With a slow store, each snapshot would otherwise be followed by another one.
        self.store.snapshot_gate.clear()
        self.state.on_newer_version(9)
        self.wait_for(lambda: self.store.snapshots == 2, 2.0)
        self.state.on_newer_version(9)
        gevent.sleep(WATCH_LAG_S + 0.1)
        self.store.snapshot_gate.set()
        gevent.sleep(0.1)
        self.assertEqual(self.store.snapshots, 2)

    def test_replica_that_drains_during_a_long_snapshot_is_not_used_past_its_drain(
        self,
    ):
        # The view is as old as the start of the snapshot. If its age counts from the
        # end, the next watch, which may get no answer, waits for too long.
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


class StoreReturnTest(FollowerTest):
    def test_host_reconnects_soon_after_the_store_returns(self):
        # If no peer can rule out an outage, missing replicas are used for 2 s after the
        # host reconnects. This must end within 3 s of the return of the store.
        self.state.rng = Mock(uniform=lambda _low, high: high)
        self.store.unavailable = True
        self.store.publish()
        gevent.sleep(2.5)
        attempts = self.store.snapshots
        self.wait_for(lambda: self.store.snapshots > attempts, 1.0)
        self.store.unavailable = False
        self.wait_for(lambda: self.state.store_connected, 0.6)


class FailedSnapshotTest(FollowerTest):
    def test_host_whose_snapshot_fails_applies_changes_from_peers(self):
        # The snapshot starts while the watch gets no answer. If it discards the known
        # revision, changes from peers are ignored until the store answers again.
        self.wait_for(lambda: self.store.watch_calls > 0, 1.0)
        self.store.unavailable = True
        self.state.on_newer_version(9)
        self.wait_for(lambda: not self.state.store_connected, 2.0)
        self.follower.note_relayed(self.store.relay(ReplicaUpdated(engine("b"))))
        self.wait_for(lambda: self.usable() == ["a", "b"], 1.0)


class StoreRefusesHostTest(FollowerTest):
    """Test a host that the store refuses while it answers the peers."""

    def setUp(self):
        super().setUp()
        self.store.unavailable = True
        self.wait_for(lambda: not self.state.store_connected, 3.0)

    def relay_from_peer(self, *events):
        self.follower.note_relayed(self.store.relay(*events))

    def test_draining_replica_is_not_used(self):
        # Otherwise the host sends work to draining replicas while the store refuses it.
        self.relay_from_peer(ReplicaUpdated(engine("b")))
        self.relay_from_peer(ReplicaUpdated(engine("a", draining=True)))
        self.wait_for(lambda: self.usable() == ["b"], 1.0)
        self.assertEqual(self.state.replicas.leaving("llm", now_s=time.monotonic()), [])

    def test_removed_replica_is_kept_until_the_store_answers(self):
        # Entries of live replicas expire in an outage, and peers forward the removals
        # before the host can know that there was one.
        self.relay_from_peer(ReplicaRemoved("a"), ReplicaUpdated(engine("b")))
        self.wait_for(lambda: "b" in self.usable(), 1.0)
        self.assertEqual(self.usable(), ["a", "b"])

    def hear_peer(self, *, revision, connected=True, age_s=0.0):
        """Let a peer report its revision, and that its view has just been confirmed."""
        entry = host("host-2", zone="zone-b", tunnel_key="key")
        now_s, boot_s = time.monotonic(), boot_time_s()
        self.state.hosts.put(entry, now_s=now_s)
        peer = PeerState(
            now_s,
            ready=True,
            config_version=0,
            store_connected=connected,
            store_revision=revision,
            view_confirmed_s=now_s - age_s,
            heard_boot_s=boot_s,
            view_confirmed_boot_s=boot_s - age_s,
        )
        self.state.note_peer("host-2", peer, now_s)

    def outdated_s(self):
        return boot_time_s() - self.state.view.current_boot_s

    def test_a_peer_that_is_ahead_is_asked_for_the_changes(self):
        # Only the watchers of its own zone forwarded changes to a host, and it asked
        # nobody for those that it missed.
        known = self.state.view.revision
        with gevent.Timeout(3.0):
            while not self.requests:
                self.hear_peer(revision=known + 2)
                gevent.sleep(0.05)
        self.assertEqual(self.requests[0], ("host-2", known))
        self.assertTrue(any("behind_peers" in line for line in self.log))

    def test_after_a_request_without_an_answer_other_zones_are_asked_as_well(self):
        # Peers of the own zone were asked again and again that could not help.
        for number in range(2, 12):
            zone = "zone-a" if number == 2 else "zone-b"
            entry = host(f"host-{number}", port=number, zone=zone, tunnel_key="k")
            self.state.hosts.put(entry, now_s=time.monotonic())
        with gevent.Timeout(10.0):
            while not any(name != "host-2" for name, _ in self.requests):
                for number in range(2, 12):
                    state = PeerState(time.monotonic(), True, 7, True, 40)
                    self.state.hosts.note_peer(f"host-{number}", state)
                gevent.sleep(0.02)
        self.assertEqual(self.requests[0][0], "host-2")

    def test_a_peer_is_not_asked_while_the_view_is_confirmed(self):
        known, until_s = self.state.view.revision, time.monotonic() + 1.0
        while time.monotonic() < until_s:
            self.hear_peer(revision=known)
            gevent.sleep(0.05)
        self.assertEqual(self.requests, [])
        self.assertLess(self.outdated_s(), 0.6)

    def test_a_peer_is_asked_at_once_for_a_request_that_needs_the_latest(self):
        self.hear_peer(revision=self.state.view.revision, age_s=1.0)
        self.state.want_confirmation()
        self.wait_for(lambda: self.requests, 2.0)

    def test_changes_of_a_peer_without_the_store_do_not_confirm_the_view(self):
        # The store may have told others of later ones.
        gevent.sleep(0.5)
        relayed = self.store.relay(ReplicaUpdated(engine("b")))
        self.follower.note_relayed(replace(relayed, is_recent=False))
        self.wait_for(lambda: self.usable() == ["a", "b"], 2.0)
        self.assertGreater(self.outdated_s(), 0.5)

    def test_changes_after_a_gap_are_not_applied(self):
        # The missed changes may hold a later state of the same entry.
        self.store.relay(ReplicaUpdated(engine("b", draining=True)))
        self.relay_from_peer(ReplicaUpdated(engine("c")))
        gevent.sleep(0.5)
        self.assertEqual(self.usable(), ["a"])

    def test_failure_to_apply_changes_does_not_end_the_task(self):
        # Changes from peers are applied during the pause after a failure. An exception
        # that is not caught there ends the task permanently.
        apply_changes = self.state.apply_replica_changes
        self.state.apply_replica_changes = Mock(side_effect=ValueError("broken"))
        self.relay_from_peer(ReplicaUpdated(engine("b")))
        self.wait_for(lambda: self.state.apply_replica_changes.called, 1.0)
        self.state.apply_replica_changes = apply_changes
        self.store.unavailable = False
        self.wait_for(lambda: self.state.store_connected, 2.0)

    def test_changes_older_than_a_snapshot_are_not_applied_after_it(self):
        # A host that watches leaves changes from peers in the queue. Applied after a
        # snapshot, they would restore older entries.
        before = self.store.relay(ReplicaUpdated(engine("a", Stage.DECODE)))
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
        self.assertIs(self.state.replicas.get("a").stage, Stage.PREFILL)


class NonWatchingHostTest(FollowerTest):
    """Test a host that does not watch, since three others precede it by name."""

    def setUp(self):
        super().setUp()
        self.watches_silent = False
        self.revision = self.store.revision
        for name in ("host-01", "host-02", "host-03"):
            self.state.hosts.put(host(name), now_s=time.monotonic())
        task = gevent.spawn(self.report_states)
        self.addCleanup(task.kill)
        self.wait_for(lambda: self.logged("store_watch"), 3.0)

    def report_states(self):
        """Report that the store answers each watcher, and the age of its view."""
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

    def test_host_asks_the_store_when_views_of_all_watchers_are_old(self):
        # The watches of all watchers of a zone may fail together. The hosts that rely
        # on them then see no later revision that would make them query the store.
        self.watches_silent = True
        self.leave()
        gevent.sleep(self.state.settings.drain_s)
        self.assertEqual(self.usable(), [])

    def test_draining_replica_learned_late_from_the_store_is_not_used(self):
        # The last decode engine gets work for 1 s after it is seen to be draining. A
        # change that the store returns on request may already be older than that.
        self.watches_silent = True
        self.leave()
        self.wait_for(lambda: self.usable() == [], 3.0)
        self.assertEqual(self.state.replicas.leaving("llm", now_s=time.monotonic()), [])

    def test_view_confirmed_by_peers_does_not_confirm_views_of_others(self):
        # Otherwise two hosts that do not watch keep each other's views young forever,
        # as each datagram is read a little later than it was sent.
        gevent.sleep(0.5)
        now_s = time.monotonic()
        self.assertLess(self.state.view.age_s(now_s), 0.4)
        self.assertGreater(self.state.view.store_confirmed_age_s(boot_time_s()), 0.45)

    def test_host_makes_no_store_calls_while_peers_see_no_change(self):
        calls = self.store.watch_calls
        gevent.sleep(self.state.settings.drain_s)
        self.assertEqual(self.store.watch_calls, calls)


if __name__ == "__main__":
    unittest.main()
