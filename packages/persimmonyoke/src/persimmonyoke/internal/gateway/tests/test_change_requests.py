"""Test what a host tells peers that missed changes of the store."""

import unittest

import gevent

from persimmonyoke.errors import HistoryLost, StoreUnavailable
from persimmonyoke.internal.fleet.interfaces import (
    ChangesRequest,
    ReplicaUpdated,
    StoreChanges,
)
from persimmonyoke.internal.fleet.recent_changes import RecentChanges
from persimmonyoke.internal.fleet.store_revision import join_revision
from persimmonyoke.internal.gateway.change_requests import MAX_ANSWERING, ChangeServer
from persimmonyoke_testing.builders_fleet import engine
from persimmonyoke_testing.builders_gateway import gateway_state
from persimmonyoke_testing.gated_store import GatedStore


class ChangeServerTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.store = GatedStore()
        self.state = gateway_state(log=self.log)
        self.state.store_connected = True
        self.recent = RecentChanges()
        self.server = ChangeServer(self.state, self.store, self.recent)
        self.sent = []

    def send(self, changes):
        self.sent.append(changes)
        return 1

    def ask(self, *, after_revision=1, tunnel_key=None):
        key = self.state.tunnel_key if tunnel_key is None else tunnel_key
        request = ChangesRequest("host-2", after_revision, key)
        self.state.on_changes_requested(request, self.send)
        gevent.sleep(0.05)
        return self.sent

    def lose_history(self, error):
        def changes(**_call):
            raise error("gone")

        self.store.changes = changes

    def test_a_peer_gets_what_the_store_says_now(self):
        relayed = self.store.relay(ReplicaUpdated(engine("a")))
        self.assertEqual(self.ask(), [relayed])

    def test_a_peer_beyond_the_history_of_the_store_gets_all_entries(self):
        self.store.publish(ReplicaUpdated(engine("a")))
        self.lose_history(HistoryLost)
        (changes,) = self.ask()
        decoded = self.store.decode_changes(changes.encoded)
        self.assertEqual(decoded.events, self.store.events)

    def test_without_the_store_a_peer_gets_what_was_applied_before(self):
        # Hosts that know different changes can't tell which of them is up to date.
        self.state.store_connected = False
        self.recent.note(1, 2, b"kept")
        (changes,) = self.ask()
        self.assertEqual(changes.encoded, b"kept")
        self.assertEqual(self.store.watch_calls, 0)

    def test_a_peer_gets_what_was_applied_though_the_store_falls_silent(self):
        # The host still counted as connected, so its requests ended without an answer.
        self.recent.note(1, 2, b"kept")
        self.lose_history(StoreUnavailable)
        (changes,) = self.ask()
        self.assertEqual(changes.encoded, b"kept")

    def test_the_store_is_asked_only_for_what_was_not_applied(self):
        # A change of the configuration would be sent twice.
        asked = []
        self.recent.note(1, 2, b"kept")

        def changes(**call):
            asked.append(call["after_revision"])
            return StoreChanges((), 2, b"nothing")

        self.store.changes = changes
        self.assertEqual([c.encoded for c in self.ask()], [b"kept", b"nothing"])
        self.assertEqual(asked, [2])
        self.assertEqual([c.is_recent for c in self.sent], [False, True])

    def test_entries_that_were_read_are_given_though_the_store_falls_silent(self):
        # Hosts read all entries when the store drops its history, and then could tell
        # nothing of the changes before.
        self.store.publish(ReplicaUpdated(engine("a")))
        self.recent.note_entries(self.store.snapshot())
        self.recent.note(2, 3, b"kept")
        self.lose_history(StoreUnavailable)
        entries, changes = self.ask()
        self.assertEqual(entries.after_revision, 1)
        decoded = self.store.decode_changes(entries.encoded)
        self.assertEqual(decoded.events, self.store.events)
        self.assertEqual((changes.after_revision, changes.encoded), (2, b"kept"))

    def test_a_host_that_has_not_read_the_entry_gets_nothing(self):
        # Entries hold the keys of all hosts.
        for key in ("", "other", "\u00e9"):
            self.assertEqual(self.ask(tunnel_key=key), [])

    def test_a_host_of_another_era_gets_nothing(self):
        # It would take the revisions for those of its own era.
        self.assertEqual(self.ask(after_revision=join_revision(2, 1)), [])

    def test_a_failure_of_the_store_is_logged_and_later_requests_are_answered(self):
        self.lose_history(StoreUnavailable)
        for _ in range(2 * MAX_ANSWERING):
            self.ask()
        self.assertEqual(self.sent, [])
        self.assertTrue(any("changes_not_served" in line for line in self.log))
        del self.store.changes
        self.assertEqual(len(self.ask()), 1)


if __name__ == "__main__":
    unittest.main()
