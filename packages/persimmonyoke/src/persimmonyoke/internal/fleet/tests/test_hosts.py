"""Test which entry hosts callers are told to use."""

import unittest

from persimmonyoke.internal.fleet.hosts import PEER_SILENCE_S, HostView, PeerState
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
        # A host without power keeps its entry until its lease ends.
        self.assertEqual(ports(view(heard_s=NOW_S - PEER_SILENCE_S - 0.1)), [1, 3])

    def test_a_stopping_host_does_not_name_itself(self):
        self.assertEqual(ports(view(), own_ready=False), [2, 3])

    def test_a_host_cut_off_from_all_others_names_itself_only(self):
        self.assertEqual(ports(view(), now_s=NOW_S + 60), [1])

    def test_a_host_that_has_just_registered_is_named_before_it_is_heard(self):
        hosts = view()
        hosts.put(host("host-4", port=4), now_s=NOW_S)
        self.assertIn(4, ports(hosts))


if __name__ == "__main__":
    unittest.main()
