"""Tests of a deployment while its components fail or shut down."""

import time
import unittest
import uuid

import gevent

from persimmonyoke.internal.invariants import MONITOR
from persimmonyoke_testing.builders_deployment import CallerStream, call, call_service
from persimmonyoke_testing.builders_stalls import connect_blocking, stall
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.engine import expected_text

LONG_ANSWER_TOKENS = 60
ADDRESSES = """\
GET /v1/addresses HTTP/1.1\r
Host: entry\r
Authorization: Bearer {}\r
Connection: close\r
\r
"""


class FailureTest(unittest.TestCase):
    def setUp(self):
        # Other tests in the same process violate invariants on purpose.
        self.violations = dict(MONITOR.violations)
        self.deployment = Deployment("kente", nodes=3, controllers=0)
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.firm = self.deployment.firm
        self.urls = [node.callers_url for node in self.deployment.entries]

    def tearDown(self):
        self.assertEqual(dict(MONITOR.violations), self.violations)

    def stream(self, index, prompt, **options):
        options.setdefault("max_tokens", LONG_ANSWER_TOKENS)
        return CallerStream(self.urls[index], self.firm, prompt=prompt, **options)

    def test_a_caller_resumes_at_another_host_and_gets_the_whole_text(self):
        # A caller whose host dies must neither lose nor repeat a token.
        prompt = "resume me"
        first = self.stream(0, prompt)
        received = first.read(events=10)
        self.deployment.entries[0].stop()
        second = self.stream(1, prompt, last_event_id=first.last_event_id)
        complete_text = received + second.read()
        self.assertTrue(second.finished)
        self.assertEqual(complete_text, expected_text(prompt, LONG_ANSWER_TOKENS))

    def test_an_engine_that_dies_does_not_end_its_streams(self):
        prompt = "survive the engine"
        stream = self.stream(0, prompt)
        stream.read(events=5)
        engines = self.deployment.platform.engines
        busy = [e for e in engines if e.core.state()["running_sequences"]]
        self.assertEqual(len(busy), 1)
        busy[0].crash()
        self.assertEqual(stream.read(), expected_text(prompt, LONG_ANSWER_TOKENS))

    def test_a_request_waits_while_all_engines_restart(self):
        # Requests that crash engines can stop all of them; other requests were refused.
        engines = self.deployment.platform.engines
        for engine in engines:
            engine.crash()
        restart = gevent.spawn_later(0.8, lambda: [e.start() for e in engines])
        stream = self.stream(0, "all engines restart", max_tokens=8)
        self.assertEqual(stream.read(), expected_text("all engines restart", 8))
        restart.get()

    def test_engines_that_are_down_cost_hardly_any_retry(self):
        # Each request that tried a stopped engine consumed retry budget.
        for engine in self.deployment.platform.engines[:3]:
            engine.stop()
        for number in range(24):
            prompt = f"half is down {number}"
            stream = self.stream(0, prompt, max_tokens=2)
            self.assertEqual(stream.read(), expected_text(prompt, 2))
        budget = self.deployment.entries[0].retry_budget
        self.assertLessEqual(budget.retries_total, 3)

    def test_with_the_store_down_streams_go_on_and_calls_are_refused_unrun(self):
        # A call that can't be claimed might run twice.
        stream = self.stream(0, "outage")
        stream.read(events=3)
        self.deployment.platform.key_value.set_down(True)
        key = str(uuid.uuid4())
        refused = call_service(self.urls[1], self.firm, key=key, body={})
        self.assertEqual(refused.status, 503)
        error = refused.json["error"]
        self.assertEqual(error["code"], "store_unavailable")
        self.assertEqual(error["ran"], "not_run")
        self.assertIn("Retry-After", refused.headers)
        self.assertEqual(stream.read(), expected_text("outage", LONG_ANSWER_TOKENS))
        record = self.deployment.platform.service_record
        self.assertEqual(record.runs_by_key[key], 0)
        fresh = self.stream(2, "begun in the outage", max_tokens=4)
        self.assertEqual(fresh.read(), expected_text("begun in the outage", 4))

    def test_a_revision_accepted_before_an_outage_reaches_a_host_that_missed_it(self):
        # A host that starts during an outage can learn the revision only from peers.
        entries = self.deployment.entries
        answer = call(
            "POST",
            f"{entries[0].operators_url}/operators/changes",
            key=self.firm.operator_token,
            body={
                "action": "choose",
                "preset": "peak",
                "reason": "launch",
                "base_number": 1,
            },
        )
        self.assertEqual(answer.status, 200)
        self.deployment.platform.key_value.set_down(True)
        late = self.deployment.start_entry(3)
        self.deployment.wait_until(
            lambda: all(node.view.number == 2 for node in entries), timeout_s=5.0
        )
        self.assertEqual(late.view.preset.name, "peak")

    def test_a_host_without_a_configuration_answers_not_ready(self):
        # Without the keys it would reject every caller as unauthenticated.
        self.deployment.platform.key_value.set_down(True)
        for node in list(self.deployment.entries):
            node.stop()
        self.deployment.entries.clear()
        node = self.deployment.start_entry(5)
        answer = call(
            "GET", f"{node.callers_url}/v1/models", key=self.firm.workspace_key
        )
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json["error"]["code"], "not_ready")

    def test_a_graceful_shutdown_under_load_cuts_nothing(self):
        failures, done = [], []
        stopped = gevent.event.Event()

        def run_caller(number):
            while not stopped.is_set():
                prompt = f"load {number} {len(done)}"
                try:
                    stream = CallerStream(
                        self.next_url(), self.firm, prompt=prompt, max_tokens=40
                    )
                    text = stream.read()
                except Exception as error:
                    failures.append(repr(error))
                    continue
                done.append(text)
                if text != expected_text(prompt, 40) or not stream.finished:
                    failures.append((stream.status, text))

        callers = [gevent.spawn(run_caller, number) for number in range(6)]
        gevent.sleep(0.5)
        leaving = self.deployment.entries[0]
        before = len(done)
        self.assertTrue(leaving.shutdown())
        after_leaving = len(done)
        gevent.sleep(0.3)
        stopped.set()
        gevent.joinall(callers, timeout=10.0)
        self.assertEqual(failures, [])
        self.assertGreater(after_leaving, before)
        # The other hosts do not offer a leaving host to callers.
        now_s = time.monotonic()
        self.assertNotIn(
            leaving.name,
            [h.name for h in self.deployment.entries[1].host_view.live_hosts(now_s)],
        )

    def test_a_request_that_arrived_while_a_leaving_host_stood_still_is_answered(self):
        # The drain time elapsed during the stall, and the host then closed its listener
        # before it accepted the connection.
        leaving = self.deployment.entries[0]
        shutdown = gevent.spawn(leaving.shutdown)
        gevent.sleep(0.05)
        caller = connect_blocking(leaving.callers_address)
        self.addCleanup(caller.close)
        caller.sendall(ADDRESSES.format(self.firm.workspace_key).encode())
        stall(1.0)
        caller.settimeout(5.0)
        self.assertIn(b"200 OK", caller.recv(65_536))
        self.assertTrue(shutdown.get(timeout=10.0))

    def next_url(self):
        """Return the first address that an entry host offers to callers."""
        answer = call(
            "GET", f"{self.urls[1]}/v1/addresses", key=self.firm.workspace_key
        )
        return f"http://{answer.json['addresses'][0]}"
