"""Tests of the datagrams between hosts."""

import random
import time
import unittest
from unittest import mock

import cbor2
import gevent
from gevent import socket

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.dispatch.digests import WorkDigest
from persimmonyoke.internal.dispatch.loads import ReplicaWork
from persimmonyoke.internal.fleet.hosts import HostView
from persimmonyoke.internal.fleet.interfaces import RelayedChanges
from persimmonyoke.internal.fleet.send_budget import (
    BURST_S,
    BYTES_PER_MBIT,
    LINK_SHARE,
)
from persimmonyoke.internal.gateway import peers
from persimmonyoke.internal.gateway.change_parts import ChangesPart
from persimmonyoke.internal.gateway.clocks import boot_time_s
from persimmonyoke.internal.gateway.digest_messages import (
    DigestMessage,
    encode_digest,
    with_sequence,
)
from persimmonyoke.internal.gateway.paced_sender import PacedSender
from persimmonyoke.internal.gateway.peer_group import (
    CHANGED_INTERVAL_S,
    PeerGroup,
    send_interval_s,
)
from persimmonyoke.internal.gateway.peer_messages import (
    FORMAT,
    PeerMessage,
    decode_datagram,
    encode_message,
    peer_state,
)
from persimmonyoke.internal.gateway.peers import (
    MAX_FAR_DATAGRAMS_PER_S,
    MAX_NEAR_DATAGRAMS_PER_S,
    MAX_RECEIVED_AT_ONCE,
    PeerLink,
)
from persimmonyoke.internal.gateway.state import PartPlacement
from persimmonyoke_testing.builders_fleet import host
from persimmonyoke_testing.builders_gateway import gateway_state, peer_message

SENT = 200
NOW_S = 100.0


class MalformedDatagramTest(unittest.TestCase):
    """Test that one datagram cannot end the exchange with all peers."""

    def setUp(self):
        self.log = []
        self.state = gateway_state(log=self.log)
        self.link = PeerLink(self.state)
        self.port = self.link.start("127.0.0.1", 0)
        self.addCleanup(self.link.stop)
        self.sender = socket.socket(type=socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)

    def send(self, data):
        self.sender.sendto(data, ("127.0.0.1", self.port))
        gevent.sleep(0.05)

    def hears(self, name):
        self.state.hosts.put(host(name), now_s=0.0)
        self.send(encode_message(peer_message(name)))
        return self.state.hosts.takes_callers(name, time.monotonic())

    def test_numbers_out_of_range_are_ignored(self):
        # They raised an OverflowError, which ended the task that receives.
        for number in (float("inf"), float("nan"), 10**400, -(10**400)):
            for position in (3, 6, 10, 11, 12, 13):
                fields = cbor2.loads(encode_message(peer_message()))
                fields[position] = number
                self.send(cbor2.dumps(fields))
        self.assertEqual(self.link.malformed, 24)
        self.assertTrue(self.hears("host-2"))

    def test_an_unexpected_error_is_logged_and_later_datagrams_are_heard(self):
        with mock.patch.object(self.state.hosts, "note_peer", side_effect=KeyError):
            self.send(encode_message(peer_message("host-3")))
        self.assertTrue(any("datagram_failed" in line for line in self.log))
        self.assertTrue(self.hears("host-2"))

    def test_an_unexpected_error_ends_neither_sending_nor_gossip(self):
        sends = []

        def fail(*_args):
            sends.append(1)
            raise KeyError("unexpected")

        with mock.patch.object(self.state.hosts, "peers", side_effect=fail):
            gevent.sleep(4 * CHANGED_INTERVAL_S)
        self.assertGreater(len(sends), 1)


