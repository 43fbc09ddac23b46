"""Test which entry hosts are offered to callers."""

import unittest

from persimmonyoke.internal.fleet.hosts import (
    MAX_MESH_HOSTS,
    PEER_DISCOVERY_S,
    PEER_TIMEOUT_S,
    WATCHER_TIMEOUT_S,
    HostView,
    PeerState,
)
from persimmonyoke_testing.builders_fleet import host

NOW_S = 100.0


def view(*, ready=True, heard_s=NOW_S):
    hosts = HostView("host-1")
    for number in (1, 2, 3):
        hosts.put(host(f"host-{number}", port=number), now_s=0.0)
    hosts.note_peer("host-2", PeerState(heard_s, ready, 7))
    hosts.note_peer("host-3", PeerState(NOW_S, True, 9))
    return hosts


def ports(hosts, *, own_ready=True, now_s=NOW_S):
    addresses = hosts.addresses(
        own=host("host-1", port=1), own_ready=own_ready, now_s=now_s, limit=64
    )
    return [int(address.rsplit(":", 1)[1]) for address in addresses]


class AddressesTest(unittest.TestCase):
    def test_all_ready_hosts_are_named(self):
        self.assertEqual(ports(view()), [1, 2, 3])

    def test_a_host_that_says_it_leaves_is_left_out_before_its_entry_ends(self):
        self.assertEqual(ports(view(ready=False)), [1, 3])

    def test_a_silent_host_is_left_out(self):
        # The entry of a host that lost power stays until its lease expires.
        self.assertEqual(ports(view(heard_s=NOW_S - PEER_TIMEOUT_S - 0.1)), [1, 3])

    def test_a_stopping_host_does_not_name_itself(self):
        self.assertEqual(ports(view(), own_ready=False), [2, 3])

    def test_a_host_cut_off_from_all_others_names_itself_only(self):
        self.assertEqual(ports(view(), now_s=NOW_S + 60), [1])

    def test_a_host_that_has_just_registered_is_named_before_it_is_heard(self):
        hosts = view()
        hosts.put(host("host-4", port=4), now_s=NOW_S)
        self.assertIn(4, ports(hosts))


class WatcherTest(unittest.TestCase):
    def view_of(self, own_name, *, zone="akl", **changes):
        hosts = HostView(own_name)
        for number in range(7):
            name = f"host-{number}"
            hosts.put(host(name, port=number, zone=zone), now_s=0.0)
            values = {"heard_s": NOW_S, "store_connected": True, **changes}
            state = PeerState(ready=True, config_version=1, **values)
            hosts.note_peer(name, state)
        return hosts

    def watchers(self, **options):
        names = [f"host-{number}" for number in range(7)]
        return [
            name
            for name in names
            if self.view_of(name, **options).watches_store("akl", NOW_S)
        ]

    def test_three_hosts_of_a_zone_watch_for_all(self):
        # Each store event woke all of 85 hosts, each of which made a call.
        self.assertEqual(self.watchers(), ["host-0", "host-1", "host-2"])

    def test_hosts_that_do_not_answer_are_replaced(self):
        late_s = NOW_S - WATCHER_TIMEOUT_S - 0.1
        self.assertEqual(len(self.watchers(heard_s=late_s)), 7)
        self.assertEqual(len(self.watchers(store_connected=False)), 7)

    def test_hosts_that_start_together_leave_the_watch_to_the_first_ones(self):
        # Each of 195 hosts watched until it had heard the others, with five calls each.
        started = HostView("host-6")
        entries = [host(f"host-{number}", zone="akl") for number in range(7)]
        started.replace_all(entries, now_s=NOW_S)
        self.assertFalse(started.watches_store("akl", NOW_S + 0.1))
        # The preceding hosts may not be running at all.
        self.assertTrue(started.watches_store("akl", NOW_S + PEER_DISCOVERY_S))

    def test_hosts_of_other_zones_are_not_relied_on(self):
        self.assertEqual(len(self.watchers(zone="ham")), 7)

    def test_the_newest_revision_is_that_of_a_peer_that_is_heard(self):
        hosts = self.view_of("host-6", store_revision=40)
        hosts.note_peer("host-1", PeerState(NOW_S - 60.0, True, 1, True, 90))
        self.assertEqual(hosts.newest_revision(NOW_S), 40)


