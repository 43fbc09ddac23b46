"""Tests of the command line against an operator interface on a loopback socket."""

import contextlib
import io
import os
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from persimmonyoke.internal.audit import ConfigurationAudit
from persimmonyoke.internal.operators import (
    HostRevision,
    OperatorBackend,
    operators_app,
)
from persimmonyoke.internal.presets import ConfigurationView, RevisionLog
from persimmonyoke.internal.settings import SettingsRole
from persimmonyoke_cli.__main__ import main
from persimmonyoke_testing.builders_presets import (
    EXAMPLES_PATH,
    derived_text,
    preset_text,
)
from persimmonyoke_testing.builders_settings import (
    OPERATOR_TOKEN,
    OPERATOR_TOKEN_DIGEST,
    settings_text,
)
from persimmonyoke_testing.loopback_server import LoopbackServer
from persimmonyoke_testing.memory_store import MemoryStore


def run(*arguments: str) -> tuple[int, str, str]:
    """Run a command and return its status, output and errors."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        status = main(arguments)
    return status, output.getvalue(), errors.getvalue()


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        revisions = RevisionLog(self.store, firm="kente", settle_s=0.3)
        self.slow_host = HostRevision("tema-b-1", 0)
        self.view = ConfigurationView()
        backend = OperatorBackend(
            revisions=revisions,
            view=self.view,
            hosts=lambda: (
                HostRevision("accra-a-1", self.view.number),
                self.slow_host,
            ),
            audit_sources=(ConfigurationAudit(revisions),),
        )
        app = operators_app(backend, token_digest=OPERATOR_TOKEN_DIGEST)
        self.server = LoopbackServer(app)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        variables = {
            "PERSIMMONYOKE_URL": self.server.url,
            "PERSIMMONYOKE_TOKEN": OPERATOR_TOKEN,
        }
        self.enterContext(mock.patch.dict(os.environ, variables))
        self.succeed("preset", "create", "base", self.file(preset_text("base")))

    def file(self, text: str, name: str = "text.toml") -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def succeed(self, *arguments: str) -> str:
        if arguments[1] in ("create", "edit", "choose"):
            arguments += ("--reason", "test", "--author", "ama")
        status, output, errors = run(*arguments)
        self.assertEqual(status, 0, errors)
        return output

    def test_an_operator_creates_edits_chooses_and_looks_back(self):
        # The whole task of an operator has to work from any entry node.
        text = derived_text("peak", admission={"max_queue": 7})
        self.succeed("preset", "create", "peak", self.file(text))
        self.succeed("preset", "choose", "peak")
        edited = self.file(derived_text("peak", admission={"max_queue": 9}))
        self.succeed("preset", "edit", "peak", edited, "--base", "3")
        self.assertIn("* peak", self.succeed("preset", "list"))
        self.assertIn("max_queue = 9", self.succeed("preset", "show", "peak"))
        self.assertIn("256 -> 9", self.succeed("preset", "diff", "base", "peak"))
        self.assertIn("7 -> 9", self.succeed("preset", "history", "--limit", "1"))
        found = self.succeed("audit", "--kind", "preset_choose", "--actor", "ama")
        self.assertIn("preset_choose peak: test", found)
        self.assertIn(
            "in force on 1 of 2 live hosts",
            self.succeed("status", "--url", self.server.url),
        )

    def test_waiting_shows_the_hosts_until_all_have_the_revision(self):
        # An operator who leaves too early misses a host on the old preset.
        def catch_up() -> None:
            time.sleep(0.4)
            self.slow_host = HostRevision("tema-b-1", 2)

        task = threading.Thread(target=catch_up)
        task.start()
        output = self.succeed("preset", "choose", "base", "--wait")
        task.join()
        self.assertIn("revision 2 in force on 1 of 2 live hosts", output)
        self.assertIn("revision 2 in force on 2 of 2 live hosts", output)

    def test_failures_have_a_message_without_traceback_and_the_right_status(self):
        # Scripts of operators decide by the exit status.
        self.succeed("preset", "choose", "base")
        broken = self.file("name = 'peak'\ncolour = 1\n", "broken.toml")
        reason = ("--reason", "test")
        cases = (
            (("preset", "choose", "gone", *reason), 1, "does not exist"),
            (("preset", "choose", "base", "--base", "1", *reason), 1, "conflict"),
            (("preset", "create", "peak", broken, *reason), 1, "colour"),
            (("preset", "show", "gone"), 1, "existing: base"),
            (("status", "--token", "wrong"), 1, "wrong_key"),
            (("status", "--url", "http://127.0.0.1:1"), 1, "did not answer"),
            (("status", "--url", "127.0.0.1"), 2, "accepted: http"),
            (("status", "--token-file", "/nonexistent"), 2, "can't be read"),
            (("audit", "--since", "yesterday"), 2, "--since"),
            (("preset", "choose", "base"), 2, "--reason"),
            (("preset", "edit", "base", broken, *reason), 2, "--base"),
            (("engine", "restart"), 2, "engine"),
        )
        for arguments, expected, message in cases:
            with self.subTest(arguments=arguments):
                status, _, errors = run(*arguments)
                self.assertEqual(status, expected, errors)
                self.assertIn(message, errors)
                self.assertNotIn("Traceback", errors)

    def test_an_incomplete_audit_is_a_failure(self):
        # Status 0 would let a script take the list for the whole truth.
        self.store.faults.down = True
        status, _, errors = run("audit")
        self.assertEqual(status, 1)
        self.assertIn("no answer from: configuration", errors)

    def test_a_missing_url_or_token_names_the_variable(self):
        # A connection to a guessed default could reach the wrong firm.
        for name in ("PERSIMMONYOKE_URL", "PERSIMMONYOKE_TOKEN"):
            with self.subTest(name=name), mock.patch.dict(os.environ):
                del os.environ[name]
                status, _, errors = run("status")
                self.assertEqual(status, 2)
                self.assertIn(name, errors)

    def test_check_tells_settings_from_presets_and_names_each_fault(self):
        # A file that is checked against the wrong schema shows only false faults.
        controller = settings_text(role=SettingsRole.CONTROLLER)
        peak = str(EXAMPLES_PATH / "kente" / "presets" / "peak.toml")
        cases = (
            (self.file(settings_text(), "entry.toml"), 0, "entry"),
            (self.file(controller, "controller.toml"), 0, "controller"),
            (peak, 0, "valid preset"),
            (self.file(settings_text(log={"level": "LOUD"}), "a.toml"), 1, "log.level"),
            (self.file("name = 'b'\ncolour = 1", "b.toml"), 1, "colour"),
            (self.file("name = ", "c.toml"), 1, "not valid TOML"),
            (str(self.folder / "none.toml"), 2, "can't be read"),
        )
        for path, expected, message in cases:
            with self.subTest(path=path):
                status, output, errors = run("check", path)
                self.assertEqual(status, expected, errors)
                self.assertIn(message, output + errors)
