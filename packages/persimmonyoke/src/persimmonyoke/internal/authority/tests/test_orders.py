"""Test how orders are recorded, sent, settled and taken over by a successor."""

import random
import unittest

from persimmonyoke.errors import (
    InvariantViolation,
    ProtocolError,
    StoreUnavailable,
)
from persimmonyoke.internal.authority.orders import (
    AuthorityLost,
    OrderInDoubt,
    OrderNotSent,
    OrderSent,
)
from persimmonyoke.internal.authority.record import (
    MAX_SETTLED_ORDERS,
    OrderEntry,
    OrderRecord,
    OrderStatus,
    decode_record,
    encode_record,
)
from persimmonyoke_testing.builders_authority import (
    LEASE_S,
    ORDER_DEADLINE_S,
    build_pair,
    build_planned_order,
)


def build_entry(order_id="o1", engine="e1"):
    return OrderEntry(order_id, engine, "run-1", "change_role", (), 1, "test", 0.0)


class OrderRecordTest(unittest.TestCase):
    def test_a_record_is_restored_from_its_encoding(self):
        record = OrderRecord(3, (build_entry(),), (build_entry("o0"),), (), "w")
        self.assertEqual(decode_record(encode_record(record)), record)

    def test_malformed_records_raise_a_protocol_error(self):
        # Any other exception would end the greenlet of the control loop.
        for data in (b"", b"\xff", b"\x01", encode_record(OrderRecord())[:-3]):
            with self.subTest(data=data), self.assertRaises(ProtocolError):
                decode_record(data)

    def test_a_second_open_order_for_an_engine_violates_the_invariant(self):
        record = OrderRecord().with_open(build_entry())
        with self.assertRaises(InvariantViolation):
            record.with_open(build_entry("o2"))

    def test_the_list_of_settled_orders_is_bounded(self):
        # The record is one value of at most 1 MB.
        record = OrderRecord()
        for number in range(MAX_SETTLED_ORDERS + 10):
            entry = build_entry(f"o{number}")
            record = record.with_open(entry).with_settled(
                entry.order_id, OrderStatus.DONE, "", now_unix_s=1.0
            )
        self.assertEqual(len(record.settled_orders), MAX_SETTLED_ORDERS)


