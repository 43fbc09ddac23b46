"""Test the admission queue."""

import unittest

from persimmonyoke.errors import ErrorKind
from persimmonyoke.internal.admission import Admitted, Queued, Refused
from persimmonyoke_testing.builders_decisions import (
    admission_queue,
    ticket,
    workspace,
)
from persimmonyoke_testing.model_admission import AdmissionModel, steady_arrivals


def served_order(queue, now_s):
    """Serve all waiting tickets one at a time and return their ids."""
    order = []
    while (ready := queue.next_ready(now_s)) is not None:
        order.append(ready.ticket.request_id)
        queue.release(ready.ticket, now_s=now_s)
    return order


class DeadlineTest(unittest.TestCase):
    def test_a_request_that_cannot_meet_its_deadline_is_refused_at_arrival(self):
        # Queueing it would spend capacity on an answer that is too late.
        queue = admission_queue()
        late = ticket(deadline_s=1.0, first_token_s=0.2)
        refused = queue.offer(late, now_s=0.0, pool_wait_s=0.9)
        self.assertEqual(refused.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertGreater(refused.retry_after_s, 0)
        self.assertIsInstance(queue.offer(late, now_s=0.0, pool_wait_s=0.7), Admitted)

    def test_the_backlog_ahead_counts_towards_the_deadline(self):
        # The engines may be idle while this node's slots are all taken.
        queue = admission_queue(limit=2)
        first = ticket("first")
        queue.offer(first, now_s=0.0)
        queue.release(first, now_s=4.0)
        for number in range(2):
            queue.offer(ticket(f"running-{number}", arrived_s=4.0), now_s=4.0)
        waiting = queue.offer(
            ticket("waiting", arrived_s=4.0, deadline_s=14.0), now_s=4.0
        )
        self.assertAlmostEqual(waiting.expected_wait_s, 2.0)
        refused = queue.offer(ticket("late", arrived_s=4.0, deadline_s=7.0), now_s=4.0)
        self.assertEqual(refused.kind, ErrorKind.DEADLINE_UNREACHABLE)

    def test_a_waiting_request_that_became_too_late_is_refused_at_once(self):
        # While it waits, its caller can't try another host.
        queue = admission_queue()
        queue.offer(ticket("running", deadline_s=99.0), now_s=0.0)
        queue.offer(ticket("waiting", deadline_s=3.0), now_s=0.0)
        self.assertEqual(queue.next_expiry_s(), 3.0)
        self.assertEqual(queue.take_refused(2.9), ())
        (refused,) = queue.take_refused(3.1)
        self.assertEqual(refused.ticket.request_id, "waiting")
        self.assertEqual(queue.take_refused(3.1), ())
        self.assertIsNone(queue.next_expiry_s())

    def test_a_longer_wait_at_the_engines_refuses_waiting_requests_too(self):
        # Their deadline applies to the first token, not to the dispatch from this
        # queue.
        queue = admission_queue()
        queue.offer(ticket("running"), now_s=0.0)
        queue.offer(ticket("waiting", deadline_s=3.0), now_s=0.0)
        queue.set_pool_wait(2.5)
        self.assertEqual(len(queue.take_refused(1.0)), 1)

    def test_three_times_the_capacity_keeps_the_goodput_of_capacity(self):
        # Target: goodput at 3x over goodput at capacity >= 0.95.
        goodput = {}
        for factor in (1, 3):
            arrivals = steady_arrivals(
                ticket(), per_s=16 * factor, start_s=0, end_s=60, deadline_s=1.0
            )
            model = AdmissionModel(admission_queue(limit=16), service_s=1.0)
            goodput[factor] = model.run(arrivals).met_deadline
        print(f"requests within their deadline: {goodput}")
        self.assertGreaterEqual(goodput[3] / goodput[1], 0.95)


class FairnessTest(unittest.TestCase):
    def test_a_flooding_workspace_raises_the_latency_of_another_by_at_most_a_tenth(
        self,
    ):
        # Target: latency of a workspace while another floods <= 1.1 of its own.
        for size in (1_000, 20_000):
            calm = steady_arrivals(
                ticket(workspace="calm"), per_s=2, start_s=0, end_s=60, deadline_s=9
            )
            flood = steady_arrivals(
                ticket(workspace="flood", tokens=size),
                per_s=160,
                start_s=10.05,
                end_s=50,
                deadline_s=30,
            )
            latency_s = {}
            for name, arrivals in (("alone", calm), ("flooded", calm + flood)):
                queue = admission_queue(workspace("calm"), workspace("flood"), limit=16)
                results = AdmissionModel(queue, service_s=1.0).run(arrivals)
                latency_s[name] = results.mean_latency_s("calm")
                self.assertEqual(len(results.latencies_s["calm"]), len(calm))
            ratio = latency_s["flooded"] / latency_s["alone"]
            print(f"flood of {size} tokens a request: latency ratio {ratio:.3f}")
            self.assertLessEqual(ratio, 1.1)

    def test_weights_divide_the_capacity_between_backlogged_workspaces(self):
        # Equal turns would ignore the weights that an operator set.
        queue = admission_queue(workspace("heavy", weight=3), workspace("light"))
        queue.offer(ticket("running"), now_s=0.0)
        for number in range(40):
            queue.offer(ticket(f"heavy-{number}", workspace="heavy"), now_s=0.0)
            queue.offer(ticket(f"light-{number}", workspace="light"), now_s=0.0)
        queue.release(ticket("running"), now_s=0.0)
        first = served_order(queue, 0.0)[:40]
        heavy = sum(name.startswith("heavy") for name in first)
        self.assertAlmostEqual(heavy, 30, delta=1)

    def test_a_low_priority_workspace_is_served_under_constant_high_load(self):
        # Strict priority would starve it for as long as the load lasts.
        queue = admission_queue(workspace("high", priority=1), workspace("low"))
        queue.offer(ticket("running"), now_s=0.0)
        for number in range(60):
            queue.offer(ticket(f"high-{number}", workspace="high"), now_s=0.0)
            queue.offer(ticket(f"low-{number}", workspace="low"), now_s=0.0)
        queue.release(ticket("running"), now_s=0.0)
        low = sum(name.startswith("low") for name in served_order(queue, 0.0)[:54])
        self.assertAlmostEqual(low, 6, delta=1)

    def test_a_callers_priority_orders_only_its_own_workspace(self):
        # Otherwise, a caller could take the capacity of other workspaces by a priority.
        queue = admission_queue(workspace("a"), workspace("b"))
        queue.offer(ticket("running"), now_s=0.0)
        queue.offer(ticket("b-0", workspace="b"), now_s=0.0)
        queue.offer(ticket("a-0", workspace="a"), now_s=0.0)
        queue.offer(ticket("a-1", workspace="a", priority=9), now_s=0.0)
        queue.release(ticket("running"), now_s=0.0)
        self.assertEqual(served_order(queue, 0.0), ["b-0", "a-1", "a-0"])

    def test_an_old_request_goes_before_newer_ones_of_higher_priority(self):
        # Requests of low priority must not starve within a workspace either.
        queue = admission_queue()
        queue.offer(ticket("running"), now_s=0.0)
        queue.offer(ticket("old"), now_s=0.0)
        queue.offer(ticket("new", arrived_s=2.0, priority=1), now_s=2.0)
        queue.release(ticket("running"), now_s=2.0)
        self.assertEqual(served_order(queue, 2.0), ["old", "new"])

    def test_a_single_active_workspace_can_use_every_slot(self):
        # A reserve without another workspace would waste an eighth of the capacity.
        queue = admission_queue(limit=16)
        outcomes = [queue.offer(ticket(f"{n}"), now_s=0.0) for n in range(17)]
        self.assertEqual(sum(isinstance(o, Admitted) for o in outcomes), 16)


class BoundsTest(unittest.TestCase):
    def test_a_full_queue_evicts_from_the_largest_backlog(self):
        # Otherwise, a workspace that fills the queue would get all others refused.
        queue = admission_queue(
            workspace("a"), workspace("b"), workspace("c"), max_queue=10
        )
        queue.offer(ticket("running"), now_s=0.0)
        for number in range(5):
            queue.offer(ticket(f"a-{number}", workspace="a"), now_s=0.0)
            queue.offer(ticket(f"b-{number}", workspace="b"), now_s=0.0)
        own_limit = queue.offer(ticket("a-5", workspace="a"), now_s=0.0)
        self.assertEqual(own_limit.kind, ErrorKind.WORKSPACE_OVER_LIMIT)
        self.assertIsInstance(
            queue.offer(ticket("c-0", workspace="c"), now_s=0.0), Queued
        )
        (pushed_out,) = queue.take_refused(0.0)
        self.assertEqual(pushed_out.kind, ErrorKind.OVERLOADED)
        self.assertEqual(pushed_out.ticket.request_id, "a-4")
        self.assertEqual(len(queue), 10)

    def test_limits_hold_in_requests_and_in_tokens_and_refill_with_time(self):
        # A workspace over its limits must not take the capacity of the others.
        for changes in ({"requests_per_s": 1.0}, {"tokens_per_s": 1_000.0}):
            queue = admission_queue(workspace(**changes), limit=99)
            outcomes = [queue.offer(ticket(f"{n}"), now_s=0.0) for n in range(3)]
            self.assertIsInstance(outcomes[1], Admitted)
            self.assertEqual(outcomes[2].kind, ErrorKind.WORKSPACE_OVER_LIMIT)
            self.assertGreaterEqual(outcomes[2].retry_after_s, 1.0)
            again = queue.offer(ticket("again", deadline_s=20.0), now_s=1.0)
            self.assertIsInstance(again, Admitted)

    def test_a_request_larger_than_the_burst_passes_and_leaves_a_debt(self):
        # Otherwise, it would always be refused.
        queue = admission_queue(workspace(tokens_per_s=100.0), limit=9)
        self.assertIsInstance(queue.offer(ticket("large"), now_s=0.0), Admitted)
        refused = queue.offer(ticket("next", tokens=1), now_s=2.0)
        self.assertIsInstance(refused, Refused)

    def test_release_gives_back_tokens_that_were_not_used_and_counts_once(self):
        # Estimates are upper bounds; a double release would free a slot twice.
        queue = admission_queue(workspace(tokens_per_s=500.0), limit=9)
        first = ticket("first")
        queue.offer(first, now_s=0.0)
        self.assertIsInstance(queue.offer(ticket("next"), now_s=0.0), Refused)
        self.assertTrue(queue.release(first, now_s=0.0, used_tokens=0))
        self.assertFalse(queue.release(first, now_s=0.0, used_tokens=0))
        self.assertIsInstance(queue.offer(ticket("next"), now_s=0.0), Admitted)
        self.assertEqual(queue.in_flight, 1)

    def test_each_host_grants_its_share_of_a_workspaces_limits(self):
        # Full limits at each host would multiply them by the number of hosts.
        policy = workspace(requests_per_s=8.0)
        queue = admission_queue(policy, limit=99)
        queue.configure({policy.name: policy}, queue._policy, host_share=0.25)
        outcomes = [queue.offer(ticket(f"{n}"), now_s=0.0) for n in range(9)]
        admitted = sum(isinstance(outcome, Admitted) for outcome in outcomes)
        self.assertEqual(admitted, 4)

    def test_idle_workspaces_are_dropped(self):
        # 1,900 workspaces share a node that has 32 MB of memory for control.
        queue = admission_queue(limit=9)
        for number in range(10_000):
            item = ticket(
                f"{number}",
                workspace=f"w{number}",
                arrived_s=number,
                deadline_s=number + 9,
            )
            queue.offer(item, now_s=number)
            queue.release(item, now_s=number)
        self.assertLess(queue.tracked_workspaces, 10)

    def test_retry_after_grows_with_the_backlog_and_is_spread(self):
        # Callers that all retry at the same time would be refused again.
        queue = admission_queue(limit=1, max_queue=8)
        first = ticket("first")
        queue.offer(first, now_s=0.0)
        queue.release(first, now_s=1.0)
        retries_s = []
        for number in range(40):
            item = ticket(f"{number}", arrived_s=1.0, deadline_s=99.0)
            outcome = queue.offer(item, now_s=1.0)
            if isinstance(outcome, Refused):
                retries_s.append(outcome.retry_after_s)
        self.assertGreaterEqual(min(retries_s), 4.0)
        self.assertGreater(max(retries_s) - min(retries_s), 2.0)

    def test_a_cancelled_request_is_not_dispatched_and_ids_are_unique(self):
        # The slot would be wasted on a caller that is gone.
        queue = admission_queue()
        running, waiting = ticket("running"), ticket("waiting")
        queue.offer(running, now_s=0.0)
        queue.offer(waiting, now_s=0.0)
        for repeated in (running, waiting):
            with self.assertRaises(ValueError):
                queue.offer(repeated, now_s=0.0)
        self.assertTrue(queue.cancel(waiting, now_s=0.0))
        self.assertFalse(queue.cancel(waiting, now_s=0.0))
        queue.release(running, now_s=0.0)
        self.assertIsNone(queue.next_ready(0.0))
