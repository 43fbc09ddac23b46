"""Tests of the operator API over a loopback socket."""

import json
import time
import unittest
from typing import Any

import urllib3

from persimmonyoke.internal.audit import ConfigurationAudit
from persimmonyoke.internal.operators import (
    HostRevision,
    OperatorBackend,
    operators_app,
)
from persimmonyoke.internal.presets import ConfigurationView, RevisionLog
from persimmonyoke_testing.builders_presets import derived_text, preset_text
from persimmonyoke_testing.builders_settings import (
    OPERATOR_TOKEN,
    OPERATOR_TOKEN_DIGEST,
)
from persimmonyoke_testing.loopback_server import LoopbackServer
from persimmonyoke_testing.memory_store import MemoryStore

CONFIRM_TIMEOUT_S = 0.4


class OperatorsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        revisions = RevisionLog(self.store, firm="kente", settle_s=0.3)
        self.view = ConfigurationView()
        self.accepted = []
        self.confirmations = lambda number: 1
        self.hosts = [HostRevision("accra-a-1", 1), HostRevision("tema-b-1", 0)]
        backend = OperatorBackend(
            revisions=revisions,
            view=self.view,
            hosts=lambda: self.hosts,
            audit_sources=(ConfigurationAudit(revisions),),
            on_accepted=self.accepted.append,
            confirmations=lambda number: self.confirmations(number),
            confirm_s=CONFIRM_TIMEOUT_S,
        )
        app = operators_app(backend, token_digest=OPERATOR_TOKEN_DIGEST)
        self.server = LoopbackServer(app)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.http = urllib3.PoolManager(retries=False)
        text = preset_text("base")
        self.change(action="create", preset="base", text=text, base_number=0)

    def call(
        self, method: str, path: str, body: Any = None, token: str = OPERATOR_TOKEN
    ) -> tuple[int, Any]:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        answer = self.http.request(
            method,
            f"{self.server.url}/operators{path}",
            body=None if body is None else raw,
            headers=headers,
        )
        return answer.status, json.loads(answer.data)

    def change(self, **fields: Any) -> tuple[int, Any]:
        return self.call("POST", "/changes", {"reason": "test", **fields})

    def error(self, answer: tuple[int, Any]) -> tuple[int, str]:
        return answer[0], answer[1]["error"]["code"]

    def test_every_path_refuses_a_missing_and_a_wrong_token(self):
        # An unprotected path would let anyone change the configuration.
        for method, path in (
            ("GET", "/presets"),
            ("GET", "/presets/base"),
            ("POST", "/changes"),
            ("GET", "/revisions/1"),
            ("GET", "/history"),
            ("GET", "/status"),
            ("GET", "/audit"),
        ):
            with self.subTest(path=path):
                missing = self.call(method, path, token="")
                self.assertEqual(self.error(missing), (401, "missing_key"))
                wrong = self.call(method, path, token="wrong")
                self.assertEqual(self.error(wrong), (401, "wrong_key"))

    def test_an_accepted_change_is_in_force_here_and_sent_to_the_peers(self):
        # Waiting for the watch would add the latency of the store.
        text = derived_text("peak")
        self.change(action="create", preset="peak", text=text, base_number=1)
        status, body = self.change(action="choose", preset="peak", base_number=2)
        expected = {
            "revision": 3,
            "write_id": self.accepted[-1].write_id,
            "confirmed_by": 1,
            "live_hosts": 2,
            "hosts_in_force": 0,
            "behind": ["accra-a-1", "tema-b-1"],
        }
        self.assertEqual((status, body), (200, expected))
        self.assertEqual(self.view.preset.name, "peak")
        self.assertEqual([r.number for r in self.accepted], [1, 2, 3])
        listed = self.call("GET", "/presets")[1]
        self.assertEqual(listed["active"], "peak")
        self.assertEqual(self.call("GET", "/presets/peak")[1]["text"], text)

    def test_a_conflict_shows_what_the_other_operator_changed(self):
        # Without the difference, the operator would overwrite the change unseen.
        edited = preset_text("base", goodput_weight=2.0)
        self.change(action="edit", preset="base", text=edited, base_number=1)
        answer = self.change(action="choose", preset="base", base_number=1)
        self.assertEqual(self.error(answer), (409, "conflict"))
        details = answer[1]["error"]["details"]
        self.assertEqual(details["difference"], ["~ base: goodput_weight: 1 -> 2"])

    def test_refusals_use_the_listed_error_kinds_and_name_the_field(self):
        # A client can only react to errors that it can tell apart.
        valid = {"action": "choose", "preset": "base", "base_number": 1}
        cases = (
            (self.change(**valid, force=True), 400, "unknown_field", "force"),
            (
                self.change(**{**valid, "action": "drop"}),
                400,
                "invalid_value",
                "action",
            ),
            (
                self.change(**{**valid, "base_number": "1"}),
                400,
                "invalid_value",
                "base_number",
            ),
            (self.change(**{**valid, "preset": "gone"}), 400, "invalid_value", None),
            (self.call("POST", "/changes", b"{"), 400, "malformed_body", None),
            (
                self.call("POST", "/changes", b" " * 1_100_000),
                413,
                "body_too_large",
                None,
            ),
            (self.call("GET", "/presets/gone"), 400, "invalid_value", "preset"),
            (self.call("GET", "/revisions/9"), 400, "invalid_value", "revision"),
            (self.call("GET", "/audit?limit=0"), 400, "invalid_value", "limit"),
            (self.call("GET", "/audit?since=now"), 400, "invalid_value", "since"),
            (self.call("GET", "/history?page=2"), 400, "unknown_field", "page"),
            (self.call("GET", "/engines/llm-1"), 404, "unknown_path", None),
            (self.call("DELETE", "/presets/base"), 405, "wrong_method", None),
        )
        for answer, status, code, param in cases:
            with self.subTest(code=code, param=param):
                self.assertEqual(self.error(answer), (status, code))
                self.assertEqual(answer[1]["error"]["param"], param)
                self.assertEqual(answer[1]["error"]["ran"], "not_run")

    def test_an_outage_refuses_changes_and_still_shows_what_is_in_force(self):
        # Operators need the state most during an outage.
        self.store.faults.down = True
        answer = self.change(action="choose", preset="base", base_number=1)
        self.assertEqual(self.error(answer), (503, "store_unavailable"))
        shown = self.call("GET", "/presets/base")[1]
        self.assertEqual(shown["source"], "memory")
        self.assertEqual(self.call("GET", "/status")[0], 200)
        audit = self.call("GET", "/audit")[1]
        self.assertEqual(audit["missing_sources"], ["configuration"])

    def test_an_unknown_outcome_is_not_reported_as_refused(self):
        # "Not run" would make the operator repeat a change that may be stored.
        self.store.faults.lose_requests = 1_000
        answer = self.change(action="choose", preset="base", base_number=1)
        self.assertEqual(self.error(answer), (409, "outcome_unknown"))
        self.assertEqual(answer[1]["error"]["ran"], "unknown")

    def test_the_status_counts_the_live_hosts_that_report_the_revision(self):
        # If only this host were counted, a change would seem complete too early.
        status = self.call("GET", "/status")[1]
        self.assertEqual((status["hosts_in_force"], status["live_hosts"]), (1, 2))
        self.hosts[1] = HostRevision("tema-b-1", 1)
        self.assertEqual(self.call("GET", "/status")[1]["hosts_in_force"], 2)

    def test_history_and_audit_show_who_changed_what_and_why(self):
        # The revision log is the only record of a change.
        self.change(action="choose", preset="base", base_number=1, author="kofi")
        history = self.call("GET", "/history?limit=1")[1]["revisions"]
        self.assertEqual([entry["author"] for entry in history], ["kofi"])
        found = self.call("GET", "/audit?actor=kofi&kind=preset_choose")[1]["records"]
        self.assertEqual(len(found), 1)

    def test_the_answer_waits_for_one_peer_for_a_bounded_time(self):
        # If the store is down and this node fails, only a peer still has the revision.
        asked_s = []

        def confirmed_late(number: int) -> int:
            asked_s.append(time.monotonic())
            return 2 if time.monotonic() > asked_s[0] + CONFIRM_TIMEOUT_S / 2 else 0

        both = self.hosts
        cases = (
            ("late", confirmed_late, both, 2),
            ("never", lambda number: 0, both, 0),
            ("alone", lambda number: 0, both[:1], 0),
            ("no hosts known", lambda number: 0, [], 0),
        )
        waited_s = {}
        for number, case in enumerate(cases, 1):
            name, self.confirmations, self.hosts, expected = case
            with self.subTest(name):
                started_s = time.monotonic()
                fields = {"action": "choose", "preset": "base"}
                status, body = self.change(**fields, base_number=number)
                waited_s[name] = time.monotonic() - started_s
                self.assertEqual((status, body["confirmed_by"]), (200, expected))
        self.assertGreaterEqual(waited_s["late"], CONFIRM_TIMEOUT_S / 2)
        self.assertGreaterEqual(waited_s["never"], CONFIRM_TIMEOUT_S)
        for name in ("late", "alone", "no hosts known"):
            self.assertLess(waited_s[name], waited_s["never"], name)

    def test_an_unreadable_newest_revision_is_a_clear_error(self):
        # A retryable "not available" would keep the operator retrying forever.
        key = "/persimmonyoke/kente/config/0000000002"
        self.store.state.put(key, b"PYR\x09newer")
        answer = self.change(action="choose", preset="base", base_number=1)
        self.assertEqual(self.error(answer), (500, "internal"))
        self.assertIn("format version 9", answer[1]["error"]["message"])
        self.assertIn("format version 9", self.call("GET", "/presets")[1]["problem"])
        entries = self.call("GET", "/history")[1]["revisions"]
        self.assertIn("format version 9", entries[0]["problem"])
        self.assertEqual(entries[1]["revision"], 1)

    def test_the_write_id_of_an_unknown_outcome_shows_whether_it_was_stored(self):
        # Without it, the change looks the same as an equal one by another operator.
        for lost, found in (("lose_answers", 1), ("lose_requests", 0)):
            with self.subTest(lost=lost):
                setattr(self.store.faults, lost, 1_000)
                newest = self.call("GET", "/presets")[1]["revision"]
                fields = {"action": "choose", "preset": "base"}
                answer = self.change(**fields, base_number=newest)
                setattr(self.store.faults, lost, 0)
                self.assertEqual(self.error(answer), (409, "outcome_unknown"))
                write_id = answer[1]["error"]["details"]["write_id"]
                looked_up = self.call("GET", f"/history?write_id={write_id}")[1]
                self.assertEqual(len(looked_up["revisions"]), found)
