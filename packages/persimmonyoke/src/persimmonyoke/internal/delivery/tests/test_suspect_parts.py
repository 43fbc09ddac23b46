"""Test the quarantine of prompt parts that crash engines."""

import itertools
import unittest
from dataclasses import replace

from persimmonyoke.internal.delivery.crash_records import MAX_COMPLETIONS
from persimmonyoke.internal.delivery.suspect_types import (
    Clear,
    Quarantined,
    QuarantineRule,
    Suspect,
)
from persimmonyoke.internal.delivery.suspects import SuspectRegister

RULE = QuarantineRule(
    crash_threshold=3,
    requires_isolated_crash=True,
    isolation_threshold=2,
    completion_lifts=True,
)
DEADLY, OTHER_DEADLY = b"deadly", b"other deadly"
FIRST, DOCUMENT = b"first", b"document"
HOLD_S = 600.0


class Traffic:
    """Send requests, no two alike, through the registers of some hosts."""

    def __init__(self, *registers):
        self.registers = registers
        self.numbers = itertools.count()
        self.now_s = 0.0

    def crash(self, *parts, host=0, alone=False, engine=None):
        number = next(self.numbers)
        self.now_s += 1.0
        return self.registers[host].note_crash(
            b"request %d" % number,
            engine or f"e{number}",
            self.now_s,
            parts=parts,
            incarnation="1",
            isolated=alone,
        )

    def complete(self, *parts, host=0):
        self.now_s += 1.0
        digest = b"request %d" % next(self.numbers)
        return self.registers[host].note_completed(digest, self.now_s, parts=parts)

    def status(self, *parts, host=0):
        return self.registers[host].status(b"a new request", self.now_s, parts=parts)


def connected_registers(count):
    """Return registers that exchange their notices without delay."""
    registers = []

    def publish(notice):
        for register in registers:
            if register.host != notice.host:
                register.merge(notice, traffic.now_s)

    for number in range(count):
        registers.append(SuspectRegister(f"h{number}", rule=RULE, on_change=publish))
    traffic = Traffic(*registers)
    return traffic