class DutyOrderTest(unittest.TestCase):
    """Duties for a zone went to the first names, also of hosts with a weak link."""

    def hosts(self, **links):
        view = HostView("host-2")
        for name, link_mbit_per_s in links.items():
            entry = host(name.replace("_", "-"), link_mbit_per_s=link_mbit_per_s)
            view.put(entry, now_s=0.0)
        return view

    def order(self, view, now_s=NOW_S):
        return [entry.name for entry in view.members("zone-a", now_s)]

    def test_hosts_with_the_fastest_links_come_first(self):
        view = self.hosts(host_1=10.0, host_2=10.0, host_10=10.0, host_3=200.0)
        names = ["host-3", "host-1", "host-10", "host-2"]
        self.assertEqual(self.order(view), names)
        self.assertEqual([e.name for e in view.registered("zone-a")], names)

    def test_a_host_that_tells_no_link_leaves_all_in_the_order_by_name(self):
        # Hosts of an earlier build know no other one, and would collect beside others.
        view = self.hosts(host_1=10.0, host_2=0.0, host_3=200.0)
        self.assertEqual(self.order(view), ["host-1", "host-2", "host-3"])

    def test_a_host_without_a_registration_keeps_its_place_while_it_is_heard(self):
        view = self.hosts(host_1=10.0, host_2=10.0, host_3=200.0)
        view.note_peer("host-3", PeerState(NOW_S, True, 7))
        view.remove("host-3", now_s=NOW_S)
        self.assertEqual(self.order(view)[0], "host-3")
        self.assertEqual(self.order(view, NOW_S + 60.0), ["host-1", "host-2"])

    def test_hosts_with_the_fastest_links_watch_the_store(self):
        # A watcher passes each change on to its zone, and a large one fills its link.
        links = {f"host_{number}": 10.0 for number in range(1, 8)}
        view = self.hosts(**links, host_8=200.0, host_9=200.0, host_91=200.0)
        for entry in view.peers():
            state = PeerState(NOW_S, True, 7, store_connected=True)
            view.note_peer(entry.name, state)
        self.assertFalse(view.watches_store("zone-a", NOW_S))


class PeersKnowledgeTest(unittest.TestCase):
    """Hosts joined streams of two versions as nobody had told them of a change."""

    def knows_more(self, *states):
        hosts = HostView("host-1")
        for number in range(1, 6):
            hosts.put(host(f"host-{number}", port=number), now_s=0.0)
        for name, heard_s, connected, revision in states:
            state = PeerState(heard_s, True, 7, connected, revision)
            hosts.note_peer(name, state)
        return not hosts.no_peer_knows_more(40, since_s=NOW_S)

    def test_peers_at_this_revision_without_store_know_no_more(self):
        second, third = ("host-2", NOW_S, False, 40), ("host-3", NOW_S, False, 39)
        self.assertFalse(self.knows_more(second, third))

    def test_a_minority_that_hears_no_others_may_know_less(self):
        # A zone that is cut off hears itself only.
        second = ("host-2", NOW_S, False, 40)
        self.assertTrue(self.knows_more(second))
        self.assertTrue(self.knows_more(second, ("host-3", NOW_S - 0.1, False, 40)))

    def test_hosts_that_were_killed_are_not_waited_for(self):
        # While the store was away, one killed host had all resumptions refused.
        second, third = ("host-2", NOW_S, False, 40), ("host-3", NOW_S, False, 40)
        self.assertFalse(self.knows_more(second, third))
        self.assertFalse(self.knows_more(second, third, ("host-4", 0.0, True, 41)))

    def test_a_peer_with_a_store_or_a_later_revision_may_know_more(self):
        second = ("host-2", NOW_S, False, 40)
        for connected, revision in ((True, 40), (False, 41)):
            third = ("host-3", NOW_S, connected, revision)
            self.assertTrue(self.knows_more(second, third))

    def test_a_peer_that_has_started_again_says_nothing(self):
        second, third = ("host-2", NOW_S, False, 40), ("host-3", NOW_S, False, 0)
        self.assertTrue(self.knows_more(second, third))

    def test_a_host_that_is_not_registered_here_may_know_more(self):
        known = [(f"host-{number}", NOW_S, False, 40) for number in (2, 3)]
        self.assertTrue(self.knows_more(*known, ("host-9", NOW_S, True, 50)))


