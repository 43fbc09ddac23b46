"""Tests of the limit of what a host holds for its clients."""

import time
import unittest

from persimmonyoke.internal.gateway.body_buffer import BodyBuffer
from persimmonyoke.internal.gateway.held_memory import (
    LARGE_BYTES,
    MAX_ANSWER_BYTES,
    MIN_BUDGET_BYTES,
    AnswerRoom,
    HeldBytes,
    HeldMemory,
    NoRoom,
)

PART_BYTES = 1_000_000


def full_memory():
    """Return a memory in which two answers in part have taken all the common room."""
    memory = HeldMemory(MIN_BUDGET_BYTES)
    users = [HeldBytes(memory), HeldBytes(memory)]
    common_bytes = MIN_BUDGET_BYTES - MAX_ANSWER_BYTES
    for user in users:
        user.try_hold_answer(common_bytes // 2)
    return memory, *users


class HeldMemoryTest(unittest.TestCase):
    def test_one_of_several_partial_answers_can_always_grow_to_its_end(self):
        # Answers that wait for each other's room would all miss their deadlines.
        _, first, second = full_memory()
        self.assertTrue(first.try_hold_answer(PART_BYTES))
        self.assertFalse(second.try_hold_answer(PART_BYTES))
        self.assertTrue(first.try_hold_answer(MAX_ANSWER_BYTES - PART_BYTES))
        first.release()
        self.assertTrue(second.try_hold_answer(PART_BYTES))

    def test_the_last_room_goes_to_another_request_after_its_user(self):
        # A last room that stays with a request that has ended is lost for good.
        memory, first, second = full_memory()
        first.try_hold_answer(PART_BYTES)
        first.release()
        third = HeldBytes(memory)
        third.try_hold_answer((MIN_BUDGET_BYTES - MAX_ANSWER_BYTES) // 2)
        self.assertTrue(second.try_hold_answer(PART_BYTES))
        self.assertFalse(third.try_hold_answer(PART_BYTES))

    def test_a_refused_body_takes_no_room(self):
        # Refusals that leave a trace would fill the budget by themselves.
        memory = HeldMemory(MIN_BUDGET_BYTES)
        for _ in range(100):
            with self.assertRaises(NoRoom):
                HeldBytes(memory).hold_body(MIN_BUDGET_BYTES)
        self.assertEqual(memory.held_bytes, 0)

    def test_small_bodies_find_room_after_large_ones_do_not(self):
        # Large bodies must not keep out the requests that make up the traffic.
        memory = HeldMemory(MIN_BUDGET_BYTES)
        with self.assertRaises(NoRoom):
            while True:
                HeldBytes(memory).hold_body(PART_BYTES)
        HeldBytes(memory).hold_body(LARGE_BYTES)
        self.assertFalse(memory.nearly_full)

    def test_an_answer_without_room_waits_until_its_time_and_not_longer(self):
        # A request must get its error before its client's deadline.
        _, first, second = full_memory()
        first.try_hold_answer(PART_BYTES)
        started_s = time.monotonic()
        with self.assertRaises(NoRoom):
            AnswerRoom(second, until_s=started_s + 0.1).ensure(PART_BYTES)
        self.assertGreaterEqual(time.monotonic() - started_s, 0.1)
        self.assertLess(time.monotonic() - started_s, 0.5)


class BodyBufferTest(unittest.TestCase):
    def test_a_body_is_the_sum_of_its_parts_whatever_length_was_declared(self):
        # Unused bytes of the buffer must never become a part of a body.
        parts = [bytes([number]) * 40_000 for number in range(5)]
        for declared_bytes in (0, 1, 100_000, 200_000, 300_000):
            with self.subTest(declared_bytes):
                buffer = BodyBuffer(declared_bytes)
                for part in parts:
                    buffer.append(part)
                self.assertEqual(bytes(buffer.take()), b"".join(parts))


if __name__ == "__main__":
    unittest.main()
