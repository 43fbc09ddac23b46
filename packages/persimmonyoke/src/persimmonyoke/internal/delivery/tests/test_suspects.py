"""Test the isolation and quarantine of requests that crash engines."""

import time
import unittest

import gevent
from gevent import socket

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.delivery.suspect_types import (
    Clear,
    Quarantined,
    QuarantineRule,
    Suspect,
)
from persimmonyoke.internal.delivery.suspects import (
    ISOLATION_SETTLE_S,
    SuspectRegister,
)
from persimmonyoke_testing.builders_delivery import (
    FakeEngine,
    FakeFleet,
    Fault,
    RecordingSink,
    answer_text,
    build_delivery,
    build_request,
)

POISON, INNOCENT = b"poison", b"innocent"


class SuspectRegisterTest(unittest.TestCase):
    def test_a_second_crash_quarantines_the_request_and_clears_the_others(self):
        # Innocent requests of the first crash must no longer wait for isolation.
        register = SuspectRegister("a")
        register.note_crash(POISON, "e1", 1.0, incarnation="1")
        register.note_crash(INNOCENT, "e1", 1.0, incarnation="1")
        self.assertEqual(register.status(INNOCENT, 1.0), Suspect(1))
        status = register.note_crash(POISON, "e2", 2.0, incarnation="1")
        self.assertIsInstance(status, Quarantined)
        self.assertEqual(register.status(INNOCENT, 2.0), Clear())

    def test_requests_that_ran_beside_a_crashing_one_do_not_delay_its_quarantine(self):
        # A request that crashed two engines crashed two more, since other requests
        # were part of one of the crashes each.
        register = SuspectRegister("a")
        for engine in ("e1", "e2"):
            register.note_crash(b"a" + engine.encode(), engine, 1.0, incarnation="1")
            register.note_crash(POISON, engine, 1.0, incarnation="1")
        self.assertIsInstance(register.status(POISON, 1.0), Quarantined)
        for engine in ("e1", "e2"):
            register.note_crash(b"b" + engine.encode(), engine, 1.0, incarnation="1")
        self.assertIsInstance(register.status(POISON, 1.0), Quarantined)

    def test_an_innocent_request_in_two_crashes_of_another_is_not_quarantined(self):
        # A host that learns first of the second crash of the innocent request would
        # refuse it.
        register = SuspectRegister("a")
        for engine in ("e1", "e2"):
            register.note_crash(POISON, engine, 1.0, incarnation="1")
        other = SuspectRegister("b")
        for engine in ("e1", "e2"):
            other.note_crash(INNOCENT, engine, 1.0, incarnation="1")
        self.assertIsInstance(other.status(INNOCENT, 1.0), Quarantined)
        self.assertGreater(other.settling_s(INNOCENT, 1.0), 0)
        register.note_crash(POISON, "e3", 1.0, incarnation="1")
        for notice in register.notices(1.0):
            other.merge(notice, 1.1)
        self.assertIsInstance(other.status(POISON, 1.1), Quarantined)
        self.assertEqual(other.status(INNOCENT, 1.1), Suspect(1))
        # It may still crash engines itself, so one more crash restores the quarantine.
        other.note_crash(INNOCENT, "e4", 1.2, incarnation="1")
        self.assertIsInstance(other.status(INNOCENT, 1.2), Quarantined)

    def test_one_crash_seen_by_two_requests_with_one_digest_counts_once(self):
        # Otherwise, a single crash would quarantine the prompt of two callers.
        register = SuspectRegister("a")
        for _ in range(2):
            register.note_crash(POISON, "e1", 1.0, incarnation="1")
            register.note_crash(INNOCENT, "e1", 1.0)
        self.assertEqual(register.status(POISON, 1.0), Suspect(1))
        self.assertEqual(register.status(INNOCENT, 1.0), Suspect(1))

    def test_a_crash_after_a_quick_restart_counts_although_its_incarnation_is_old(self):
        # The directory lags behind a restart, so the second crash carries the old
        # incarnation. Ignoring it let one request crash six engines.
        for known_by in (POISON, INNOCENT):
            with self.subTest(known_by=known_by):
                register = SuspectRegister("a")
                crashes = (("e1", 1.0), ("e2", 1.1)) if known_by is INNOCENT else ()
                for engine, now_s in (*crashes, ("e1", 1.2)):
                    register.note_crash(known_by, engine, now_s, incarnation="1")
                options = {"incarnation": "1", "started_s": 2.0}
                register.note_crash(POISON, "e1", 2.1, **options)
                expected = Suspect(1) if known_by is INNOCENT else Quarantined(602.1)
                self.assertEqual(register.status(POISON, 2.2), expected)

    def test_simultaneous_crashes_quarantine_no_request_without_an_isolated_crash(
        self,
    ):
        # Copies of a popular request may run on replicas that are lost together.
        register = SuspectRegister(
            "a", rule=QuarantineRule(3, requires_isolated_crash=True)
        )
        for engine in ("e1", "e2", "e3", "e4"):
            register.note_crash(INNOCENT, engine, 1.0, incarnation="1")
        self.assertEqual(register.status(INNOCENT, 1.0), Suspect(4))
        status = register.note_crash(
            INNOCENT, "e5", 2.0, incarnation="1", isolated=True
        )
        self.assertIsInstance(status, Quarantined)

    def test_an_isolated_crash_quarantines_a_request_only_together_with_others(self):
        register = SuspectRegister(
            "a", rule=QuarantineRule(3, requires_isolated_crash=True)
        )
        register.note_crash(POISON, "e1", 1.0, incarnation="1", isolated=True)
        register.note_crash(POISON, "e2", 1.0, incarnation="1")
        self.assertEqual(register.status(POISON, 1.0), Suspect(2))
        status = register.note_crash(POISON, "e3", 2.0, incarnation="1")
        self.assertIsInstance(status, Quarantined)

    def test_suspects_with_one_crash_do_not_evict_a_suspect_with_more_crashes(
        self,
    ):
        # Otherwise, a crash of the whole fleet would evict the record of the crashing
        # request.
        rule = QuarantineRule(3)
        register = SuspectRegister("a", max_records=50, rule=rule)
        for engine in ("e1", "e2"):
            register.note_crash(POISON, engine, 1.0, incarnation="1")
        for number in range(3_000):
            digest = b"innocent %d" % number
            register.note_crash(digest, "e3", 2.0, incarnation="1")
        self.assertEqual(register.size, 50)
        self.assertEqual(register.status(POISON, 3.0), Suspect(2))

    def test_completion_clears_a_suspect_here_and_at_the_peers(self):
        # Otherwise, a request that was in one crash would stay isolated.
        peer = SuspectRegister("b")
        register = SuspectRegister("a", on_change=lambda n: peer.merge(n, 1.0))
        register.note_crash(INNOCENT, "e1", 1.0, incarnation="1")
        self.assertEqual(peer.status(INNOCENT, 1.0), Suspect(1))
        register.note_completed(INNOCENT, 2.0)
        self.assertEqual(register.status(INNOCENT, 2.0), Clear())
        self.assertEqual(peer.status(INNOCENT, 2.0), Clear())

    def test_crashes_seen_by_two_hosts_add_up(self):
        # Otherwise, a request resent through other hosts would crash two engines at
        # each.
        peer = SuspectRegister("b")
        register = SuspectRegister("a", on_change=lambda n: peer.merge(n, 1.0))
        register.note_crash(POISON, "e1", 1.0, incarnation="1")
        status = peer.note_crash(POISON, "e2", 1.0, incarnation="1")
        self.assertIsInstance(status, Quarantined)

    def test_quarantine_ends_after_the_hold_time(self):
        # The cause may have been fixed in the meantime.
        register = SuspectRegister("a", hold_s=10)
        for engine in ("e1", "e2"):
            register.note_crash(POISON, engine, 1.0, incarnation="1")
        self.assertIsInstance(register.status(POISON, 10.9), Quarantined)
        self.assertEqual(register.status(POISON, 11.1), Clear())

    def test_two_hosts_that_reserve_an_engine_at_once_agree_on_one(self):
        # Two suspects on one engine would both be blamed for its crash.
        first, second = SuspectRegister("a"), SuspectRegister("b")
        self.assertTrue(first.try_isolate(POISON, "e1", now_s=1.0, until_s=9.0))
        self.assertTrue(second.try_isolate(INNOCENT, "e1", now_s=1.0, until_s=9.0))
        for notice in first.notices(1.0):
            second.merge(notice, 1.0)
        for notice in second.notices(1.0):
            first.merge(notice, 1.0)
        holders = [
            first.holds_isolation(POISON, "e1", 1.0),
            second.holds_isolation(INNOCENT, "e1", 1.0),
        ]
        self.assertEqual(sorted(holders), [False, True])

    def test_no_engine_is_reserved_until_a_time_that_has_passed(self):
        # A request that had waited until its client left ended with a KeyError, and
        # was reported as failed though it had not run.
        register = SuspectRegister("a")
        for until_s in (0.9, 1.0):
            with self.subTest(until_s):
                reserved = register.try_isolate(
                    POISON, "e1", now_s=1.0, until_s=until_s
                )
                self.assertFalse(reserved)
        self.assertEqual(register.isolated_engines(1.0), frozenset())

    def test_an_extended_reservation_holds_at_the_peers_too(self):
        # Peers would send the request to further engines while its cause is not known.
        peer = SuspectRegister("b")
        register = SuspectRegister("a", on_change=lambda n: peer.merge(n, 1.0))
        register.try_isolate(POISON, "e1", now_s=1.0, until_s=2.0)
        register.extend_isolation(POISON, "e1", now_s=1.0, until_s=9.0)
        for host in (register, peer):
            self.assertTrue(host.is_isolated(POISON, 8.9))
            self.assertFalse(host.is_isolated(POISON, 9.1))

    def test_reordered_notices_leave_the_newest_reservation(self):
        # If a late notice removed the reservation, two suspects would share an engine.
        notices = []
        register = SuspectRegister("a", on_change=notices.append)
        register.try_isolate(POISON, "e1", now_s=1.0, until_s=9.0)
        register.end_isolation(POISON, "e1")
        register.try_isolate(INNOCENT, "e1", now_s=1.0, until_s=9.0)
        register.note_crash(INNOCENT, "e2", 1.0, incarnation="1")
        peer = SuspectRegister("b")
        for notice in reversed(notices):
            peer.merge(notice, 1.0)
        self.assertEqual(peer.isolated_engines(1.0), {"e1"})
        self.assertTrue(peer.is_isolated(INNOCENT, 1.0))
        self.assertFalse(peer.is_isolated(POISON, 1.0))

    def test_the_register_is_bounded(self):
        # Callers determine the digests, so an unbounded table could exhaust the memory.
        register = SuspectRegister("a", max_records=10)
        for number in range(100):
            register.note_crash(b"%d" % number, "e1", 1.0, incarnation="1")
        self.assertEqual(register.size, 10)


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        self.engines = [FakeEngine(f"e{n}", token_s=0.002) for n in range(5)]
        for engine in self.engines:
            engine.script = self.crash_on_poison
        self.fleet = FakeFleet(self.engines, routes_to_crashed=False)
        self.registers = [
            SuspectRegister(f"h{n}", on_change=self.publish) for n in range(3)
        ]
        self.hosts = [
            build_delivery(self.fleet, suspects=register) for register in self.registers
        ]

    def publish(self, notice):
        gevent.spawn_later(0.005, self.deliver_notice, notice)

    def deliver_notice(self, notice):
        for register in self.registers:
            if register.host != notice.host:
                register.merge(notice, time.monotonic())

    def crash_on_poison(self, engine, call, offset):
        if call.prompt != "poison" or offset < 3:
            return None
        gevent.spawn_later(0.02, self.restart, engine)
        return Fault.CRASH

    def restart(self, engine):
        engine.alive = True

    def run_innocent(self, host, number):
        sink = RecordingSink()
        prompt = f"innocent {number}"
        request = build_request(prompt, max_tokens=30, request_id=prompt)
        try:
            self.hosts[host].complete(request, sink)
        except RequestError as error:
            return (error.kind, error.message)
        return sink.text == answer_text(prompt, 30)

    def test_a_request_resent_five_times_crashes_at_most_two_engines(self):
        # Each crash costs all other requests an engine and its cache.
        innocents = [
            gevent.spawn(self.run_innocent, number % 3, number) for number in range(30)
        ]
        gevent.sleep(0.01)
        kinds = []
        for resend in range(6):
            request = build_request("poison", request_id=f"p{resend}")
            try:
                self.hosts[resend % 3].complete(request, RecordingSink())
            except RequestError as error:
                kinds.append(error.kind)
            gevent.sleep(0.01)
        self.assertEqual(kinds, [ErrorKind.QUARANTINED] * 6)
        gevent.joinall(innocents, timeout=20)
        outcomes = [greenlet.value for greenlet in innocents]
        self.assertEqual(outcomes, [True] * 30)
        self.assertLessEqual(self.fleet.crashes, 2)

    def test_a_quarantine_learned_while_an_engine_is_reserved_prevents_the_run(self):
        # The notice of a second crash may arrive after the next host has accepted the
        # request as a suspect; running it would crash a third engine.
        host, register = self.hosts[1], self.registers[1]
        request = build_request("poison")
        digest = request.content_digest
        register.note_crash(digest, "e0", time.monotonic(), incarnation="old")
        sending = gevent.spawn(self.kind_of_failure, host, request)
        gevent.sleep(ISOLATION_SETTLE_S / 3)
        self.assertTrue(register.is_isolated(digest, time.monotonic()))
        peer = self.registers[0]
        peer.merge(register.notice(digest, time.monotonic()), time.monotonic())
        peer.note_crash(digest, "e1", time.monotonic(), incarnation="old")
        self.assertEqual(sending.get(timeout=5), ErrorKind.QUARANTINED)
        self.assertEqual(self.fleet.crashes, 0)
        self.assertFalse(register.is_isolated(digest, time.monotonic()))

    def test_a_quarantine_that_arrived_before_the_request_prevents_its_run(self):
        # A host that was stalled finds the notices and the request in its sockets at
        # once; running the request first would crash a third engine.
        register, peer = self.registers[1], SuspectRegister("peer")
        request = build_request("poison")
        digest = request.content_digest
        peer.note_crash(digest, "e0", time.monotonic(), incarnation="old")
        peer.note_crash(digest, "e1", time.monotonic(), incarnation="old")
        link, other_end = socket.socketpair()
        self.addCleanup(link.close)
        self.addCleanup(other_end.close)

        def read_notice():
            link.recv(1)
            register.merge(peer.notice(digest, time.monotonic()), time.monotonic())

        reader = gevent.spawn(read_notice)
        gevent.idle()
        other_end.send(b"n")
        kind = self.kind_of_failure(self.hosts[1], request)
        self.assertEqual(kind, ErrorKind.QUARANTINED)
        self.assertTrue(reader.ready())
        self.assertEqual(self.fleet.crashes, 0)

    def kind_of_failure(self, host, request):
        with self.assertRaises(RequestError) as caught:
            host.complete(request, RecordingSink())
        return caught.exception.kind