class UnregisteredHostTest(unittest.TestCase):
    """A host that the store turned away heard nothing after its lease had ended."""

    def setUp(self):
        self.hosts = HostView("host-1")
        for number in (1, 2, 3):
            self.hosts.put(host(f"host-{number}", port=number), now_s=NOW_S)

    def unregistered(self, now_s=NOW_S):
        return [entry.name for entry in self.hosts.unregistered(now_s)]

    def test_a_host_that_is_heard_without_an_entry_is_told_what_happens(self):
        self.hosts.note_peer("host-2", PeerState(NOW_S, True, 7))
        self.hosts.remove("host-2", now_s=NOW_S)
        self.assertEqual(self.unregistered(), ["host-2"])
        self.assertNotIn("host-2", [entry.name for entry in self.hosts.peers()])

    def test_a_host_that_a_snapshot_lacks_is_told_as_well(self):
        self.hosts.note_peer("host-3", PeerState(NOW_S, True, 7))
        self.hosts.replace_all([host("host-1"), host("host-2")], now_s=NOW_S)
        self.assertEqual(self.unregistered(), ["host-3"])

    def test_a_host_that_has_ended_is_told_no_more(self):
        self.hosts.note_peer("host-2", PeerState(NOW_S, True, 7))
        self.hosts.remove("host-2", now_s=NOW_S)
        self.assertEqual(self.unregistered(NOW_S + 2 * PEER_TIMEOUT_S), [])

    def test_hosts_that_lose_their_registration_do_not_end_the_relay(self):
        # They can't know it, and went on with collectors that the others ignored.
        hosts = HostView("host-0")
        for number in range(MAX_MESH_HOSTS + 1):
            hosts.put(host(f"host-{number}", port=number + 1), now_s=0.0)
            hosts.note_peer(f"host-{number}", PeerState(NOW_S, True, 7))
        for number in range(10, MAX_MESH_HOSTS + 1):
            hosts.remove(f"host-{number}", now_s=NOW_S)
        self.assertTrue(hosts.needs_relay(NOW_S))
        self.assertFalse(hosts.needs_relay(NOW_S + 60.0))

    def test_a_host_that_is_registered_again_is_a_peer(self):
        self.hosts.note_peer("host-2", PeerState(NOW_S, True, 7))
        self.hosts.remove("host-2", now_s=NOW_S)
        self.hosts.put(host("host-2", port=9), now_s=NOW_S)
        self.assertEqual(self.unregistered(), [])


class PeersToAskTest(unittest.TestCase):
    def asked(self, *states):
        hosts = HostView("host-1")
        for number in range(1, 5):
            entry = host(f"host-{number}", port=number, tunnel_key=f"key-{number}")
            hosts.put(entry, now_s=0.0)
        for name, connected, revision in states:
            hosts.note_peer(name, PeerState(NOW_S, True, 7, connected, revision))
        return [entry.name for entry in hosts.peers_to_ask(40, NOW_S)]

    def test_a_peer_that_reaches_the_store_is_asked_before_others(self):
        # Only the store can tell that there is nothing newer.
        states = ("host-2", False, 50), ("host-3", True, 40)
        self.assertEqual(self.asked(*states), ["host-3"])

    def test_of_those_that_reach_the_store_the_ones_ahead_are_asked(self):
        # A peer that was behind itself answered that there was nothing newer.
        states = ("host-2", True, 40), ("host-3", True, 50), ("host-4", False, 60)
        self.assertEqual(self.asked(*states), ["host-3"])

    def test_without_the_store_the_peers_that_are_ahead_are_asked(self):
        states = ("host-2", False, 50), ("host-3", False, 40)
        self.assertEqual(self.asked(*states), ["host-2"])

    def test_a_host_that_is_not_heard_is_not_asked(self):
        self.assertEqual(self.asked(), [])