class PartTest(unittest.TestCase):
    def setUp(self):
        self.traffic = connected_registers(1)

    def convict(self, *parts):
        """Let requests with these parts crash two engines, and a third one alone."""
        for alone in (False, False, True):
            status = self.traffic.crash(*parts, alone=alone)
        return status

    def test_a_part_common_to_three_crashes_is_quarantined_for_new_requests(self):
        # Each request was new to the hosts, and crashed one engine after the other.
        for first in (b"a", b"b"):
            self.assertIsInstance(self.traffic.crash(first, DEADLY), Suspect)
        self.assertEqual(self.traffic.status(b"x", DEADLY), Suspect(2))
        self.traffic.crash(b"c", DEADLY, alone=True)
        status = self.traffic.status(b"x", DEADLY)
        self.assertIsInstance(status, Quarantined)
        self.assertEqual(status.subject, DEADLY)
        for innocent in (b"a", b"b", b"c"):
            self.assertEqual(self.traffic.status(innocent), Clear())

    def test_a_part_that_completes_between_crashes_is_no_suspect(self):
        # The first part of most prompts of a caller is part of each crash.
        for alone in (False, False, True):
            self.traffic.crash(FIRST, DEADLY, alone=alone)
            self.traffic.complete(FIRST, b"sound")
        self.assertIsInstance(self.traffic.status(FIRST, DEADLY), Quarantined)
        self.assertEqual(self.traffic.status(FIRST, b"sound"), Clear())

    def test_parts_that_only_crashed_together_are_refused_only_together(self):
        # Sound requests with the same first part came too seldom to clear it in time.
        self.convict(FIRST, DEADLY)
        self.assertIsInstance(self.traffic.status(FIRST, DEADLY), Quarantined)
        for part in (FIRST, DEADLY):
            self.assertEqual(self.traffic.status(part), Suspect(3))

    def test_a_completed_run_clears_the_innocent_of_two_parts(self):
        self.convict(FIRST, DEADLY)
        self.assertEqual(self.traffic.complete(FIRST), [FIRST])
        self.assertEqual(self.traffic.status(FIRST), Clear())
        self.assertIsInstance(self.traffic.status(DEADLY), Quarantined)

    def test_a_crash_without_the_other_part_identifies_the_guilty_one(self):
        self.convict(FIRST, DEADLY)
        self.traffic.crash(DEADLY, alone=True)
        self.assertIsInstance(self.traffic.status(DEADLY), Quarantined)
        self.assertNotIsInstance(self.traffic.status(FIRST), Quarantined)

    def test_crashes_without_a_run_alone_quarantine_no_part(self):
        # On a day of losses many engines are lost while they run a popular part.
        for _ in range(5):
            self.traffic.crash(DOCUMENT)
        self.assertEqual(self.traffic.status(DOCUMENT), Suspect(5))

    def test_a_crash_before_the_last_completion_does_not_count(self):
        # The loss of an answer is explained up to seconds after the crash.
        self.traffic.complete(DOCUMENT)
        self.traffic.registers[0].note_crash(
            b"r",
            "e1",
            self.traffic.now_s + 2.0,
            parts=(DOCUMENT,),
            lost_s=self.traffic.now_s - 0.5,
        )
        self.assertEqual(self.traffic.status(DOCUMENT), Clear())

    def test_two_guilty_parts_are_each_quarantined(self):
        for alone in (False, False, True):
            self.traffic.crash(FIRST, DEADLY, alone=alone)
            self.traffic.crash(FIRST, OTHER_DEADLY, alone=alone)
        self.traffic.complete(FIRST)
        for part in (DEADLY, OTHER_DEADLY):
            self.assertIsInstance(self.traffic.status(FIRST, part), Quarantined)
        self.assertEqual(self.traffic.status(FIRST), Clear())

    def test_a_strong_suspect_runs_alone_until_it_completes_though_one_is_explained(
        self,
    ):
        # Two crashing parts shared an engine. When the crash counted against one, all
        # waiting requests with the other were sent at once, and crashed many engines.
        self.traffic.crash(DEADLY, engine="shared")
        self.traffic.crash(OTHER_DEADLY, engine="shared")
        self.traffic.crash(OTHER_DEADLY)
        self.traffic.crash(DEADLY)
        self.traffic.crash(DEADLY, alone=True)
        self.assertIsInstance(self.traffic.status(DEADLY), Quarantined)
        status = self.traffic.status(OTHER_DEADLY)
        self.assertTrue(RULE.must_run_isolated(status))
        self.traffic.complete(OTHER_DEADLY)
        self.assertEqual(self.traffic.status(OTHER_DEADLY), Clear())

    def test_a_part_common_to_two_guilty_ones_is_not_refused_by_itself(self):
        # It was in more crashes than either, and no run could clear it any more.
        for alone in (False, False, True):
            self.traffic.crash(FIRST, DEADLY, alone=alone)
            self.traffic.crash(FIRST, OTHER_DEADLY, alone=alone)
        self.assertIsInstance(self.traffic.status(FIRST), Suspect)
        for part in (DEADLY, OTHER_DEADLY):
            self.assertIsInstance(self.traffic.status(FIRST, part), Quarantined)

    def test_a_part_that_completes_after_its_quarantine_is_served_again(self):
        # The engines were mended, or the evidence was wrong.
        self.convict(DEADLY)
        self.assertEqual(self.traffic.complete(DEADLY), [DEADLY])
        self.assertEqual(self.traffic.status(DEADLY), Clear())
        self.assertIsInstance(self.convict(DEADLY), Quarantined)

    def test_crashes_of_a_cleared_part_count_against_others_again(self):
        for alone in (False, False, True):
            self.traffic.crash(DOCUMENT, alone=alone, engine=f"e{alone}")
        self.traffic.crash(DEADLY, engine="eFalse")
        self.traffic.crash(DOCUMENT, engine="e9", alone=True)
        self.traffic.complete(DOCUMENT)
        self.assertEqual(self.traffic.status(DEADLY), Suspect(1))

    def test_a_request_runs_alone_under_its_worst_subject(self):
        # Hosts that reserve engines under different subjects would run two at once.
        self.traffic.crash(FIRST, DEADLY)
        self.traffic.crash(b"x", DEADLY)
        self.assertEqual(self.traffic.status(FIRST, DEADLY).subject, DEADLY)
        self.traffic.crash(FIRST, b"y")
        self.assertEqual(self.traffic.status(FIRST, DEADLY).subject, DEADLY)

    def test_thousands_of_parts_in_one_crash_do_not_displace_the_guilty_part(self):
        register = SuspectRegister("a", rule=RULE, max_records=100, suspect_ttl_s=1e9)
        self.traffic.registers = (register,)
        self.traffic.crash(DEADLY)
        self.traffic.crash(DEADLY)
        for number in range(3_000):
            self.traffic.crash(b"part %d" % number, engine="e")
            self.traffic.complete(*(b"done %d-%d" % (number, n) for n in range(10)))
        self.assertLessEqual(register.size, 100)
        self.assertLessEqual(len(register._completions._completed_s), MAX_COMPLETIONS)
        self.assertEqual(self.traffic.status(DEADLY), Suspect(2))