class QueuedDatagramTest(unittest.TestCase):
    """A host that stood still took what peers had said before for news."""

    def setUp(self):
        self.state = gateway_state(log=[])
        self.link = PeerLink(self.state)
        self.port = self.link.start("127.0.0.1", 0)
        self.addCleanup(self.link.stop)
        self.sender = socket.socket(type=socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)
        gevent.sleep(0.02)

    def send(self):
        message = peer_message(store_revision=5, view_age_ms=100, store_connected=True)
        self.sender.sendto(encode_message(message), ("127.0.0.1", self.port))

    def confirmed_boot_s(self):
        return self.state.hosts.view_confirmed_boot_s(5)

    def test_a_datagram_is_no_newer_than_the_read_that_found_none(self):
        self.send()
        gevent.sleep(0.05)
        before_boot_s = boot_time_s()
        # Nothing reads the socket, as while the process is stopped.
        self.send()
        time.sleep(0.5)
        gevent.sleep(0.05)
        self.assertLess(self.confirmed_boot_s(), before_boot_s)

    def test_datagrams_that_arrive_in_turn_confirm_the_view(self):
        self.send()
        gevent.sleep(0.3)
        sent_boot_s = boot_time_s()
        for _ in range(3):
            self.send()
            gevent.sleep(0.05)
        self.assertGreater(self.confirmed_boot_s(), sent_boot_s - 0.15)


class UnregisteredHostTest(unittest.TestCase):
    def test_a_host_without_a_registration_is_told_of_states_and_changes(self):
        # The store turned it away, so that its lease ended, and its peers told it
        # nothing any more.
        state = gateway_state(log=[])
        link = PeerLink(state)
        link.start("127.0.0.1", 0)
        self.addCleanup(link.stop)
        receiver = socket.socket(type=socket.SOCK_DGRAM)
        receiver.bind(("127.0.0.1", 0))
        self.addCleanup(receiver.close)
        now_s, port = time.monotonic(), receiver.getsockname()[1]
        state.hosts.put(host("host-2", port=port), now_s=now_s)
        state.note_peer("host-2", peer_state(peer_message(), now_s), now_s)
        state.hosts.remove("host-2", now_s=now_s)
        link.forward_changes(RelayedChanges(1, b"changes"))
        received = set()
        with gevent.Timeout(2.0):
            while received != {PeerMessage, ChangesPart}:
                message = decode_datagram(receiver.recv(8_192), now_s=now_s)
                received.add(type(message))


class WeakLinkTest(unittest.TestCase):
    """A watcher with a link of 10 Mbit/s forwards a change of 57 KB to 24 hosts."""

    def setUp(self):
        self.state = gateway_state(log=[], link_mbit_per_s=10.0)
        self.link = PeerLink(self.state)
        self.sent = []
        self.link._changes = PacedSender(self.note_sent, self.link._budget)
        for number in range(25):
            entry = host(f"host-{number}", port=number + 1)
            self.state.hosts.put(entry, now_s=time.monotonic())

    def note_sent(self, receiver, data):
        self.sent.append((receiver.name, time.monotonic(), len(data)))

    def forward(self, size_bytes):
        encoded = random.Random(1).randbytes(size_bytes)
        self.link.forward_changes(RelayedChanges(5, encoded))

    def test_a_large_change_does_not_fill_the_link(self):
        # Its requests and store calls waited for more than a second behind it.
        started_s = time.monotonic()
        self.forward(40_000)
        gevent.sleep(0.5)
        sent_bytes = sum(size for _, _, size in self.sent)
        allowed_bytes = 0.5 * 10 * BYTES_PER_MBIT * (time.monotonic() - started_s)
        burst_bytes = BURST_S * LINK_SHARE * 10 * BYTES_PER_MBIT
        self.assertLess(sent_bytes, allowed_bytes + burst_bytes)
        self.assertGreater(sent_bytes, 0)

    def test_small_changes_are_sent_to_all_at_once_and_in_order(self):
        self.forward(100)
        self.assertEqual(len({name for name, _, _ in self.sent}), 24)
        self.forward(40_000)
        self.forward(200)
        gevent.sleep(2.5)
        sizes = [size for name, _, size in self.sent if name == "host-9"]
        self.assertLess(sizes[-1], 300)

    def test_watchers_begin_at_different_hosts(self):
        # All would come late to the same hosts.
        first = set()
        for name in ("host-0", "host-1", "host-10"):
            hosts = HostView(name)
            for entry in (*self.state.hosts.peers(), host("host-1", port=2)):
                hosts.put(entry, now_s=0.0)
            first.add(hosts.forwarding_start("zone-a", 24))
        self.assertEqual(len(first), 3)