class OrderIssuerTest(unittest.TestCase):
    def setUp(self):
        self.first, self.second, self.engine = build_pair()
        self.clock = self.first.clock

    def acquire_authority(self, fixture):
        self.assertTrue(fixture.acquire())
        fixture.step()

    def plan(self, fixture, role="prefill"):
        fixture.planner.planned.append(build_planned_order(role=role))

    def test_an_order_is_recorded_sent_and_settled(self):
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.assertIsInstance(self.first.step(), OrderSent)
        self.assertEqual(len(self.first.issuer.record.open_orders), 1)
        self.engine.finish()
        self.first.step()
        (settled,) = self.first.issuer.record.settled_orders
        self.assertEqual(settled.status, OrderStatus.DONE)

    def test_no_second_order_is_sent_while_one_is_open(self):
        # Two orders at once would conflict on the engine.
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.plan(self.first, role="decode")
        self.first.step()
        self.assertIsNone(self.first.step())
        self.assertEqual(len(self.engine.accepted), 1)

    def test_an_order_whose_answer_was_lost_is_not_sent_twice(self):
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.engine.lose_next_answer = True
        self.assertIsInstance(self.first.step(), OrderInDoubt)
        self.engine.finish()
        self.first.step()
        self.assertEqual(len(self.engine.accepted), 1)
        self.assertEqual(self.first.issuer.record.open_orders, ())

    def test_no_order_is_sent_without_authority(self):
        self.acquire_authority(self.first)
        self.clock.advance(LEASE_S)
        self.plan(self.first)
        self.assertIsNone(self.first.step())
        planned = build_planned_order()
        outcome = self.first.issuer.issue(
            planned.engine,
            planned.incarnation,
            planned.action,
            planned.arguments,
            reason="test",
            now_s=self.clock(),
            now_unix_s=self.clock(),
        )
        self.assertIsInstance(outcome, OrderNotSent)
        self.assertEqual(self.engine.accepted, [])

    def test_authority_that_ends_while_the_order_is_recorded_stops_the_order(self):
        # The write may take longer than the remaining lease.
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.clock.advance(LEASE_S * 0.6)
        self.first.store.faults.slow_s = 1.5
        outcome = self.first.step()
        self.assertIsInstance(outcome, OrderInDoubt)
        self.assertEqual(self.engine.accepted, [])

    def test_a_former_holder_cannot_record_an_order_after_the_takeover(self):
        # The former holder may still assume that it has authority.
        self.acquire_authority(self.first)
        stale = self.first.lease.authority
        self.first.state.revoke(stale.lease_id)
        self.acquire_authority(self.second)
        self.plan(self.first)
        with self.assertRaises(AuthorityLost):
            self.first.step()
        self.assertEqual(self.engine.accepted, [])

    def test_an_unknown_write_of_the_record_sends_nothing(self):
        for fault in ("lose_answers", "lose_requests"):
            with self.subTest(fault=fault):
                self.setUp()
                self.acquire_authority(self.first)
                self.plan(self.first)
                setattr(self.first.store.faults, fault, 1)
                with self.assertRaises(AuthorityLost):
                    self.first.step()
                self.assertEqual(self.engine.accepted, [])

    def test_an_outage_stops_orders_and_keeps_the_record(self):
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.first.store.faults.down = True
        with self.assertRaises(StoreUnavailable):
            self.first.step()
        self.assertEqual(self.engine.accepted, [])
        self.first.store.faults.down = False
        self.assertIsInstance(self.first.step(), OrderSent)

    def test_a_successor_settles_an_order_that_the_engine_holds(self):
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.first.step()
        self.clock.advance(LEASE_S)
        self.plan(self.second, role="decode")
        self.acquire_authority(self.second)
        self.assertEqual(len(self.engine.accepted), 1)
        self.engine.finish()
        self.assertIsInstance(self.second.step(), OrderSent)
        self.assertEqual(self.engine.conflicts, [])

    def test_a_late_order_of_a_former_holder_is_refused_by_its_number(self):
        # The packet is in flight when the former holder ends.
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.engine.delay_next = True
        self.assertIsInstance(self.first.step(), OrderInDoubt)
        self.clock.advance(LEASE_S)
        self.acquire_authority(self.second)
        accepted = [order.order_id for order in self.engine.accepted]
        self.engine.finish()
        self.engine.deliver_delayed()
        self.assertEqual([order.order_id for order in self.engine.accepted], accepted)
        self.assertEqual(self.engine.conflicts, [])

    def test_an_order_for_a_restarted_engine_is_settled_as_gone(self):
        # Waiting for an engine that lost the order would block the pool permanently.
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.first.step()
        self.engine.restart()
        self.first.step()
        (settled,) = self.first.issuer.record.settled_orders
        self.assertEqual(settled.status, OrderStatus.ENGINE_GONE)

    def test_an_unreachable_engine_keeps_its_order_open(self):
        # Its order may be running, so no other order may be sent.
        self.acquire_authority(self.first)
        self.plan(self.first)
        self.first.step()
        self.engine.unreachable = True
        self.plan(self.first, role="decode")
        self.assertIsNone(self.first.step())
        self.assertEqual(len(self.first.issuer.record.open_orders), 1)