class SpreadTest(unittest.TestCase):
    def setUp(self):
        self.traffic = connected_registers(3)

    def test_crashes_at_several_hosts_quarantine_a_part_on_all(self):
        for host, alone in enumerate((False, False, True)):
            self.traffic.crash(FIRST, DEADLY, host=host, alone=alone)
        for host in range(3):
            status = self.traffic.status(FIRST, DEADLY, host=host)
            self.assertIsInstance(status, Quarantined)
            self.assertEqual(self.traffic.status(FIRST, host=host), Suspect(3))

    def test_a_completion_at_one_host_clears_the_part_on_all(self):
        for host, alone in enumerate((False, False, True)):
            self.traffic.crash(FIRST, DEADLY, host=host, alone=alone)
        self.traffic.complete(FIRST, host=2)
        for host in range(3):
            self.assertEqual(self.traffic.status(FIRST, host=host), Clear())
            status = self.traffic.status(DEADLY, host=host)
            self.assertIsInstance(status, Quarantined)

    def test_a_host_that_was_cut_off_is_told_that_its_suspect_completed(self):
        # Its gossip made an innocent part a suspect on all hosts again.
        alone = SuspectRegister("cut off", rule=RULE)
        cut = Traffic(alone)
        for _ in range(2):
            cut.crash(DOCUMENT)
        self.traffic.now_s = cut.now_s + 5.0
        self.traffic.complete(DOCUMENT)
        sent = []
        told = self.traffic.registers[0]
        told._notices.on_change = sent.append
        for notice in alone.isolated_notices(self.traffic.now_s):
            told.merge(notice, self.traffic.now_s)
        self.assertEqual(self.traffic.status(DOCUMENT), Clear())
        for notice in sent:
            alone.merge(notice, self.traffic.now_s)
        self.assertEqual(alone.status(DOCUMENT, self.traffic.now_s), Clear())

    def test_a_host_that_starts_refuses_a_recorded_part_only_with_its_companions(self):
        for alone in (False, False, True):
            self.traffic.crash(FIRST, DEADLY, alone=alone)
        register = self.traffic.registers[0]
        started = SuspectRegister("new", rule=RULE)
        for part in (FIRST, DEADLY):
            notice = register.notice(part, self.traffic.now_s)
            started.merge(replace(notice, host="store"), self.traffic.now_s)
        status = started.status(b"r", self.traffic.now_s, parts=(FIRST, DEADLY))
        self.assertIsInstance(status, Quarantined)
        status = started.status(b"r", self.traffic.now_s, parts=(FIRST,))
        self.assertEqual(status, Suspect(3))


if __name__ == "__main__":
    unittest.main()
