"""Test when a host that has just taken the order key sends orders."""

import time
import unittest
from unittest.mock import Mock, create_autospec

from persimmonyoke.internal.fleet.interfaces import FleetStore
from persimmonyoke.internal.fleet.store_era import StoreEra
from persimmonyoke.internal.fleet.store_lease import StoreLease
from persimmonyoke.internal.fleet.term import OrderRecord
from persimmonyoke.internal.gateway.orders import StageOrderController
from persimmonyoke_testing.builders_fleet import configuration
from persimmonyoke_testing.builders_gateway import gateway_state

KEY_REVISION = 50


class RegainedStoreTest(unittest.TestCase):
    """The store turned the host away while another one ordered an engine."""

    def setUp(self):
        store = create_autospec(FleetStore, instance=True)
        store.era = StoreEra()
        store.current_holder.return_value = None
        store.grant_lease.return_value = StoreLease(1, 0)
        store.acquire_term.return_value = KEY_REVISION
        self.state = gateway_state(log=[])
        self.state.configuration = configuration()
        self.state.replicas_known = True
        self.controller = StageOrderController(self.state, store)
        self.controller._order_changes = Mock()
        self.controller.note_holder(None)
        self.note_view(KEY_REVISION - 20)
        self.wait_for_key(store)

    def wait_for_key(self, store):
        until_s = time.monotonic() + 3.0
        while not store.acquire_term.called and time.monotonic() < until_s:
            self.controller._step()
            time.sleep(0.01)
        self.assertTrue(store.acquire_term.called)

    def note_view(self, revision):
        self.state.view.note_store_confirmed(
            revision, time.monotonic(), current_boot_s=0.0
        )

    def test_no_order_is_sent_before_the_records_up_to_the_key_are_known(self):
        # Two hosts ordered one engine 0.4 to 1.1 s apart (review/6).
        self.controller._step()
        self.controller._order_changes.assert_not_called()
        self.note_view(KEY_REVISION)
        self.controller.note_record(OrderRecord("host-2", 40, "a", "decode", 45))
        self.controller._step()
        self.controller._order_changes.assert_not_called()

    def test_orders_are_sent_once_the_view_shows_no_other_order(self):
        self.note_view(KEY_REVISION)
        self.controller._step()
        self.controller._order_changes.assert_called()


if __name__ == "__main__":
    unittest.main()
