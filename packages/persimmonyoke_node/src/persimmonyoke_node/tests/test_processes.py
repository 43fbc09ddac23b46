"""Tests of node processes that are killed, paused or shut down gracefully."""

import signal
import tempfile
import time
import unittest
from pathlib import Path

import gevent

from persimmonyoke.internal.authority.record import decode_record
from persimmonyoke.internal.node.order_audit import order_key
from persimmonyoke_testing.builders_deployment import (
    CallerStream,
    NodeProcess,
    call,
    paused,
    wait_healthy,
)
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.engine import expected_text

ANSWER_TOKENS = 100
LEASE_S = 2.0
SILENT_AFTER_S = 3.0
ENGINE_RESTART_S = 0.5
CRASHING_REQUESTS = 5


class ProcessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.deployment = Deployment(
            "kereru", nodes=0, controllers=0, lease_s=LEASE_S, order_deadline_s=0.5
        )
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.firm = self.deployment.firm

    def start(self, role, path):
        process = NodeProcess(role, path)
        self.addCleanup(process.end)
        return process

    def start_entries(self, count):
        files, _ = self.deployment.write_settings(
            self.folder, entries=count, controllers=0
        )
        processes = [self.start("entry", path) for path in files]
        listed = self.deployment.platform.host_list
        urls = [f"http://{listed.address_of(path.stem)}" for path in files]
        wait_healthy(urls)
        return processes, urls

    def test_a_killed_entry_process_loses_no_stream_and_a_paused_one_no_caller(self):
        processes, urls = self.start_entries(2)
        first = CallerStream(
            urls[0], self.firm, prompt="kill it", max_tokens=ANSWER_TOKENS
        )
        received = first.read(events=10)
        with paused(processes[0]):
            # Peers detect the silence after 3 s and offer only the host that answers.
            self.deployment.wait_until(
                lambda: self.addresses(urls[1]) == {urls[1]},
                timeout_s=SILENT_AFTER_S + 3.0,
            )
        received = first.read(events=10)
        processes[0].send(signal.SIGKILL)
        self.assertEqual(processes[0].wait(), -signal.SIGKILL)
        second = CallerStream(
            urls[1],
            self.firm,
            prompt="kill it",
            max_tokens=ANSWER_TOKENS,
            last_event_id=first.last_event_id,
        )
        complete_text = received + second.read()
        self.assertEqual(complete_text, expected_text("kill it", ANSWER_TOKENS))

    def test_a_paused_entry_process_refuses_a_request_quarantined_meanwhile(self):
        # When the process goes on, it finds the notice and the request in its sockets;
        # running the request first crashes a third engine.
        engines = self.deployment.platform.engines
        for engine in engines:
            engine.faults.crash_marker = "crash it"
            engine.faults.restart_after_s = ENGINE_RESTART_S
        processes, urls = self.start_entries(2)
        for number in range(CRASHING_REQUESTS):
            before = sum(e.record.counts["crashes"] for e in engines)
            prompt = f"crash it {number}"
            with paused(processes[1]):
                first = CallerStream(urls[0], self.firm, prompt=prompt, max_tokens=4)
                second = gevent.spawn(
                    CallerStream, urls[1], self.firm, prompt=prompt, max_tokens=4
                )
                # The request is in the paused process's socket after this time.
                gevent.sleep(0.05)
            self.assertEqual((first.status, second.get(timeout=15).status), (422, 422))
            crashes = sum(e.record.counts["crashes"] for e in engines) - before
            self.assertEqual(crashes, 2)
            self.deployment.wait_until(lambda: all(e.running for e in engines))
            # Hosts learn of the new incarnations from the next load reports.
            gevent.sleep(2 * ENGINE_RESTART_S)

    def test_sigterm_ends_an_entry_process_after_its_streams_with_status_0(self):
        processes, urls = self.start_entries(1)
        stream = CallerStream(
            urls[0], self.firm, prompt="finish", max_tokens=ANSWER_TOKENS
        )
        stream.read(events=3)
        processes[0].send(signal.SIGTERM)
        gevent.sleep(0.1)
        # A second signal must not shorten the shutdown.
        processes[0].send(signal.SIGTERM)
        self.assertEqual(stream.read(), expected_text("finish", ANSWER_TOKENS))
        self.assertTrue(stream.finished)
        self.assertEqual(processes[0].wait(), 0, processes[0].log())

    def test_a_controller_paused_past_its_lease_is_ended_and_succeeded(self):
        # A controller that resumes after its lease could send a conflicting order.
        _, files = self.deployment.write_settings(self.folder, entries=0, controllers=2)
        first = self.start("controller", files[0])
        self.wait_for_holder("controller-1")
        second = self.start("controller", files[1])
        gevent.sleep(0.5)
        with paused(first):
            paused_s = time.monotonic()
            self.wait_for_holder("controller-2")
            takeover_s = time.monotonic() - paused_s
        self.assertLess(takeover_s, LEASE_S + 5.0)
        self.assertEqual(first.wait(), -signal.SIGALRM)
        second.send(signal.SIGTERM)
        self.assertEqual(second.wait(), 0, second.log())

    def test_faulty_settings_are_all_listed_with_status_2(self):
        path = self.folder / "faulty.toml"
        path.write_text("[process]\nname = 3\n[listen]\nport = 1\n", encoding="utf-8")
        process = self.start("entry", path)
        self.assertEqual(process.wait(), 2)
        for key in ("process.name", "process.firm", "listen.port", "operators"):
            self.assertIn(key, process.log())

    def addresses(self, url):
        answer = call("GET", f"{url}/v1/addresses", key=self.firm.workspace_key)
        return {f"http://{address}" for address in answer.json["addresses"]}

    def wait_for_holder(self, name):
        store = self.deployment.platform.revisions().store
        key = order_key(self.firm.name, self.firm.engine_pool)

        def is_holder():
            stored = store.get(key)
            if stored is None:
                return False
            changes = decode_record(stored.value).authority_changes
            return bool(changes) and changes[-1].holder == name

        self.deployment.wait_until(is_holder, timeout_s=20.0)