class EngineWithoutFencingTest(unittest.TestCase):
    def setUp(self):
        self.first, self.second, self.engine = build_pair(checks_fencing=False)
        self.clock = self.first.clock

    def renew_through(self, fixture, seconds):
        end_s = self.clock() + seconds
        while self.clock() < end_s:
            self.clock.advance(0.5)
            fixture.lease.renew(now_s=self.clock())
            fixture.step()

    def test_a_successor_waits_until_no_earlier_order_can_arrive(self):
        # The engine would accept a delayed order of the former holder.
        self.first.acquire()
        self.clock.advance(LEASE_S + 0.1)
        self.second.planner.planned.append(build_planned_order())
        self.assertTrue(self.second.acquire())
        acquired_s = self.clock()
        while not self.engine.accepted:
            self.renew_through(self.second, 0.5)
            self.assertLess(self.clock() - acquired_s, 30.0)
        wait_s = self.clock() - acquired_s
        self.assertGreaterEqual(wait_s, LEASE_S + ORDER_DEADLINE_S)

    def test_an_order_that_never_arrived_is_settled_as_not_run_after_the_wait(self):
        self.first.acquire()
        self.renew_through(self.first, LEASE_S + ORDER_DEADLINE_S + 0.5)
        self.first.planner.planned.append(build_planned_order())
        self.engine.delay_next = True
        self.assertIsInstance(self.first.step(), OrderInDoubt)
        self.clock.advance(LEASE_S)
        self.assertTrue(self.second.acquire())
        self.second.step()
        self.assertEqual(len(self.second.issuer.record.open_orders), 1)
        self.renew_through(self.second, LEASE_S + ORDER_DEADLINE_S + 0.5)
        (settled,) = self.second.issuer.record.settled_orders
        self.assertEqual(settled.status, OrderStatus.NOT_RUN)


class RandomisedAuthorityTest(unittest.TestCase):
    """Run two controllers through seeded schedules of faults."""

    SEEDS = range(60)
    STEPS = 120

    def setUp(self):
        self.orders_accepted = 0

    def test_no_conflicting_orders_over_random_schedules(self):
        for checks_fencing in (True, False):
            for seed in self.SEEDS:
                with self.subTest(seed=seed, checks_fencing=checks_fencing):
                    self.run_schedule(random.Random(seed), checks_fencing)
        # Schedules in which hardly any order is accepted would prove nothing.
        self.assertGreater(self.orders_accepted, 2 * len(self.SEEDS))

    def deliver_or_drop(self, rng, engine, checks_fencing):
        """Deliver delayed orders at any time, or in time if no number is checked.

        An engine that ignores the number relies on the sender's kernel, which resets
        an order connection at its deadline.
        """
        if not checks_fencing:
            if rng.random() < 0.5:
                engine.deliver_delayed()
            engine.drop_delayed()
        elif rng.random() < 0.1:
            engine.deliver_delayed()

    def run_schedule(self, rng, checks_fencing):
        first, second, engine = build_pair(checks_fencing=checks_fencing)
        fixtures = [first, second]
        for _ in range(self.STEPS):
            fixture = rng.choice(fixtures)
            self.deliver_or_drop(rng, engine, checks_fencing)
            self.apply_fault(rng, fixture, engine)
            first.clock.advance(rng.choice([0.05, 0.3, 1.0]))
            self.run_round(rng, fixture)
        self.assertEqual(engine.conflicts, [])
        ids = [order.order_id for order in engine.accepted]
        self.assertEqual(len(ids), len(set(ids)))
        self.orders_accepted += len(ids)

    def apply_fault(self, rng, fixture, engine):
        faults = fixture.store.faults
        action = rng.randrange(12)
        if action == 0:
            faults.lose_answers = 1
        elif action == 1:
            faults.lose_requests = 1
        elif action == 2:
            faults.down = not faults.down
        elif action == 3:
            engine.lose_next_answer = True
        elif action == 4:
            engine.unreachable = not engine.unreachable
        elif action == 8:
            engine.delay_next = True
        elif action == 5:
            # A long pause of every process; the timer ends those past their deadline.
            fixture.clock.advance(rng.uniform(1.0, 2 * LEASE_S))
        elif action in (6, 7) and engine.reported.open_order_id is not None:
            engine.finish(rng.choice(["done", "failed"]))

    def run_round(self, rng, fixture):
        now_s = fixture.clock()
        if rng.random() < 0.3:
            role = rng.choice(["prefill", "decode"])
            fixture.planner.planned.append(build_planned_order(role=role))
        try:
            if fixture.lease.check(now_s=now_s) is not None:
                fixture.lease.renew(now_s=now_s)
            else:
                fixture.lease.try_acquire(now_s=now_s)
            fixture.step()
        except StoreUnavailable:
            return
        except AuthorityLost:
            fixture.lease.release()