class DatagramTest(unittest.TestCase):
    def test_a_large_fleet_is_not_flooded_with_datagrams(self):
        for bound in (MAX_NEAR_DATAGRAMS_PER_S, MAX_FAR_DATAGRAMS_PER_S):
            for peer_count in (0, 5, 84, 300):
                sent_per_s = peer_count / send_interval_s(peer_count, bound)
                self.assertLessEqual(sent_per_s, bound + 0.001)
            self.assertEqual(send_interval_s(5, bound), CHANGED_INTERVAL_S)

    def test_each_placement_is_sent_once_to_each_group(self):
        # Hosts of other zones get fewer messages, but must not miss a placement.
        near, far = PeerGroup(250), PeerGroup(100)
        near.set_size(20)
        far.set_size(63)
        messages = {"near": [], "far": []}
        for step in range(40):
            now_s = 100.0 + step * CHANGED_INTERVAL_S
            placement = PartPlacement(f"part-{step}", "e1", 0)
            for name, group in (("near", near), ("far", far)):
                group.add([placement], [step])
                message = group.due_message(peer_message(), now_s=now_s)
                messages[name].append(message)
        near_messages = [m for m in messages["near"] if m is not None]
        far_messages = [m for m in messages["far"] if m is not None]
        self.assertGreater(len(near_messages), 3 * len(far_messages))
        parts = [p.part_id for m in far_messages for p in m.placements]
        self.assertEqual(parts, [f"part-{step}" for step in range(len(parts))])
        self.assertGreater(len(parts), 20)

    def test_unchanged_state_is_sent_rarely(self):
        group = PeerGroup(250)
        group.set_size(5)
        steps = [100.0 + step * CHANGED_INTERVAL_S for step in range(100)]
        sent = [group.due_message(peer_message(), now_s=at_s) for at_s in steps]
        self.assertLessEqual(sum(1 for m in sent if m is not None), 21)

    def test_message_round_trip(self):
        message = peer_message(
            work={"e1": ReplicaWork(0.25, 3, 9_000)},
            placements=(PartPlacement("aa", "e1", 120),),
            queued_ms=450,
            suspects=("e2",),
            store_contact_ms=1_250,
            view_age_ms=340,
        )
        decoded = decode_datagram(encode_message(message), now_s=NOW_S)
        self.assertEqual(decoded, message)
        # Ages change all the time and are excluded from the comparison of messages.
        self.assertEqual((decoded.store_contact_ms, decoded.view_age_ms), (1_250, 340))

    def test_datagrams_in_other_formats_are_rejected(self):
        for raw in (b"", b"\xff\xff", cbor2.dumps({}), cbor2.dumps([FORMAT])):
            with self.subTest(raw), self.assertRaises(ProtocolError):
                decode_datagram(raw, now_s=NOW_S)

    def test_datagram_with_one_malformed_field_is_rejected(self):
        # The unchanged fields must decode: with an unknown format number, every case
        # would be rejected for that alone.
        fields = cbor2.loads(encode_message(peer_message()))
        decode_datagram(cbor2.dumps(fields), now_s=NOW_S)
        malformed = {
            "format": (0, 9),
            "config_version": (3, "x"),
            "work": (4, {"e": 5}),
            "placements": (5, [["part"]]),
            "queued_ms": (6, None),
            "suspects": (7, 5),
            "refused": (8, ["x"]),
            "store_contact_ms": (11, "x"),
        }
        for name, (position, value) in malformed.items():
            changed = [*fields[:position], value, *fields[position + 1 :]]
            with self.subTest(name), self.assertRaises(ProtocolError):
                decode_datagram(cbor2.dumps(changed), now_s=NOW_S)


