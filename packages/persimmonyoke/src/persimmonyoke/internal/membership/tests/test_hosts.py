"""Tests of the host view and of the selection of addresses for callers."""

import random
import unittest
from collections import Counter

from persimmonyoke.internal.membership.addresses import choose_addresses
from persimmonyoke_testing.builders_membership import (
    ListedHostStub,
    beat,
    listed_hosts,
    live_view,
)

SEED = 11


class HostViewTest(unittest.TestCase):
    def names(self, view, now_s):
        return [host.name for host in view.live_hosts(now_s)]

    def test_a_host_stays_a_member_until_it_is_both_unlisted_and_silent(self):
        # A single lagging or failed source must not remove a live host.
        view = live_view(2)
        view.note_heartbeat(beat("host-0", sequence=2), 9.0)
        self.assertEqual(self.names(view, 10.0), ["host-0", "host-1"])
        view.merge_host_list((), 10.0)
        self.assertEqual(self.names(view, 10.0), ["host-0"])

    def test_a_leaving_mark_is_final_for_the_incarnation(self):
        # A late heartbeat or list must not bring a draining host back.
        view = live_view(2)
        view.note_leaving("host-0", "i1", 1.0)
        view.note_heartbeat(beat("host-0", sequence=2), 1.5)
        view.merge_host_list(listed_hosts(2), 2.0)
        self.assertEqual(self.names(view, 2.0), ["host-1"])
        view.note_heartbeat(beat("host-0", sequence=3, incarnation="i2"), 3.0)
        self.assertEqual(self.names(view, 3.0), ["host-0", "host-1"])

    def test_a_lagging_list_does_not_mark_the_next_incarnation(self):
        # The list still shows the host as leaving for seconds after its replacement has
        # started.
        view = live_view(1)
        leaving = (ListedHostStub("host-0", "leaving"),)
        view.merge_host_list(leaving, 1.0)
        self.assertEqual(self.names(view, 1.0), [])
        view.note_heartbeat(beat("host-0", sequence=5, incarnation="i2"), 2.0)
        view.merge_host_list(leaving, 2.0)
        self.assertEqual(self.names(view, 2.0), ["host-0"])

    def test_only_other_hosts_that_are_not_silent_confirm_a_revision(self):
        # A revision held only by this host or by dead peers can still be lost.
        view = live_view(4)
        for host, revision in enumerate((7, 6, 8, 7)):
            beat_7 = beat(f"host-{host}", sequence=2, revision=revision)
            view.note_heartbeat(beat_7, 9.0 if host < 3 else 4.0)

        def count(number):
            return view.count_with_revision(number, excluding="host-0", now_s=10.0)

        self.assertEqual([count(number) for number in (6, 7, 9)], [2, 1, 0])

    def test_a_late_beat_of_an_earlier_incarnation_is_ignored(self):
        # Relayed beats may arrive after the host was replaced.
        view = live_view(1)
        view.note_heartbeat(beat("host-0", sequence=9, incarnation="i2"), 1.0)
        self.assertFalse(view.note_heartbeat(beat("host-0", sequence=8), 1.1))
        self.assertTrue(view.is_incarnation_dead("host-0", "i1", 1.1))
        self.assertFalse(view.is_incarnation_dead("host-0", "i2", 1.1))


class AddressTest(unittest.TestCase):
    def draw(self, view, loads, *, rounds=400, zone="accra-a", now_s=0.0):
        rng = random.Random(SEED)
        answers = [
            choose_addresses(
                view, caller_zone=zone, load_by_host=loads, now_s=now_s, rng=rng
            ).addresses
            for _ in range(rounds)
        ]
        return Counter(answer[0] for answer in answers if answer), answers

    def test_draining_silent_and_overloaded_hosts_are_left_out(self):
        view = live_view(6)
        view.note_leaving("host-0", "i1", 0.0)
        for number in (0, 1, 3, 4, 5):
            view.note_heartbeat(beat(f"host-{number}", sequence=2), 2.0)
        _, answers = self.draw(view, {"host-3": 0.99}, now_s=4.0)
        named = set().union(*answers)
        self.assertEqual(named, {"10.0.0.1", "10.0.0.4", "10.0.0.5"})

    def test_with_all_hosts_overloaded_callers_still_get_addresses(self):
        # With an empty answer, callers would not even get a refusal from a host.
        loads = {f"host-{i}": 1.2 for i in range(3)}
        firsts, _ = self.draw(live_view(3), loads)
        self.assertGreater(len(firsts), 0)

    def test_callers_stay_in_their_zone_until_it_is_nearly_full(self):
        view = live_view(6)
        firsts, _ = self.draw(view, {"host-0": 0.5, "host-3": 0.6})
        self.assertEqual(set(firsts), {"10.0.0.0", "10.0.0.3"})
        full = {"host-0": 0.92, "host-3": 0.92}
        firsts, _ = self.draw(view, {**full, "host-1": 0.2, "host-2": 0.2})
        own = firsts["10.0.0.0"] + firsts["10.0.0.3"]
        self.assertGreater(own, 0)
        self.assertLess(own, 200)

    def test_repeated_feedback_rounds_do_not_swing_callers_to_one_host(self):
        # If all callers chose the least loaded host, they would overload it in the next
        # round.
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        view = live_view(7)
        loads = {f"host-{i}": 0.9 if i else 0.0 for i in range(7)}
        callers, capacity = 700, 200.0
        worst = []
        for _ in range(30):
            counts = Counter()
            for caller in range(callers):
                zone = ("accra-a", "tema-b", "kasoa-c")[caller % 3]
                answer = choose_addresses(
                    view, caller_zone=zone, load_by_host=loads, now_s=0.0, rng=rng
                )
                counts[answer.addresses[0].replace("10.0.0.", "host-")] += 1
            # A third of the callers ask again in each round, so loads change slowly.
            loads = {
                name: load * 2 / 3 + counts[name] / capacity / 3
                for name, load in loads.items()
            }
            worst.append(max(loads.values()) / (sum(loads.values()) / len(loads)))
        self.assertLess(max(worst[10:]), 1.4)

    def test_callers_that_start_together_do_not_keep_asking_together(self):
        # A burst of requests is distributed by loads that do not include it yet.
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        view, max_age_s = live_view(6), 3.0
        asked_s = []
        for _ in range(200):
            now_s = rng.random()
            while now_s < 10 * max_age_s:
                answer = choose_addresses(
                    view,
                    caller_zone="accra-a",
                    load_by_host={},
                    now_s=0.0,
                    rng=rng,
                    max_age_s=max_age_s,
                )
                self.assertLessEqual(answer.max_age_s, max_age_s)
                now_s += answer.max_age_s
                asked_s.append(now_s)
        late = Counter(int(at_s) for at_s in asked_s if 20.0 <= at_s < 29.0)
        mean = sum(late.values()) / 9
        # Callers that stay synchronised ask within one second of each three, which is
        # three times the mean.
        self.assertLess(max(late.values()), 1.5 * mean)
