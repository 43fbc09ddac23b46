"""Test the kernel timer with a real process."""

import os
import signal
import subprocess
import sys
import time
import unittest

PROGRAM = """
import sys, time
from persimmonyoke.internal.authority.timer import KernelLeaseTimer

timer = KernelLeaseTimer()
timer.arm("other-pool", time.monotonic() + 60.0)
timer.arm("llm-pool", time.monotonic() + {deadline_s})
if {disarm}:
    timer.disarm("llm-pool")
print("armed", flush=True)
while True:
    time.sleep(0.05)
    print("ran", flush=True)
"""


def start(*, deadline_s, disarm=False):
    program = PROGRAM.format(deadline_s=deadline_s, disarm=disarm)
    process = subprocess.Popen(
        [sys.executable, "-c", program], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout.readline() == "armed\n"
    return process


class KernelLeaseTimerTest(unittest.TestCase):
    def test_a_process_paused_past_its_lease_runs_nothing_after_it_is_resumed(self):
        # It would still assume that it has authority and could send an order.
        with start(deadline_s=1.0) as process:
            os.kill(process.pid, signal.SIGSTOP)
            time.sleep(1.5)
            os.kill(process.pid, signal.SIGCONT)
            rest = process.stdout.read()
            self.assertEqual(process.wait(5.0), -signal.SIGALRM)
        # Lines printed before the pause may remain; 1 s of them would be about 20.
        self.assertLess(rest.count("ran"), 10)

    def test_a_process_with_a_disarmed_timer_keeps_running(self):
        # Giving up authority over one pool must not end the controller of other pools.
        with start(deadline_s=0.2, disarm=True) as process:
            time.sleep(0.6)
            self.assertIsNone(process.poll())
            process.kill()
            process.stdout.read()
