"""Test which connection of a client is closed for a new one."""

import unittest

from persimmonyoke.internal.gateway.client_table import (
    STALLED_S,
    ClientPhase,
    ClientTable,
    TableEntry,
)


class Client(TableEntry):
    """Stand in for a connection."""

    has_input = False

    def __init__(self, table, phase, progress_s):
        table.add(self, now_s=progress_s)
        if phase is not ClientPhase.NEW:
            table.note_progress(self, phase, now_s=progress_s)

    def shut_down(self):
        """Be closed by no test."""


class ClientTableTest(unittest.TestCase):
    """A host with no room for another connection served nobody."""

    def setUp(self):
        self.table = ClientTable(4)

    def client(self, phase, progress_s=0.0):
        return Client(self.table, phase, progress_s)

    def least_useful(self, now_s=10.0):
        return self.table.least_useful(now_s=now_s)

    def test_the_oldest_connection_without_a_byte_is_closed_first(self):
        self.client(ClientPhase.IDLE)
        oldest = self.client(ClientPhase.NEW, 1.0)
        self.client(ClientPhase.NEW, 2.0)
        self.client(ClientPhase.SENDING)
        self.assertIs(self.least_useful(), oldest)

    def test_clients_that_neither_send_nor_read_come_before_idle_ones(self):
        for phase in (ClientPhase.RECEIVING, ClientPhase.SENDING):
            with self.subTest(phase):
                table = ClientTable(4)
                Client(table, ClientPhase.IDLE, 0.0)
                stalled = Client(table, phase, 5.0)
                self.assertIs(table.least_useful(now_s=5.0 + STALLED_S), stalled)

    def test_a_client_that_gets_on_slowly_is_not_closed(self):
        slow = self.client(ClientPhase.RECEIVING)
        self.table.note_progress(slow, ClientPhase.RECEIVING, now_s=9.5)
        self.assertIsNone(self.least_useful())

    def test_the_order_follows_the_last_progress(self):
        first = self.client(ClientPhase.RECEIVING, 0.0)
        second = self.client(ClientPhase.RECEIVING, 1.0)
        self.table.note_progress(first, ClientPhase.RECEIVING, now_s=2.0)
        self.assertIs(self.least_useful(), second)

    def test_a_request_that_is_being_served_is_never_closed(self):
        for _ in range(4):
            self.client(ClientPhase.SERVING)
        self.assertTrue(self.table.is_full)
        self.assertIsNone(self.least_useful(1_000.0))

    def test_the_longest_idle_connection_is_closed_last_of_all(self):
        longest = self.client(ClientPhase.IDLE, 1.0)
        self.client(ClientPhase.IDLE, 2.0)
        self.client(ClientPhase.SERVING)
        self.assertIs(self.least_useful(), longest)

    def test_a_connection_on_which_a_request_has_arrived_is_not_closed(self):
        for phase in (ClientPhase.NEW, ClientPhase.IDLE):
            with self.subTest(phase):
                table = ClientTable(4)
                Client(table, phase, 0.0).has_input = True
                other = Client(table, phase, 1.0)
                self.assertIs(table.least_useful(now_s=10.0), other)

    def test_a_body_that_the_host_has_not_read_yet_is_not_stalled(self):
        # A host that was held up for a second closed uploads that had gone on.
        self.client(ClientPhase.RECEIVING, 0.0).has_input = True
        self.assertIsNone(self.least_useful())
        other = self.client(ClientPhase.RECEIVING, 1.0)
        self.assertIs(self.least_useful(), other)

    def test_a_connection_after_its_last_answer_is_closed_before_idle_ones(self):
        # It counted as one being served, which kept all others out of a full host.
        self.client(ClientPhase.IDLE, 0.0)
        ending = self.client(ClientPhase.ENDING, 9.9)
        self.assertIs(self.least_useful(), ending)

    def test_a_connection_that_was_removed_stays_removed(self):
        client = self.client(ClientPhase.NEW)
        self.table.discard(client)
        self.table.note_progress(client, ClientPhase.IDLE, now_s=1.0)
        self.table.discard(client)
        self.assertEqual(len(self.table), 0)
        self.assertIsNone(self.least_useful())


if __name__ == "__main__":
    unittest.main()