class SuspensionTest(unittest.TestCase):
    """What peers said before a suspension was taken for news."""

    def test_only_states_sent_since_a_boot_time_count(self):
        hosts = HostView("host-1")
        for number in (1, 2, 3):
            hosts.put(host(f"host-{number}", port=number), now_s=0.0)
        for name in ("host-2", "host-3"):
            state = PeerState(NOW_S, True, 7, False, 40, heard_boot_s=500.0)
            hosts.note_peer(name, state)
        self.assertTrue(hosts.no_peer_knew_more(40, since_boot_s=499.0))
        self.assertFalse(hosts.no_peer_knew_more(40, since_boot_s=501.0))

    def test_a_view_is_confirmed_by_peers_that_know_no_later_revision(self):
        hosts = HostView("host-1")
        for name, revision, boot_s in (("host-2", 40, 7.0), ("host-3", 41, 9.0)):
            state = PeerState(
                NOW_S, True, 7, True, revision, view_confirmed_boot_s=boot_s
            )
            hosts.note_peer(name, state)
        self.assertEqual(hosts.view_confirmed_boot_s(40), 7.0)
        self.assertEqual(hosts.view_confirmed_boot_s(41), 9.0)
        self.assertEqual(hosts.view_confirmed_boot_s(39), float("-inf"))


class ManyHostsTest(unittest.TestCase):
    def hosts(self, count, *, seen_s=NOW_S):
        hosts = HostView("host-0")
        for number in range(1, count):
            hosts.put(host(f"host-{number}", port=1_000 + number), now_s=seen_s)
        return hosts

    def named(self, hosts, zone):
        return hosts.addresses(
            own=host("host-0", port=1_000),
            own_ready=True,
            now_s=NOW_S,
            limit=64,
            caller_zone=zone,
        )

    def test_all_of_more_hosts_than_an_answer_holds_get_callers(self):
        # The hosts after the 64th in address order got no callers.
        hosts = self.hosts(85)
        answers = [self.named(hosts, zone) for zone in ("akl", "ham", "wlg", "npl")]
        self.assertEqual({len(set(answer)) for answer in answers}, {64})
        self.assertEqual(len(set().union(*answers)), 85)
        self.assertEqual(answers[0], self.named(hosts, "akl"))

    def test_callers_get_the_hosts_of_their_zone_and_some_of_each_other_zone(self):
        # A subset in address order often held hosts of one other zone only. These got
        # the callers of three zones and placed their requests by older reports.
        hosts = HostView("host-0")
        for index, zone in enumerate(("akl", "ham", "wlg")):
            for number in range(30):
                port = 1_000 + 100 * index + number
                entry = host(f"{zone}-{number}", port=port, zone=zone)
                hosts.put(entry, now_s=NOW_S)
        zones = [address.split(":")[1][1] for address in self.named(hosts, "ham")]
        self.assertEqual(zones.count("1"), 30)
        self.assertGreater(zones.count("0"), 8)
        self.assertGreater(zones.count("2"), 8)
        self.assertEqual(len(zones), 64)

    def test_peers_that_send_rarely_are_not_taken_for_silent(self):
        # 300 hosts send each other a datagram every two seconds.
        hosts = self.hosts(300, seen_s=0.0)
        hosts.set_datagram_interval(2.0)
        for number in range(1, 300):
            hosts.note_peer(f"host-{number}", PeerState(NOW_S - 3.0, True, 1))
        self.assertEqual(len(self.named(hosts, "akl")), 64)


if __name__ == "__main__":
    unittest.main()