class ReceiveTest(unittest.TestCase):
    def setUp(self):
        self.state = gateway_state(log=[])
        self.work_notifications = 0
        self.state.on_peer_work = self.count_work_notification
        self.link = PeerLink(self.state)
        self.address = ("127.0.0.1", self.link.start("127.0.0.1", 0))
        self.addCleanup(self.link.stop)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)

    def count_work_notification(self):
        self.work_notifications += 1

    def send(self, number):
        work = {f"replica-{number}": ReplicaWork(0.0, running=1)}
        message = peer_message(f"host-{number + 2}", work=work)
        self.sender.sendto(encode_message(message), self.address)

    def applied_count(self):
        totals = (
            self.state.ledger.total(f"replica-{number}", now_s=0.0)
            for number in range(SENT)
        )
        return sum(total.running for total in totals)

    def wait_until_all_are_applied(self):
        with gevent.Timeout(5):
            while self.applied_count() < SENT:
                gevent.sleep(0.01)

    def test_datagrams_that_arrive_together_wake_the_host_once(self):
        # A wake-up and a check of the queue for each datagram made a simulated day of
        # the largest deployment exceed its processor time limit.
        for number in range(SENT):
            self.send(number)
        self.wait_until_all_are_applied()
        self.assertLessEqual(self.work_notifications, SENT // MAX_RECEIVED_AT_ONCE + 2)

    def test_the_pause_between_reads_is_short_against_the_interval_of_reports(self):
        # Hosts of a small deployment send every 50 ms. With pauses of 15 ms between
        # reads, their knowledge of the engines' work was less current.
        pauses_s = []

        def note_pause(duration_s):
            if duration_s < CHANGED_INTERVAL_S:
                pauses_s.append(duration_s)
            gevent.sleep(duration_s)

        # Record only the pauses of this module; tasks of other tests may still run.
        module = mock.Mock(wraps=gevent)
        module.sleep.side_effect = note_pause
        with mock.patch.object(peers, "gevent", module):
            self.send(0)
            gevent.sleep(0.1)
        self.assertTrue(pauses_s)
        self.assertLessEqual(max(pauses_s), 0.1 * CHANGED_INTERVAL_S)

    def test_datagrams_after_an_idle_period_are_received(self):
        # The receiver must wake up again after it has found no datagrams.
        self.send(0)
        gevent.sleep(0.1)
        for number in range(1, SENT):
            self.send(number)
        self.wait_until_all_are_applied()

    def test_other_tasks_run_while_datagrams_keep_arriving(self):
        # A flood of datagrams must not block the serving of requests.
        for number in range(SENT):
            self.send(number)
        gevent.sleep(0)
        gevent.sleep(0)
        self.assertLess(self.applied_count(), SENT)
        self.wait_until_all_are_applied()

    def test_aggregates_are_ignored_in_a_small_deployment(self):
        # The host gets the work of each host directly and would count it twice.
        work = {"replica-0": ReplicaWork(0.0, running=5)}
        digest = DigestMessage("host-2", "zone-a", WorkDigest(0, work))
        self.state.hosts.put(host("host-2"), now_s=time.monotonic())
        self.sender.sendto(with_sequence(encode_digest(digest), 0), self.address)
        gevent.sleep(0.1)
        self.assertEqual(self.applied_count(), 0)


class SendTest(unittest.TestCase):
    PEERS = 72

    def setUp(self):
        self.state = gateway_state(log=[])
        self.collected = 0
        self.state.take_placements = self.count_collected
        self.link = PeerLink(self.state)

    def count_collected(self):
        self.collected += 1
        return []

    def run_for(self, duration_s):
        started_s = time.monotonic()
        self.link.start("127.0.0.1", 0)
        self.addCleanup(self.link.stop)
        gevent.sleep(duration_s)
        return time.monotonic() - started_s

    def test_updates_do_not_accumulate_without_peers(self):
        # Otherwise placements accumulate for as long as the host has no peers.
        self.run_for(0.3)
        self.assertGreater(self.collected, 0)

    def test_a_state_that_is_not_sent_is_not_collected(self):
        # With many peers a message is due only every 0.3 s. Collecting the state every
        # 0.05 s takes processor time from requests.
        for number in range(self.PEERS):
            self.state.hosts.put(host(f"peer-{number}"), now_s=0.0)
        elapsed_s = self.run_for(1.0)
        interval_s = send_interval_s(self.PEERS, MAX_NEAR_DATAGRAMS_PER_S)
        self.assertGreaterEqual(self.collected, 2)
        self.assertLessEqual(self.collected, elapsed_s / interval_s + 1)


if __name__ == "__main__":
    unittest.main()
