"""Tests of the exchange of revisions between a node and its peers."""

import time
import unittest
from unittest import mock

from persimmonyoke.internal.membership.peers import PeerService
from persimmonyoke.internal.node.configuration import ConfigurationSync
from persimmonyoke.internal.presets import ConfigurationView, encode_revision
from persimmonyoke_testing.builders_presets import (
    FIRM,
    build_revision,
    large_preset_text,
)
from persimmonyoke_testing.memory_store import MemoryStore


class ConfigurationSyncTest(unittest.TestCase):
    def setUp(self):
        self.view = ConfigurationView()
        self.sync = ConfigurationSync(MemoryStore(), self.view, firm=FIRM)
        self.addCleanup(self.sync.stop)
        self.peers = mock.create_autospec(PeerService, instance=True)
        self.sync.start(self.peers)

    def published(self):
        calls = self.peers.publish_revision.call_args_list
        return [call.args for call in calls]

    def offer(self, revision):
        self.assertTrue(self.view.offer(revision, now_s=time.monotonic()))

    def test_peers_get_a_quarter_of_the_document_and_can_read_it(self):
        # Uncompressed documents alone exceeded the bandwidth budget of a node.
        presets = {"base": large_preset_text(400)}
        revision = build_revision(3, presets=presets, active="base")
        self.offer(revision)
        ((number, payload),) = self.published()
        self.assertLess(len(payload), len(encode_revision(revision)) / 3)
        other = ConfigurationView()
        sync = ConfigurationSync(MemoryStore(), other, firm=FIRM)
        self.assertTrue(sync.receive_from_peer(number, payload))
        self.assertEqual(other.revision, revision)

    def test_a_revision_of_a_peer_is_not_published_a_second_time(self):
        # It would be sent back over the link that it came from.
        self.offer(build_revision(1))
        ((_, payload),) = self.published()
        other = ConfigurationView()
        sync = ConfigurationSync(MemoryStore(), other, firm=FIRM)
        peers = mock.create_autospec(PeerService, instance=True)
        sync.start(peers)
        self.addCleanup(sync.stop)
        self.assertTrue(sync.receive_from_peer(1, payload))
        peers.publish_revision.assert_not_called()

    def test_a_header_without_its_document_is_not_taken(self):
        # The node would be counted among those on which the revision is active.
        self.assertFalse(self.sync.receive_from_peer(1, b"PYR\x02H\x00\x00\x00\x00"))
        self.assertEqual(self.view.number, 0)
