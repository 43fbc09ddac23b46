"""Test the rate limit of watch calls, for the events of a start and single ones."""

import random
import unittest

from persimmonyoke.internal.fleet.watch_pacing import WatchPacer

SEED = 7
STORE_S = 0.004
WAIT_S = 2.5


def replay_watch(events_s: list[float], pacer: WatchPacer, end_s: float):
    """Return the number of calls and the delay of each event."""
    now_s, seen, calls, late_s = 0.0, 0, 0, []
    while now_s < end_s:
        now_s += pacer.next_call_delay_s(now_s)
        calls += 1
        pending = [at_s for at_s in events_s[seen:] if at_s <= now_s]
        if not pending:
            coming = events_s[seen] if seen < len(events_s) else float("inf")
            now_s = min(now_s + WAIT_S, max(now_s, coming))
            pending = [at_s for at_s in events_s[seen:] if at_s <= now_s]
        now_s += STORE_S
        late_s.extend(now_s - at_s for at_s in pending)
        seen += len(pending)
    return calls, late_s


class WatchPacerTest(unittest.TestCase):
    def test_registrations_of_a_large_fleet_cost_few_calls(self):
        # 73 hosts and 73 replicas that register within 8 s wake each host 146 times.
        print(f"seed {SEED}")
        rng = random.Random(SEED)
        events_s = sorted(rng.uniform(0.0, 8.0) for _ in range(146))
        calls, late_s = replay_watch(events_s, WatchPacer(), 10.0)
        self.assertEqual(len(late_s), 146)
        self.assertLessEqual(calls, 25)

    def test_an_event_after_quiet_is_seen_at_once(self):
        # Requests are sent to a lost engine until its removal is seen.
        events_s = [10.0, 10.1, 20.0]
        _, late_s = replay_watch(events_s, WatchPacer(), 30.0)
        self.assertLess(max(late_s), 0.02)

    def test_no_event_waits_for_longer_than_one_turn(self):
        # Settings must be in force within three seconds, even in a burst of events.
        events_s = [0.01 * number for number in range(500)]
        _, late_s = replay_watch(events_s, WatchPacer(), 8.0)
        self.assertEqual(len(late_s), 500)
        self.assertLess(max(late_s), 0.6)
