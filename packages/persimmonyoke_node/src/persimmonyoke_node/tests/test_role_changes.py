"""End-to-end tests of role changes, from the offered mix to the engines."""

import time
import unittest

import gevent

from persimmonyoke.internal.invariants import MONITOR
from persimmonyoke.internal.upstreams.api import Role
from persimmonyoke_testing.builders_deployment import CallerStream
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.engine import expected_text
from persimmonyoke_testing.platform_fleet import FleetOptions

TIME_SCALE = 0.1
# Eight slots and one eighth of the rates, so that the load fits in one process.
SMALL_ENGINES = FleetOptions(
    time_scale=TIME_SCALE,
    engine_changes={"max_sequences": 8, "tokens_per_event": 8},
    # Scaled inversely to the time scale, so that tokens keep their real rate.
    timing_changes={
        "prefill_tokens_per_s": 2_500.0 * TIME_SCALE,
        "prefill_chunk_tokens": 25,
        "decode_base_s": 0.010 / TIME_SCALE,
        "decode_per_sequence_s": 0.0016 / TIME_SCALE,
    },
)
OPTIONS = {"fleet": SMALL_ENGINES, "poll_interval_s": 0.1}
# Long enough for the shifted mix to require a change and for its notice to expire.
OUTAGE_S = 12.0
CHANGE_TIMEOUT_S = 20.0
# In a slow process, a fixed pause after each request would offer less than the rate,
# and a lighter load requires no change.
CATCH_UP_S = 0.2
# Prompt and output tokens of prefill-heavy and decode-heavy requests.
PREFILL_HEAVY, DECODE_HEAVY = (240, 8), (20, 32)


class Callers:
    """Send streams at a constant rate and record their outcomes."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._tasks = []
        self.failures = []
        self.refused = 0
        self.complete = 0

    def send_until(self, condition, sizes, *, per_s, timeout_s, catch_up_s=0.0):
        """Send until a condition holds; catch up on ``catch_up_s`` of a stall."""
        next_s = time.monotonic()
        end_s = next_s + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise TimeoutError("the roles have not changed")
            self._tasks.append(gevent.spawn(self._send, len(self._tasks), sizes))
            next_s = max(next_s + 1 / per_s, time.monotonic() - catch_up_s)
            gevent.sleep(max(0.0, next_s - time.monotonic()))

    def join(self):
        gevent.joinall(self._tasks, timeout=30.0, raise_error=True)

    def _send(self, number, sizes):
        prompt_tokens, output_tokens = sizes
        prompt = f"r{number} " + "word " * (prompt_tokens - 1)
        nodes = self._deployment.entries
        stream = CallerStream(
            nodes[number % len(nodes)].callers_url,
            self._deployment.firm,
            prompt=prompt,
            max_tokens=output_tokens,
        )
        if stream.status in {429, 503}:
            self.refused += 1
        elif stream.status != 200:
            self.failures.append((number, stream.status, stream.read_error()))
        elif stream.read() == expected_text(prompt, output_tokens) and stream.finished:
            self.complete += 1
        else:
            self.failures.append((number, stream.status, stream.text))


class RoleChangeTest(unittest.TestCase):
    def setUp(self):
        self.violations = dict(MONITOR.violations)

    def test_a_shifted_mix_changes_roles_and_cuts_no_request(self):
        # If roles do not follow the mix, engines stay idle, and a change that does not
        # drain its engine interrupts streams (no_cut_on_planned_change).
        with Deployment("kente", nodes=2, controllers=1, **OPTIONS) as d:
            engines = d.platform.engines
            callers = Callers(d)

            def count(role):
                return sum(e.configuration.role is role for e in engines)

            def changes():
                return sum(e.record.counts["role_changes"] for e in engines)

            callers.send_until(
                lambda: count(Role.PREFILL) >= 1,
                DECODE_HEAVY,
                per_s=45,
                timeout_s=CHANGE_TIMEOUT_S,
                catch_up_s=CATCH_UP_S,
            )
            before = changes()
            callers.send_until(
                lambda: changes() > before,
                PREFILL_HEAVY,
                per_s=60,
                timeout_s=CHANGE_TIMEOUT_S,
                catch_up_s=CATCH_UP_S,
            )
            callers.join()
            self.assertEqual(callers.failures, [])
            self.assertGreater(callers.complete, callers.refused)
            self.assertEqual([len(e.record.interrupted) for e in engines], [0] * 6)
            phases = {r.phase for e in engines for r in e.record.requests}
            self.assertLessEqual({"prefill", "decode"}, phases)
            conflicting = [o for e in engines for o in e.record.orders if o.conflicting]
            self.assertEqual(conflicting, [])
        self.assertEqual(dict(MONITOR.violations), self.violations)

    def test_no_role_changes_while_the_store_is_down(self):
        # An order without a lease could conflict with one of the next controller, and a
        # drain notice that does not expire would idle its engine for the whole outage.
        with Deployment("kente", nodes=1, controllers=1, **OPTIONS) as d:
            callers = Callers(d)
            orders = [e.record.orders for e in d.platform.engines]
            d.wait_until(
                lambda: any(o.action == "change_role" for log in orders for o in log)
            )
            controller = d.controllers[0].pools[d.firm.engine_pool]
            d.wait_until(
                lambda: not controller.planner.draining_engines(time.monotonic())
            )
            d.platform.key_value.set_down(True)
            before = sum(len(log) for log in orders)
            end_s = time.monotonic() + OUTAGE_S
            callers.send_until(
                lambda: time.monotonic() > end_s,
                PREFILL_HEAVY,
                per_s=60,
                timeout_s=OUTAGE_S + 5.0,
            )
            callers.join()
            self.assertEqual(sum(len(log) for log in orders), before)
            self.assertEqual(d.entries[0].drains.draining(time.monotonic()), ())
            self.assertEqual(callers.failures, [])
            self.assertGreater(callers.complete, callers.refused)
        self.assertEqual(dict(MONITOR.violations), self.violations)
