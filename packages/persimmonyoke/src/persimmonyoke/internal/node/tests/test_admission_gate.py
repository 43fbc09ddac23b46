"""Tests of admission control."""

import time
import unittest

import gevent

from persimmonyoke.errors import ErrorKind, Ran, RequestError
from persimmonyoke.internal.delivery.api import CallerGone
from persimmonyoke_testing.builders_node import (
    POOL,
    admission_request,
    build_admission,
)


class PoolAdmissionTest(unittest.TestCase):
    def admit(self, admission, request_id):
        request = admission_request(request_id, time.monotonic())
        return gevent.spawn(admission.admit, request)

    def test_a_released_slot_goes_to_the_request_that_waits(self):
        admission = build_admission(time.monotonic)
        first, second = self.admit(admission, "a"), self.admit(admission, "b")
        gevent.sleep(0.02)
        self.assertFalse(second.dead)
        first.get().release(output_tokens=3)
        self.assertIsNotNone(second.get(timeout=1.0))

    def test_a_caller_that_leaves_while_waiting_is_withdrawn(self):
        # Its slot would leak once it is admitted.
        admission = build_admission(time.monotonic)
        first, gone = self.admit(admission, "a"), self.admit(admission, "b")
        third = self.admit(admission, "c")
        gevent.sleep(0.02)
        gone.kill(CallerGone)
        self.assertEqual(len(admission.queues[POOL].queue), 1)
        first.get().release(output_tokens=0)
        third.get(timeout=1.0).release(output_tokens=0)
        self.assertEqual(admission.queues[POOL].queue.in_flight, 0)

    def test_a_caller_that_leaves_as_it_is_admitted_gives_its_slot_back(self):
        admission = build_admission(time.monotonic)
        first = self.admit(admission, "a")
        gone = gevent.spawn(self.hold, admission, "b")
        gevent.sleep(0.02)
        first.get().release(output_tokens=0)
        # It is admitted now, but its greenlet has not run yet.
        gone.kill(CallerGone)
        self.assertEqual(admission.queues[POOL].queue.in_flight, 0)

    def hold(self, admission, request_id):
        """Hold a slot until the caller disconnects, as the HTTP server does."""
        grant = admission.admit(admission_request(request_id, time.monotonic()))
        try:
            gevent.sleep(10.0)
        finally:
            grant.release(output_tokens=0)

    def test_a_request_that_can_no_longer_start_in_time_is_refused_at_once(self):
        # A late refusal would keep the caller from trying another host.
        admission = build_admission(time.monotonic, first_token_s=0.2)
        self.admit(admission, "a")
        late = self.admit(admission, "b")
        started_s = time.monotonic()
        with self.assertRaises(RequestError) as caught:
            late.get(timeout=2.0)
        waited_s = time.monotonic() - started_s
        self.assertEqual(caught.exception.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertEqual(caught.exception.ran, Ran.NOT_RUN)
        self.assertGreater(caught.exception.retry_after_s, 0.0)
        self.assertLess(waited_s, 4 * 0.2)
